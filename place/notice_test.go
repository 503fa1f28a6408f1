package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// chooseOnly chooses a target and ends the attempt at once.
func chooseOnly(c *Chooser, now time.Duration) (Pick, bool) {
	pick, ok := c.Choose(now, Attempt{Service: "s"})
	if ok {
		c.Release(now, pick, Report{})
	}
	return pick, ok
}

// A process that said that it is leaving gets nothing more, whatever its entry says
// later: still ready, changed, gone for a while. Its next process starts anew.
func TestLeavingOutlivesEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	list := targets("a1", 1)
	c.Update(0, list)
	pick, ok := c.Choose(0, Attempt{Service: "s"})
	is.True(ok)
	is.True(c.Heed(0, pick, Notice{Leaving: true}).IsLeaving)
	is.True(!c.Heed(0, pick, Notice{Leaving: true}).IsLeaving) // it is no news
	is.True(!c.MaySend(0, pick))
	c.Release(0, pick, Report{Verdict: ferry.VerdictGood})
	is.Equal(c.List(0)[0].LogOdds <= priorLogOdds, true) // no evidence
	changed := targets("a1", 1)
	changed[0].Slots = 8
	for i, entries := range [][]ferry.Target{list, changed, nil, list} {
		now := time.Duration(i+1) * time.Minute
		c.Update(now, entries)
		_, ok = chooseOnly(c, now)
		is.True(!ok)
	}
	// A notice of an attempt that began before the entry changed counts too.
	c = NewChooser("a1", regions)
	c.Update(0, list)
	pick, _ = c.Choose(0, Attempt{Service: "s"})
	c.Update(0, changed)
	c.Heed(0, pick, Notice{Leaving: true})
	_, ok = chooseOnly(c, 0)
	is.True(!ok)
	next := targets("a1", 1)
	next[0].Incarnation++
	c.Update(time.Hour, next)
	_, ok = chooseOnly(c, time.Hour)
	is.True(ok)
}

// A pause never ends before the latest of the times that the target asked for, except
// that absurd times end after maxBackoff.
func TestPauses(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		notices []time.Duration
		until   time.Duration
	}{
		{"one", []time.Duration{2 * time.Second}, 2 * time.Second},
		{"repeated", []time.Duration{2 * time.Second, 2 * time.Second}, 2 * time.Second},
		{"longer", []time.Duration{2 * time.Second, 5 * time.Second}, 5 * time.Second},
		{"shorter", []time.Duration{5 * time.Second, time.Second}, 5 * time.Second},
		{"absurd", []time.Duration{24 * time.Hour}, maxBackoff},
		{"none", []time.Duration{0, -time.Second}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := NewChooser("a1", regions)
			c.Update(0, targets("a1", 1))
			pick, _ := c.Choose(0, Attempt{Service: "s"})
			c.Release(0, pick, Report{Verdict: ferry.VerdictShed})
			for _, pause := range test.notices {
				c.Heed(0, pick, Notice{Backoff: pause})
			}
			for at := time.Duration(0); at < test.until; at += test.until / 8 {
				_, ok := chooseOnly(c, at)
				is.True(!ok)
				wait, isPaused := c.NextOpening(at, Attempt{Service: "s"})
				is.True(isPaused)
				is.Equal(wait, test.until-at)
			}
			_, isPaused := c.NextOpening(test.until, Attempt{Service: "s"})
			is.True(!isPaused)
			_, ok := chooseOnly(c, test.until)
			is.True(ok)
			is.True(c.List(test.until)[0].LogOdds <= priorLogOdds)
		})
	}
}

// While targets are in a pause, the others share their requests as before: neither
// the floor nor trials of suspects send one to a target in a pause.
func TestPausesAndFloor(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.SetFloor(0.7)
	c.SetPlaceVMs(1)
	c.Update(0, targets("a1", 20))
	pooled := map[ferry.TargetID]float64{}
	paused := map[ferry.TargetID]bool{}
	for i := range 8 {
		id := ferry.TargetID(fmt.Sprintf("a1-%d", i))
		pooled[id], paused[id] = 2, true
	}
	c.SetFleetLogOdds(pooled)
	var open []Pick
	for len(paused) > 0 {
		pick, ok := c.Choose(0, Attempt{Service: "s", IsRetryable: true})
		is.True(ok)
		if paused[pick.Target.ID] {
			c.Heed(0, pick, Notice{Backoff: time.Minute})
			delete(paused, pick.Target.ID)
		}
		open = append(open, pick)
	}
	for _, pick := range open {
		c.Release(0, pick, Report{})
	}
	counts := map[ferry.TargetID]int{}
	for i := range 2000 {
		now := time.Duration(i) * 20 * time.Millisecond
		pick, ok := c.Choose(now, Attempt{Service: "s", IsRetryable: i%2 == 0})
		is.True(ok)
		counts[pick.Target.ID]++
		c.Release(now, pick, Report{Verdict: ferry.VerdictGood, Took: 100 * time.Millisecond})
	}
	is.Equal(len(counts), 12)
	for id := range counts {
		is.True(pooled[id] == 0)
	}
	_, isPaused := c.NextOpening(time.Second, Attempt{Service: "s"})
	is.True(isPaused)
}

// Equal seeds and events lead to equal choices.
func TestChoicesAreDeterministic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	play := func(seed uint64) (choices []ferry.TargetID) {
		c := NewChooser("a1", regions)
		c.SetSeed(seed)
		c.Update(0, append(targets("a1", 9), targets("a2", 9)...))
		for i := range 300 {
			now := time.Duration(i) * 7 * time.Millisecond
			pick, _ := c.Choose(now, Attempt{Service: "s", IsRetryable: i%3 == 0})
			choices = append(choices, pick.Target.ID)
			if i%2 == 0 {
				c.Release(now, pick, Report{Verdict: ferry.Verdict(i % 5), Took: time.Duration(i) * time.Millisecond})
			}
		}
		return choices
	}
	is.Equal(play(1), play(1))
	is.True(fmt.Sprint(play(1)) != fmt.Sprint(play(2)))
}

// A target whose entry claims thousands of slots gets no more than its share once it
// reports its true number, and does not spoil the averages of the service.
func TestClaimedSlots(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	list := targets("a1", 8)
	list[0].Slots = 10_000
	c.Update(0, list)
	counts := map[ferry.TargetID]int{}
	var open []Pick
	for i := range 800 {
		now := time.Duration(i) * 10 * time.Millisecond
		pick, _ := c.Choose(now, Attempt{Service: "s"})
		counts[pick.Target.ID]++
		if open = append(open, pick); len(open) == 24 {
			done := open[0]
			open = open[1:]
			running := 0
			for _, other := range open {
				if other.Target.ID == done.Target.ID {
					running++
				}
			}
			c.Release(now, done, Report{Verdict: ferry.VerdictGood, Took: 240 * time.Millisecond, Load: ferry.TargetLoad{Known: true, Running: min(4, running+1), Waiting: max(0, running-3), Slots: 4}})
		}
	}
	is.True(counts["a1-0"] < 200)
	for _, target := range list {
		is.True(counts[target.ID] > 50)
	}
}
