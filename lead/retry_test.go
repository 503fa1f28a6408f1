//go:build !race

package lead

import (
	"fmt"
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
	// every is the number of steps in which each VM gets one request.
	every    int
	budgets  map[*Controller]*retry.FleetBudgets
	requests []int
	retries  []int
}

func newRetryFleet(seed uint64, count int) *retryFleet {
	return &retryFleet{simulation: newSimulation(seed, count), every: 1, budgets: map[*Controller]*retry.FleetBudgets{}}
}

// startWhere starts the VMs whose index meets a condition.
func (f *retryFleet) startWhere(isMet func(i int) bool) {
	for i := range f.vms {
		if isMet(i) {
			f.start(i)
		}
	}
}

// play simulates for a time.
func (f *retryFleet) play(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.run(f.now+retryStep, nil)
		requests, retries := 0, 0
		for i, vm := range f.vms {
			if !vm.alive || f.now < vm.suspendedUntil {
				continue
			}
			budget := f.budgets[vm.controller]
			if budget == nil {
				budget = &retry.FleetBudgets{}
				f.budgets[vm.controller] = budget
			}
			now := f.moment(vm)
			division := vm.controller.Division(now)
			budget.SetBounds(retry.FleetBounds{
				Ratio: retryRatio, Slack: retrySlack, Window: retryWindow,
				VMs: division.Divisor, IsIsolated: division.IsIsolated, Age: division.Age,
			})
			if (len(f.requests)+i)%f.every > 0 {
				continue
			}
			requests++
			budget.Deposit("service")
			for budget.TryWithdraw(now.Monotonic, "service", retry.Resend{}) {
				retries++
			}
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
	f.startWhere(func(i int) bool { return i%2 == 1 })
	f.play(2 * time.Minute)
	f.startWhere(func(i int) bool { return i%2 == 0 })
	f.play(time.Minute)
	f.check(t)
}

// Sides of a partition keep the bound on the retries of both together.
func TestRetriesOfPartitionedFleet(t *testing.T) {
	t.Parallel()
	f := newRetryFleet(10, 12)
	f.startAll()
	f.play(20 * time.Second)
	for range 3 {
		f.split(4, true)
		f.play(20 * time.Second)
		f.split(4, false)
		f.play(10 * time.Second)
	}
	f.check(t)
}

// Processes that replace others don't use the retry slack again that those have used, also
// if all are killed a few times in one window.
func TestRetriesOfRestartedFleet(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{2 * time.Second, 9 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			f := newRetryFleet(11, 36)
			f.every = 10
			f.startAll()
			f.play(30 * time.Second)
			for range 5 {
				for i := range f.vms {
					f.kill(i)
				}
				f.play(500 * time.Millisecond)
				f.startAll()
				f.play(pause)
			}
			f.play(time.Minute)
			f.check(t)
		})
	}
}

// VMs that are added to a fleet have no retry slack beside that which the others have used.
func TestRetriesOfGrowingFleet(t *testing.T) {
	t.Parallel()
	f := newRetryFleet(12, 36)
	f.every = 10
	f.startWhere(func(i int) bool { return i%12 == 0 })
	f.play(30 * time.Second)
	for i := range f.vms {
		if i%12 != 0 {
			f.start(i)
			f.play(time.Second)
		}
	}
	f.play(30 * time.Second)
	f.check(t)
}

// Whatever order kills, restarts, suspensions, lost messages and partitions come in, the
// retries of all VMs keep the bound.
func TestRetriesOfFleetInTrouble(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newRetryFleet(seed, 36)
			f.every = 1 + int(seed)*2
			f.startAll()
			f.play(20 * time.Second)
			for range 60 {
				switch i := f.random.IntN(len(f.vms)); f.random.IntN(6) {
				case 0:
					f.kill(i)
				case 1:
					for i := range f.vms {
						if !f.vms[i].alive || f.random.IntN(2) == 0 {
							f.kill(i)
							f.start(i)
						}
					}
				case 2:
					if f.vms[i].alive {
						f.suspend(i, time.Duration(f.random.IntN(8000))*time.Millisecond)
					}
				case 3:
					f.loss = 0.3 * f.random.Float64()
				case 4:
					f.split(1+f.random.IntN(len(f.vms)-1), true)
					f.play(time.Duration(f.random.IntN(15)) * time.Second)
					f.isBlocked = map[[2]int]bool{}
				}
				f.play(time.Duration(f.random.IntN(3000)) * time.Millisecond)
			}
			f.check(t)
		})
	}
}
