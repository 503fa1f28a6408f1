package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

// Snapshots gives the configuration in force.
type Snapshots interface {
	// Snapshot returns nil before the first configuration.
	Snapshot() ferry.Snapshot
	// First is closed once the VM knows a configuration that is in force.
	First() <-chan struct{}
}

// firstWait bounds the wait of a request for the first configuration of a new
// process, and firstPart is the part of its time that it may wait. A new VM of
// a running fleet knows the configuration after two or three round trips, sooner
// than a caller would return.
const (
	firstWait = 500 * time.Millisecond
	firstPart = 4
)

// Server is the HTTP handler for callers.
type Server struct {
	chain     ferry.Handler
	snapshots Snapshots
	dialect   ferry.Dialect
	clock     ferry.Clock
	log       *slog.Logger
	metrics   *Metrics
	// closing asks callers to close their connections.
	closing  atomic.Bool
	inFlight atomic.Int64
}

// NewServer returns a handler that passes requests through the chain.
func NewServer(
	chain ferry.Handler, snapshots Snapshots, dialect ferry.Dialect, clock ferry.Clock, log *slog.Logger, metrics *Metrics,
) *Server {
	return &Server{chain: chain, snapshots: snapshots, dialect: dialect, clock: clock, log: log, metrics: metrics}
}

// Close asks callers to close their connections with each answer from now on.
func (s *Server) Close() { s.closing.Store(true) }

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	exchange := &ferry.Exchange{
		Request: request, Writer: writer, Arrived: s.clock.Now(), Demand: s.dialect.Demand(request.Header),
	}
	exchange.ID = exchange.Demand.ID
	s.awaitFirst(request.Context(), exchange)
	exchange.Snapshot = s.snapshots.Snapshot()
	if s.closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	err := s.handle(request.Context(), exchange)
	took := s.clock.Now().Since(exchange.Arrived)
	if err == nil {
		s.metrics.request(exchange.Route, exchange.Status, took)
		return
	}
	var refusal *ferry.RefusalError
	if !errors.As(err, &refusal) {
		s.metrics.aborted(exchange.Route)
		s.log.Info("aborted", "request", exchange.ID, "took", took, "error", err)
		panic(http.ErrAbortHandler)
	}
	s.metrics.request(exchange.Route, refusal.Status, took)
	s.metrics.refusal(exchange.Route, refusal)
	s.refuse(exchange, refusal, took)
}

// awaitFirst lets a request that comes to a new process wait for the first
// configuration.
func (s *Server) awaitFirst(ctx context.Context, exchange *ferry.Exchange) {
	first := s.snapshots.First()
	select {
	case <-first:
		return
	default:
	}
	wait := firstWait
	if exchange.Demand.Deadline > 0 {
		wait = min(wait, exchange.Demand.Deadline/firstPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) handle(ctx context.Context, exchange *ferry.Exchange) error {
	if exchange.Snapshot == nil {
		return &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonNotReady, Outcome: ferry.OutcomeNotRun,
			RetryAfter: staleRetryAfter, Detail: "the VM has no configuration yet",
		}
	}
	return s.chain.Handle(ctx, exchange)
}

// refuse writes the refusal to the caller and the log.
func (s *Server) refuse(exchange *ferry.Exchange, refusal *ferry.RefusalError, took time.Duration) {
	var route ferry.RouteID
	if exchange.Route != nil {
		route = exchange.Route.ID
	}
	s.log.Info("refused", "request", exchange.ID, "route", route, "account", accountOf(exchange), "status", refusal.Status,
		"reason", refusal.Reason, "outcome", refusal.Outcome.String(), "retryAfter", refusal.RetryAfter,
		"took", took, "version", versionOf(exchange.Snapshot), "detail", refusal.Detail)
	s.dialect.Refuse(exchange.Writer.Header(), exchange.ID, refusal)
	exchange.Writer.Header()["Content-Length"] = []string{"0"}
	exchange.Writer.WriteHeader(refusal.Status)
}

// accountOf returns the client account of a request, or none.
func accountOf(exchange *ferry.Exchange) ferry.AccountID {
	if exchange.Account == nil {
		return ""
	}
	return exchange.Account.ID
}

func versionOf(snapshot ferry.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Version()
}
