package node

import (
	"time"

	"golang.org/x/sys/unix"

	"monsoonferry.org/ferry"
)

// BootClock is a ferry.Clock whose Wall is the time since the boot of the machine.
// Wall advances while the machine is suspended and is never stepped.
type BootClock struct{ start time.Time }

// NewBootClock returns a clock whose monotonic time starts at zero.
func NewBootClock() BootClock { return BootClock{start: time.Now()} }

// Now implements ferry.Clock.
func (c BootClock) Now() ferry.Moment {
	monotonic := time.Since(c.start)
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The boot clock is not available: use the monotonic time instead.
		return ferry.Moment{Monotonic: monotonic, Wall: monotonic}
	}
	return ferry.Moment{Monotonic: monotonic, Wall: time.Duration(boot.Nano())}
}
