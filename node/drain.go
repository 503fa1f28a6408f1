package node

import (
	"context"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

const (
	// listenAfterDrain is how long a VM accepts connections after the start of its
	// drain. Within that time callers stop using its address. maxListenShare is the part
	// of the grace period that it takes at most.
	listenAfterDrain = 1500 * time.Millisecond
	maxListenShare   = 0.25
)

// Drain starts the planned stop. The VM is removed from the addresses for callers
// at once, serves the requests that can be answered in the grace period, refuses the
// others, and stops when none is left or the grace period is over.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.leaving.Store(true)
		n.grace.Begin(n.clock.Now(), n.state.bounds.Load().GracePeriod)
		n.log.Info("drain started", "inFlight", n.server.InFlight())
		close(n.drainStarted)
	})
}

// waitForDrain returns when the planned stop is complete or ctx ends.
func (n *Node) waitForDrain(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.drainStarted:
	}
	period, _ := n.grace.Remaining(n.clock.Now())
	listenUntil := period - min(listenAfterDrain, time.Duration(maxListenShare*float64(period)))
	stop := drain.Stop{
		Clock: n.clock, Requests: n.server.Requests(), Connections: n.listener, Log: n.log,
		MayClose: func(_ ferry.Moment, remaining time.Duration) bool { return remaining <= listenUntil },
	}
	switch {
	case stop.Run(ctx):
		remaining, _ := n.grace.Remaining(n.clock.Now())
		n.log.Info("drain completed", "inFlight", n.server.InFlight(), "took", period-remaining)
	case ctx.Err() == nil:
		n.log.Warn("drain ended by the grace period", "open", n.listener.Remaining(), "inFlight", n.server.InFlight())
	}
}
