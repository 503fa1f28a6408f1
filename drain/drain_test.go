package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

func moment(d time.Duration) ferry.Moment { return ferry.Moment{Monotonic: d} }

// TestDrain waits until the entry responses have expired, no request is in
// flight and the idle time has passed, whichever comes last.
func TestDrain(t *testing.T) {
	is := is.New(t)
	c := Controller{EntryLifetime: 5 * time.Second}
	is.True(!c.IsDone(moment(time.Hour), 0, 0)) // not draining
	c.Begin(moment(0))
	const expired = 5*time.Second + TransitMargin
	is.True(!c.IsDone(moment(expired-1), 0, 0)) // callers still use entry responses
	is.True(!c.IsDone(moment(expired), 1, 0))   // a request is in flight
	is.True(!c.IsDone(moment(expired+idleTime-1), 0, 0))
	is.True(c.IsDone(moment(expired+idleTime), 0, 0))
	is.True(!c.IsDone(moment(expired+idleTime), 0, 1)) // a late request arrived
	c.Begin(moment(time.Hour))                         // has no effect
	is.True(c.IsDone(moment(expired+2*idleTime), 0, 1))
}
