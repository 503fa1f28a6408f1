package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// Server is the HTTP handler for callers.
type Server struct {
	chain     ferry.Handler
	snapshots Snapshots
	clock     ferry.Clock
	newID     func() string
	log       *slog.Logger
	metrics   *Metrics
	requests  drain.Requests
}

// NewServer returns a handler that passes requests through the chain. The
// function newID returns a new request identifier at each call.
func NewServer(chain ferry.Handler, snapshots Snapshots, clock ferry.Clock, newID func() string, log *slog.Logger, metrics *Metrics) *Server {
	return &Server{
		chain: chain, snapshots: snapshots, clock: clock, newID: newID, log: log, metrics: metrics,
		requests: drain.Requests{Log: newStopLog(log, metrics)},
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &ferry.Exchange{
		Request: request, Writer: drain.ResponseWriter{ResponseWriter: writer, Grace: s.requests.Grace}, ID: s.newID(),
		Arrived: s.clock.Now(), Snapshot: s.snapshots.Snapshot(),
	}
	body := request.Body
	s.metrics.requests.Inc()
	ctx, p := s.requests.Enter(request.Context(), exchange.ID, exchange.Arrived)
	defer s.requests.Leave(p)
	err := p.Result(ctx, s.handle(ctx, exchange))
	s.metrics.duration.Update(s.clock.Now().Since(exchange.Arrived).Seconds())
	if err == nil {
		s.finish(writer, body)
		return
	}
	var refusal *ferry.RefusalError
	if !errors.As(err, &refusal) {
		s.log.Warn("aborted", slog.String("request", exchange.ID), slog.String("error", trace.UserMessage(err)))
		drain.ResetUnframed(request)
		panic(http.ErrAbortHandler)
	}
	if s.requests.Grace.IsStopping() {
		// There is no time to wait for the rest of a body.
		writer.Header().Set("Connection", "close")
		_ = http.NewResponseController(writer).SetReadDeadline(time.Unix(1, 0))
	} else if !drainBody(writer, body) {
		writer.Header().Set("Connection", "close")
	}
	s.refuse(exchange, refusal)
}

// finish ends a request whose response was forwarded. If much of the request
// body was not read, it closes the connection after the response.
func (s *Server) finish(writer http.ResponseWriter, body io.Reader) {
	if drainBody(writer, body) {
		return
	}
	if err := http.NewResponseController(writer).Flush(); err != nil {
		s.log.Debug("response not flushed", slog.Any("error", err))
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) handle(ctx context.Context, exchange *ferry.Exchange) error {
	if exchange.Snapshot == nil {
		return &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonNotReady, Outcome: ferry.OutcomeNotRun,
			RetryAfter: time.Second, Detail: "the VM has no configuration yet",
		}
	}
	return s.chain.Handle(ctx, exchange)
}

// refusalDocument is the JSON body of a refusal.
type refusalDocument struct {
	Request string
	Reason  string
	Outcome string
	Detail  string
}

// refuse sends the refusal to the caller and logs it.
func (s *Server) refuse(exchange *ferry.Exchange, refusal *ferry.RefusalError) {
	s.metrics.countRefusal(refusal)
	var account ferry.AccountID
	if exchange.Account != nil {
		account = exchange.Account.ID
	}
	s.log.Info("refused",
		slog.String("request", exchange.ID), slog.String("account", string(account)),
		slog.Int("status", refusal.Status), slog.String("reason", string(refusal.Reason)),
		slog.String("outcome", refusal.Outcome.String()), slog.String("detail", refusal.Detail))
	header := exchange.Writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(ferry.HeaderRequest, exchange.ID)
	header.Set(ferry.HeaderOutcome, refusal.Outcome.String())
	header.Set(ferry.HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	exchange.Writer.WriteHeader(refusal.Status)
	document := refusalDocument{
		Request: exchange.ID, Reason: string(refusal.Reason),
		Outcome: refusal.Outcome.String(), Detail: refusal.Detail,
	}
	if err := json.NewEncoder(exchange.Writer).Encode(document); err != nil {
		s.log.Debug("refusal not written", slog.String("request", exchange.ID), slog.Any("error", err))
	}
}
