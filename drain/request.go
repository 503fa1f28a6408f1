package drain

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

// stopRetryAfter is the RetryAfter of a request that another VM can serve at once.
const stopRetryAfter = 20 * time.Millisecond

// errStopping is the cause with which a planned stop ends a request.
var errStopping = errors.New("the VM stops")

// IsEnded reports whether a planned stop has ended the request of ctx.
func IsEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// Refusal is the refusal of a request that no target has got. Other VMs serve it.
func Refusal() *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonStopping, Outcome: ferry.OutcomeNotRun,
		RetryAfter: stopRetryAfter, Detail: "the VM stops before the request could be answered",
	}
}

// IsRefusal reports whether err is a Refusal.
func IsRefusal(err error) bool {
	var refusal *ferry.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == ferry.ReasonStopping && refusal.Outcome == ferry.OutcomeNotRun
}

// Stage is how far a request in progress has come.
type Stage int32

// Stages of a request.
const (
	// StageWaiting is a request that no target has got.
	StageWaiting Stage = iota
	// StageSent is one that a target may run.
	StageSent
	// StageAnswered is one whose response to the caller has begun.
	StageAnswered
)

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string { return [...]string{"Waiting", "Sent", "Answered"}[s] }

// Request is a request in progress as a planned stop sees it.
type Request struct {
	id      string
	arrived ferry.Moment
	// end cancels the context of the request, with a cause.
	end context.CancelCauseFunc

	mu    sync.Mutex
	stage Stage
	// target is the one that got the request last, or nil.
	target *ferry.Target
	// demand is what the request needs of the rest of a grace period, nil until its route
	// is known.
	demand *Demand
	// isEnded reports that a planned stop has called end, isRefused that it has refused the
	// request, which is about to end by itself. Either is decided once.
	isEnded, isRefused bool
}

// Demand is what a request needs of the rest of a grace period.
type Demand struct {
	// Usual is the time within which targets answer nearly all requests of the route,
	// Deadline the monotonic time at which the caller stops to wait.
	Usual, Deadline time.Duration
}

// At returns the need of the request at a moment.
func (d *Demand) At(now ferry.Moment) Need {
	if d == nil {
		return Need{}
	}
	return Need{Usual: d.Usual, Longest: d.Deadline - now.Monotonic}
}

// requestKey is the context key of a Request.
type requestKey struct{}

// RequestOf returns the Request of a context, or one that no stop sees.
func RequestOf(ctx context.Context) *Request {
	if p, ok := ctx.Value(requestKey{}).(*Request); ok {
		return p
	}
	return &Request{}
}

// SetDemand notes what the request needs of the rest of a grace period.
func (p *Request) SetDemand(d *Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand = d
}

// Enter notes how far the request has come. It reports false if a planned stop has ended
// it before.
func (p *Request) Enter(s Stage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isEnded {
		return false
	}
	p.stage = s
	return true
}

// Send notes that a target is about to get the request. It reports false if a planned
// stop has ended the request: then it must not be sent.
func (p *Request) Send(target *ferry.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isEnded {
		return false
	}
	p.stage, p.target = StageSent, target
	return true
}

func (p *Request) stageNow() Stage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage
}

// isOverdue reports whether the request can't be answered in the rest of the grace period.
// A response that has begun goes on until the VM closes.
func (p *Request) isOverdue(grace *Grace, now ferry.Moment) bool {
	switch p.stage {
	case StageWaiting:
		return !grace.Admits(now, p.demand.At(now))
	case StageSent:
		return grace.isOver(now)
	default:
		return false
	}
}

// tryEnd marks an overdue request as ended. It reports false for others.
func (p *Request) tryEnd(grace *Grace, now ferry.Moment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isEnded || p.isRefused || !p.isOverdue(grace, now) {
		return false
	}
	p.isEnded = true
	return true
}

// tryRefuse marks a request as refused. It reports false if a planned stop has refused or
// ended it before.
func (p *Request) tryRefuse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isEnded || p.isRefused {
		return false
	}
	p.isRefused = true
	return true
}

// Result returns the result of a request that ended with err, if a planned stop has
// ended it. Where it waited, what it waited for is not why it ends.
func (p *Request) Result(ctx context.Context, err error) error {
	var refusal *ferry.RefusalError
	isNotRun := p.stageNow() == StageWaiting || errors.As(err, &refusal) && refusal.Outcome == ferry.OutcomeNotRun
	if err == nil || !isNotRun || !IsEnded(ctx) {
		return err
	}
	return Refusal()
}

// attributes describes the request in the log.
func (p *Request) attributes(now ferry.Moment) []slog.Attr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var target ferry.TargetID
	if p.target != nil {
		target = p.target.ID
	}
	return []slog.Attr{
		slog.String("request", p.id), slog.String("stage", p.stage.String()),
		slog.String("target", string(target)), slog.Duration("age", now.Since(p.arrived)),
	}
}

// Decision is what becomes of a request while the VM stops, in logs and metrics.
type Decision string

// Decisions about requests.
const (
	Arrived Decision = "Arrived"
	Sent    Decision = "Sent"
	Refused Decision = "Refused"
	Ended   Decision = "Ended"
	Cut     Decision = "Cut"
)

// Log logs and counts what becomes of requests while the VM stops.
type Log struct {
	Log   *slog.Logger
	Count func(Decision)
}

// Write logs a decision about a request. left is the rest of the time of targets.
func (l Log) Write(ctx context.Context, decision Decision, left time.Duration, p *Request, now ferry.Moment, more ...slog.Attr) {
	l.Count(decision)
	l.Log.LogAttrs(ctx, slog.LevelInfo, "request while stopping",
		append(append(p.attributes(now), slog.String("decision", string(decision)), slog.Duration("graceLeft", left)), more...)...)
}

// Check returns a refusal of a request that must not be sent any more, and logs it. The
// request ends with it, or with what is known of an earlier attempt.
func (l Log) Check(ctx context.Context, grace *Grace, now ferry.Moment, need Need) error {
	p := RequestOf(ctx)
	if grace.Admits(now, need) {
		return nil
	}
	if !p.tryRefuse() {
		return Refusal()
	}
	left, _ := grace.Left(now)
	l.Write(ctx, Refused, left, p, now, slog.Duration("usual", need.Usual), slog.Duration("longest", need.Longest))
	return Refusal()
}

// Requests holds the requests in progress of a VM. It must not be copied.
type Requests struct {
	// Grace is the grace period of the VM, or nil if it never stops.
	Grace *Grace
	Log   Log

	mu   sync.Mutex
	open map[*Request]struct{}
}

// Enter adds a request and returns its context, which a planned stop may end.
func (s *Requests) Enter(ctx context.Context, id string, arrived ferry.Moment) (context.Context, *Request) {
	p := &Request{id: id, arrived: arrived}
	ctx, p.end = context.WithCancelCause(context.WithValue(ctx, requestKey{}, p))
	s.add(p)
	if left, isStopping := s.Grace.Left(arrived); isStopping {
		s.Log.Write(ctx, Arrived, left, p, arrived, OriginOf(ctx).attributes()...)
	}
	return ctx, p
}

func (s *Requests) add(p *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*Request]struct{}{}
	}
	s.open[p] = struct{}{}
}

// Leave removes a request.
func (s *Requests) Leave(p *Request) {
	p.end(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
}

func (s *Requests) list() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// EndOverdue ends the requests that can't be answered in the rest of the grace period:
// one that no target has got as soon as that is known, one at a target when the time of
// targets is over. It returns how many it has ended, none before the grace period.
func (s *Requests) EndOverdue(ctx context.Context, now ferry.Moment) (ended int) {
	left, isStopping := s.Grace.Left(now)
	if !isStopping {
		return 0
	}
	for _, p := range s.list() {
		if p.tryEnd(s.Grace, now) {
			s.Log.Write(ctx, Ended, left, p, now)
			p.end(errStopping)
			ended++
		}
	}
	return ended
}

// LogCut logs the requests in progress when the VM closes.
func (s *Requests) LogCut(ctx context.Context, now ferry.Moment) {
	left, _ := s.Grace.Left(now)
	for _, p := range s.list() {
		s.Log.Write(ctx, Cut, left, p, now)
	}
}

// ResponseWriter asks callers to close their connections once the VM stops. The field is
// set with the head of the response, since the stop may begin while a target works on it.
type ResponseWriter struct {
	http.ResponseWriter
	Grace *Grace
}

// WriteHeader implements http.ResponseWriter.
func (w ResponseWriter) WriteHeader(status int) {
	if w.Grace.IsStopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for an http.ResponseController.
func (w ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
