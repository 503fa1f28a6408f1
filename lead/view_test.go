package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFleetFindsItself(t *testing.T) {
	t.Parallel()
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(1, size)
			w.startAll()
			w.run(3*time.Second, nil)
			first := w.first()
			for _, vm := range w.vms {
				is.Equal(len(vm.c.View()), size)
				is.Equal(vm.c.FleetSize(), size)
				lead, _ := vm.c.Lead()
				if vm.c.LeadsPlace() {
					is.Equal(lead, w.vms[first].address)
				} else {
					is.True(w.vms[w.index(lead)].c.LeadsPlace())
					is.Equal(w.vms[w.index(lead)].c.self.Place, vm.c.self.Place)
				}
				records, _ := vm.c.Revisions()
				is.Equal(records, w.revision)
			}
		})
	}
}

// VMs that were killed all at once know each other again within 2 s.
func TestFleetReturnsAfterAllAreKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(8, 36)
	w.startAll()
	w.run(6*time.Second, nil)
	for i := range w.vms {
		w.kill(i)
	}
	w.run(w.now+time.Second, nil)
	w.startAll()
	w.run(w.now+2*time.Second, nil)
	for _, vm := range w.vms {
		is.Equal(len(vm.c.View()), 36)
		_, ok := vm.c.Proof()
		is.True(ok)
	}
}

// A VM whose seeds are all down is found by the fleet when one of them is
// replaced.
func TestStaleSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(9, 12)
	for i := range w.vms {
		if i != w.index(w.seeds[0]) && i != w.index(w.seeds[1]) && i != w.index(w.seeds[2]) {
			w.start(i)
		}
	}
	w.run(3*time.Second, nil)
	w.start(w.index(w.seeds[1]))
	w.run(w.now+4*time.Second, nil)
	is.Equal(len(w.vms[1].c.View()), 10)
}

// Of two records of one VM the later counts, whichever lead it came from.
func TestLaterRecordCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(20) {
		w := newWorld(seed, 8)
		w.startAll()
		// Lists of the first leads are still in force when the flags change.
		w.run(700*time.Millisecond, nil)
		for i := range w.vms {
			w.step(i, Stated{Ready: i != 3})
		}
		w.run(w.now+700*time.Millisecond, nil)
		for i, vm := range w.vms {
			for _, other := range vm.c.View() {
				if want := w.index(other.Peers) != 3; other.Ready != want {
					t.Errorf("seed %d: VM %d has %+v", seed, i, other)
				}
			}
		}
	}
	is.True(true)
}

// The work of a lead follows the size of its place and the number of places,
// not the fleet.
func TestFollowersOfOneVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(13, 120)
	w.startAll()
	w.run(8*time.Second, nil)
	places, most := 6, 0
	for _, vm := range w.vms {
		is.Equal(len(vm.c.View()), len(w.vms))
		most = max(most, len(vm.c.followers(w.moment(vm).Monotonic)))
	}
	is.True(most <= len(w.vms)/places+places)
}

// Stronger VMs lead.
func TestStrongerVMsLead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(14, 36)
	w.power = func(i int) uint32 {
		if i >= 30 {
			return 800
		}
		return 160
	}
	w.startAll()
	w.run(8*time.Second, nil)
	is.True(w.first() >= 30)
	for i, vm := range w.vms {
		is.Equal(vm.c.LeadsPlace(), i >= 30)
	}
}

// A killed VM leaves the view of every other one within 4 s, whether it led or
// not, and a VM that comes is known within 2 s.
func TestViewFollowsLossAndStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(4) {
		w := newWorld(seed, 36)
		w.startAll()
		w.run(8*time.Second, nil)
		lost := []int{w.first(), w.placeLead(), 0, 35}[seed]
		w.kill(lost)
		w.run(w.now+4*time.Second, nil)
		for i, vm := range w.vms {
			if i != lost {
				is.Equal(len(vm.c.View()), 35)
			}
		}
		w.start(lost)
		w.run(w.now+2*time.Second, nil)
		for _, vm := range w.vms {
			is.Equal(len(vm.c.View()), 36)
		}
	}
}

// In a fleet whose list of VMs fills many messages, every VM knows all others
// soon after the start, and again after all were killed; no message is long.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size, longest = 240, 6000
	w := newWorld(16, size)
	w.startAll()
	w.run(3*time.Second, nil)
	for _, vm := range w.vms {
		is.Equal(len(vm.c.View()), size)
	}
	for i := range w.vms {
		w.kill(i)
	}
	w.run(w.now+time.Second, nil)
	w.startAll()
	w.run(w.now+3*time.Second, nil)
	for _, vm := range w.vms {
		is.Equal(len(vm.c.View()), size)
		_, hasProof := vm.c.Proof()
		is.True(hasProof)
	}
	t.Logf("largest message %d bytes, %d KB in all", w.largest, w.bytes/1000)
	is.True(w.largest <= longest)
}
