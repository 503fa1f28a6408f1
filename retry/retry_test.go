package retry

import (
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

func TestIsRetryable(t *testing.T) {
	cases := []struct {
		idempotent bool
		result     ferry.Result
		want       bool
	}{
		{false, ferry.Result{Outcome: ferry.OutcomeNotSent}, true},
		{false, ferry.Result{Outcome: ferry.OutcomeNotRun, Verdict: ferry.VerdictShed}, true},
		{false, ferry.Result{Outcome: ferry.OutcomeUnknown, Verdict: ferry.VerdictReset}, false},
		{false, ferry.Result{Outcome: ferry.OutcomeDone, Verdict: ferry.VerdictErrorStatus}, false},
		{true, ferry.Result{Outcome: ferry.OutcomeUnknown, Verdict: ferry.VerdictStall}, true},
		{true, ferry.Result{Outcome: ferry.OutcomeDone, Verdict: ferry.VerdictErrorStatus}, true},
		{true, ferry.Result{Outcome: ferry.OutcomeDone, Verdict: ferry.VerdictGood}, false},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(IsRetryable(c.idempotent, c.result), c.want)
	}
}

// TestAmplification sheds every attempt. The attempts stay below 1.1 times the
// requests, the bound of issue 6.
func TestAmplification(t *testing.T) {
	is := is.New(t)
	var budgets Budgets
	budget := budgets.Budget("s")
	shed := ferry.Result{Verdict: ferry.VerdictShed, Outcome: ferry.OutcomeNotRun}
	attempts := 0
	const requests = 1000
	for range requests {
		budget.Deposit(ferry.DefaultRetryBudget)
		for number := 1; ; number++ {
			attempts++
			budget.Observe(shed)
			if number >= MaxAttempts || !IsRetryable(false, shed) || !budget.TryWithdraw() {
				break
			}
		}
	}
	is.True(float64(attempts) < 1.1*requests)
	is.True(budgets.Budget("s") == budget)
}
