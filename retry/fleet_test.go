package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// While resends of requests without another chance are wanted, hedges and less urgent
// ranks leave the last tokens to them. The sum never exceeds the bound.
func TestRetryBudgetGoesToTheMostWorth(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var budgets FleetBudgets
	budgets.SetBounds(FleetBounds{Ratio: 0.2, Slack: 4 / budgetShare, VMs: 1, Age: time.Minute})
	budgets.Deposit("s")
	is.True(budgets.TryWithdraw(0, "s", Resend{Rank: 2, IsHedge: true}))
	is.True(budgets.TryWithdraw(0, "s", Resend{Rank: 1}))
	// Two tokens are left, and rank 1 was wanted.
	is.True(!budgets.TryWithdraw(0, "s", Resend{Rank: 0, IsHedge: true}))
	is.True(budgets.TryWithdraw(0, "s", Resend{Rank: 0}))
	is.True(!budgets.TryWithdraw(0, "s", Resend{Rank: 1}))
	is.True(budgets.TryWithdraw(wantedFor, "s", Resend{Rank: 0, IsHedge: true}))
	is.True(!budgets.TryWithdraw(wantedFor, "s", Resend{Rank: 0}))
	taken := 0
	for i := range 1000 {
		budgets.Deposit("s")
		if budgets.TryWithdraw(2*wantedFor, "s", Resend{Rank: i % 3, IsHedge: i%2 == 0}) {
			taken++
		}
	}
	is.True(taken <= 1000*2*9/100)
}
