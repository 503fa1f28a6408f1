package node

import (
	"context"
	"time"
)

const (
	// listenAfterDrain is how long a VM accepts connections after the start of its
	// drain. Within that time callers stop using its address.
	listenAfterDrain = 1500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 150 * time.Millisecond
)

// Drain starts the planned stop. The VM is removed from the addresses for callers
// at once, serves the requests that still arrive, and stops when none is left or
// the grace period is over.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.leaving.Store(true)
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
	grace := n.state.bounds.Load().GracePeriod - exitMargin
	select {
	case <-ctx.Done():
		return
	case <-time.After(min(listenAfterDrain, grace)):
	}
	// Shutdown closes the listener and idle connections, and waits for requests.
	ctx, cancel := context.WithTimeout(ctx, grace-time.Since(started))
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.log.Info("drain completed", "inFlight", n.server.InFlight(), "took", time.Since(started), "error", err)
}
