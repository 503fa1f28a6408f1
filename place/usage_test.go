package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// askChooser returns a chooser of three equal targets in its place and one in
// another.
func askChooser() *Chooser {
	c := NewChooser("p", nil)
	c.SetPlaceVMs(20)
	c.Update(time.Minute, []ferry.Target{
		{ID: "a", Service: "s", Place: "p", Slots: 1},
		{ID: "b", Service: "s", Place: "p", Slots: 1},
		{ID: "c", Service: "s", Place: "p", Slots: 1, ColdFor: 5 * time.Second},
		{ID: "d", Service: "s", Place: "q", Slots: 1},
	})
	return c
}

// TestAskedTargetGetsOneRequest asks for a cold target and a suspect: the next
// request that can be sent again goes there, no other does, and none after the time.
func TestAskedTargetGetsOneRequest(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	c := askChooser()
	choose := func(attempt Attempt) ferry.TargetID {
		attempt.Service = "s"
		pick, ok := c.Choose(now, attempt)
		is.True(ok)
		c.Release(now, pick, Report{})
		return pick.Target.ID
	}
	for _, target := range []ferry.TargetID{"c", "a"} {
		if target == "a" {
			c.SetFleetLogOdds(map[ferry.TargetID]float64{"a": 1})
		}
		c.Ask(now, target, time.Second)
		is.True(choose(Attempt{}) != target)                                                // may not be sent again
		is.True(choose(Attempt{IsRetryable: true, Tried: []ferry.TargetID{"b"}}) != target) // has failed once
		is.Equal(choose(Attempt{IsRetryable: true}), target)                                // goes where it was asked for
		is.True(choose(Attempt{IsRetryable: true}) != target)                               // once only
		c.Ask(now, target, time.Second)
		now += 2 * time.Second
		is.True(choose(Attempt{IsRetryable: true}) != target) // too late
	}
	c.Ask(now, "b", time.Second)
	is.Equal(choose(Attempt{}), ferry.TargetID("b")) // a sound target gets any request
	c.Ask(now, "d", time.Second)
	is.True(choose(Attempt{IsRetryable: true}) != "d") // another place has its own leader
	c.Ask(now, "gone", time.Second)
}

// TestAskedSuspectWithoutRetryableRequests asks for suspects of a service that has no
// requests which can be sent again: one that is as likely healthy as not gets the next
// request, a likelier suspect none.
func TestAskedSuspectWithoutRetryableRequests(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		logOdds float64
		isUsed  bool
	}{{-2.5, true}, {-1.5, false}} {
		c := askChooser()
		c.SetFleetLogOdds(map[ferry.TargetID]float64{"a": test.logOdds})
		c.Ask(time.Minute, "a", time.Second)
		pick, ok := c.Choose(time.Minute, Attempt{Service: "s"})
		is.True(ok)
		is.Equal(pick.Target.ID == "a", test.isUsed)
	}
}

func TestAskedTargetThatIsFullGetsNoRequest(t *testing.T) {
	is := is.New(t)
	c := askChooser()
	c.Ask(time.Minute, "b", time.Second)
	first, _ := c.Choose(time.Minute, Attempt{Service: "s"})
	is.Equal(first.Target.ID, ferry.TargetID("b"))
	c.Ask(time.Minute, "b", time.Second)
	second, _ := c.Choose(time.Minute, Attempt{Service: "s"})
	is.True(second.Target.ID != "b")
}

func TestTakeUsed(t *testing.T) {
	is := is.New(t)
	c := askChooser()
	is.Equal(len(c.TakeUsed()), 0)
	pick, _ := c.Choose(time.Minute, Attempt{Service: "s"})
	_, _ = c.Choose(time.Minute, Attempt{Service: "s", Tried: []ferry.TargetID{"a", "b", "c"}}) // the one elsewhere
	is.Equal(c.TakeUsed(), []ferry.TargetID{pick.Target.ID})
	is.Equal(len(c.TakeUsed()), 0)
}
