package lead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

const (
	// coldTestRate, coldOverage and coldSlack are those of an operators' deployment.
	coldTestRate = 6.5
	coldOverage  = 1.5
	coldSlack    = 8.0
	// coldTargetsPerPlace is the number of cold targets of each place.
	coldTargetsPerPlace = 2
)

// coldFleet is a fleet whose targets stay cold, before VMs that send every request they
// may.
type coldFleet struct {
	*simulation
	// held are the credits of each VM.
	held []map[ferry.TargetID]ferry.Moment
	used []int
	// sends are the times of the requests to each target.
	sends map[ferry.TargetID][]time.Duration
	// isIdle reports that no caller sends anything, so that credits are kept.
	isIdle bool
	steps  int
	// grantedAt is when a credit was last sent to a VM, and late what was wrong with one.
	grantedAt map[creditKey]time.Duration
	late      error
}

type creditKey struct {
	vm     int
	target ferry.TargetID
}

func newColdFleet(seed uint64, vms, places int) *coldFleet {
	f := &coldFleet{simulation: newSimulation(seed, vms), held: make([]map[ferry.TargetID]ferry.Moment, vms), used: make([]int, vms), sends: map[ferry.TargetID][]time.Duration{}, grantedAt: map[creditKey]time.Duration{}}
	f.places = places
	f.observe = f.observeCredits
	for i := range vms {
		f.startVM(i)
	}
	return f
}

// observeCredits keeps the credits that VMs get, and notes one that is valid for longer
// than CreditTerm after the leader sent it.
func (f *coldFleet) observeCredits(vm int, action Action) {
	switch action := action.(type) {
	case Send:
		for _, target := range action.Exchange.Credits {
			f.grantedAt[creditKey{f.index(action.To), target}] = f.now
		}
	case AddCredits:
		for _, target := range action.Targets {
			f.held[vm][target] = action.Until
			at, isSent := f.grantedAt[creditKey{vm, target}]
			remaining := action.Until.Wall - f.moment(f.vms[vm]).Wall
			if f.now+remaining > at+CreditTerm && isSent && !f.vms[vm].controller.LeadsPlace() {
				f.late = fmt.Errorf("at %v: a credit sent at %v is valid for %v", f.now, at, remaining)
			}
		}
	}
}

func (f *coldFleet) startVM(i int) {
	f.held[i] = map[ferry.TargetID]ferry.Moment{}
	f.start(i)
}

// advance simulates some time and returns an error if a target got too many requests.
func (f *coldFleet) advance(d time.Duration) error {
	for end := f.now + d; f.now < end; f.steps++ {
		f.run(min(end, f.now+10*time.Millisecond), nil)
		for i, vm := range f.vms {
			if !vm.alive || f.now < vm.suspendedUntil {
				continue
			}
			if (f.steps+i)%10 == 0 {
				vm.controller.SetCold(f.moment(vm), f.coldTargets(i))
			}
			if !f.isIdle {
				f.useCredits(i)
			}
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// coldTargets returns the targets of a VM's place, which are all cold.
func (f *coldFleet) coldTargets(vm int) []ColdTarget {
	var targets []ColdTarget
	for i := range coldTargetsPerPlace {
		targets = append(targets, ColdTarget{Target: ferry.TargetID(fmt.Sprintf("cold-%d-%d", vm%f.places, i)), Rate: coldTestRate})
	}
	return targets
}

// useCredits sends all requests for which a VM holds a credit, by the rule of package
// place: before the end of the credit by both clocks.
func (f *coldFleet) useCredits(vm int) {
	now := f.moment(f.vms[vm])
	for target, until := range f.held[vm] {
		if now.Monotonic < until.Monotonic && now.Wall < until.Wall {
			f.sends[target] = append(f.sends[target], f.now)
			f.used[vm]++
		}
	}
	clear(f.held[vm])
}

// checkFractions fails when the VMs of a place grant for more than the whole of it. A VM
// counts twice for a term after each restart.
func (f *coldFleet) checkFractions() error {
	for p := range f.places {
		sum, limit, size := 0.0, 1.0001, 0.0
		for i := p; i < len(f.vms); i += f.places {
			size++
			if vm := f.vms[i]; vm.alive && f.now >= vm.suspendedUntil {
				sum += vm.controller.placeFraction(f.moment(vm))
			}
		}
		for i := p; i < len(f.vms); i += f.places {
			for _, at := range f.vms[i].restarts {
				if f.now-at < LeaseTerm {
					limit += 1 / size
				}
			}
		}
		if sum > limit {
			return fmt.Errorf("at %v: VMs of place%d grant for %.3f of it", f.now, p, sum)
		}
	}
	return nil
}

// check counts the requests of the last second.
func (f *coldFleet) check() error {
	if f.late != nil {
		return f.late
	}
	for id, sends := range f.sends {
		sends = slices.DeleteFunc(sends, func(at time.Duration) bool { return at <= f.now-time.Second })
		f.sends[id] = sends
		if float64(len(sends)) > coldTestRate*coldOverage+coldSlack {
			return fmt.Errorf("at %v: %s got %d requests in one second", f.now, id, len(sends))
		}
	}
	return nil
}

// TestColdRateHolds partitions, suspends, kills and restarts VMs, leaders above all, while
// each VM sends all it may at once or saves its credits for one moment.
func TestColdRateHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 14).Draw(t, "vms")
		f := newColdFleet(rapid.Uint64().Draw(t, "seed"), vms, rapid.IntRange(1, 2).Draw(t, "places"))
		advance := func(d time.Duration) {
			if err := f.advance(d); err != nil {
				t.Fatal(err)
			}
		}
		advance(5 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if leader := f.placeLeader(); leader >= 0 && rapid.Bool().Draw(t, "leader") {
				i = leader
			}
			f.applyFault(t, i)
			f.isIdle = rapid.Bool().Draw(t, "idle")
			advance(time.Duration(rapid.IntRange(20, 3000).Draw(t, "wait")) * time.Millisecond)
			f.isIdle = false
			advance(time.Duration(rapid.IntRange(20, 1500).Draw(t, "flood")) * time.Millisecond)
			if err := f.checkFractions(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// VMs of a place that never met, since their seeds are down, grant credits for no more
// than the whole of it.
func TestColdRateOfVMsThatNeverMet(t *testing.T) {
	t.Parallel()
	const vms = 5
	f := &coldFleet{simulation: newSimulation(13, vms)}
	f.places = 1
	for i := range vms {
		f.setPartition(i, true, true, true)
	}
	f.startAll()
	granted := 0.0
	for _, at := range []time.Duration{5 * time.Second, 20 * time.Second, 2 * time.Minute} {
		f.run(at, nil)
		if err := f.checkFractions(); err != nil {
			t.Error(err)
		}
		for _, vm := range f.vms {
			granted += vm.controller.placeFraction(f.moment(vm))
		}
	}
	if granted == 0 {
		t.Error("nothing was granted")
	}
}

// applyFault applies a random fault to a VM.
func (f *coldFleet) applyFault(t *rapid.T, i int) {
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		f.suspend(i, time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms"))*time.Millisecond)
	case 1:
		f.setPartition(i, true, true, true)
	case 2:
		f.setPartition(i, true, false, true)
	case 3:
		f.setPartition(i, true, true, false)
	case 4: // sides of a partition
		sides := rapid.IntRange(1, 6).Draw(t, "sides")
		for a := range f.vms {
			for b := range f.vms {
				f.isBlocked[[2]int{a, b}] = a/2%sides != b/2%sides
			}
		}
	case 5:
		f.kill(i)
	case 6: // all VMs of a place restart
		for a := range f.vms {
			if a%f.places == i%f.places {
				f.startVM(a)
			}
		}
	case 7:
		f.startVM(i)
	}
}

// TestColdTargetsAreUsed counts the requests to each cold target in 10 s: nearly as many
// as are granted, in a place of many VMs and for a VM that is alone.
func TestColdTargetsAreUsed(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 2, 36} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			f := newColdFleet(1, vms, min(2, vms))
			is.NoErr(f.advance(8 * time.Second))
			counts := map[ferry.TargetID]int{}
			for range 10 {
				is.NoErr(f.advance(time.Second))
				for id, sends := range f.sends {
					counts[id] += len(sends)
				}
			}
			t.Logf("requests in 10 s: %v", counts)
			is.Equal(len(counts), f.places*coldTargetsPerPlace)
			for _, count := range counts {
				is.True(float64(count) > 0.9*10*creditRateFactor*coldTestRate)
				is.True(float64(count) < 10*coldTestRate)
			}
		})
	}
}

// TestColdTargetsAreUsedByOtherSide cuts the leader of six VMs off: it grants nothing
// alone, and the others go on.
func TestColdTargetsAreUsedByOtherSide(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newColdFleet(2, 6, 1)
	is.NoErr(f.advance(70 * time.Second)) // no longer a young process
	alone := f.fleetLeader()
	f.setPartition(alone, true, true, true)
	is.NoErr(f.advance(6 * time.Second))
	before := f.used[alone]
	f.sends = map[ferry.TargetID][]time.Duration{}
	is.NoErr(f.advance(3 * time.Second))
	is.Equal(f.used[alone], before)
	is.Equal(len(f.sends), coldTargetsPerPlace)
}

// TestColdRateHoldsAfterAMinute has two sides of a partition that both have forgotten the
// other, with callers that come all at once.
func TestColdRateHoldsAfterAMinute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newColdFleet(3, 8, 1)
	is.NoErr(f.advance(8 * time.Second))
	for a := range f.vms {
		for b := range f.vms {
			f.isBlocked[[2]int{a, b}] = a%2 != b%2
		}
	}
	f.isIdle = true
	is.NoErr(f.advance(70 * time.Second))
	largest := 0
	for range 20 {
		f.isIdle = true
		is.NoErr(f.advance(700 * time.Millisecond))
		f.isIdle = false
		for range 100 {
			is.NoErr(f.advance(10 * time.Millisecond))
			for _, sends := range f.sends {
				largest = max(largest, len(sends))
			}
		}
	}
	t.Logf("at most %d requests in one second", largest)
	is.True(float64(largest) > coldTestRate) // both sides do grant
}

// TestCreditMessages bounds what credits add to messages: in the largest fleet all targets
// of all places are cold.
func TestCreditMessages(t *testing.T) {
	is := is.New(t)
	var c credits
	var targets []ColdTarget
	for i := range 843 {
		targets = append(targets, ColdTarget{Target: ferry.TargetID(fmt.Sprintf("i-%010x", i)), Rate: coldTestRate})
	}
	bytes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 8 * time.Millisecond { // 60 VMs, two heartbeats a second
		c.setTargets(targets)
		c.fill(now, 1)
		granted := c.grant(now, int(c.replyBudget))
		c.replyBudget -= float64(len(granted))
		is.True(len(granted) <= maxReplyCredits)
		for _, id := range granted {
			bytes += len(id) + len(creditPrefix) + 3 // tag and length of a repeated field
		}
	}
	t.Logf("%d bytes per second", bytes/10)
	is.True(c.granted > 1900)
	is.True(bytes/10 < 3500)
}

// TestCreditsAreEncoded sends targets to use and credits in one reply.
func TestCreditsAreEncoded(t *testing.T) {
	is := is.New(t)
	datagram, err := EncodeExchange(Exchange{Unused: []ferry.TargetID{"a"}, Credits: []ferry.TargetID{"b", "c"}})
	is.NoErr(err)
	decoded := decodeDatagram(datagram)
	is.Equal(decoded.Unused, []ferry.TargetID{"a"})
	is.Equal(decoded.Credits, []ferry.TargetID{"b", "c"})
}
