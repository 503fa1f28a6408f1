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
var healthy = behavior{errors: ferry.DefaultBaselineErrors}

// onlyTarget gives one target a behavior.
func onlyTarget(bad int, b behavior) func(int, ferry.PlaceID) behavior {
	return func(target int, _ ferry.PlaceID) behavior {
		if target == bad {
			return b
		}
		return healthy
	}
}

// TestGrayTargetsAreEjected brings about faults that a health endpoint does
// not show, and expects the faulty target alone to be ejected.
func TestGrayTargetsAreEjected(t *testing.T) {
	cases := []struct {
		name  string
		fault behavior
		limit time.Duration
	}{
		{"errs at 5%", behavior{errors: 0.05}, 60 * time.Second},
		{"errs at 20%", behavior{errors: 0.2}, 10 * time.Second},
		{"errs always", behavior{errors: 1}, 3 * time.Second},
		{"slow by 3", behavior{errors: healthy.errors, slow: 3}, 20 * time.Second},
		{"slow by 10", behavior{errors: healthy.errors, slow: 10}, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				f := newFleet(seed, 12, 6, 25, 20)
				f.run(20 * time.Second)
				is.Equal(len(f.ejectedAnywhere()), 0) // no false ejection before the fault
				f.behave = onlyTarget(3, c.fault)
				is.True(f.awaitEjection(3, c.limit) < c.limit)
				is.Equal(len(f.ejectedAnywhere()), 1)
			}
		})
	}
}

// TestWholeServiceFails makes every target fail in the same way at once. None
// is ejected.
func TestWholeServiceFails(t *testing.T) {
	for name, b := range map[string]behavior{
		"slow by 10": {errors: healthy.errors, slow: 10}, "errs at 30%": {errors: 0.3}, "errs always": {errors: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(8) {
				f := newFleet(seed, 12, 6, 25, 20)
				f.run(10 * time.Second)
				f.behave = func(int, ferry.PlaceID) behavior { return b }
				for range 200 {
					f.run(step)
					is.Equal(len(f.ejectedAnywhere()), 0)
				}
			}
		})
	}
}

// TestFloor makes more targets gray than the floor allows to eject, with all
// rights at one VM and with two deciders on the two sides of a partition.
func TestFloor(t *testing.T) {
	for name, split := range map[string]bool{"one decider": false, "two deciders": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 12, 6, 25, 20)
			f.inventory.Services[0].Rules.Floor = 0.8
			for _, v := range f.vms {
				v.ejector.Apply(f.inventory.Services[0], f.targets)
			}
			// Each side sees other targets as gray, so that their views differ.
			f.behave = func(target int, place ferry.PlaceID) behavior {
				side := int(place[len(place)-1]-'0') / 3
				if (!split && target < 7) || (split && target < 14 && target%2 == side) {
					return behavior{errors: 0.5}
				}
				return healthy
			}
			if split {
				side := func(i int) int { return (i % 6) / 3 }
				f.connected = func(from, to int) bool { return side(from) == side(to) }
				f.shares = map[int]float64{0: 0.5, 3: 0.5}
			}
			most := 0
			for range 300 {
				f.run(step)
				most = max(most, len(f.ejectedAnywhere()))
			}
			// Seven targets are gray, or seven on each side, and the floor lets five
			// go, on the union of all views. Half of the right is enough for two.
			want := 5
			if split {
				want = 4
			}
			is.Equal(most, want)
		})
	}
}

// TestOneWayFault lets one place alone fail to reach a target. Only that place
// stops using it.
func TestOneWayFault(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, 6, 25, 20)
	// All places use all targets here.
	for _, target := range f.targets {
		target.Place = "elsewhere"
	}
	f.behave = func(target int, place ferry.PlaceID) behavior {
		if target == 3 && place == "p-0" {
			return behavior{errors: 1}
		}
		return healthy
	}
	f.run(10 * time.Second)
	for _, v := range f.vms {
		is.Equal(v.ejected["t-03"], v.place == "p-0")
	}
}

// TestReadmission lets a fault end. The target comes back through trial and
// slow start; a flapping one stays away longer each time.
func TestReadmission(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6, 6, 12, 40)
	f.behave = onlyTarget(2, behavior{errors: 0.5})
	is.True(f.awaitEjection(2, 10*time.Second) < 10*time.Second)
	f.behave = func(int, ferry.PlaceID) behavior { return healthy }
	stages := f.stages(2, 40*time.Second)
	is.Equal(stages, []string{"Ejected", "Trial", "SlowStart", "none"})

	f.behave = onlyTarget(2, behavior{errors: 0.5})
	f.awaitEjection(2, 10*time.Second)
	is.Equal(f.vms[0].ejector.decisions["t-02"].ejection.Relapses, 1)
	f.run(60 * time.Second)
	is.True(f.vms[0].ejector.decisions["t-02"].ejection.Relapses >= 3) // each trial failed
}

// stages returns the stages that a target goes through.
func (f *fleet) stages(target int, d time.Duration) []string {
	var seen []string
	for end := f.now + d; f.now < end; {
		stage := "none"
		if decision := f.vms[0].ejector.decisions[f.targets[target].ID]; decision != nil {
			stage = decision.ejection.Stage.String()
		}
		if len(seen) == 0 || seen[len(seen)-1] != stage {
			seen = append(seen, stage)
		}
		f.run(step)
	}
	return seen
}

// TestEjectionsAreLeases freezes a VM. When it wakes, it obeys nothing old,
// also when its steady clock stood still or a message comes late.
func TestEjectionsAreLeases(t *testing.T) {
	is := is.New(t)
	at := func(steady, wall time.Duration) ferry.Moment {
		return ferry.Moment{Monotonic: steady, Wall: epoch + wall}
	}
	f := NewFollower("p-0")
	list := []Ejection{{Target: "t-00"}}
	f.Sent(at(0, 0), "decider", 1)
	f.Obey(at(time.Second, time.Second), "decider", 1, list)
	is.Equal(len(f.Current(at(time.Second, time.Second))), 1)
	is.Equal(len(f.Current(at(EjectionLife, EjectionLife))), 0)
	is.Equal(len(f.Current(at(time.Second, EjectionLife))), 0) // the steady clock stood still
	f.Obey(at(10*time.Second, 10*time.Second), "decider", 1, list)
	is.Equal(len(f.Current(at(10*time.Second, 10*time.Second))), 0) // a late message
	f.Obey(at(10*time.Second, 10*time.Second), "decider", 9, list)
	is.Equal(len(f.Current(at(10*time.Second, 10*time.Second))), 0) // an unknown heartbeat
	f.Sent(at(10*time.Second, 10*time.Second), "decider", 2)
	f.Obey(at(10*time.Second, 10*time.Second), "decider", 2, []Ejection{{Target: "t-00", Place: "p-1"}})
	is.Equal(len(f.Current(at(10*time.Second, 10*time.Second))), 0) // another place's ejection
}

// TestNewDeciderAdopts continues the ejections of a decider that was lost.
func TestNewDeciderAdopts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6, 6, 12, 40)
	f.behave = onlyTarget(2, behavior{errors: 0.5})
	f.awaitEjection(2, 10*time.Second)
	last := f.vms[1].follower.Last(f.moment(), f.targets)
	is.Equal(len(last), 1)
	f.vms[1].ejector.Adopt(f.moment(), last)
	ejections := f.vms[1].ejector.Decide(f.moment(), f.vms[1].detector, 1)
	is.Equal(len(ejections), 1)
	is.Equal(len(f.vms[1].ejector.Decide(f.moment(), f.vms[1].detector, 0)), 0) // without a right there is no ejection
}

// TestBudgetRoundsDown never rounds the right to eject up.
func TestBudgetRoundsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 10, 1)
	is.Equal(f.vms[0].ejector.budget(1), 16)    // 40% of 40 slots
	is.Equal(f.vms[0].ejector.budget(0.5), 8)   // half of the right
	is.Equal(f.vms[0].ejector.budget(0.99), 15) // never more than the share
	is.Equal(f.vms[0].ejector.budget(0), 0)
}

// BenchmarkDetection measures the time from a fault to the ejection on every
// VM of the place, against the baselines of issue 6.
func BenchmarkDetection(b *testing.B) {
	for _, fault := range []struct {
		name string
		b    behavior
	}{
		{"err5", behavior{errors: 0.05}},
		{"err20", behavior{errors: 0.2}},
		{"err100", behavior{errors: 1}},
		{"slow3", behavior{errors: healthy.errors, slow: 3}},
		{"slow10", behavior{errors: healthy.errors, slow: 10}},
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

// detectionRuns is the number of faults in one measurement.
const detectionRuns = 15

func measureDetection(b *testing.B, fault behavior, rate float64, pooled bool) {
	const limit = 60 * time.Second
	var ours, baseline []time.Duration
	for seed := range uint64(detectionRuns) {
		f := newFleet(seed, 36, 6, 25, rate)
		f.pooled = pooled
		f.run(5 * time.Second)
		f.firstBaseline = map[int]time.Duration{}
		f.behave = onlyTarget(3, fault)
		start := f.now
		if !pooled {
			ours = append(ours, f.awaitSuspicion(3, limit))
		} else {
			ours = append(ours, f.awaitEjection(3, limit))
		}
		f.vms, f.shares = f.vms[:len(f.vms):len(f.vms)], nil
		for _, ok := f.firstBaseline[3]; !ok && f.now-start < limit; _, ok = f.firstBaseline[3] {
			f.run(step)
		}
		at, ok := f.firstBaseline[3]
		if !ok {
			at = start + limit
		}
		baseline = append(baseline, at-start)
	}
	slices.Sort(ours)
	slices.Sort(baseline)
	b.ReportMetric(ours[detectionRuns/2].Seconds(), "s50")
	b.ReportMetric(ours[detectionRuns-1].Seconds(), "smax")
	b.ReportMetric(baseline[detectionRuns/2].Seconds(), "base50")
	b.ReportMetric(baseline[detectionRuns-1].Seconds(), "basemax")
}

// awaitSuspicion runs until every VM of the place suspects the target from its
// own evidence.
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

// BenchmarkFalseEjections counts ejections without any fault, per day.
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

// BenchmarkObserve measures one result against the number of targets.
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
