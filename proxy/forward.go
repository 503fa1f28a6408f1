package proxy

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/auth"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/head"
	"monsoonferry.org/ferry/retry"
	"monsoonferry.org/ferry/timing"
)

// Snapshots provides the configuration in force.
type Snapshots interface {
	Snapshot() ferry.Snapshot
}

// Queue chooses targets. Requests wait in it while all targets are busy.
type Queue interface {
	Choose(ctx context.Context, account *ferry.Account, choice ferry.Choice) (ferry.Pick, error)
	Release(now ferry.Moment, pick ferry.Pick, result ferry.Result)
}

// Config holds the dependencies of a Forwarder. All fields but Grace are required.
type Config struct {
	Queue     Queue
	Limiter   ferry.Limiter
	Observer  ferry.Observer
	Snapshots Snapshots
	Budgets   *retry.Budgets
	Clock     ferry.Clock
	Log       *slog.Logger
	Metrics   *Metrics
	// Grace is the grace period of planned stops, or nil if the VM never stops.
	Grace *drain.Grace
}

// Forwarder is the end of the filter chain. It sends requests to targets.
type Forwarder struct {
	config    Config
	transport http.RoundTripper
	latencies timing.Routes
	stopLog   drain.Log
	// resend sends further attempts of a request, each on a new connection, so that a
	// connection carries a request ID once.
	resend http.RoundTripper
}

// NewForwarder returns a Forwarder with its own connections to targets.
func NewForwarder(config Config) *Forwarder {
	return &Forwarder{
		config: config, transport: newTransport(maxIdlePerTarget), resend: newTransport(noIdle), stopLog: newStopLog(config.Log, config.Metrics),
	}
}

// requestState is the state that the attempts for one request share.
type requestState struct {
	exchange      *ferry.Exchange
	service       *ferry.Service
	body          *replayBody
	budget        *retry.Budget
	isIdempotent  bool
	triedTargets  []ferry.TargetID
	isPermitSpent bool
	// shedSince is the time of the first attempt that was shed. It is valid if
	// isShed is set.
	shedSince ferry.Moment
	isShed    bool
	// worstOutcome is the least certain outcome of the attempts so far.
	worstOutcome ferry.Outcome
}

// step is the action that follows an attempt.
type step int

const (
	stepEnd step = iota
	stepRetry
	stepFail
)

// Handle implements ferry.Handler.
func (f *Forwarder) Handle(ctx context.Context, exchange *ferry.Exchange) error {
	service := exchange.Snapshot.Service(exchange.Route.Service)
	controller := http.NewResponseController(exchange.Writer)
	defer context.AfterFunc(ctx, func() { interruptRead(controller) })()
	s := &requestState{
		exchange: exchange,
		service:  service,
		body: &replayBody{
			source:   timedReader{ctx: ctx, body: exchange.Request.Body, controller: controller},
			checkKey: keyCheck(exchange, f.config.Snapshots),
		},
		budget:       f.config.Budgets.Budget(service.ID),
		isIdempotent: exchange.Route.IsIdempotent(exchange.Request.Method),
	}
	defer f.finish(s)
	s.budget.Deposit(service.Rules.RetryBudget)
	for number := 1; ; number++ {
		next, result, err := f.runAttempt(ctx, s, number)
		switch {
		case err != nil || next == stepEnd:
			return err
		case next == stepFail:
			return f.newFailure(ctx, s, result)
		}
	}
}

// finish prepares the caller's connection for its next request: it ends all
// reads of this request's body and clears the request's deadlines.
func (f *Forwarder) finish(s *requestState) {
	controller := http.NewResponseController(s.exchange.Writer)
	s.body.close(func() {
		// The connection is closed, as the rest of the body was not read.
		interruptRead(controller)
	})
	_ = controller.SetWriteDeadline(time.Time{})
}

// runAttempt makes one attempt and returns the step that follows it.
func (f *Forwarder) runAttempt(ctx context.Context, s *requestState, number int) (next step, result ferry.Result, err error) {
	if err = f.checkGrace(ctx, s); err != nil {
		return stepEnd, result, err
	}
	var pick ferry.Pick
	choice := ferry.Choice{Service: s.service.ID, Tried: s.triedTargets, Trial: s.isIdempotent}
	if pick, err = f.config.Queue.Choose(ctx, s.exchange.Account, choice); err != nil {
		return stepEnd, result, withOutcome(err, s.worstOutcome)
	}
	result = ferry.Result{Load: -1}
	defer func() { f.config.Queue.Release(f.config.Clock.Now(), pick, result) }()
	if err = f.authorize(ctx, s); err != nil {
		return stepEnd, result, withOutcome(err, s.worstOutcome)
	}
	// The request may have waited since the last check.
	if err = f.checkGrace(ctx, s); err != nil {
		return stepEnd, result, err
	}
	if !f.maySend(ctx, pick.Target) {
		return stepEnd, result, stopRefusal(s)
	}
	a := &attempt{
		exchange: s.exchange, pick: pick, stallTimeout: s.service.Rules.StallAfter, body: s.body.nextAttempt(),
		clock: f.config.Clock, grace: f.config.Grace,
		disbelieved: func(why string, status int) { f.logDisbelieved(s, pick, why, status) },
		invalid:     func(err *head.Error) { f.logInvalid(s, pick, err) },
	}
	transport := f.transport
	if number > 1 {
		transport = f.resend
	}
	var response *http.Response
	response, result = a.send(ctx, transport)
	if result.Verdict != ferry.VerdictShed {
		s.triedTargets = append(s.triedTargets, pick.Target.ID)
	}
	s.budget.Observe(result)
	next = f.nextStep(ctx, s, number, result)
	switch {
	case next == stepEnd:
		result.Verdict, err = f.streamResponse(ctx, a, response, result.Verdict)
	case response != nil:
		a.cancel(nil)
		_ = response.Body.Close()
	}
	s.worstOutcome = max(s.worstOutcome, result.Outcome)
	if s.worstOutcome.IsSafeToRetry() {
		drain.RequestOf(ctx).Enter(drain.StageWaiting)
	}
	f.config.Observer.Observe(f.config.Clock.Now(), pick.Target, result)
	f.logAttempt(s, pick, number, result)
	return next, result, err
}

// nextStep returns the step after an attempt. It withdraws from the retry budget
// when the request is to be retried.
func (f *Forwarder) nextStep(ctx context.Context, s *requestState, number int, result ferry.Result) step {
	hasResponse := result.Outcome == ferry.OutcomeDone
	if hasResponse && result.Verdict != ferry.VerdictErrorStatus {
		return stepEnd
	}
	if result.Verdict == ferry.VerdictShed {
		return f.nextStepAfterShed(ctx, s)
	}
	isRetryable := number < retry.MaxAttempts && ctx.Err() == nil && retry.IsRetryable(s.isIdempotent, result)
	if isRetryable && hasResponse && !f.config.Grace.Admits(f.config.Clock.Now(), f.demand(s.exchange).At(f.config.Clock.Now())) {
		// The error response is all that the caller can still get.
		isRetryable = false
	}
	if isRetryable && s.body.canReplay() && s.budget.TryWithdraw() {
		return stepRetry
	}
	if hasResponse {
		return stepEnd
	}
	return stepFail
}

// maxShedWait bounds the time for which a request waits for a slot after a
// target shed it.
const maxShedWait = time.Second

// nextStepAfterShed lets a request wait for a slot again after a full target shed
// it. It withdraws nothing from the retry budget, because the balancer pauses
// targets that shed.
func (f *Forwarder) nextStepAfterShed(ctx context.Context, s *requestState) step {
	now := f.config.Clock.Now()
	if !s.isShed {
		s.isShed, s.shedSince = true, now
	}
	if ctx.Err() == nil && s.body.canReplay() && now.Since(s.shedSince) < maxShedWait {
		return stepRetry
	}
	return stepFail
}

// authorize checks key and allowance immediately before the request is
// written. A permit that expired while the request waited is replaced once.
func (f *Forwarder) authorize(ctx context.Context, s *requestState) (err error) {
	if err = s.body.checkKey(); err != nil {
		return auth.NewUnknownKeyError()
	}
	if s.exchange.Permit == nil || s.isPermitSpent {
		return nil
	}
	if s.isPermitSpent = s.exchange.Permit.Spend(f.config.Clock.Now()); s.isPermitSpent {
		return nil
	}
	if s.exchange.Permit, err = f.config.Limiter.Admit(ctx, s.exchange.Account); err != nil {
		return err
	}
	if s.isPermitSpent = s.exchange.Permit.Spend(f.config.Clock.Now()); s.isPermitSpent {
		return nil
	}
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: "the allowance expired before the request could be sent",
	}
}

// withOutcome sets a refusal's outcome to unknown if an earlier attempt may have run.
func withOutcome(err error, worstOutcome ferry.Outcome) error {
	var refusal *ferry.RefusalError
	if errors.As(err, &refusal) && worstOutcome > ferry.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = ferry.OutcomeUnknown
		return &changed
	}
	return err
}

// newFailure returns the refusal after the last attempt.
func (f *Forwarder) newFailure(ctx context.Context, s *requestState, result ferry.Result) error {
	if drain.IsEnded(ctx) {
		return stopRefusal(s)
	}
	refusal := &ferry.RefusalError{
		Status: http.StatusBadGateway, Reason: ferry.ReasonTargetFailed, Outcome: ferry.OutcomeNotRun,
		Detail: "the last attempt ended with " + result.Verdict.String(),
	}
	var tooLarge *http.MaxBytesError
	callerError := s.body.callerError()
	switch {
	case errors.As(callerError, &tooLarge):
		refusal.Status, refusal.Reason = http.StatusRequestEntityTooLarge, ferry.ReasonBodyTooLarge
	case errors.Is(callerError, errKeyWithdrawn):
		refusal.Status, refusal.Reason = http.StatusUnauthorized, ferry.ReasonUnknownKey
	case isTimeout(callerError) && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, ferry.ReasonDeadline
	case isTimeout(callerError):
		refusal.Status, refusal.Reason = http.StatusRequestTimeout, ferry.ReasonMalformed
	case callerError != nil:
		refusal.Status, refusal.Reason = http.StatusBadRequest, ferry.ReasonMalformed
	case result.Verdict == ferry.VerdictShed:
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, ferry.ReasonOverload, time.Second
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), result.Verdict == ferry.VerdictStall:
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, ferry.ReasonDeadline
	}
	if s.worstOutcome > ferry.OutcomeNotRun {
		refusal.Outcome = ferry.OutcomeUnknown
	}
	return refusal
}

// errTruncatedResponse ends a request whose response was not wholly forwarded.
var errTruncatedResponse = errors.New("the answer was cut short")

// streamResponse forwards the response to the caller and returns the final
// verdict. It returns errTruncatedResponse if a part was not forwarded.
func (f *Forwarder) streamResponse(ctx context.Context, a *attempt, response *http.Response, verdict ferry.Verdict) (ferry.Verdict, error) {
	defer a.cancel(nil)
	defer func() { _ = response.Body.Close() }()
	// A planned stop that has ended the request would cut the response.
	if !drain.RequestOf(ctx).Enter(drain.StageAnswered) {
		return ferry.VerdictNone, unknownRefusal()
	}
	writer := a.exchange.Writer
	removeHopByHop(response.Header)
	response.Header.Del(ferry.HeaderLoad)
	for name := range response.Trailer {
		writer.Header().Add("Trailer", name)
	}
	copyHeader(writer.Header(), response.Header)
	writer.Header().Set(ferry.HeaderOutcome, ferry.OutcomeDone.String())
	writer.WriteHeader(response.StatusCode)
	source := &watchedBody{body: response.Body, stallTimeout: a.stallTimeout, cancel: a.cancel, checkKey: keyCheck(a.exchange, f.config.Snapshots)}
	sink := &callerWriter{writer: writer, controller: http.NewResponseController(writer), mustFlush: response.ContentLength < 0}
	if _, err := io.Copy(sink, source); err == nil {
		copyHeader(writer.Header(), response.Trailer)
		f.latencies.Histogram(a.exchange.Route.ID).Add(time.Since(a.started), 0)
		return verdict, nil
	}
	f.config.Metrics.truncatedResponses.Inc()
	if source.isTargetFault {
		return source.verdict(), errTruncatedResponse
	}
	return ferry.VerdictNone, errTruncatedResponse
}

// logDisbelieved logs and counts a response that is not of the attempt on its connection.
func (f *Forwarder) logDisbelieved(s *requestState, pick ferry.Pick, why string, status int) {
	f.config.Metrics.countDisbelieved(why)
	f.config.Log.Info("response not believed", slog.String("request", s.exchange.ID),
		slog.String("target", string(pick.Target.ID)), slog.String("why", why), slog.Int("status", status))
}

// logInvalid logs and counts a response with an invalid head, without what was sent.
func (f *Forwarder) logInvalid(s *requestState, pick ferry.Pick, err *head.Error) {
	f.config.Metrics.countInvalidHead(err.Fault)
	f.config.Log.Info("response head invalid", slog.String("request", s.exchange.ID),
		slog.String("target", string(pick.Target.ID)), slog.String("fault", err.Fault.String()), slog.Int("line", err.Line))
}

// logAttempt logs the routing decision of an attempt and counts the attempt.
func (f *Forwarder) logAttempt(s *requestState, pick ferry.Pick, number int, result ferry.Result) {
	var account ferry.AccountID
	if s.exchange.Account != nil {
		account = s.exchange.Account.ID
	}
	f.config.Metrics.countAttempt(s.service.ID, result)
	f.config.Log.Info("routed",
		slog.String("request", s.exchange.ID), slog.String("account", string(account)),
		slog.String("service", string(s.service.ID)), slog.String("target", string(pick.Target.ID)),
		slog.String("place", string(pick.Target.Place)), slog.String("reason", string(pick.Reason)),
		slog.Int("attempt", number), slog.String("verdict", result.Verdict.String()),
		slog.String("outcome", result.Outcome.String()))
}
