package relay

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// stage is how far a request in progress has come.
type stage int32

const (
	// stageWaiting is a request that no target has got.
	stageWaiting stage = iota
	// stageSent is one that a target may run.
	stageSent
	// stageAnswered is one whose response to the caller has begun.
	stageAnswered
)

// String returns the name of the stage in logs and metrics.
func (s stage) String() string { return [...]string{"Waiting", "Sent", "Answered"}[s] }

// passage is a request in progress as a planned stop sees it.
type passage struct {
	id      string
	arrived ferry.Moment
	stage   atomic.Int32
	// target is the one that got the request last, or nil.
	target atomic.Pointer[ferry.Target]
	// demand is what the request needs of the rest of a grace period, nil until its route
	// is known.
	demand atomic.Pointer[demand]
	// end cancels the context of the request, with a cause. isEnded reports that a planned
	// stop has called it.
	end     context.CancelCauseFunc
	isEnded atomic.Bool
}

// demand is what a request needs of the rest of a grace period.
type demand struct {
	// usual is the time within which targets answer nearly all requests of the route,
	// deadline the monotonic time at which the caller stops to wait.
	usual, deadline time.Duration
}

// at returns the need of the request at a moment.
func (d *demand) at(now ferry.Moment) drain.Need {
	if d == nil {
		return drain.Need{}
	}
	return drain.Need{Usual: d.usual, Longest: d.deadline - now.Monotonic}
}

// passageKey is the context key of a request's passage.
type passageKey struct{}

// passageOf returns the passage of a request, or one that nobody sees.
func passageOf(ctx context.Context) *passage {
	if p, ok := ctx.Value(passageKey{}).(*passage); ok {
		return p
	}
	return &passage{}
}

func (p *passage) enter(s stage) { p.stage.Store(int32(s)) }

// send notes that a target gets the request.
func (p *passage) send(target *ferry.Target) {
	p.target.Store(target)
	p.enter(stageSent)
}

// attributes describes the passage in the log.
func (p *passage) attributes(now ferry.Moment) []slog.Attr {
	var target ferry.TargetID
	if sentTo := p.target.Load(); sentTo != nil {
		target = sentTo.ID
	}
	return []slog.Attr{
		slog.String("request", p.id), slog.String("stage", stage(p.stage.Load()).String()),
		slog.String("target", string(target)), slog.Duration("age", now.Since(p.arrived)),
	}
}

// passages holds the requests in progress. The zero passages are empty.
type passages struct {
	mu   sync.Mutex
	open map[*passage]struct{}
}

func (p *passages) add(added *passage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[*passage]struct{}{}
	}
	p.open[added] = struct{}{}
}

func (p *passages) remove(removed *passage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, removed)
}

// list returns the requests in progress.
func (p *passages) list() []*passage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.open))
}

// Decisions about a request while the VM stops, in logs and metrics.
const (
	stopArrived = "Arrived"
	stopSent    = "Sent"
	stopRefused = "Refused"
	stopEnded   = "Ended"
	stopCut     = "Cut"
)

// stopLog logs and counts what becomes of requests while the VM stops.
type stopLog struct {
	log     *slog.Logger
	metrics *Metrics
}

func (l stopLog) write(ctx context.Context, decision string, left time.Duration, p *passage, now ferry.Moment, more ...slog.Attr) {
	l.metrics.countStopDecision(decision)
	l.log.LogAttrs(ctx, slog.LevelInfo, "request while stopping",
		append(append(p.attributes(now), slog.String("decision", decision), slog.Duration("graceLeft", left)), more...)...)
}

// originAttributes describes how a request reached the VM.
func originAttributes(origin drain.Origin) []slog.Attr {
	return []slog.Attr{slog.Bool("kept", origin.IsKept), slog.Duration("waited", origin.Waited), slog.Duration("header", origin.Header)}
}
