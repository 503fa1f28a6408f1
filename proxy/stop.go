package proxy

import (
	"context"
	"log/slog"
	"net/http"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// StopFilter refuses requests that can't be answered in the rest of the VM's grace
// period: before their bodies are read, and before they take a token.
type StopFilter struct{ Forwarder *Forwarder }

// Filter implements ferry.Filter.
func (f StopFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	demand := f.Forwarder.demand(exchange)
	now := f.Forwarder.config.Clock.Now()
	if err := f.Forwarder.stopLog.Check(ctx, f.Forwarder.config.Grace, now, demand.At(now)); err != nil {
		return err
	}
	// Until here the stop ends the request only at the end of the grace period.
	drain.RequestOf(ctx).SetDemand(demand)
	return next.Handle(ctx, exchange)
}

// demand returns what a request needs of the rest of a grace period.
func (f *Forwarder) demand(exchange *ferry.Exchange) *drain.Demand {
	_, p98 := f.latencies.Histogram(exchange.Route.ID).P90AndP98(exchange.Route.Objective)
	return &drain.Demand{Usual: p98, Deadline: exchange.Arrived.Monotonic + exchange.Route.Deadline}
}

// checkGrace returns a refusal of a request that must not be sent any more because the VM
// stops.
func (f *Forwarder) checkGrace(ctx context.Context, s *requestState) error {
	if !f.config.Grace.IsStopping() {
		return nil
	}
	now := f.config.Clock.Now()
	if f.stopLog.Check(ctx, f.config.Grace, now, f.demand(s.exchange).At(now)) == nil {
		return nil
	}
	return stopRefusal(s)
}

// stopRefusal is the refusal of a request that a planned stop ends.
func stopRefusal(s *requestState) error {
	if s.worstOutcome > ferry.OutcomeNotRun {
		return unknownRefusal()
	}
	return drain.Refusal()
}

// unknownRefusal is the refusal of a request that a planned stop ends at its target.
func unknownRefusal() error {
	return &ferry.RefusalError{
		Status: http.StatusGatewayTimeout, Reason: ferry.ReasonStopping, Outcome: ferry.OutcomeUnknown,
		Detail: "the VM stopped before the target answered",
	}
}

// maySend notes that a target gets a request, unless a planned stop has ended it.
func (f *Forwarder) maySend(ctx context.Context, target *ferry.Target) bool {
	p := drain.RequestOf(ctx)
	if !p.Send(target) {
		return false
	}
	now := f.config.Clock.Now()
	if left, isStopping := f.config.Grace.Left(now); isStopping {
		f.stopLog.Write(ctx, drain.Sent, left, p, now)
	}
	return true
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
