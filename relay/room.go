package relay

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/room"
)

const (
	// maxLinesPerSecond bounds the log lines of one kind in a second on this VM.
	maxLinesPerSecond = 200
	// unlimitedWeight is the weight of accounts without a rate, and of open routes, in
	// tokens a second: that of an account of medium size.
	unlimitedWeight = 20
)

// RoomStatus is the room of one service at this VM.
type RoomStatus struct {
	Service ferry.ServiceID
	room.Status
}

// rooms hold the room of each service. The zero rooms are ready to use.
type rooms struct {
	mu       sync.RWMutex
	services map[ferry.ServiceID]*serviceRoom
	// lowerRankShare is that of each room, zero for the default.
	lowerRankShare float64
	lines          lineLimit
}

// serviceRoom guards a Room and opens it after the pauses of a limit below one.
type serviceRoom struct {
	clock ferry.Clock
	mu    sync.Mutex
	room  room.Room
	// opening is the timer for opensAt, or nil.
	opening *time.Timer
	opensAt time.Duration
}

// of returns the room of a service.
func (r *rooms) of(clock ferry.Clock, service ferry.ServiceID, metrics *Metrics) *serviceRoom {
	r.mu.RLock()
	s := r.services[service]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.services[service]; s != nil {
		return s
	}
	if r.services == nil {
		r.services = map[ferry.ServiceID]*serviceRoom{}
	}
	s = &serviceRoom{clock: clock, room: room.Room{LowerRankShare: r.lowerRankShare}}
	r.services[service] = s
	metrics.addRoom(service, s.status)
	return s
}

// SetLowerRankShare sets the part of a service's room that each rank keeps beside more
// urgent ones, zero for the default. It must be called before the first request.
func (f *Forwarder) SetLowerRankShare(share float64) { f.rooms.lowerRankShare = share }

// Rooms returns the room of each service, ordered by service.
func (f *Forwarder) Rooms() []RoomStatus {
	f.rooms.mu.RLock()
	defer f.rooms.mu.RUnlock()
	list := make([]RoomStatus, 0, len(f.rooms.services))
	for service, s := range f.rooms.services {
		list = append(list, RoomStatus{Service: service, Status: s.status()})
	}
	slices.SortFunc(list, func(a, b RoomStatus) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func (s *serviceRoom) status() room.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.Status(monotonicTime(s.clock))
}

// step calls a function of the room at the present time. Requests that still wait are
// dispatched at the end of a pause.
func (s *serviceRoom) step(decide func(now time.Duration, r *room.Room)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotonicTime(s.clock)
	decide(now, &s.room)
	opensAt := s.room.OpensAt()
	if opensAt <= now || opensAt == s.opensAt {
		return
	}
	s.opensAt = opensAt
	if s.opening != nil {
		s.opening.Stop()
	}
	s.opening = time.AfterFunc(opensAt-now, func() {
		s.step(func(now time.Duration, r *room.Room) {
			s.opensAt = 0
			r.Dispatch(now)
		})
	})
}

// requestRoom returns what the room has to know about a request.
func requestRoom(exchange *ferry.Exchange, body *payload, deadline time.Duration) room.Request {
	request := room.Request{
		Account: accountID(exchange), Rank: rankOf(exchange), Weight: unlimitedWeight,
		Bytes: int64(len(body.buffered)), Deadline: deadline,
	}
	if exchange.Account != nil && exchange.Account.Rate > 0 {
		request.Weight = exchange.Account.Rate
	}
	if exchange.Route.Objective > 0 {
		request.Objective = exchange.Arrived.Monotonic + exchange.Route.Objective
	}
	return request
}

// rankOf returns the rank of a request: that of its account goes before its route's.
func rankOf(exchange *ferry.Exchange) int {
	rank := exchange.Route.Priority
	if exchange.Account != nil && exchange.Account.HasPriority {
		rank = exchange.Account.Priority
	}
	return min(room.MaxRanks-1, max(0, rank))
}

// enterRoom returns nil once there is room for a new request.
func (f *Forwarder) enterRoom(ctx, sendCtx context.Context, r *requestState) error {
	r.room = f.rooms.of(f.clock, r.service, f.metrics)
	r.wanted = requestRoom(r.exchange, r.body, f.deadline(r.exchange))
	var decision room.Decision
	r.room.step(func(now time.Duration, inner *room.Room) { decision = inner.Arrive(now, r.wanted) })
	return f.awaitRoom(ctx, sendCtx, r, decision)
}

// awaitRoom waits as a room has decided.
func (f *Forwarder) awaitRoom(ctx, sendCtx context.Context, r *requestState, decision room.Decision) error {
	r.ticket = decision.Ticket
	if decision.Refusal != nil {
		return f.refuseForRoom(ctx, r, decision.Refusal, 0)
	}
	if !decision.IsWaiting {
		return nil
	}
	f.logRoom(ctx, r, "waits", slog.Duration("expectedWait", decision.ExpectedWait), slog.Bool("returning", decision.IsReturning))
	timer := time.NewTimer(decision.Ticket.Until - monotonicTime(f.clock))
	defer timer.Stop()
	var resolution room.Resolution
	select {
	case resolution = <-decision.Ticket.Result:
	case <-ctx.Done():
		f.leaveQueue(r)
		return f.interrupted(ctx, r)
	case <-sendCtx.Done():
		f.leaveQueue(r)
		return f.expire(ctx, r)
	case <-timer.C:
		if refusal := f.endWait(r); refusal != nil {
			return f.refuseForRoom(ctx, r, refusal, monotonicTime(f.clock)-r.exchange.Arrived.Monotonic)
		}
		resolution = <-decision.Ticket.Result
	}
	if resolution.Refusal != nil {
		r.ticket = nil
		return f.refuseForRoom(ctx, r, resolution.Refusal, resolution.Waited)
	}
	f.metrics.observeRoomWait(r.service, resolution.Waited)
	f.logRoom(ctx, r, "admitted", slog.Duration("waited", resolution.Waited))
	return nil
}

// endWait returns the refusal of a request that waited in vain, or nil if it has got a
// result meanwhile.
func (f *Forwarder) endWait(r *requestState) (refusal *room.Refusal) {
	r.room.step(func(now time.Duration, inner *room.Room) {
		if inner.Cancel(r.ticket) {
			refusal = inner.Refuse(now, r.wanted, "no room came before the deadline")
		}
	})
	return refusal
}

// leaveQueue gives back the place of a request whose caller has left or whose time is
// over, also if it was admitted meanwhile.
func (f *Forwarder) leaveQueue(r *requestState) {
	r.room.step(func(now time.Duration, inner *room.Room) {
		if !inner.Cancel(r.ticket) {
			inner.Release(now, r.ticket)
		}
	})
	r.ticket = nil
}

// leaveRoom ends a request's use of the room. answer is the good answer, or nil.
func (r *requestState) leaveRoom(answer *attempt) {
	if r.ticket == nil {
		return
	}
	ticket := r.ticket
	r.ticket = nil
	r.room.step(func(now time.Duration, inner *room.Room) {
		if answer != nil {
			inner.Answer(now, ticket, answer.response.metadata.Load)
			return
		}
		inner.Release(now, ticket)
	})
}

// isFull reports that a target did not run a request because all its slots were taken.
// A shed by a target that reports free slots is a failure of the target.
func isFull(a *attempt) bool {
	if a.verdict != ferry.VerdictShed || a.outcome != ferry.OutcomeNotRun || a.response == nil {
		return false
	}
	load := a.response.metadata.Load
	return load.Known && load.Slots > 0 && load.Running >= load.Slots && load.Waiting > 0
}

// handleFull continues a request that a full target shed: where the service has no room
// for it now, it waits or is refused instead of being sent to further full targets.
func (f *Forwarder) handleFull(ctx, sendCtx context.Context, r *requestState, a *attempt, timer *time.Timer) (isFinal bool, err error) {
	decision := f.decideAfterFull(r, a)
	r.ticket = decision.Ticket
	if decision.Refusal != nil {
		return true, f.refuseForRoom(ctx, r, decision.Refusal, 0)
	}
	// The budget goes before the wait: a request that cannot be sent again is refused at once.
	if !f.mayTryAgain(r, a) {
		if decision.IsWaiting {
			f.leaveQueue(r)
		}
		return true, f.giveUp(ctx, r, a)
	}
	// Nothing is in flight whose missing response would count.
	r.checkpoints = nil
	drain.RequestOf(ctx).Enter(drain.StageWaiting)
	if err = f.awaitRoom(ctx, sendCtx, r, decision); err != nil {
		return true, err
	}
	if err = f.startAttempt(sendCtx, r, timer); err == nil {
		return false, nil
	}
	if drain.IsRefusal(err) {
		return true, err
	}
	return true, f.giveUp(ctx, r, a)
}

// decideAfterFull tells the room of a shed by a full target. The decision says whether
// the request may be sent again now.
func (f *Forwarder) decideAfterFull(r *requestState, a *attempt) (decision room.Decision) {
	load := a.response.metadata.Load
	r.room.step(func(now time.Duration, inner *room.Room) { decision = inner.Shed(now, r.ticket, load) })
	return decision
}

// returnAfterFull is the RetryAfter of a request that found only full or absent targets.
func (f *Forwarder) returnAfterFull(r *requestState) time.Duration {
	retryAfter := shedRetryAfter
	r.room.step(func(now time.Duration, inner *room.Room) {
		if inner.Status(now).Limit > 0 {
			retryAfter = inner.Refuse(now, r.wanted, "").RetryAfter
		}
	})
	return retryAfter
}

// refuseForRoom refuses a request for want of room.
func (f *Forwarder) refuseForRoom(ctx context.Context, r *requestState, refusal *room.Refusal, waited time.Duration) error {
	f.metrics.countRoomRefusal(r.service, r.wanted.Rank)
	f.logRoom(ctx, r, "refused", slog.Duration("expectedWait", refusal.ExpectedWait), slog.Duration("waited", waited),
		slog.Duration("retryAfter", refusal.RetryAfter), slog.String("reason", refusal.Reason))
	return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonOverload, refusal.RetryAfter, refusal.Reason)
}

// logRoom logs a decision with the state that led to it.
func (f *Forwarder) logRoom(ctx context.Context, r *requestState, decision string, more ...slog.Attr) {
	if !f.rooms.lines.allows(monotonicTime(f.clock)) {
		f.metrics.countRoomLineDropped()
		return
	}
	status := r.room.status()
	f.log.LogAttrs(ctx, slog.LevelInfo, "room", append([]slog.Attr{
		slog.String("request", r.exchange.Metadata.ID), slog.String("decision", decision),
		slog.String("service", string(r.service)), slog.String("account", string(r.wanted.Account)), slog.Int("rank", r.wanted.Rank),
		slog.Float64("limit", math.Round(100*status.Limit)/100), slog.Int("inFlight", status.InFlight), slog.Int("queued", status.Queued),
		slog.Duration("reportAge", status.ReportAge),
	}, more...)...)
}

// lineLimit bounds log lines in each second. The zero lineLimit allows maxLinesPerSecond.
type lineLimit struct {
	second atomic.Int64
	lines  atomic.Int64
}

// allows reports whether another line may be written. Concurrent calls may allow a few
// more, which does no harm.
func (l *lineLimit) allows(now time.Duration) bool {
	if second := int64(now / time.Second); l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLinesPerSecond
}
