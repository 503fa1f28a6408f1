package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

func at(d time.Duration) ferry.Moment { return ferry.Moment{Monotonic: d} }

// TestDrain waits for the answers given out, for running requests and for
// quiet, whichever comes last.
func TestDrain(t *testing.T) {
	is := is.New(t)
	c := Controller{AnswerLifetime: 5 * time.Second}
	is.True(!c.IsDone(at(time.Hour), 0, 0)) // not begun
	c.Begin(at(0))
	const expired = 5*time.Second + answerMargin
	is.True(!c.IsDone(at(expired-1), 0, 0)) // callers still hold answers
	is.True(!c.IsDone(at(expired), 1, 0))   // a request runs
	is.True(!c.IsDone(at(expired+quietTime-1), 0, 0))
	is.True(c.IsDone(at(expired+quietTime), 0, 0))
	is.True(!c.IsDone(at(expired+quietTime), 0, 1)) // a late request came
	c.Begin(at(time.Hour))                          // has no effect
	is.True(c.IsDone(at(expired+2*quietTime), 0, 1))
}
