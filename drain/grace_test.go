package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

func momentAt(at time.Duration) ferry.Moment { return ferry.Moment{Monotonic: at, Wall: at} }

func TestGraceAdmitsOnlyWhatCanBeAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var none *Grace
	is.True(none.Admits(momentAt(0), Need{Usual: time.Hour, Longest: time.Hour}))
	var g Grace
	is.True(g.Admits(momentAt(0), Need{Usual: time.Hour, Longest: time.Hour}))
	g.Begin(momentAt(10*time.Second), 6*time.Second)
	g.Begin(momentAt(12*time.Second), time.Hour) // without effect
	for _, c := range []struct {
		after, usual, longest time.Duration
		isAdmitted            bool
	}{
		// Targets have 5 s.
		{0, time.Second, 12 * time.Second, true},
		{0, 3400 * time.Millisecond, 12 * time.Second, false},
		{2 * time.Second, 1900 * time.Millisecond, 12 * time.Second, true},
		{2 * time.Second, 2100 * time.Millisecond, 12 * time.Second, false},
		{2400 * time.Millisecond, time.Second, 12 * time.Second, true},
		// Later, the request has to end by itself before the end.
		{2500 * time.Millisecond, time.Millisecond, 12 * time.Second, false},
		{3 * time.Second, time.Second, 2 * time.Second, true},
		{4 * time.Second, time.Second, time.Second, true},
		{4 * time.Second, time.Second, 1100 * time.Millisecond, false},
		{5 * time.Second, 0, time.Millisecond, false},
	} {
		got := g.Admits(momentAt(10*time.Second+c.after), Need{Usual: c.usual, Longest: c.longest})
		if got != c.isAdmitted {
			t.Errorf("%v after the signal, usual %v, longest %v: admitted %v", c.after, c.usual, c.longest, got)
		}
	}
}

func TestGraceCountsTheSuspensionOfTheVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var g Grace
	g.Begin(momentAt(0), 6*time.Second)
	left, isStopping := g.Left(ferry.Moment{Monotonic: time.Second, Wall: 4 * time.Second})
	is.True(isStopping)
	is.Equal(left, time.Second)
}

func TestShortenedGraceEndsSooner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var g Grace
	g.Shorten(momentAt(0), time.Second) // without effect: no stop has begun
	is.True(!g.IsStopping())
	g.Begin(momentAt(0), 30*time.Second)
	g.Shorten(momentAt(2*time.Second), time.Second)
	g.Shorten(momentAt(2*time.Second), time.Minute) // without effect: less is left
	remaining, isStopping := g.Remaining(momentAt(2 * time.Second))
	is.True(isStopping)
	is.Equal(remaining, time.Second)
}

// In a short grace period, too, requests get their refusals before the process exits.
func TestShortGraceLeavesTimeForRefusals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		var g Grace
		g.Begin(momentAt(0), period)
		left, _ := g.Left(momentAt(0))
		remaining, _ := g.Remaining(momentAt(left))
		is.True(remaining >= 2*exitMargin)
	}
}

// What a target still works on at the end has to be sent within 3 s after the signal.
func TestLateRequestIsNotCutByStopWithLongGracePeriod(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, period := range []time.Duration{6 * time.Second, 10 * time.Second, 30 * time.Second} {
		var g Grace
		g.Begin(momentAt(0), period)
		is.True(!g.Admits(momentAt(3100*time.Millisecond), Need{Usual: 100 * time.Millisecond, Longest: time.Minute}))
	}
}
