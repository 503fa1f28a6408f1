package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// checkShares fails when VMs hold more than the whole of the allowances. The
// share of a VM may be held once more for a term after each restart.
func checkShares(w *world) error {
	sum := 0.0
	most := 1.0001
	for _, vm := range w.vms {
		if vm.alive && vm.c != nil && w.now >= vm.frozenUntil {
			sum += vm.c.HeldShare(w.moment(vm))
		}
	}
	for _, vm := range w.vms {
		for _, at := range vm.restarts {
			if w.now-at < LendTerm {
				most += 1 / float64(len(w.vms))
			}
		}
	}
	if sum > most {
		return fmt.Errorf("shares of %.3f are held", sum)
	}
	return nil
}

// A lost lead is replaced, and its shares are held again, within 3.5 s. Until
// then a VM waits for the end of the term.
func TestSharesReturnAfterLeadIsLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(6, 36)
	w.startAll()
	w.run(6*time.Second, nil)
	leader := w.first()
	is.True(w.vms[leader].c.HeldShare(w.moment(w.vms[leader])) > 0.99)
	w.kill(leader)
	w.run(w.now+3500*time.Millisecond, nil)
	held := heldShares(w)
	is.True(held > 0.9)
	is.True(held <= 1)
}

// A part of the fleet that is cut off holds its part of the allowances only.
func TestCutOffPartHoldsItsPart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(7, 36)
	w.startAll()
	w.run(6*time.Second, nil)
	for i := range 12 {
		for j := 12; j < 36; j++ {
			w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
		}
	}
	check := func() {
		if err := checkShares(w); err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
	}
	w.run(w.now+8*time.Second, check)
	small := 0.0
	for i := range 12 {
		small += w.vms[i].c.HeldShare(w.moment(w.vms[i]))
	}
	is.True(small > 0.3)
	is.True(small < 0.34)
}

// A lead that leaves gives back what it holds, so that the shares are held by
// the next one within 1.5 s.
func TestLeavingLeadGivesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(4) {
		w := newWorld(seed, 36)
		w.startAll()
		w.run(8*time.Second, nil)
		leaving := w.first()
		if seed%2 == 1 {
			leaving = w.placeLead()
		}
		w.step(leaving, Stated{Leaving: true})
		worst := 0.0
		for range 30 {
			w.run(w.now+100*time.Millisecond, nil)
			if err := checkShares(w); err != nil {
				t.Fatal(err)
			}
			held := heldShares(w)
			worst = max(worst, held)
			if held > 0.95 {
				break
			}
		}
		t.Logf("seed %d: %.2f are held after the change", seed, worst)
		is.True(worst > 0.95)
	}
}

// heldShares returns the sum of the shares that VMs may grant.
func heldShares(w *world) float64 {
	held := 0.0
	for _, vm := range w.vms {
		if vm.alive {
			held += vm.c.HeldShare(w.moment(vm))
		}
	}
	return held
}

// While the leads stop as planned and come back, one after the other, shares are
// missing for a second at most: a beat of the leads of places to the next lead,
// its answer and another beat. So also when a stronger VM comes back and leads
// again.
func TestRollingLeadsKeepShares(t *testing.T) {
	t.Parallel()
	for _, hasStrong := range []bool{false, true} {
		t.Run(fmt.Sprint(hasStrong), func(t *testing.T) {
			t.Parallel()
			w := newWorld(3, 32)
			w.power = func(i int) uint32 {
				if hasStrong && i < 3 {
					return 800
				}
				return 160
			}
			w.startAll()
			w.run(10*time.Second, nil)
			longest, missing := time.Duration(0), time.Duration(0)
			settle := func(d time.Duration) {
				for end := w.now + d; w.now < end; {
					w.run(w.now+100*time.Millisecond, nil)
					if err := checkShares(w); err != nil {
						t.Fatal(err)
					}
					missing += 100 * time.Millisecond
					if heldShares(w) > 0.9 {
						missing = 0
					}
					longest = max(longest, missing)
				}
			}
			for range 6 {
				leaving := w.first()
				w.step(leaving, Stated{Leaving: true})
				settle(1500 * time.Millisecond)
				w.kill(leaving)
				settle(500 * time.Millisecond)
				w.start(leaving)
				settle(6 * time.Second)
			}
			t.Logf("shares are missing for %v", longest)
			if longest > time.Second {
				t.Errorf("shares are missing for %v", longest)
			}
		})
	}
}
