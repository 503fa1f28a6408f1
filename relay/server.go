package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// Snapshots gives the configuration in force, or nil before the first.
type Snapshots interface {
	Snapshot() ferry.Snapshot
	// WaitFirst returns the configuration in force. Before the first one it waits for
	// it until ctx ends, and returns nil then.
	WaitFirst(ctx context.Context) ferry.Snapshot
}

const (
	// firstConfigurationWait is how long a request waits for the first configuration of
	// a new process: VMs that start together have it 0.4 s to 0.7 s after their start.
	firstConfigurationWait = 700 * time.Millisecond
	// maxFirstWaiting bounds the requests that wait for it. Others are refused at once.
	maxFirstWaiting = 500
	// firstWaitDivisor is the part of its time that a request waits at most for it, so
	// that one that is refused can still come back.
	firstWaitDivisor = 4
)

// Server is the HTTP handler for callers.
type Server struct {
	chain     ferry.Handler
	snapshots Snapshots
	dialect   ferry.Dialect
	clock     ferry.Clock
	log       *slog.Logger
	metrics   *Metrics
	inFlight  atomic.Int64
	// firstWaiting is the number of requests that wait for the first configuration.
	firstWaiting atomic.Int64
	// requests holds the requests in progress.
	requests drain.Requests
}

// NewServer returns a handler that passes requests through the chain.
func NewServer(
	chain ferry.Handler, snapshots Snapshots, dialect ferry.Dialect, clock ferry.Clock, log *slog.Logger, metrics *Metrics,
) *Server {
	return &Server{
		chain: chain, snapshots: snapshots, dialect: dialect, clock: clock, log: log, metrics: metrics,
		requests: drain.Requests{Log: newStopLog(log, metrics)},
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	exchange := &ferry.Exchange{
		Request: request, Writer: drain.ResponseWriter{ResponseWriter: writer, Grace: s.requests.Grace}, Arrived: s.clock.Now(),
		Snapshot: s.snapshots.Snapshot(), Metadata: s.dialect.ReadRequest(request.Header),
	}
	exchange.ID = exchange.Metadata.ID
	defer s.logPanic(exchange)
	ctx, p := s.requests.Enter(request.Context(), exchange.ID, exchange.Arrived)
	defer s.requests.Leave(p)
	err := p.Result(ctx, s.handle(ctx, exchange))
	took := s.clock.Now().Since(exchange.Arrived)
	if err == nil {
		s.metrics.countRequest(exchange.Route, exchange.Status, took)
		return
	}
	var refusal *ferry.RefusalError
	if !errors.As(err, &refusal) {
		s.metrics.countAborted(exchange.Route)
		s.log.Info("aborted", "request", exchange.ID, "took", took, "error", err)
		drain.ResetUnframed(request)
		panic(http.ErrAbortHandler)
	}
	s.metrics.countRequest(exchange.Route, refusal.Status, took)
	s.metrics.countRefusal(exchange.Route, refusal)
	s.refuse(exchange, refusal, took)
}

// logPanic logs a panic of a handler with the request's ID. Package http ends the
// connection without a response then.
func (s *Server) logPanic(exchange *ferry.Exchange) {
	if value := recover(); value != nil {
		if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			s.log.Error("handler panicked", "request", exchange.ID, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
		}
		panic(value)
	}
}

func (s *Server) handle(ctx context.Context, exchange *ferry.Exchange) error {
	if exchange.Snapshot == nil {
		exchange.Snapshot = s.waitFirst(ctx, exchange)
	}
	if exchange.Snapshot == nil {
		return &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonNotReady, Outcome: ferry.OutcomeNotRun,
			RetryAfter: staleRetryAfter, Detail: "the VM has no configuration yet",
		}
	}
	return s.chain.Handle(ctx, exchange)
}

// waitFirst waits for the first configuration of a process that has just started. After
// a loss of power of all VMs, callers are back before any VM has a configuration.
func (s *Server) waitFirst(ctx context.Context, exchange *ferry.Exchange) ferry.Snapshot {
	defer s.firstWaiting.Add(-1)
	if s.firstWaiting.Add(1) > maxFirstWaiting {
		return nil
	}
	limit := firstConfigurationWait
	if exchange.Metadata.Deadline > 0 {
		limit = min(limit, exchange.Metadata.Deadline/firstWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	snapshot := s.snapshots.WaitFirst(ctx)
	s.metrics.countFirstWait(snapshot != nil)
	s.log.Debug("waited for the first configuration", "request", exchange.ID, "took", s.clock.Now().Since(exchange.Arrived), "inForce", snapshot != nil)
	return snapshot
}

// refuse writes the refusal to the caller and the log.
func (s *Server) refuse(exchange *ferry.Exchange, refusal *ferry.RefusalError, took time.Duration) {
	var route ferry.RouteID
	if exchange.Route != nil {
		route = exchange.Route.ID
	}
	s.log.Info("refused", "request", exchange.ID, "route", route, "account", accountID(exchange), "status", refusal.Status,
		"reason", refusal.Reason, "outcome", refusal.Outcome.String(), "retryAfter", refusal.RetryAfter,
		"took", took, "version", snapshotVersion(exchange.Snapshot), "detail", refusal.Detail)
	if s.requests.Grace.IsStopping() {
		exchange.Writer.Header().Set("Connection", "close")
	}
	s.leaveBody(exchange, refusal)
	s.dialect.WriteRefusal(exchange.Writer.Header(), exchange.ID, refusal)
	exchange.Writer.Header()["Content-Length"] = []string{"0"}
	exchange.Writer.WriteHeader(refusal.Status)
}

// leavesBody holds the reasons for which nothing more is read of a body.
var leavesBody = map[ferry.Reason]bool{ferry.ReasonBodyTooLarge: true, ferry.ReasonSlowBody: true, ferry.ReasonBodyBudget: true}

// leaveBody bounds the wait for what is left of the body of a refused request: package
// http reads up to 256 KB of it before the response.
func (s *Server) leaveBody(exchange *ferry.Exchange, refusal *ferry.RefusalError) {
	if !hasBody(exchange.Request) || exchange.Writer.Header().Get("Connection") == "close" {
		return
	}
	controller := http.NewResponseController(exchange.Writer)
	deadline := time.Now().Add(unreadTimeout)
	if leavesBody[refusal.Reason] {
		exchange.Writer.Header().Set("Connection", "close")
		if err := controller.EnableFullDuplex(); err == nil {
			deadline = time.Unix(1, 0)
		}
	}
	// Without support for deadlines, the response waits for bytes of the caller.
	_ = controller.SetReadDeadline(deadline)
}

// accountID returns the ID of a request's client account, or an empty one.
func accountID(exchange *ferry.Exchange) ferry.AccountID {
	if exchange.Account == nil {
		return ""
	}
	return exchange.Account.ID
}

func snapshotVersion(snapshot ferry.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Version()
}
