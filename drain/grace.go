package drain

import (
	"cmp"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// targetShare is the part of the grace period within which targets may work. The rest
	// is for the last responses, the end of the connections and the exit.
	targetShare = 5.0 / 6
	// minAnswerMargin is the least time between the end of the time of targets and that of
	// a short grace period: exitMargin, and the time to write the last refusals.
	minAnswerMargin = 2*exitMargin + returnTime
	// defaultLikelyTime is the default of LikelyTime. Operators of a Node forgive the end of
	// such a request if it was sent within 3 s; a slow VM learns of the signal late. After
	// it, or likelyShare of the grace period, only the end of the request's own time counts.
	defaultLikelyTime = 2500 * time.Millisecond
	likelyShare       = 0.5
	// usualFactor is how often the usual time of an answer has to fit in the rest of the
	// grace period.
	usualFactor = 1.5
	// returnTime is the time that the response of a target needs for its way back.
	returnTime = 100 * time.Millisecond
)

// Need is the time for which a request occupies a target.
type Need struct {
	// Usual is the time within which nearly all answers come, Longest the time after
	// which the caller no longer waits.
	Usual, Longest time.Duration
}

// Grace tells requests what is left of the grace period of a planned stop. The zero
// Grace, and nil, belong to a VM that does not stop. It is safe for concurrent use.
type Grace struct {
	// LikelyTime is the time after the signal within which a request is sent because it
	// will probably be answered, at most half of the grace period, or zero for 2.5 s. It must
	// be set before Begin.
	LikelyTime time.Duration

	stop atomic.Pointer[stop]
}

// stop is a planned stop in progress.
type stop struct {
	startedAt ferry.Moment
	period    time.Duration
}

// Begin starts the grace period. Later calls have no effect.
func (g *Grace) Begin(now ferry.Moment, period time.Duration) {
	g.stop.CompareAndSwap(nil, &stop{startedAt: now, period: period})
}

// Shorten ends the grace period early: after the given time. It has no effect before the
// grace period, nor if less is left.
func (g *Grace) Shorten(now ferry.Moment, rest time.Duration) {
	for {
		old := g.stop.Load()
		if old == nil {
			return
		}
		period := now.LongestSince(old.startedAt) + rest
		if period >= old.period || g.stop.CompareAndSwap(old, &stop{startedAt: old.startedAt, period: period}) {
			return
		}
	}
}

// IsStopping reports whether the grace period has begun.
func (g *Grace) IsStopping() bool { return g != nil && g.stop.Load() != nil }

// Remaining returns the time until the process is killed, or false before the grace
// period.
func (g *Grace) Remaining(now ferry.Moment) (remaining time.Duration, isStopping bool) {
	if !g.IsStopping() {
		return 0, false
	}
	s := g.stop.Load()
	return s.period - now.LongestSince(s.startedAt), true
}

// Left returns the time for which a target can still work, so that its response comes in
// time. It is negative while the last responses are written. isStopping is false before the grace period.
func (g *Grace) Left(now ferry.Moment) (left time.Duration, isStopping bool) {
	if !g.IsStopping() {
		return 0, false
	}
	s := g.stop.Load()
	return min(share(s.period, targetShare), s.period-minAnswerMargin) - now.LongestSince(s.startedAt), true
}

// TargetTime returns how long a target may work on a request that has the given time: no
// longer than its response can still be delivered.
func (g *Grace) TargetTime(now ferry.Moment, remaining time.Duration) time.Duration {
	if left, isStopping := g.Left(now); isStopping {
		return min(remaining, left)
	}
	return remaining
}

// Admits reports whether a request may be sent to a target: always before a stop, in its
// first part if the request will probably be answered in the rest, and later if its own
// time ends before that of targets.
func (g *Grace) Admits(now ferry.Moment, need Need) bool {
	left, isStopping := g.Left(now)
	switch {
	case !isStopping:
		return true
	case left <= 0:
		return false
	case need.Longest <= left:
		return true
	}
	s := g.stop.Load()
	isEarly := now.LongestSince(s.startedAt) < min(cmp.Or(g.LikelyTime, defaultLikelyTime), share(s.period, likelyShare))
	return isEarly && time.Duration(usualFactor*float64(need.Usual)) <= left
}

// isOver reports whether the time in which responses of targets can come is over.
func (g *Grace) isOver(now ferry.Moment) bool {
	left, isStopping := g.Left(now)
	return isStopping && left <= -returnTime
}

func share(period time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(period))
}
