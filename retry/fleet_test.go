package retry

import (
	"math/rand/v2"
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

// The retries of a window stay within the bound in a fleet of more VMs than the slack has
// retries, and VMs with few requests still get the part of the ratio.
func TestRetriesOfManyVMs(t *testing.T) {
	t.Parallel()
	const (
		vms, slack, ratio = 420, 20.0, 0.2
		windows           = 60
		// requestsEach is the number of requests that a VM gets in a window.
		requestsEach = 1
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	budgets := make([]FleetBudgets, vms)
	for i := range budgets {
		budgets[i].Random = random.Float64
		budgets[i].SetBounds(FleetBounds{Ratio: ratio, Slack: slack, VMs: vms, Age: time.Hour})
	}
	play := func(isFailing bool) (retries int) {
		for i := range budgets {
			for range requestsEach {
				budgets[i].Deposit("s")
				if isFailing && budgets[i].TryWithdraw(0, "s", Resend{}) {
					retries++
				}
			}
		}
		return retries
	}
	const bound = ratio*vms*requestsEach + slack
	total := 0
	for window := range windows {
		// Half of the time nothing fails, and the VMs save what they may.
		retries := play(window%20 >= 10)
		if float64(retries) > bound {
			t.Errorf("window %d: %d retries, allowed are %v", window, retries, bound)
		}
		total += retries
	}
	is.True(total > windows/2*ratio*vms*requestsEach/2)
}
