package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// StopFilter refuses requests that can't be answered in the rest of the VM's grace
// period: before their bodies are read, and before they take a token.
type StopFilter struct{ Forwarder *Forwarder }

// Filter implements ferry.Filter.
func (f StopFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	if err := f.Forwarder.checkGrace(ctx, f.Forwarder.clock.Now(), exchange); err != nil {
		return err
	}
	// Until here the stop ends the request only at the end of the grace period.
	drain.RequestOf(ctx).SetDemand(f.Forwarder.demand(exchange))
	return next.Handle(ctx, exchange)
}

// demand returns what a request needs of the rest of a grace period.
func (f *Forwarder) demand(exchange *ferry.Exchange) *drain.Demand {
	_, p98 := f.latencies.Histogram(exchange.Route.ID).P90AndP98(exchange.Route.Objective)
	return &drain.Demand{Usual: p98, Deadline: f.deadline(exchange)}
}

// checkGrace returns a refusal of a request that must not be sent any more because the VM
// stops.
func (f *Forwarder) checkGrace(ctx context.Context, now ferry.Moment, exchange *ferry.Exchange) error {
	if !f.grace.IsStopping() {
		return nil
	}
	return f.stopLog.Check(ctx, f.grace, now, f.demand(exchange).At(now))
}

// admits reports whether a planned stop lets a request be sent now.
func (f *Forwarder) admits(now ferry.Moment, exchange *ferry.Exchange) bool {
	return !f.grace.IsStopping() || f.grace.Admits(now, f.demand(exchange).At(now))
}

// refuseStopping ends a request that a planned stop has ended.
func (f *Forwarder) refuseStopping(r *requestState) error {
	refusal := drain.Refusal()
	if r.possibleRuns == 0 && r.inFlight == 0 {
		return refusal
	}
	return f.refuse(r, http.StatusGatewayTimeout, refusal.Reason, 0, "the VM stopped before the target answered")
}

// interrupted returns how a request ends whose context has ended.
func (f *Forwarder) interrupted(ctx context.Context, r *requestState) error {
	if drain.IsEnded(ctx) {
		return f.refuseStopping(r)
	}
	return context.Canceled
}

// targetTime returns how long a target may work on a request, and whether a planned stop
// has shortened that time.
func (f *Forwarder) targetTime(exchange *ferry.Exchange) (deadline time.Duration, isShortened bool) {
	now := f.clock.Now()
	remaining := f.deadline(exchange) - now.Monotonic
	deadline = f.grace.TargetTime(now, remaining)
	return deadline, deadline < remaining
}

// newStopLog returns the log of decisions while the VM stops.
func newStopLog(log *slog.Logger, metrics *Metrics) drain.Log {
	return drain.Log{Log: log, Count: metrics.countStopDecision}
}

// SetGrace sets the grace period of planned stops. It must be called before the first
// request; without it, the VM never stops.
func (s *Server) SetGrace(grace *drain.Grace) { s.requests.Grace = grace }

// Requests returns the requests in progress.
func (s *Server) Requests() *drain.Requests { return &s.requests }
