// Package drain decides when a VM that stops as planned may close, and which requests it
// still serves until then.
//
// # Concept
//
// A planned stop aborts no request. The VM is first removed from entry responses
// and notifies its peers. It continues to serve until all entry responses that
// contain it have expired, no request is in flight and none has arrived for a
// while, but no longer than its grace period. Responses ask callers to close their
// connections.
//
// Grace holds what is left of the grace period. A request is sent to a target only if it
// can be answered in that time; any other is refused as not run, so that its caller goes
// to another VM. Requests holds the requests in progress with the stage that each has
// reached: waiting, sent to a target, or answered in part. Requests that wait are ended as
// soon as they can't be answered any more, and those at a target when the time of targets
// is over. A request is ended or sent, and ended or answered, never both. Stop is the loop
// that does so and closes the connections.
//
// Listener keeps the connections of an http.Server. It stops in two steps: it accepts
// what has reached the backlog and closes; then connections end with the response to
// the request on them, or once they were quiet for longer than a round trip.
//
// # Usage
//
//	grace.Begin(now, period)
//	isComplete := drain.Stop{Requests: &requests, Connections: listener, ...}.Run(ctx)
//
// and on the path of each request:
//
//	ctx, request := requests.Enter(ctx, id, now)
//	defer requests.Leave(request)
//	if !grace.Admits(now, need) || !request.Send(target) {
//		return drain.Refusal()
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
