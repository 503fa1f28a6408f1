package ferry

import "time"

// Moment is one reading of the two clocks of a VM. The zero Moment is the
// start of the process with an unknown wall clock.
type Moment struct {
	// Monotonic is the monotonic time since the process started. It stands still
	// while a VM is suspended.
	Monotonic time.Duration
	// Wall is the wall clock as the time since 1970. It can be stepped in both
	// directions.
	Wall time.Duration
}

// Since returns the monotonic time between earlier and m.
func (m Moment) Since(earlier Moment) time.Duration {
	return m.Monotonic - earlier.Monotonic
}

// LongestSince returns the time between earlier and m on the clock that
// advanced further. Leases, ejections and proofs of freshness expire by it.
func (m Moment) LongestSince(earlier Moment) time.Duration {
	return max(m.Monotonic-earlier.Monotonic, m.Wall-earlier.Wall)
}

// Add returns the moment that both clocks reach after d.
func (m Moment) Add(d time.Duration) Moment {
	return Moment{Monotonic: m.Monotonic + d, Wall: m.Wall + d}
}

// Clock gives the current Moment.
type Clock interface {
	Now() Moment
}

// SystemClock reads the clocks of the operating system. Its zero value is
// not usable; call NewSystemClock.
type SystemClock struct {
	start time.Time
}

// NewSystemClock returns a clock whose monotonic time starts now.
func NewSystemClock() SystemClock {
	return SystemClock{start: time.Now()}
}

// Now implements Clock.
func (c SystemClock) Now() Moment {
	now := time.Now()
	return Moment{Monotonic: now.Sub(c.start), Wall: time.Duration(now.UnixNano())}
}
