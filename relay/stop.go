package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

const (
	// stopRetryAfter is the RetryAfter of a request that another VM can serve at once.
	stopRetryAfter = 20 * time.Millisecond
	// returnTime is the part of the rest of a grace period that the response of a target
	// needs for its way back.
	returnTime = 100 * time.Millisecond
)

// errStopping is the cause with which a planned stop ends a request.
var errStopping = errors.New("the VM stops")

// isEndedByStop reports whether a planned stop has ended the request of ctx.
func isEndedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// StopFilter refuses requests that can't be answered in the rest of the VM's grace
// period: before their bodies are read, and before they take a token.
type StopFilter struct{ Forwarder *Forwarder }

// Filter implements ferry.Filter.
func (f StopFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	passageOf(ctx).demand.Store(f.Forwarder.demand(exchange))
	if err := f.Forwarder.checkGrace(ctx, f.Forwarder.clock.Now(), exchange); err != nil {
		return err
	}
	return next.Handle(ctx, exchange)
}

// demand returns what a request needs of the rest of a grace period.
func (f *Forwarder) demand(exchange *ferry.Exchange) *demand {
	_, p98 := f.latencies.histogram(exchange.Route.ID).p90AndP98(exchange.Route.Objective)
	return &demand{usual: p98, deadline: f.deadline(exchange)}
}

// checkGrace returns a refusal of a request that must not be sent any more because the VM
// stops.
func (f *Forwarder) checkGrace(ctx context.Context, now ferry.Moment, exchange *ferry.Exchange) error {
	left, isStopping := f.grace.Left(now)
	if !isStopping {
		return nil
	}
	need := f.demand(exchange).at(now)
	if f.grace.Admits(now, need) {
		return nil
	}
	f.stopLog.write(ctx, stopRefused, left, passageOf(ctx), now, slog.Duration("usual", need.Usual), slog.Duration("longest", need.Longest))
	return stopRefusal()
}

// stopRefusal is the refusal of a request that no target has got. Other VMs serve it.
func stopRefusal() *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonStopping, Outcome: ferry.OutcomeNotRun,
		RetryAfter: stopRetryAfter, Detail: "the VM stops before the request could be answered",
	}
}

// isStopRefusal reports whether err is a stopRefusal.
func isStopRefusal(err error) bool {
	var refusal *ferry.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == ferry.ReasonStopping && refusal.Outcome == ferry.OutcomeNotRun
}

// refuseStopping ends a request that a planned stop has ended.
func (f *Forwarder) refuseStopping(r *requestState) error {
	refusal := stopRefusal()
	if r.possibleRuns == 0 && r.inFlight == 0 {
		return refusal
	}
	return f.refuse(r, http.StatusGatewayTimeout, refusal.Reason, 0, "the VM stopped before the target answered")
}

// interrupted returns how a request ends whose context has ended.
func (f *Forwarder) interrupted(ctx context.Context, r *requestState) error {
	if isEndedByStop(ctx) {
		return f.refuseStopping(r)
	}
	return context.Canceled
}

// targetTime returns how long a target may work on a request: no longer than its response
// can still be delivered.
func (f *Forwarder) targetTime(exchange *ferry.Exchange) time.Duration {
	now := f.clock.Now()
	remaining := f.deadline(exchange) - now.Monotonic
	if left, isStopping := f.grace.Left(now); isStopping {
		remaining = min(remaining, left-returnTime)
	}
	return remaining
}

// SetGrace sets the grace period of planned stops. It must be called before the first
// request; without it, the VM never stops.
func (s *Server) SetGrace(grace *drain.Grace) { s.grace = grace }

// EndOverdue ends the requests that can't be answered in the rest of the grace period:
// one that no target has got as soon as that is known, one at a target when the time of
// targets is over. It has no effect before the grace period.
func (s *Server) EndOverdue(ctx context.Context) {
	now := s.clock.Now()
	left, isStopping := s.grace.Left(now)
	if !isStopping {
		return
	}
	for _, p := range s.passages.list() {
		switch stage(p.stage.Load()) {
		case stageWaiting:
			if s.grace.Admits(now, p.demand.Load().at(now)) {
				continue
			}
		case stageSent:
			if left > 0 {
				continue
			}
		case stageAnswered:
			// The response goes on until the VM closes.
			continue
		}
		if p.isEnded.Swap(true) {
			continue
		}
		s.stopLog.write(ctx, stopEnded, left, p, now)
		p.end(errStopping)
	}
}

// LogCut logs the requests in progress when the VM closes.
func (s *Server) LogCut(ctx context.Context) {
	now := s.clock.Now()
	left, _ := s.grace.Left(now)
	for _, p := range s.passages.list() {
		s.stopLog.write(ctx, stopCut, left, p, now)
	}
}

// endByStop returns the result of a request that ended with err, if a planned stop has
// ended it. Where it waited, what it waited for is not why it ends.
func endByStop(ctx context.Context, p *passage, err error) error {
	var refusal *ferry.RefusalError
	isNotRun := stage(p.stage.Load()) == stageWaiting || errors.As(err, &refusal) && refusal.Outcome == ferry.OutcomeNotRun
	if err == nil || !isNotRun || !isEndedByStop(ctx) {
		return err
	}
	return stopRefusal()
}

// stopWriter asks callers to close their connections once the VM stops. The field is set
// with the head of the response, since the stop may begin while a target works on it.
type stopWriter struct {
	http.ResponseWriter
	grace *drain.Grace
}

// WriteHeader implements http.ResponseWriter.
func (w stopWriter) WriteHeader(status int) {
	if w.grace.IsStopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for an http.ResponseController.
func (w stopWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
