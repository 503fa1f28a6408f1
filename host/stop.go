package host

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/member"
)

const (
	// maxListenShare is the part of the grace period for which a VM that stops accepts
	// connections at most.
	maxListenShare = 0.5
	// hurryTime is what is left of the grace period after Hurry.
	hurryTime = 500 * time.Millisecond
)

// Drain starts the planned stop. Later calls have no effect.
func (h *Host) Drain() {
	h.drainOnce.Do(func() {
		h.grace.Begin(h.clock.Now(), h.settings.StopPeriod())
		close(h.drainRequested)
	})
}

// Hurry ends a planned stop early: requests in progress are refused, and the VM closes
// within hurryTime.
func (h *Host) Hurry() { h.grace.Shorten(h.clock.Now(), hurryTime) }

// awaitDrain waits for a call of Drain and then performs the planned stop.
func (h *Host) awaitDrain(ctx context.Context, connections *callerConnections) {
	select {
	case <-h.drainRequested:
	case <-ctx.Done():
		return
	}
	h.log.Info("planned stop begun")
	h.control.post(ctx, controlEvent{member: member.LeaveEvent{}})
	h.callers.beginDrain(h.clock.Now())
	stop := drain.Stop{
		Clock: h.clock, Requests: h.requests.Requests(), Connections: connections, Log: h.log,
		MayClose: func(now ferry.Moment, remaining time.Duration) bool {
			return h.callers.isDrained(now) || remaining <= time.Duration((1-maxListenShare)*float64(h.settings.StopPeriod()))
		},
	}
	switch {
	case stop.Run(ctx):
		h.log.Info("planned stop complete")
	case ctx.Err() == nil:
		h.log.Warn("planned stop ended by the grace period", slog.Int("open", connections.Remaining()), slog.Int64("inFlight", h.callers.inFlight.Load()))
	}
}

// callerConnections are the connections of callers, which a planned stop closes.
type callerConnections struct {
	server   *http.Server
	listener net.Listener
	// tracked is the listener, or nil if it is not one of TCP.
	tracked  *drain.Listener
	callers  *callerServer
	shutdown sync.Once
}

func newCallerConnections(callers *callerServer, listener net.Listener, config *tls.Config) *callerConnections {
	c := &callerConnections{callers: callers, listener: listener, server: &http.Server{
		Handler: callers, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: config,
	}}
	if tcp, ok := listener.(*net.TCPListener); ok {
		c.tracked = drain.NewListener(tcp)
		c.listener, c.server.ConnState, c.server.ConnContext = c.tracked, c.tracked.SetState, c.tracked.Context
	}
	return c
}

// StopAccepting implements drain.Connections.
func (c *callerConnections) StopAccepting() error {
	if c.tracked == nil {
		return nil
	}
	return c.tracked.StopAccepting()
}

// CloseQuiet implements drain.Connections.
func (c *callerConnections) CloseQuiet(quiet time.Duration) int {
	if c.tracked == nil {
		return c.Remaining()
	}
	count := c.tracked.CloseQuiet(quiet)
	if count > 0 && c.tracked.IsMultiplexed() {
		// Shutdown tells callers which requests are not taken any more.
		c.shutdown.Do(func() {
			go func() { _ = c.server.Shutdown(context.Background()) }()
		})
	}
	return count
}

// CloseUnread implements drain.Connections.
func (c *callerConnections) CloseUnread() {
	if c.tracked != nil {
		c.tracked.CloseUnread()
	}
}

// Remaining implements drain.Connections.
func (c *callerConnections) Remaining() int {
	if c.tracked == nil {
		return int(c.callers.inFlight.Load())
	}
	return c.tracked.Remaining()
}
