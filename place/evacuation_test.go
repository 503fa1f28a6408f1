package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// evacuateWithin is the operators' bound in these tests.
const evacuateWithin = 5 * time.Second

// testView is a VM whose records were last proven to be current at provenAt.
type testView struct {
	chooser  *Chooser
	place    ferry.PlaceID
	provenAt time.Duration
	hasProof bool
	known    map[ferry.PlaceID]bool
}

// evacuationModel holds the store and the VMs with their different views of it.
type evacuationModel struct {
	now   time.Duration
	store map[ferry.PlaceID]time.Duration // the time of the acknowledgment
	list  []ferry.Target
	views []*testView
}

// sync brings the view of a VM up to date, as a read or a reply of its leader does.
func (m *evacuationModel) sync(v *testView) {
	known := map[ferry.PlaceID]bool{}
	for place := range m.store {
		known[place] = true
	}
	v.known = known
	v.chooser.SetEvacuated(m.now, known, EvacuationEnd(m.now, m.now-v.provenAt, v.hasProof, evacuateWithin))
	v.chooser.Update(m.now, m.list)
	v.provenAt, v.hasProof = m.now, true
}

func (m *evacuationModel) restart(v *testView) {
	*v = testView{place: v.place, chooser: NewChooser(v.place, regions)}
}

// allows reports whether both lists of homes allow the region.
func allows(homes Homes, region ferry.RegionID) bool {
	return (len(homes.Route) == 0 || slices.Contains(homes.Route, region)) &&
		(len(homes.Account) == 0 || slices.Contains(homes.Account, region))
}

// checkSend checks a request that v sends at now, after its choice or later.
func (m *evacuationModel) checkSend(t *rapid.T, v *testView, pick Pick, homes Homes) {
	region := regions[pick.Target.Place]
	if !allows(homes, region) {
		t.Fatalf("sent to %s outside the homes %v", region, homes)
	}
	// A VM that has not been in touch since the acknowledgment can't know of it.
	at, isEvacuated := m.store[pick.Target.Place]
	if isEvacuated && (v.provenAt > at || v.known[pick.Target.Place]) && m.now >= at+evacuateWithin-evacuationMargin {
		t.Fatalf("sent to %s %v after the acknowledgment", pick.Target.Place, m.now-at)
	}
}

// Whatever the VMs' views, requests never leave their homes, and a VM in touch sends
// none to an evacuated place close to the bound: choices, retries, trials, targets that
// were asked for, and requests whose connection took long to open.
func TestRandomEvacuations(t *testing.T) {
	t.Parallel()
	places := []ferry.PlaceID{"a1", "a2", "b1", "b2", "c1", "c2"}
	homeLists := [][]ferry.RegionID{nil, nil, {"a"}, {"b"}, {"a", "c"}, {"elsewhere"}}
	rapid.Check(t, func(t *rapid.T) {
		m := &evacuationModel{now: time.Minute, store: map[ferry.PlaceID]time.Duration{}}
		for _, place := range places {
			m.list = append(m.list, targets(place, 2)...)
			v := &testView{place: place}
			m.restart(v)
			m.views = append(m.views, v)
		}
		vm := func(t *rapid.T) *testView { return rapid.SampledFrom(m.views).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				place := rapid.SampledFrom(places).Draw(t, "place")
				if _, found := m.store[place]; !found {
					m.store[place] = m.now
				}
			},
			"take back": func(t *rapid.T) { delete(m.store, rapid.SampledFrom(places).Draw(t, "place")) },
			"sync":      func(t *rapid.T) { m.sync(vm(t)) },
			"restart":   func(t *rapid.T) { m.restart(vm(t)) },
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond
			},
			"new process": func(t *rapid.T) { m.list[rapid.IntRange(0, len(m.list)-1).Draw(t, "target")].Incarnation++ },
			"suspect": func(t *rapid.T) {
				vm(t).chooser.SetFleetLogOdds(map[ferry.TargetID]float64{rapid.SampledFrom(m.list).Draw(t, "target").ID: 3})
			},
			"ask": func(t *rapid.T) {
				vm(t).chooser.Ask(m.now, rapid.SampledFrom(m.list).Draw(t, "target").ID, time.Second)
			},
			"send": func(t *rapid.T) {
				v := vm(t)
				attempt := Attempt{
					Service: "s", IsRetryable: rapid.Bool().Draw(t, "retryable"),
					Homes: Homes{Route: rapid.SampledFrom(homeLists).Draw(t, "route"), Account: rapid.SampledFrom(homeLists).Draw(t, "account")},
				}
				for {
					pick, ok := v.chooser.Choose(m.now, attempt)
					if !ok {
						m.checkRefusal(t, v, attempt)
						return
					}
					m.checkSend(t, v, pick, attempt.Homes)
					attempt.Tried = append(attempt.Tried, pick.Target.ID)
					m.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "connecting")) * time.Millisecond
					if rapid.Bool().Draw(t, "meanwhile in touch") {
						m.sync(v)
					}
					if v.chooser.MaySend(m.now, pick) {
						m.checkSend(t, v, pick, attempt.Homes)
					}
					v.chooser.Release(m.now, pick, Report{Verdict: ferry.VerdictReset})
				}
			},
		})
	})
}

// checkRefusal checks that v tried every target that it was allowed to use, and the
// reason for which it refuses a first attempt.
func (m *evacuationModel) checkRefusal(t *rapid.T, v *testView, attempt Attempt) {
	inHomes, open := 0, 0
	for _, view := range v.chooser.List(m.now) {
		if !allows(attempt.Homes, regions[view.Target.Place]) {
			continue
		}
		inHomes++
		if !v.known[view.Target.Place] {
			open++
			if !slices.Contains(attempt.Tried, view.Target.ID) {
				t.Fatalf("%s was not tried", view.Target.ID)
			}
		}
	}
	if len(attempt.Tried) > 0 || !v.hasProof {
		return
	}
	want := ferry.ReasonEvacuated
	if inHomes == 0 {
		want = ferry.ReasonHomeRegion
	}
	if got := v.chooser.Shortage(m.now, attempt); got != want || open > 0 {
		t.Fatalf("refused with %s instead of %s, %d targets open", got, want, open)
	}
}

// partIn returns the part of 2000 choices at now that go to the place.
func partIn(is *is.I, c *Chooser, now time.Duration, place ferry.PlaceID) float64 {
	is.Helper()
	count := 0
	for range 2000 {
		pick, ok := c.Choose(now, Attempt{Service: "s"})
		is.True(ok)
		if pick.Target.Place == place {
			count++
		}
		c.Release(now, pick, Report{})
	}
	return float64(count) / 2000
}

// The requests of a VM in an evacuated place leave it evenly over the time that the
// bound leaves, and return when the evacuation is taken back. A VM that learned of it
// late has less time; one whose proof is older than the bound, or that has none since
// it has just started, sends nothing there.
func TestEvacuationIsGradual(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	start := time.Minute
	for _, test := range []struct {
		proofAge time.Duration
		hasProof bool
		takes    time.Duration
	}{
		{proofAge: 0, hasProof: true, takes: evacuateWithin - evacuationMargin},
		{proofAge: 2 * time.Second, hasProof: true, takes: evacuateWithin - evacuationMargin - 2*time.Second},
		{proofAge: 4 * time.Second, hasProof: true},
		{proofAge: time.Hour, hasProof: true},
		{},
	} {
		c := NewChooser("a1", regions)
		list := append(targets("a1", 4), targets("a2", 4)...)
		c.Update(0, list)
		is.Equal(partIn(is, c, start, "a1") > 0.75, true) // the nearest place gets most
		until := EvacuationEnd(start, test.proofAge, test.hasProof, evacuateWithin)
		is.Equal(until, start+test.takes)
		changes := c.SetEvacuated(start, map[ferry.PlaceID]bool{"a1": true}, until)
		is.Equal(changes, []EvacuationChange{{Evacuation: Evacuation{Place: "a1", Since: start, Until: until}}})
		is.Equal(len(c.SetEvacuated(start+time.Second, map[ferry.PlaceID]bool{"a1": true}, until+time.Second)), 0)
		before := partIn(is, c, start, "a1")
		for step := range 5 {
			part := partIn(is, c, start+test.takes*time.Duration(step)/4, "a1")
			if test.takes == 0 {
				is.Equal(part, 0.0)
				continue
			}
			want := before * (1 - float64(step)/4)
			is.True(part > want-0.06 && part < want+0.06)
		}
		is.Equal(partIn(is, c, start+time.Hour, "a1"), 0.0)
		changes = c.SetEvacuated(start+time.Hour, nil, 0)
		is.Equal(len(changes), 1)
		is.True(changes[0].IsOver)
		is.True(partIn(is, c, start+time.Hour, "a1") > 0.75)
	}
}

// While the other places are full, requests stay in the evacuated place until the
// evacuation is complete. Then they wait elsewhere.
func TestEvacuationHeedsRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, append(targets("a1", 4), targets("a2", 1)...))
	c.SetEvacuated(0, map[ferry.PlaceID]bool{"a1": true}, 4*time.Second)
	inPlace := map[bool]int{}
	choose := func(now time.Duration) {
		pick, ok := c.Choose(now, Attempt{Service: "s"})
		is.True(ok)
		inPlace[pick.Target.Place == "a1"]++
	}
	for range 48 {
		choose(4*time.Second - 1)
	}
	is.True(inPlace[true] > 8)  // a2 has 4 slots
	is.True(inPlace[false] > 8) // and takes a queue of about evacuationCost
	clear(inPlace)
	for range 48 {
		choose(4 * time.Second)
	}
	is.Equal(inPlace[true], 0)
}

// A place under evacuation does not count for the floor: the targets of the others do.
func TestEvacuatedTargetsDoNotCountForTheFloor(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, append(targets("a1", 10), targets("a2", 10)...))
	c.SetFloor(0.7)
	pooled := map[ferry.TargetID]float64{}
	for i := range 10 {
		pooled[ferry.TargetID(fmt.Sprintf("a2-%d", i))] = certainLogOdds - 0.1*float64(i+1)
	}
	c.SetFleetLogOdds(pooled)
	c.SetEvacuated(0, map[ferry.PlaceID]bool{"a1": true}, 0)
	used := map[ferry.TargetID]bool{}
	for i := range 400 {
		pick, ok := c.Choose(time.Second+time.Duration(i)*time.Millisecond, Attempt{Service: "s", IsRetryable: true})
		is.True(ok)
		used[pick.Target.ID] = true
		c.Release(0, pick, Report{})
	}
	is.True(len(used) >= 7)
}

// A request that picked a target whose entry changed, or vanished, before the place was
// evacuated isn't sent either.
func TestEvacuationWhileConnecting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	list := targets("a1", 1)
	c.Update(0, list)
	pick, ok := c.Choose(0, Attempt{Service: "s"})
	is.True(ok)
	c.Update(0, nil)
	c.SetEvacuated(0, map[ferry.PlaceID]bool{"a1": true}, time.Second)
	is.True(c.MaySend(time.Second-1, pick))
	is.True(!c.MaySend(time.Second, pick))
	// A target that appears in the evacuated place gets nothing.
	c.Update(time.Second, list)
	_, ok = c.Choose(time.Second, Attempt{Service: "s"})
	is.True(!ok)
	is.Equal(c.Shortage(time.Second, Attempt{Service: "s"}), ferry.ReasonEvacuated)
	_, isPaused := c.NextOpening(time.Second, Attempt{Service: "s"})
	is.True(!isPaused)
}

// A pause outside the homes says nothing about when a request may return.
func TestHomesAndPauses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, append(targets("a1", 1), targets("b1", 1)...))
	atHome, abroad := Attempt{Service: "s", Homes: Homes{Route: []ferry.RegionID{"a", "b"}, Account: []ferry.RegionID{"a"}}}, Attempt{Service: "s"}
	for range 2 {
		pick, _ := c.Choose(0, abroad)
		c.Heed(0, pick, Notice{Backoff: time.Second, Leaving: pick.Target.Place == "a1"})
		abroad.Tried = append(abroad.Tried, pick.Target.ID)
	}
	_, ok := c.Choose(0, atHome)
	is.True(!ok)
	_, isPaused := c.NextOpening(0, atHome)
	is.True(!isPaused)
	is.Equal(c.Shortage(0, atHome), ferry.ReasonHomeRegion)
	_, isPaused = c.NextOpening(0, Attempt{Service: "s"})
	is.True(isPaused)
	is.Equal(c.Shortage(0, Attempt{Service: "other"}), ferry.ReasonNoTarget)
}

// Regions beyond those that have a bit, and places without a region, are in no home.
func TestRegionsBeyondTheLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	many, list := ferry.Regions{}, []ferry.Target(nil)
	for i := range maxRegions + 6 {
		place := ferry.PlaceID(fmt.Sprintf("p%03d", i))
		many[place] = ferry.RegionID("r" + place)
		list = append(list, targets(place, 1)...)
	}
	c := NewChooser("p000", many)
	c.Update(0, append(list, targets("nowhere", 1)...))
	served := 0
	for place, region := range many {
		pick, ok := c.Choose(0, Attempt{Service: "s", Homes: Homes{Route: []ferry.RegionID{region}}})
		if ok {
			is.Equal(pick.Target.Place, place)
			served++
		}
	}
	is.Equal(served, maxRegions)
	_, ok := c.Choose(0, Attempt{Service: "s", Homes: Homes{Route: []ferry.RegionID{""}}})
	is.True(!ok)
}

// BenchmarkChoose measures a choice, without and with homes and an evacuation in
// progress. The homes allow all targets, so that none is skipped.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{45, 324} {
		for _, isLimited := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/limited=%v", count, isLimited), func(b *testing.B) {
				var list []ferry.Target
				for _, place := range []ferry.PlaceID{"a1", "b1", "c1"} {
					list = append(list, targets(place, count/3)...)
				}
				c := NewChooser("a1", regions)
				c.Update(0, list)
				attempt := Attempt{Service: "s"}
				if isLimited {
					attempt.Homes = Homes{Route: []ferry.RegionID{"c", "b", "a"}, Account: []ferry.RegionID{"b", "c", "a"}}
					c.SetEvacuated(0, map[ferry.PlaceID]bool{"b1": true}, time.Hour)
				}
				b.ReportAllocs()
				for b.Loop() {
					pick, _ := c.Choose(time.Second, attempt)
					c.Release(time.Second, pick, Report{})
				}
			})
		}
	}
}
