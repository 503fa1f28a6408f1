// Package drain decides when a VM that stops as planned may close.
//
// # Concept
//
// A planned stop aborts no request. The VM is first removed from entry responses
// and notifies its peers. It continues to serve until all entry responses that
// contain it have expired, no request is in flight and none has arrived for a
// while. Responses to late requests ask callers to close their connections.
//
// Listener keeps the connections of an http.Server. It stops in two steps: it accepts
// what has reached the backlog and closes; then connections end with the response to
// the request on them, or once they were quiet for longer than a round trip.
//
// # Usage
//
//	var d drain.Controller
//	d.Begin(now)
//	if d.IsDone(now, inFlight, total) {
//		// close the listeners
//	}
package drain

import (
	"time"

	"monsoonferry.org/ferry"
)

const (
	// idleTime is the time without a request after which the VM may close.
	idleTime = time.Second
	// TransitMargin is added to the lifetime of entry responses for the time that
	// they are in transit.
	TransitMargin = 2 * time.Second
)

// Controller tracks a planned stop. The zero Controller is not stopping. It
// is not safe for concurrent use.
type Controller struct {
	// EntryLifetime is the time for which callers use an entry response.
	EntryLifetime time.Duration

	isDraining bool
	startedAt  ferry.Moment
	lastActive ferry.Moment
	lastTotal  uint64
}

// Begin starts the planned stop. Later calls have no effect.
func (c *Controller) Begin(now ferry.Moment) {
	if !c.isDraining {
		c.isDraining, c.startedAt, c.lastActive = true, now, now
	}
}

// IsDraining reports whether the planned stop has started.
func (c *Controller) IsDraining() bool { return c.isDraining }

// IsDone reports whether the VM may close, given the number of requests in
// flight and the total number of requests so far.
func (c *Controller) IsDone(now ferry.Moment, inFlight int64, total uint64) bool {
	if !c.isDraining {
		return false
	}
	if inFlight > 0 || total != c.lastTotal {
		c.lastTotal, c.lastActive = total, now
	}
	return now.Since(c.startedAt) >= c.EntryLifetime+TransitMargin && now.Since(c.lastActive) >= idleTime
}
