package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// healthy is the behavior of a target without a fault.
var healthy = behavior{errorShare: ferry.DefaultBaselineErrors}

// faultyTarget returns the behavior of a fleet in which one target is faulty.
func faultyTarget(faulty int, b behavior) func(int, ferry.PlaceID) behavior {
	return func(target int, _ ferry.PlaceID) behavior {
		if target == faulty {
			return b
		}
		return healthy
	}
}

// TestGrayTargetsAreEjected gives one target a fault that a health endpoint
// does not report, and expects only that target to be ejected.
func TestGrayTargetsAreEjected(t *testing.T) {
	cases := []struct {
		name  string
		fault behavior
		limit time.Duration
	}{
		{"5% errors", behavior{errorShare: 0.05}, 60 * time.Second},
		{"20% errors", behavior{errorShare: 0.2}, 10 * time.Second},
		{"only errors", behavior{errorShare: 1}, 3 * time.Second},
		{"3 times slower", behavior{errorShare: healthy.errorShare, slowdown: 3}, 20 * time.Second},
		{"10 times slower", behavior{errorShare: healthy.errorShare, slowdown: 10}, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				f := newFleet(seed, 12, 6, 25, 20)
				f.run(20 * time.Second)
				is.Equal(len(f.ejectedAnywhere()), 0) // no false ejection before the fault
				f.behaviorOf = faultyTarget(3, c.fault)
				is.True(f.awaitEjection(3, c.limit) < c.limit)
				is.Equal(len(f.ejectedAnywhere()), 1)
			}
		})
	}
}

// TestWholeServiceFails makes all targets fail in the same way at the same
// time. No target is ejected.
func TestWholeServiceFails(t *testing.T) {
	for name, b := range map[string]behavior{
		"10 times slower": {errorShare: healthy.errorShare, slowdown: 10}, "30% errors": {errorShare: 0.3}, "only errors": {errorShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(8) {
				f := newFleet(seed, 12, 6, 25, 20)
				f.run(10 * time.Second)
				f.behaviorOf = func(int, ferry.PlaceID) behavior { return b }
				for range 200 {
					f.run(step)
					is.Equal(len(f.ejectedAnywhere()), 0)
				}
			}
		})
	}
}

// TestFloor makes more targets gray than the floor allows to be ejected, with
// one coordinator and with two on the two sides of a partition.
func TestFloor(t *testing.T) {
	for name, isPartitioned := range map[string]bool{"one coordinator": false, "two coordinators": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 12, 6, 25, 20)
			f.inventory.Services[0].Rules.Floor = 0.8
			for _, v := range f.vms {
				v.ejector.Apply(f.inventory.Services[0], f.targets)
			}
			// Different targets are gray for the two sides, so that their
			// detectors suspect different targets.
			f.behaviorOf = func(target int, place ferry.PlaceID) behavior {
				side := int(place[len(place)-1]-'0') / 3
				if (!isPartitioned && target < 7) || (isPartitioned && target < 14 && target%2 == side) {
					return behavior{errorShare: 0.5}
				}
				return healthy
			}
			if isPartitioned {
				side := func(i int) int { return (i % 6) / 3 }
				f.connected = func(from, to int) bool { return side(from) == side(to) }
				f.shares = map[int]float64{0: 0.5, 3: 0.5}
			}
			maxEjected := 0
			for range 300 {
				f.run(step)
				maxEjected = max(maxEjected, len(f.ejectedAnywhere()))
			}
			// Seven targets are gray, or seven on each side. The floor allows five
			// ejections over all VMs, and half of the budget is enough for two.
			want := 5
			if isPartitioned {
				want = 4
			}
			is.Equal(maxEjected, want)
		})
	}
}

// TestOneWayFault makes a target unreachable from one place only. Only VMs of
// that place stop using the target.
func TestOneWayFault(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, 6, 25, 20)
	// All places use all targets, since none is in a place of the fleet.
	for _, target := range f.targets {
		target.Place = "elsewhere"
	}
	f.behaviorOf = func(target int, place ferry.PlaceID) behavior {
		if target == 3 && place == "p-0" {
			return behavior{errorShare: 1}
		}
		return healthy
	}
	f.run(10 * time.Second)
	for _, v := range f.vms {
		is.Equal(v.ejected["t-03"], v.place == "p-0")
	}
}

// TestReadmission ends a fault. The target returns through trial and slow
// start; with repeated faults, each ejection lasts longer.
func TestReadmission(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6, 6, 12, 40)
	f.behaviorOf = faultyTarget(2, behavior{errorShare: 0.5})
	is.True(f.awaitEjection(2, 10*time.Second) < 10*time.Second)
	f.behaviorOf = func(int, ferry.PlaceID) behavior { return healthy }
	stages := f.stages(2, 40*time.Second)
	is.Equal(stages, []string{"Ejected", "Trial", "SlowStart", "none"})

	f.behaviorOf = faultyTarget(2, behavior{errorShare: 0.5})
	f.awaitEjection(2, 10*time.Second)
	is.Equal(f.vms[0].ejector.decisions["t-02"].ejection.PriorEjections, 1)
	f.run(60 * time.Second)
	is.True(f.vms[0].ejector.decisions["t-02"].ejection.PriorEjections >= 3) // every trial failed
}

// stages returns the stages that a target enters in the given time.
func (f *fleet) stages(target int, d time.Duration) []string {
	var stages []string
	for end := f.now + d; f.now < end; {
		stage := "none"
		if decision := f.vms[0].ejector.decisions[f.targets[target].ID]; decision != nil {
			stage = decision.ejection.Stage.String()
		}
		if len(stages) == 0 || stages[len(stages)-1] != stage {
			stages = append(stages, stage)
		}
		f.run(step)
	}
	return stages
}

// TestEjectionsAreLeases freezes a VM. When it resumes, it applies no old
// ejection, even if its monotonic clock had stopped or a message arrives late.
func TestEjectionsAreLeases(t *testing.T) {
	is := is.New(t)
	moment := func(monotonic, wall time.Duration) ferry.Moment {
		return ferry.Moment{Monotonic: monotonic, Wall: epoch + wall}
	}
	table := NewEjectionTable("p-0")
	list := []Ejection{{Target: "t-00"}}
	table.RecordHeartbeat(moment(0, 0), "coordinator", 1)
	table.Renew(moment(time.Second, time.Second), "coordinator", 1, list)
	is.Equal(len(table.Active(moment(time.Second, time.Second))), 1)
	is.Equal(len(table.Active(moment(EjectionLifetime, EjectionLifetime))), 0)
	is.Equal(len(table.Active(moment(time.Second, EjectionLifetime))), 0) // the monotonic clock had stopped
	table.Renew(moment(10*time.Second, 10*time.Second), "coordinator", 1, list)
	is.Equal(len(table.Active(moment(10*time.Second, 10*time.Second))), 0) // a late message
	table.Renew(moment(10*time.Second, 10*time.Second), "coordinator", 9, list)
	is.Equal(len(table.Active(moment(10*time.Second, 10*time.Second))), 0) // an unknown heartbeat
	table.RecordHeartbeat(moment(10*time.Second, 10*time.Second), "coordinator", 2)
	table.Renew(moment(10*time.Second, 10*time.Second), "coordinator", 2, []Ejection{{Target: "t-00", Place: "p-1"}})
	is.Equal(len(table.Active(moment(10*time.Second, 10*time.Second))), 0) // an ejection for another place
}

// TestNewCoordinatorAdopts continues the ejections of a lost coordinator.
func TestNewCoordinatorAdopts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6, 6, 12, 40)
	f.behaviorOf = faultyTarget(2, behavior{errorShare: 0.5})
	f.awaitEjection(2, 10*time.Second)
	last := f.vms[1].table.LastKnown(f.moment(), f.targets)
	is.Equal(len(last), 1)
	f.vms[1].ejector.Adopt(f.moment(), last)
	ejections := f.vms[1].ejector.Decide(f.moment(), f.vms[1].detector, 1)
	is.Equal(len(ejections), 1)
	is.Equal(len(f.vms[1].ejector.Decide(f.moment(), f.vms[1].detector, 0)), 0) // no ejection without a budget
}

// TestBudgetRoundsDown computes the budget in whole slots, rounded down.
func TestBudgetRoundsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 10, 1)
	is.Equal(f.vms[0].ejector.budget(1), 16)    // 40% of 40 slots
	is.Equal(f.vms[0].ejector.budget(0.5), 8)   // half of the budget
	is.Equal(f.vms[0].ejector.budget(0.99), 15) // 15.84 rounded down
	is.Equal(f.vms[0].ejector.budget(0), 0)
}

// BenchmarkDetection measures the time from a fault to the ejection on every
// VM of the place, compared with the baseline of issue 6.
func BenchmarkDetection(b *testing.B) {
	for _, fault := range []struct {
		name string
		b    behavior
	}{
		{"err5", behavior{errorShare: 0.05}},
		{"err20", behavior{errorShare: 0.2}},
		{"err100", behavior{errorShare: 1}},
		{"slow3", behavior{errorShare: healthy.errorShare, slowdown: 3}},
		{"slow10", behavior{errorShare: healthy.errorShare, slowdown: 10}},
	} {
		for _, rate := range []float64{10, 50} {
			for _, pooled := range []bool{true, false} {
				b.Run(fmt.Sprintf("%s/rate=%v/pooled=%v", fault.name, rate, pooled), func(b *testing.B) {
					for range b.N {
						measureDetection(b, fault.b, rate, pooled)
					}
				})
			}
		}
	}
}

// detectionRuns is the number of simulated faults in one measurement.
const detectionRuns = 15

func measureDetection(b *testing.B, fault behavior, rate float64, pooled bool) {
	const limit = 60 * time.Second
	var detected, baseline []time.Duration
	for seed := range uint64(detectionRuns) {
		f := newFleet(seed, 36, 6, 25, rate)
		f.pooled = pooled
		f.run(5 * time.Second)
		f.baselineEjections = map[int]time.Duration{}
		f.behaviorOf = faultyTarget(3, fault)
		start := f.now
		if !pooled {
			detected = append(detected, f.awaitSuspicion(3, limit))
		} else {
			detected = append(detected, f.awaitEjection(3, limit))
		}
		f.vms, f.shares = f.vms[:len(f.vms):len(f.vms)], nil
		for _, ok := f.baselineEjections[3]; !ok && f.now-start < limit; _, ok = f.baselineEjections[3] {
			f.run(step)
		}
		ejectedAt, ok := f.baselineEjections[3]
		if !ok {
			ejectedAt = start + limit
		}
		baseline = append(baseline, ejectedAt-start)
	}
	slices.Sort(detected)
	slices.Sort(baseline)
	b.ReportMetric(detected[detectionRuns/2].Seconds(), "s50")
	b.ReportMetric(detected[detectionRuns-1].Seconds(), "smax")
	b.ReportMetric(baseline[detectionRuns/2].Seconds(), "base50")
	b.ReportMetric(baseline[detectionRuns-1].Seconds(), "basemax")
}

// awaitSuspicion runs until every VM of the place suspects the target from its
// own attempts, and returns the time that it took, or the limit.
func (f *fleet) awaitSuspicion(target int, limit time.Duration) time.Duration {
	start := f.now
	for f.now-start < limit {
		f.run(step)
		all := true
		for _, v := range f.vms {
			isSuspect := slices.ContainsFunc(v.detector.Suspects(f.moment(), "s"), func(s Suspect) bool {
				return s.Target == f.targets[target]
			})
			all = all && (v.place != f.targets[target].Place || isSuspect)
		}
		if all {
			return f.now - start
		}
	}
	return limit
}

// BenchmarkFalseEjections measures the ejections per day without a fault.
func BenchmarkFalseEjections(b *testing.B) {
	const hours = 1
	for range b.N {
		f := newFleet(1, 6, 6, 35, 50)
		ejections := 0
		for range int(hours * time.Hour / step) {
			before := len(f.ejectedAnywhere())
			f.run(step)
			ejections += max(0, len(f.ejectedAnywhere())-before)
		}
		b.ReportMetric(float64(ejections)/hours*24, "ejections/day")
		b.ReportMetric(f.rate*35*hours*3600, "attempts")
	}
}

// BenchmarkObserve measures Observe with different numbers of targets.
func BenchmarkObserve(b *testing.B) {
	for _, targets := range []int{25, 250, 5900} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := newFleet(1, 1, 1, targets, 1)
			result := ferry.Result{Verdict: ferry.VerdictGood, FirstByte: 10 * time.Millisecond}
			for i := 0; b.Loop(); i++ {
				f.now += time.Millisecond
				f.vms[0].detector.Observe(f.moment(), f.targets[i%targets].ID, 0, result)
			}
		})
	}
}
