package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"monsoonferry.org/ferry"
)

// behavior is how a target answers one VM's attempt.
type behavior struct {
	errors float64
	slow   float64
}

// fleet is a small fake of the VMs around the detectors of one service. Its
// clock is virtual; every run with the same seed is the same.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	vms       []*vm
	inventory *ferry.Inventory
	targets   []*ferry.Target
	// behave gives the behavior of a target towards a place.
	behave func(target int, place ferry.PlaceID) behavior
	// rate is the number of attempts per second on each target.
	rate float64
	// pooled tells whether the VMs exchange evidence.
	pooled bool
	// shares are the rights of the deciders by VM; VM 0 has all by default.
	shares map[int]float64
	// connected tells whether messages pass between two VMs.
	connected func(from, to int) bool
	// consecutive counts errors in a row by VM and target, for the baseline.
	consecutive map[[2]int]int
	// firstBaseline is the time at which the baseline ejected a target.
	firstBaseline map[int]time.Duration
	harmed        int
}

type vm struct {
	index    int
	place    ferry.PlaceID
	detector *Detector
	ejector  *Ejector
	follower *Follower
	ejected  map[ferry.TargetID]bool
}

// baselineErrors is the number of errors in a row at which the baseline of
// issue 6 ejects.
const baselineErrors = 5

// step is the time between two reports.
const step = 100 * time.Millisecond

func newFleet(seed uint64, vms, places, targets int, rate float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), rate: rate, pooled: true,
		behave:      func(int, ferry.PlaceID) behavior { return behavior{errors: ferry.DefaultBaselineErrors} },
		shares:      map[int]float64{0: 1},
		connected:   func(int, int) bool { return true },
		consecutive: map[[2]int]int{}, firstBaseline: map[int]time.Duration{},
	}
	f.inventory = &ferry.Inventory{Services: []ferry.Service{{ID: "s", Rules: ferry.Rules{}.WithDefaults()}}}
	for i := range places {
		f.inventory.Places = append(f.inventory.Places, ferry.Place{ID: placeOf(i, places), Region: ferry.RegionID(fmt.Sprint(i / 2))})
	}
	for i := range targets {
		f.inventory.Targets = append(f.inventory.Targets, ferry.Target{
			ID: ferry.TargetID(fmt.Sprintf("t-%02d", i)), Service: "s", Place: placeOf(i, places), Slots: 4,
		})
	}
	for i := range f.inventory.Targets {
		f.targets = append(f.targets, &f.inventory.Targets[i])
	}
	for i := range vms {
		v := &vm{index: i, place: placeOf(i, places), ejected: map[ferry.TargetID]bool{}}
		v.detector, v.ejector, v.follower = NewDetector(v.place), NewEjector(), NewFollower(v.place)
		v.detector.Apply(f.inventory)
		v.ejector.Apply(f.inventory.Services[0], f.targets)
		f.vms = append(f.vms, v)
	}
	return f
}

func placeOf(i, places int) ferry.PlaceID { return ferry.PlaceID(fmt.Sprintf("p-%d", i%places)) }

// epoch is the wall clock at the start of a test.
const epoch = 1000 * time.Hour

func (f *fleet) moment() ferry.Moment {
	return ferry.Moment{Monotonic: f.now, Wall: epoch + f.now}
}

// run lets the fleet work for the given time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.traffic()
		f.exchange()
		f.decide()
	}
}

// traffic sends the attempts of one step. VMs prefer targets of their place.
func (f *fleet) traffic() {
	for t, target := range f.targets {
		for range f.poisson(f.rate * step.Seconds()) {
			v := f.observer(target)
			if v == nil || v.ejected[target.ID] {
				continue
			}
			f.attempt(v, t)
		}
	}
}

// observer returns a random VM of the target's place, or any VM.
func (f *fleet) observer(target *ferry.Target) *vm {
	for range 4 * len(f.vms) {
		if v := f.vms[f.random.IntN(len(f.vms))]; v.place == target.Place {
			return v
		}
	}
	return f.vms[f.random.IntN(len(f.vms))]
}

// poisson returns a random number of events with the given mean.
func (f *fleet) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), f.random.Float64(), 0
	for product > limit {
		product *= f.random.Float64()
		count++
	}
	return count
}

func (f *fleet) attempt(v *vm, t int) {
	target := f.targets[t]
	b := f.behave(t, v.place)
	result := ferry.Result{Verdict: ferry.VerdictGood, Outcome: ferry.OutcomeDone, Load: -1}
	isBad := f.random.Float64() < b.errors
	key := [2]int{v.index, t}
	if isBad {
		result.Verdict = ferry.VerdictErrorStatus
		f.harmed++
		f.consecutive[key]++
	} else {
		f.consecutive[key] = 0
		result.FirstByte = time.Duration(max(1, b.slow) * (0.5 + 0.5*f.random.ExpFloat64()) * float64(10*time.Millisecond))
	}
	if _, done := f.firstBaseline[t]; !done && f.consecutive[key] >= baselineErrors {
		f.firstBaseline[t] = f.now
	}
	v.detector.Observe(f.moment(), target.ID, 0, result)
}

// exchange carries the reports of evidence.
func (f *fleet) exchange() {
	for _, v := range f.vms {
		report := v.detector.Report(f.moment())
		if !f.pooled || len(report) == 0 {
			continue
		}
		for _, other := range f.vms {
			if other != v && f.connected(v.index, other.index) {
				other.detector.Merge(f.moment(), v.place, report)
			}
		}
	}
}

// decide lets every VM with a right decide, and every VM obey.
func (f *fleet) decide() {
	for i, v := range f.vms {
		share := f.shares[i]
		if share == 0 {
			continue
		}
		ejections := v.ejector.Decide(f.moment(), v.detector, share)
		for _, other := range f.vms {
			if f.connected(v.index, other.index) {
				other.follower.ObeyFrom(f.moment(), ferry.VMID(fmt.Sprint(i)), f.moment(), ejections)
			}
		}
	}
	for _, v := range f.vms {
		v.ejected = map[ferry.TargetID]bool{}
		for _, ejection := range v.follower.Current(f.moment()) {
			if ejection.Stage == StageEjected {
				v.ejected[ejection.Target] = true
			}
		}
	}
}

// ejectedAnywhere returns the targets that any VM does not use.
func (f *fleet) ejectedAnywhere() map[ferry.TargetID]bool {
	union := map[ferry.TargetID]bool{}
	for _, v := range f.vms {
		for id := range v.ejected {
			union[id] = true
		}
	}
	return union
}

// awaitEjection runs until every VM of the place has ejected the target, and
// returns the time that it took, or the limit.
func (f *fleet) awaitEjection(target int, limit time.Duration) time.Duration {
	start := f.now
	for f.now-start < limit {
		f.run(step)
		if f.isEjected(target) {
			return f.now - start
		}
	}
	return limit
}

func (f *fleet) isEjected(target int) bool {
	for _, v := range f.vms {
		if v.place == f.targets[target].Place && !v.ejected[f.targets[target].ID] {
			return false
		}
	}
	return true
}
