package node

import (
	"context"
	"time"
)

const (
	// listenAfterDrain is how long a VM accepts connections after the start of its
	// drain. Within that time callers stop using its address.
	listenAfterDrain = 1500 * time.Millisecond
	// quietBeforeClose is the time without input after which a connection without a
	// request is closed: a round trip with a lost packet.
	quietBeforeClose = 500 * time.Millisecond
	// closeInterval is the time between two checks for quiet connections.
	closeInterval = 20 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 150 * time.Millisecond
)

// Drain starts the planned stop. The VM is removed from the addresses for callers
// at once, serves the requests that still arrive, and stops when none is left or
// the grace period is over.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.leaving.Store(true)
		n.grace.Begin(n.clock.Now(), n.state.bounds.Load().GracePeriod)
		n.server.Close()
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
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.state.bounds.Load().GracePeriod-exitMargin)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(listenAfterDrain):
	}
	if err := n.listener.StopAccepting(); err != nil {
		n.log.Warn("listener for callers not stopped", "error", err)
	}
	// A connection that the listener accepts last stays open for quietBeforeClose.
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	open := n.listener.CloseQuiet(quietBeforeClose)
	for stoppedAt := time.Now(); open > 0 || time.Since(stoppedAt) < closeInterval; open = n.listener.CloseQuiet(quietBeforeClose) {
		select {
		case <-ctx.Done():
			n.log.Warn("drain ended by the grace period", "open", open, "inFlight", n.server.InFlight())
			n.server.LogCut()
			return
		case <-ticker.C:
		}
	}
	n.log.Info("drain completed", "inFlight", n.server.InFlight(), "took", time.Since(started))
}
