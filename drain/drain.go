// Package drain decides when a VM that stops as planned may close.
//
// # Concept
//
// A planned stop cuts no request. The VM first leaves the entry answers and
// tells its peers. It goes on serving until every answer that was given out
// has expired, no request runs and none has come for a while. Answers to late
// requests ask callers to close their connections.
//
// # Usage
//
//	var d drain.Controller
//	d.Begin(now)
//	if d.IsDone(now, inFlight) {
//		// close the listeners
//	}
package drain

import (
	"time"

	"monsoonferry.org/ferry"
)

const (
	// quietTime is the time without a request after which the VM closes.
	quietTime = time.Second
	// answerMargin is added to the lifetime of entry answers for the time that
	// they were on their way.
	answerMargin = 2 * time.Second
)

// Controller follows a planned stop. The zero Controller is not stopping. It
// is not safe for concurrent use.
type Controller struct {
	// AnswerLifetime is the time for which callers keep an entry answer.
	AnswerLifetime time.Duration

	begun bool
	start ferry.Moment
	last  ferry.Moment
	seen  uint64
}

// Begin starts the planned stop. Later calls have no effect.
func (c *Controller) Begin(now ferry.Moment) {
	if !c.begun {
		c.begun, c.start, c.last = true, now, now
	}
}

// IsBegun reports whether the planned stop has started.
func (c *Controller) IsBegun() bool { return c.begun }

// IsDone reports whether the VM may close, given the number of requests that
// run and the number of all requests so far.
func (c *Controller) IsDone(now ferry.Moment, inFlight int64, total uint64) bool {
	if !c.begun {
		return false
	}
	if inFlight > 0 || total != c.seen {
		c.seen, c.last = total, now
	}
	return now.Since(c.start) >= c.AnswerLifetime+answerMargin && now.Since(c.last) >= quietTime
}
