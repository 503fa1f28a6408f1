package node

import (
	"context"
	"time"
)

const (
	// listenAfterDrain is how long a VM accepts connections after the start of its
	// drain. Within that time callers stop using its address. maxListenShare is the part
	// of the grace period that it takes at most.
	listenAfterDrain = 1500 * time.Millisecond
	maxListenShare   = 0.25
	// quietBeforeClose is the time without input after which a connection without a
	// request is closed: a round trip with a lost packet.
	quietBeforeClose = 500 * time.Millisecond
	// closeInterval is the time between two checks for requests that are overdue and for
	// quiet connections.
	closeInterval = 20 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 150 * time.Millisecond
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
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for isListening := true; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.server.EndOverdue(ctx)
		remaining, _ := n.grace.Remaining(n.clock.Now())
		switch {
		case remaining <= exitMargin:
			n.log.Warn("drain ended by the grace period", "open", n.listener.Remaining(), "inFlight", n.server.InFlight())
			n.server.LogCut(ctx)
			return
		case remaining > listenUntil:
		case isListening:
			isListening = false
			if err := n.listener.StopAccepting(); err != nil {
				n.log.Warn("listener for callers not stopped", "error", err)
			}
		default:
			n.closeQuiet()
			if n.listener.Remaining() == 0 {
				n.log.Info("drain completed", "inFlight", n.server.InFlight(), "took", period-remaining)
				return
			}
		}
	}
}

// closeQuiet closes the connections of callers that have no request. Once the time of
// targets is over, none is waited for: it would be refused.
func (n *Node) closeQuiet() {
	quiet := quietBeforeClose
	if left, _ := n.grace.Left(n.clock.Now()); left <= 0 {
		quiet = closeInterval
	}
	n.listener.CloseQuiet(quiet)
}
