package node

import (
	"time"

	"golang.org/x/sys/unix"

	"monsoonferry.org/ferry"
)

// BootClock is a ferry.Clock whose Wall is the time since the machine started.
// It runs while the machine is suspended and is never stepped.
type BootClock struct{ start time.Time }

// NewBootClock returns a clock whose steady time starts now.
func NewBootClock() BootClock { return BootClock{start: time.Now()} }

// Now implements ferry.Clock.
func (c BootClock) Now() ferry.Moment {
	steady := time.Since(c.start)
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// Without the clock, the steady time has to do.
		return ferry.Moment{Monotonic: steady, Wall: steady}
	}
	return ferry.Moment{Monotonic: steady, Wall: time.Duration(boot.Nano())}
}
