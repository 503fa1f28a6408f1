package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"monsoonferry.org/ferry"
)

// behavior describes the responses of a target.
type behavior struct {
	errorShare float64
	// slowdown multiplies the response time; values below 1 count as 1.
	slowdown float64
}

// fleet simulates the VMs and targets of one service. Its clock is virtual;
// runs with the same seed give the same results.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	vms       []*vm
	inventory *ferry.Inventory
	targets   []*ferry.Target
	// behaviorOf returns the behavior of a target for requests from a place.
	behaviorOf func(target int, place ferry.PlaceID) behavior
	// rate is the number of attempts per second on each target.
	rate float64
	// pooled reports whether the VMs exchange their increments.
	pooled bool
	// shares holds the shares of the budget by VM; VM 0 has all by default.
	shares map[int]float64
	// connected reports whether messages from one VM reach another.
	connected func(from, to int) bool
	// consecutiveErrors counts errors by VM and target, for the baseline.
	consecutiveErrors map[[2]int]int
	// baselineEjections holds the time of the baseline's first ejection by target.
	baselineEjections map[int]time.Duration
	failedAttempts    int
}

type vm struct {
	index    int
	place    ferry.PlaceID
	detector *Detector
	ejector  *Ejector
	table    *EjectionTable
	ejected  map[ferry.TargetID]bool
}

// baselineErrorLimit is the number of consecutive errors at which the baseline
// of issue 6 ejects a target.
const baselineErrorLimit = 5

// step is the time between two reports.
const step = 100 * time.Millisecond

func newFleet(seed uint64, vms, places, targets int, rate float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), rate: rate, pooled: true,
		behaviorOf:        func(int, ferry.PlaceID) behavior { return behavior{errorShare: ferry.DefaultBaselineErrors} },
		shares:            map[int]float64{0: 1},
		connected:         func(int, int) bool { return true },
		consecutiveErrors: map[[2]int]int{}, baselineEjections: map[int]time.Duration{},
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
		v.detector, v.ejector, v.table = NewDetector(v.place), NewEjector(), NewEjectionTable(v.place)
		v.detector.Apply(f.inventory)
		v.ejector.Apply(f.inventory.Services[0], f.targets)
		f.vms = append(f.vms, v)
	}
	return f
}

func placeOf(i, places int) ferry.PlaceID { return ferry.PlaceID(fmt.Sprintf("p-%d", i%places)) }

// epoch is the wall time at the start of a test.
const epoch = 1000 * time.Hour

func (f *fleet) moment() ferry.Moment {
	return ferry.Moment{Monotonic: f.now, Wall: epoch + f.now}
}

// run simulates the fleet for the given time.
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

// observer returns a random VM of the target's place or, rarely, of any place.
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
	b := f.behaviorOf(t, v.place)
	result := ferry.Result{Verdict: ferry.VerdictGood, Outcome: ferry.OutcomeDone, Load: -1}
	isBad := f.random.Float64() < b.errorShare
	key := [2]int{v.index, t}
	if isBad {
		result.Verdict = ferry.VerdictErrorStatus
		f.failedAttempts++
		f.consecutiveErrors[key]++
	} else {
		f.consecutiveErrors[key] = 0
		result.FirstByte = time.Duration(max(1, b.slowdown) * (0.5 + 0.5*f.random.ExpFloat64()) * float64(10*time.Millisecond))
	}
	if _, done := f.baselineEjections[t]; !done && f.consecutiveErrors[key] >= baselineErrorLimit {
		f.baselineEjections[t] = f.now
	}
	v.detector.Observe(f.moment(), target.ID, 0, result)
}

// exchange delivers the reports of all VMs.
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

// decide runs the ejector of every VM with a share and distributes the result.
func (f *fleet) decide() {
	for i, v := range f.vms {
		share := f.shares[i]
		if share == 0 {
			continue
		}
		ejections := v.ejector.Decide(f.moment(), v.detector, share)
		for _, other := range f.vms {
			if f.connected(v.index, other.index) {
				other.table.RenewFrom(f.moment(), ferry.VMID(fmt.Sprint(i)), f.moment(), ejections)
			}
		}
	}
	for _, v := range f.vms {
		v.ejected = map[ferry.TargetID]bool{}
		for _, ejection := range v.table.Active(f.moment()) {
			if ejection.Stage == StageEjected {
				v.ejected[ejection.Target] = true
			}
		}
	}
}

// ejectedAnywhere returns the targets that are ejected on at least one VM.
func (f *fleet) ejectedAnywhere() map[ferry.TargetID]bool {
	union := map[ferry.TargetID]bool{}
	for _, v := range f.vms {
		for id := range v.ejected {
			union[id] = true
		}
	}
	return union
}

// awaitEjection runs until the target is ejected on every VM of its place, and
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
