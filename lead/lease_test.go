package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// checkShares fails when VMs hold shares of more than one in total. The share of
// a VM may be held twice for a term after each restart.
func checkShares(s *simulation) error {
	sum := 0.0
	limit := 1.0001
	for _, vm := range s.vms {
		if vm.alive && vm.controller != nil && s.now >= vm.suspendedUntil {
			sum += vm.controller.HeldShare(s.moment(vm))
		}
	}
	for _, vm := range s.vms {
		for _, at := range vm.restarts {
			if s.now-at < LeaseTerm {
				limit += 1 / float64(len(s.vms))
			}
		}
	}
	if sum > limit {
		return fmt.Errorf("VMs hold shares of %.3f in total", sum)
	}
	return nil
}

// A lost leader is replaced, and its shares are held again, within 3.5 s: VMs
// wait for their leases to expire.
func TestSharesRecoverAfterLeaderIsLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(6, 36)
	s.startAll()
	s.run(6*time.Second, nil)
	leader := s.fleetLeader()
	is.True(s.vms[leader].controller.HeldShare(s.moment(s.vms[leader])) > 0.99)
	s.kill(leader)
	s.run(s.now+3500*time.Millisecond, nil)
	held := totalHeldShare(s)
	is.True(held > 0.9)
	is.True(held <= 1)
}

// A partitioned part of the fleet holds only its own share of the allowances.
func TestPartitionHoldsItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(7, 36)
	s.startAll()
	s.run(6*time.Second, nil)
	for i := range 12 {
		for j := 12; j < 36; j++ {
			s.isBlocked[[2]int{i, j}], s.isBlocked[[2]int{j, i}] = true, true
		}
	}
	check := func() {
		if err := checkShares(s); err != nil {
			t.Fatalf("at %v: %v", s.now, err)
		}
	}
	s.run(s.now+8*time.Second, check)
	held := 0.0
	for i := range 12 {
		held += s.vms[i].controller.HeldShare(s.moment(s.vms[i]))
	}
	is.True(held > 0.3)
	is.True(held < 0.34)
}

// A leader that leaves releases its leases, so that the next one holds the
// shares within 1.5 s.
func TestLeavingLeaderReleasesLeases(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(4) {
		s := newSimulation(seed, 36)
		s.startAll()
		s.run(8*time.Second, nil)
		leaving := s.fleetLeader()
		if seed%2 == 1 {
			leaving = s.placeLeader()
		}
		s.step(leaving, StatusChanged{Leaving: true})
		maxHeld := 0.0
		for range 30 {
			s.run(s.now+100*time.Millisecond, nil)
			if err := checkShares(s); err != nil {
				t.Fatal(err)
			}
			held := totalHeldShare(s)
			maxHeld = max(maxHeld, held)
			if held > 0.95 {
				break
			}
		}
		t.Logf("seed %d: shares of %.2f are held after the leader leaves", seed, maxHeld)
		is.True(maxHeld > 0.95)
	}
}

// totalHeldShare returns the sum of the shares that VMs may grant.
func totalHeldShare(s *simulation) float64 {
	held := 0.0
	for _, vm := range s.vms {
		if vm.alive {
			held += vm.controller.HeldShare(s.moment(vm))
		}
	}
	return held
}

// While the leaders stop as planned and restart one after the other, shares are
// missing for a second at most: a heartbeat of the place leaders to the next
// leader, its reply and another heartbeat. The same holds when a VM with more
// processor capacity restarts and leads again.
func TestRollingRestartOfLeadersKeepsShares(t *testing.T) {
	t.Parallel()
	for _, hasStrong := range []bool{false, true} {
		t.Run(fmt.Sprint(hasStrong), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(3, 32)
			s.power = func(i int) uint32 {
				if hasStrong && i < 3 {
					return 800
				}
				return 160
			}
			s.startAll()
			s.run(10*time.Second, nil)
			longest, missing := time.Duration(0), time.Duration(0)
			settle := func(d time.Duration) {
				for end := s.now + d; s.now < end; {
					s.run(s.now+100*time.Millisecond, nil)
					if err := checkShares(s); err != nil {
						t.Fatal(err)
					}
					missing += 100 * time.Millisecond
					if totalHeldShare(s) > 0.9 {
						missing = 0
					}
					longest = max(longest, missing)
				}
			}
			for range 6 {
				leaving := s.fleetLeader()
				s.step(leaving, StatusChanged{Leaving: true})
				settle(1500 * time.Millisecond)
				s.kill(leaving)
				settle(500 * time.Millisecond)
				s.start(leaving)
				settle(6 * time.Second)
			}
			t.Logf("shares are missing for %v", longest)
			if longest > time.Second {
				t.Errorf("shares are missing for %v", longest)
			}
		})
	}
}
