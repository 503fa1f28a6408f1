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
	"monsoonferry.org/ferry/retry"
)

// Snapshots gives the configuration in force.
type Snapshots interface {
	Snapshot() ferry.Snapshot
}

// Queue chooses targets and lets requests wait while all are busy.
type Queue interface {
	Choose(ctx context.Context, account *ferry.Account, choice ferry.Choice) (ferry.Pick, error)
	Release(now ferry.Moment, pick ferry.Pick, result ferry.Result)
}

// Config holds what a Forwarder works with. All fields are required.
type Config struct {
	Queue     Queue
	Limiter   ferry.Limiter
	Observer  ferry.Observer
	Snapshots Snapshots
	Budgets   *retry.Budgets
	Clock     ferry.Clock
	Log       *slog.Logger
	Metrics   *Metrics
}

// Forwarder is the end of the filter chain. It sends the request to targets.
type Forwarder struct {
	config    Config
	transport http.RoundTripper
}

// NewForwarder returns a Forwarder with its own connections to targets.
func NewForwarder(config Config) *Forwarder {
	return &Forwarder{config: config, transport: newTransport()}
}

// state is what the attempts for one request have in common.
type state struct {
	exchange   *ferry.Exchange
	service    *ferry.Service
	body       *replayBody
	budget     *retry.Budget
	idempotent bool
	tried      []ferry.TargetID
	spent      bool
	// shedSince is the time of the first attempt that was shed, once there is
	// one.
	shedSince ferry.Moment
	isShed    bool
	// worst is the least certain outcome of the attempts so far.
	worst ferry.Outcome
}

// step says how a request goes on after an attempt.
type step int

const (
	stepEnd step = iota
	stepRepeat
	stepFail
)

// Handle implements ferry.Handler.
func (f *Forwarder) Handle(ctx context.Context, exchange *ferry.Exchange) error {
	service := exchange.Snapshot.Service(exchange.Route.Service)
	s := &state{
		exchange: exchange,
		service:  service,
		body: &replayBody{
			source: timedReader{body: exchange.Request.Body, controller: http.NewResponseController(exchange.Writer)},
			check:  keyCheck(exchange, f.config.Snapshots),
		},
		budget:     f.config.Budgets.Budget(service.ID),
		idempotent: exchange.Route.IsIdempotent(exchange.Request.Method),
	}
	defer f.finish(s)
	s.budget.Deposit(service.Rules.RetryBudget)
	for number := 1; ; number++ {
		next, result, err := f.try(ctx, s, number)
		switch {
		case err != nil || next == stepEnd:
			return err
		case next == stepFail:
			return f.failure(ctx, s, result)
		}
	}
}

// finish leaves the caller's connection ready for its next request: nothing
// reads it any more, and the deadlines of this request do not outlast it.
func (f *Forwarder) finish(s *state) {
	controller := http.NewResponseController(s.exchange.Writer)
	s.body.close(func() {
		// The connection ends, as the rest of the body was not read.
		_ = controller.SetReadDeadline(time.Unix(0, 1))
	})
	_ = controller.SetWriteDeadline(time.Time{})
}

// try makes one attempt and decides how the request goes on.
func (f *Forwarder) try(ctx context.Context, s *state, number int) (next step, result ferry.Result, err error) {
	var pick ferry.Pick
	choice := ferry.Choice{Service: s.service.ID, Tried: s.tried, Trial: s.idempotent}
	if pick, err = f.config.Queue.Choose(ctx, s.exchange.Account, choice); err != nil {
		return stepEnd, result, withOutcome(err, s.worst)
	}
	result = ferry.Result{Load: -1}
	defer func() { f.config.Queue.Release(f.config.Clock.Now(), pick, result) }()
	if err = f.authorize(ctx, s); err != nil {
		return stepEnd, result, withOutcome(err, s.worst)
	}
	a := &attempt{exchange: s.exchange, pick: pick, stall: s.service.Rules.StallAfter, body: s.body.next()}
	var answer *http.Response
	answer, result = a.send(ctx, f.transport)
	if result.Verdict != ferry.VerdictShed {
		s.tried = append(s.tried, pick.Target.ID)
	}
	s.budget.Observe(result)
	next = f.decide(ctx, s, number, result)
	switch {
	case next == stepEnd:
		result.Verdict, err = f.pass(a, answer, result.Verdict)
	case answer != nil:
		a.cancel(nil)
		_ = answer.Body.Close()
	}
	s.worst = max(s.worst, result.Outcome)
	f.config.Observer.Observe(f.config.Clock.Now(), pick.Target, result)
	f.logAttempt(s, pick, number, result)
	return next, result, err
}

// decide returns what follows an attempt. It spends from the retry budget
// when the request is to be repeated.
func (f *Forwarder) decide(ctx context.Context, s *state, number int, result ferry.Result) step {
	isAnswer := result.Outcome == ferry.OutcomeDone
	if isAnswer && result.Verdict != ferry.VerdictErrorStatus {
		return stepEnd
	}
	if result.Verdict == ferry.VerdictShed {
		return f.decideShed(ctx, s)
	}
	mayRepeat := number < retry.MaxAttempts && ctx.Err() == nil && retry.IsRetryable(s.idempotent, result)
	if mayRepeat && s.body.canReplay() && s.budget.TryWithdraw() {
		return stepRepeat
	}
	if isAnswer {
		return stepEnd
	}
	return stepFail
}

// shedPatience is the time for which a request that targets shed waits for a
// slot.
const shedPatience = time.Second

// decideShed lets a request that a full target did not run wait for a slot
// again. It spends nothing from the retry budget, because the balancer pauses
// targets that shed.
func (f *Forwarder) decideShed(ctx context.Context, s *state) step {
	now := f.config.Clock.Now()
	if !s.isShed {
		s.isShed, s.shedSince = true, now
	}
	if ctx.Err() == nil && s.body.canReplay() && now.Since(s.shedSince) < shedPatience {
		return stepRepeat
	}
	return stepFail
}

// authorize checks key and allowance immediately before the request is
// written. A permit that expired while the request waited is replaced once.
func (f *Forwarder) authorize(ctx context.Context, s *state) (err error) {
	if err = s.body.check(); err != nil {
		return auth.NewUnknownKeyError()
	}
	if s.exchange.Permit == nil || s.spent {
		return nil
	}
	if s.spent = s.exchange.Permit.Spend(f.config.Clock.Now()); s.spent {
		return nil
	}
	if s.exchange.Permit, err = f.config.Limiter.Admit(ctx, s.exchange.Account); err != nil {
		return err
	}
	if s.spent = s.exchange.Permit.Spend(f.config.Clock.Now()); s.spent {
		return nil
	}
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: "the allowance expired before the request could be sent",
	}
}

// withOutcome raises the outcome of a refusal to that of earlier attempts.
func withOutcome(err error, worst ferry.Outcome) error {
	var refusal *ferry.RefusalError
	if errors.As(err, &refusal) && worst > ferry.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = ferry.OutcomeUnknown
		return &changed
	}
	return err
}

// failure builds the refusal after the last attempt.
func (f *Forwarder) failure(ctx context.Context, s *state, result ferry.Result) error {
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
	case isTimeout(callerError):
		refusal.Status, refusal.Reason = http.StatusRequestTimeout, ferry.ReasonMalformed
	case callerError != nil:
		refusal.Status, refusal.Reason = http.StatusBadRequest, ferry.ReasonMalformed
	case result.Verdict == ferry.VerdictShed:
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, ferry.ReasonOverload, time.Second
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), result.Verdict == ferry.VerdictStall:
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, ferry.ReasonDeadline
	}
	if s.worst > ferry.OutcomeNotRun {
		refusal.Outcome = ferry.OutcomeUnknown
	}
	return refusal
}

// errCutAnswer ends a request whose answer could not be passed on whole.
var errCutAnswer = errors.New("the answer was cut short")

// pass streams the answer to the caller and returns the final verdict. It
// returns errCutAnswer when the answer did not arrive whole.
func (f *Forwarder) pass(a *attempt, answer *http.Response, verdict ferry.Verdict) (ferry.Verdict, error) {
	defer a.cancel(nil)
	defer func() { _ = answer.Body.Close() }()
	writer := a.exchange.Writer
	removeHopByHop(answer.Header)
	answer.Header.Del(ferry.HeaderLoad)
	for name := range answer.Trailer {
		writer.Header().Add("Trailer", name)
	}
	copyHeader(writer.Header(), answer.Header)
	writer.Header().Set(ferry.HeaderOutcome, ferry.OutcomeDone.String())
	writer.WriteHeader(answer.StatusCode)
	source := &watchedBody{body: answer.Body, stall: a.stall, cancel: a.cancel, check: keyCheck(a.exchange, f.config.Snapshots)}
	sink := &callerSink{writer: writer, controller: http.NewResponseController(writer), flush: answer.ContentLength < 0}
	if _, err := io.Copy(sink, source); err == nil {
		copyHeader(writer.Header(), answer.Trailer)
		return verdict, nil
	}
	f.config.Metrics.cutAnswers.Inc()
	if source.failed {
		return source.verdict(), errCutAnswer
	}
	return ferry.VerdictNone, errCutAnswer
}

// logAttempt writes the routing decision and counts it.
func (f *Forwarder) logAttempt(s *state, pick ferry.Pick, number int, result ferry.Result) {
	var account ferry.AccountID
	if s.exchange.Account != nil {
		account = s.exchange.Account.ID
	}
	f.config.Metrics.attempt(s.service.ID, result)
	f.config.Log.Info("routed",
		slog.String("request", s.exchange.ID), slog.String("account", string(account)),
		slog.String("service", string(s.service.ID)), slog.String("target", string(pick.Target.ID)),
		slog.String("place", string(pick.Target.Place)), slog.String("reason", string(pick.Reason)),
		slog.Int("attempt", number), slog.String("verdict", result.Verdict.String()),
		slog.String("outcome", result.Outcome.String()))
}
