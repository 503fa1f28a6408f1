//go:build !race

package lead

import (
	"testing"
	"time"

	"monsoonferry.org/ferry/retry"
)

const (
	retryRatio  = 0.2
	retrySlack  = 58.0
	retryWindow = 10 * time.Second
	// retryStep is the time between two looks at the fleet.
	retryStep = 100 * time.Millisecond
)

// retryFleet is a simulated fleet whose targets fail every request. Each VM repeats as
// often as its budget allows.
type retryFleet struct {
	*simulation
	// perStep is the number of requests that each VM gets in a step.
	perStep  int
	budgets  map[*Controller]*retry.FleetBudgets
	requests []int
	retries  []int
}

func newRetryFleet(seed uint64, count int) *retryFleet {
	return &retryFleet{simulation: newSimulation(seed, count), perStep: 1, budgets: map[*Controller]*retry.FleetBudgets{}}
}

// play simulates for a time.
func (f *retryFleet) play(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.run(f.now+retryStep, nil)
		requests, retries := 0, 0
		for _, vm := range f.vms {
			if !vm.alive || f.now < vm.suspendedUntil {
				continue
			}
			budget := f.budgets[vm.controller]
			if budget == nil {
				budget = &retry.FleetBudgets{}
				f.budgets[vm.controller] = budget
			}
			now := f.moment(vm)
			budget.SetBounds(retry.FleetBounds{Ratio: retryRatio, Slack: retrySlack, VMs: vm.controller.Division(now).Divisor})
			for range f.perStep {
				budget.Deposit("service")
				for budget.TryWithdraw(now.Monotonic, "service", retry.Resend{}) {
					retries++
				}
			}
			requests += f.perStep
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	}
}

// check compares the retries of each window with the operators' bound: that of the
// requests in the window, the one before it, or the one half a window before.
func (f *retryFleet) check(t *testing.T) {
	t.Helper()
	const steps = int(retryWindow / retryStep)
	sum := func(counts []int, end int) (sum int) {
		for i := max(0, end-steps); i < end; i++ {
			sum += counts[i]
		}
		return sum
	}
	most, total := 0.0, 0
	for end := 1; end <= len(f.retries); end++ {
		requests := max(sum(f.requests, end), sum(f.requests, end-steps), sum(f.requests, end-steps/2))
		bound := retryRatio*float64(requests) + retrySlack
		most = max(most, float64(sum(f.retries, end))/bound)
		total += f.retries[end-1]
	}
	t.Logf("%d retries, at most %.2f of the bound", total, most)
	if most > 1 {
		t.Errorf("the retries of a window are %.2f of the bound", most)
	}
	if total == 0 {
		t.Error("nothing was retried")
	}
}

// VMs that never met, since their seeds are down, keep the bound on the retries of all.
func TestRetriesOfVMsThatNeverMet(t *testing.T) {
	t.Parallel()
	f := newRetryFleet(9, 6)
	for i := range f.vms {
		if i%2 == 1 {
			f.start(i)
		}
	}
	f.play(2 * time.Minute)
	for i := range f.vms {
		if i%2 == 0 {
			f.start(i)
		}
	}
	f.play(time.Minute)
	f.check(t)
}
