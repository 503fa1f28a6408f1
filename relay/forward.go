package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/retry"
	"monsoonferry.org/ferry/room"
	"monsoonferry.org/ferry/timing"
)

const (
	// maxSends bounds the targets that are tried for one request when none of
	// them ran it.
	maxSends = 4
	// defaultAttempts is the number of attempts for routes that state none.
	defaultAttempts = 2
)

// Guard decides whether a request may still be sent.
type Guard interface {
	// MayRun reports whether the request's key is in force, by a configuration
	// that is fresh enough.
	MayRun(exchange *ferry.Exchange) bool
}

// Reporter takes evidence about targets, to be pooled in the fleet.
type Reporter interface {
	Report(target ferry.TargetID, evidence float64)
}

// Forwarder sends requests to targets. It is the end of the filter chain.
type Forwarder struct {
	clock     ferry.Clock
	dialect   ferry.Dialect
	chooser   *place.Chooser
	budgets   *retry.FleetBudgets
	pool      *Pool
	guard     Guard
	reporter  Reporter
	log       *slog.Logger
	metrics   *Metrics
	latencies timing.Routes
	splitter  serviceSplitter
	rooms     rooms
	// disbelievedLines bounds the log lines of responses that are not believed.
	disbelievedLines lineLimit
	// grace is the grace period of the VM, or nil.
	grace   *drain.Grace
	stopLog drain.Log
}

// NewForwarder returns a Forwarder.
func NewForwarder(
	clock ferry.Clock, dialect ferry.Dialect, chooser *place.Chooser, budgets *retry.FleetBudgets, pool *Pool,
	guard Guard, reporter Reporter, log *slog.Logger, metrics *Metrics,
) *Forwarder {
	return &Forwarder{
		clock: clock, dialect: dialect, chooser: chooser, budgets: budgets, pool: pool,
		guard: guard, reporter: reporter, log: log, metrics: metrics, stopLog: newStopLog(log, metrics),
	}
}

// SetGrace sets the grace period of planned stops. It must be called before the first
// request; without it, the VM never stops.
func (f *Forwarder) SetGrace(grace *drain.Grace) { f.grace = grace }

// deadline returns the monotonic time by which the caller gets a response.
func (f *Forwarder) deadline(exchange *ferry.Exchange) time.Duration {
	return exchange.Arrived.Monotonic + timeLimit(exchange)
}

// timeLimit returns the longest time that the caller waits for a response.
func timeLimit(exchange *ferry.Exchange) time.Duration {
	limit := exchange.Route.Deadline
	if limit == 0 {
		limit = ferry.DefaultDeadline
	}
	if exchange.Metadata.Deadline > 0 {
		limit = min(limit, exchange.Metadata.Deadline)
	}
	return limit
}

// requestState is the state of one request and its attempts.
type requestState struct {
	exchange *ferry.Exchange
	service  ferry.ServiceID
	body     *payload
	// isIdempotent reports that the request may run, and be sent, more than once.
	isIdempotent bool
	// expectedBytes is the size of the body plus the average size of a response.
	expectedBytes int64
	results       chan *attempt
	tried         []ferry.TargetID
	inFlight      int
	// possibleRuns is the number of attempts that may have run.
	possibleRuns int
	// fallback is an error response that the caller gets when no attempt succeeds.
	fallback *attempt
	// latest is the last attempt that was sent, with its remaining checkpoints.
	latest      *pendingAttempt
	checkpoints []checkpoint
	// isBodyLate reports that the body was incomplete at the last checkpoint.
	isBodyLate bool
	cancel     context.CancelFunc
	// room decides for the service, wanted is what it knows of the request, and ticket
	// the request's place in it, or nil.
	room   *serviceRoom
	wanted room.Request
	ticket *room.Ticket
}

// checkpoint is a time after which a missing response counts as evidence.
type checkpoint struct {
	after    time.Duration
	evidence float64
}

// pendingAttempt is an attempt in progress.
type pendingAttempt struct {
	pick   place.Pick
	sentAt time.Duration
	// evidenceHundredths is the evidence from checkpoints, in hundredths.
	evidenceHundredths atomic.Int64
}

// Handle implements ferry.Handler.
func (f *Forwarder) Handle(ctx context.Context, exchange *ferry.Exchange) error {
	body, err := requestPayload(ctx, exchange)
	if err == nil {
		// The request is not sent when its caller has disconnected meanwhile.
		err = ctx.Err()
	}
	if err != nil {
		var refusal *ferry.RefusalError
		if errors.As(err, &refusal) {
			return refusal
		}
		return trace.Wrap(err, "reading the request body")
	}
	defer body.endReading(exchange.Writer)
	r := &requestState{
		exchange: exchange, service: f.splitter.chooseService(exchange.Route), body: body,
		isIdempotent: exchange.Route.IsIdempotent(exchange.Request.Method) && body.isReplayable(),
		results:      make(chan *attempt, maxSends+2),
	}
	// Only idempotent requests are canceled when their caller disconnects.
	sendBase := ctx
	if !r.isIdempotent {
		sendBase = context.WithoutCancel(ctx)
	}
	r.expectedBytes = max(body.length, int64(len(body.buffered))) + f.latencies.Histogram(exchange.Route.ID).AverageSize()
	remaining := f.deadline(exchange) - monotonicTime(f.clock)
	var sendCtx context.Context
	sendCtx, r.cancel = context.WithTimeout(sendBase, remaining)
	f.budgets.Deposit(r.service)
	if err = f.enterRoom(ctx, sendCtx, r); err == nil {
		err = f.sendAttempts(ctx, sendCtx, r)
	}
	r.leaveRoom(nil)
	if tooLarge := body.rest.tooLarge(); tooLarge != nil && exchange.Status == 0 && !errors.Is(err, context.Canceled) {
		// A target has got a part of the body.
		tooLarge.Outcome, err = ferry.OutcomeUnknown, tooLarge
	}
	if r.isIdempotent || r.inFlight == 0 || !errors.Is(err, context.Canceled) {
		r.cancel()
	}
	return err
}

// sendAttempts sends attempts until the caller gets a response or a refusal.
func (f *Forwarder) sendAttempts(ctx, sendCtx context.Context, r *requestState) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	if err := f.startAttempt(sendCtx, r, timer); err != nil {
		return err
	}
	for {
		select {
		case a := <-r.results:
			r.inFlight--
			isFinal, err := f.handleResult(ctx, sendCtx, r, a, timer)
			if isFinal {
				return err
			}
		case <-timer.C:
			f.handleCheckpoint(sendCtx, r, timer)
		case <-ctx.Done():
			if drain.IsEnded(ctx) {
				return f.endAttempts(ctx, r)
			}
			return context.Canceled
		case <-sendCtx.Done():
			return f.endAttempts(ctx, r)
		}
	}
}

// endAttempts ends a request whose time is over: with a response that has arrived, or with
// a refusal.
func (f *Forwarder) endAttempts(ctx context.Context, r *requestState) error {
	for {
		select {
		case a := <-r.results:
			r.inFlight--
			if r.addResult(a) {
				return f.deliverGood(ctx, r, a)
			}
		default:
			if r.fallback != nil {
				return f.deliver(ctx, r, r.fallback)
			}
			return f.expire(ctx, r)
		}
	}
}

// addResult adds the result of an attempt to what is known about a request. It reports
// whether the caller can get its response.
func (r *requestState) addResult(a *attempt) (isGood bool) {
	if a.outcome == ferry.OutcomeUnknown || a.outcome == ferry.OutcomeDone {
		r.possibleRuns++
	}
	if a.outcome == ferry.OutcomeDone && a.verdict == ferry.VerdictErrorStatus && r.fallback == nil {
		r.fallback = a
	}
	return a.outcome == ferry.OutcomeDone && a.verdict == ferry.VerdictGood
}

// startAttempt starts one attempt, or returns a refusal when it can't.
func (f *Forwarder) startAttempt(ctx context.Context, r *requestState, timer *time.Timer) error {
	if !f.guard.MayRun(r.exchange) {
		return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonNotReady, staleRetryAfter, "the configuration may be old")
	}
	moment := f.clock.Now()
	if r.inFlight > 0 && !f.admits(moment, r.exchange) {
		// The request goes on without a hedge.
		return drain.Refusal()
	}
	if err := f.checkGrace(ctx, moment, r.exchange); err != nil {
		return err
	}
	now := moment.Monotonic
	wanted := place.Attempt{
		Service: r.service, Tried: r.tried, IsRetryable: r.isIdempotent, Bytes: r.expectedBytes, Homes: homes(r.exchange), Wall: moment.Wall,
	}
	pick, ok := f.chooser.Choose(now, wanted)
	if !ok {
		return f.refuseWithoutTarget(now, r, wanted)
	}
	p := drain.RequestOf(ctx)
	if !p.Send(pick.Target) {
		f.chooser.Release(now, pick, place.Report{Verdict: ferry.VerdictNone})
		return drain.Refusal()
	}
	if left, isStopping := f.grace.Left(moment); isStopping {
		f.stopLog.Write(ctx, drain.Sent, left, p, moment)
	}
	r.tried = append(r.tried, pick.Target.ID)
	r.inFlight++
	pending := &pendingAttempt{pick: pick, sentAt: now}
	r.latest = pending
	// The expected wait for a slot does not count as a missing response.
	p90, p98 := f.latencies.Histogram(r.exchange.Route.ID).P90AndP98(r.exchange.Route.Objective)
	p90, p98 = p90+pick.Wait, p98+pick.Wait
	r.checkpoints = []checkpoint{
		{after: p90, evidence: place.EvidenceNoResponseP90},
		{after: max(p98, p90+p90/4), evidence: place.EvidenceNoResponseP98},
	}
	timer.Reset(p90)
	go func() {
		a := f.send(ctx, r.exchange, r.body, pick, r.isIdempotent)
		f.endAttempt(ctx, r.exchange, pending, a)
		r.results <- a
	}()
	return nil
}

// heed applies what a target stated about itself in its response.
func (f *Forwarder) heed(ctx context.Context, exchange *ferry.Exchange, pick place.Pick, metadata ferry.ResponseMetadata) {
	heeded := f.chooser.Heed(monotonicTime(f.clock), pick, place.Notice{Leaving: metadata.Leaving, Backoff: metadata.Backoff})
	if heeded.IsLeaving {
		f.pool.Close(pick.Target)
		f.reporter.Report(pick.Target.ID, place.EvidenceLeaving)
		f.metrics.countNotice("Leaving")
		f.log.LogAttrs(ctx, slog.LevelInfo, "target is leaving", slog.String("request", exchange.Metadata.ID),
			slog.String("target", string(pick.Target.ID)), slog.Int64("incarnation", pick.Target.Incarnation))
	}
	if heeded.Backoff > 0 {
		f.metrics.countNotice("Backoff")
		f.log.LogAttrs(ctx, slog.LevelInfo, "target backs off", slog.String("request", exchange.Metadata.ID),
			slog.String("target", string(pick.Target.ID)), slog.Duration("stated", metadata.Backoff), slog.Duration("backoff", heeded.Backoff))
	}
}

// endAttempt releases the target and reports the result of the attempt.
func (f *Forwarder) endAttempt(ctx context.Context, exchange *ferry.Exchange, pending *pendingAttempt, a *attempt) {
	now := monotonicTime(f.clock)
	report := place.Report{Verdict: a.verdict, Took: now - pending.sentAt}
	if a.response != nil {
		report.Load = a.response.metadata.Load
		report.Retracted = float64(pending.evidenceHundredths.Load()) / 100
	}
	if a.verdict == ferry.VerdictGood {
		f.latencies.Histogram(exchange.Route.ID).Add(report.Took, len(a.response.buffered))
	}
	if a.obeysStop() {
		report.Verdict = ferry.VerdictNone
	}
	evidence := f.chooser.Release(now, pending.pick, report)
	if a.response != nil {
		f.heed(ctx, exchange, pending.pick, a.response.metadata)
	}
	if evidence != 0 {
		f.reporter.Report(pending.pick.Target.ID, evidence)
	}
	f.metrics.countAttempt(exchange.Route, a, report.Took)
	status := 0
	if a.response != nil {
		status = a.response.status
	}
	f.log.LogAttrs(ctx, slog.LevelInfo, "attempt",
		slog.String("request", exchange.Metadata.ID), slog.String("route", string(exchange.Route.ID)),
		slog.String("account", string(accountID(exchange))),
		slog.String("target", string(pending.pick.Target.ID)), slog.String("place", string(pending.pick.Target.Place)),
		slog.String("verdict", a.verdict.String()), slog.String("outcome", a.outcome.String()), slog.Int("status", status),
		slog.Duration("took", report.Took), slog.Duration("cost", pending.pick.Cost), slog.Float64("odds", pending.pick.LogOdds),
		slog.String("slot", pending.pick.Slot.String()), slog.Bool("reused", a.isReused), slog.Bool("early", a.isEarly), slog.Any("error", BoundedError(a.err)))
}

// maxLoggedError bounds the text of an error in the log, in bytes: package http
// quotes what a target sent.
const maxLoggedError = 200

// BoundedError returns nil or the beginning of the text of an error, for the log.
func BoundedError(err error) any {
	if err == nil {
		return nil
	}
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedError)], "?")
}

// handleCheckpoint adds the evidence of a missing response. An idempotent
// request is also sent to another target.
func (f *Forwarder) handleCheckpoint(ctx context.Context, r *requestState, timer *time.Timer) {
	if len(r.checkpoints) == 0 || r.latest == nil {
		return
	}
	if isIncomplete := r.body.rest.isIncomplete(); isIncomplete || r.isBodyLate {
		// The target can't respond before it has the body: the wait begins again.
		r.isBodyLate = isIncomplete
		timer.Reset(r.checkpoints[0].after)
		return
	}
	reached := r.checkpoints[0]
	r.checkpoints = r.checkpoints[1:]
	r.latest.evidenceHundredths.Add(int64(reached.evidence * 100))
	f.chooser.Observe(monotonicTime(f.clock), r.latest.pick, reached.evidence)
	f.reporter.Report(r.latest.pick.Target.ID, reached.evidence)
	if len(r.checkpoints) > 0 {
		timer.Reset(r.checkpoints[0].after - reached.after)
	}
	if r.isIdempotent && f.admits(f.clock.Now(), r.exchange) && f.takeRetry(r) {
		checkpoints, latest := r.checkpoints, r.latest
		if err := f.startAttempt(ctx, r, timer); err != nil {
			// The attempt in progress goes on.
			r.checkpoints, r.latest = checkpoints, latest
		}
	}
	if len(r.checkpoints) == 0 {
		// The target is silent: the request takes no room that others could use.
		r.leaveRoom(nil)
	}
}

// takeRetry reports whether another attempt is allowed, and takes it from the
// retry budget.
func (f *Forwarder) takeRetry(r *requestState) bool {
	maxAttempts := r.exchange.Route.Attempts
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	wanted := retry.Resend{Rank: rankOf(r.exchange), IsHedge: r.inFlight > 0}
	return r.possibleRuns+r.inFlight < maxAttempts && len(r.tried) < maxSends && f.budgets.TryWithdraw(monotonicTime(f.clock), r.service, wanted)
}

// handleResult responds to the caller after an attempt, starts another attempt
// or waits for those in progress. isFinal reports that the request has ended.
func (f *Forwarder) handleResult(ctx, sendCtx context.Context, r *requestState, a *attempt, timer *time.Timer) (isFinal bool, err error) {
	if r.addResult(a) {
		return true, f.deliverGood(ctx, r, a)
	}
	if sendCtx.Err() != nil {
		return true, f.endAttempts(ctx, r)
	}
	if r.inFlight > 0 {
		return false, nil
	}
	if r.ticket != nil && r.possibleRuns == 0 && isFull(a) {
		return f.handleFull(ctx, sendCtx, r, a, timer)
	}
	return f.tryAgain(ctx, sendCtx, r, a, timer)
}

// tryAgain sends a request again after its last attempt, or gives it up.
func (f *Forwarder) tryAgain(ctx, sendCtx context.Context, r *requestState, a *attempt, timer *time.Timer) (isFinal bool, err error) {
	if f.mayTryAgain(r, a) {
		if err = f.startAttempt(sendCtx, r, timer); err == nil {
			return false, nil
		}
		if r.possibleRuns == 0 && drain.IsRefusal(err) {
			return true, err
		}
	}
	return true, f.giveUp(ctx, r, a)
}

// mayTryAgain reports whether a request may be sent again after a, and takes what that
// costs from the retry budget.
func (f *Forwarder) mayTryAgain(r *requestState, a *attempt) bool {
	isRetryable := a.outcome.IsSafeToRetry() && r.possibleRuns == 0 || r.isIdempotent
	return isRetryable && r.body.isReplayable() && f.allowsRetry(r, a)
}

// allowsRetry reports whether another attempt is allowed after a. It costs no
// retry budget when no byte reached the target of a.
func (f *Forwarder) allowsRetry(r *requestState, a *attempt) bool {
	if a.outcome == ferry.OutcomeNotSent {
		return len(r.tried) < maxSends
	}
	return f.takeRetry(r)
}

// deliverGood sends the response to the caller. The target's slot is free once the whole
// response was read.
func (f *Forwarder) deliverGood(ctx context.Context, r *requestState, a *attempt) error {
	if a.response.rest == nil {
		r.leaveRoom(a)
	}
	err := f.deliver(ctx, r, a)
	r.leaveRoom(a)
	return err
}
