package room

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// MaxRanks is the number of ranks that are told apart. Less urgent ones share the last.
	MaxRanks = 16
	// DefaultLowerRankShare is the default of Room.LowerRankShare.
	DefaultLowerRankShare = 0.05
	// maxQueued, maxQueuedBytes and maxWait bound the queue of a service, in requests,
	// in bytes of their bodies, and the time of a request in it. An account has at most
	// half of the requests.
	maxQueued      = 1000
	maxQueuedBytes = 16 << 20
	maxWait        = 5 * time.Second
	// optimism is the part of an expected wait that must fit: a wrong refusal costs more
	// than a place in the queue.
	optimism = 0.8
	// caution is the part of an expected wait that must fit before the objective: one
	// late request in a queue makes those behind it late.
	caution = 1.33
	// maxReturn bounds the RetryAfter, and returnPart the part of a caller's remaining
	// time that it takes: callers that are told more return when they like.
	maxReturn  = 2 * time.Second
	returnPart = 0.33
	// goldenRatio spreads the returns of callers for whom the schedule is too long.
	goldenRatio = 0.6180339887
	// minReturn is the least RetryAfter: less is a repetition at once.
	minReturn = 50 * time.Millisecond
)

// Request is a request for which room is wanted.
type Request struct {
	Account ferry.AccountID
	// Rank orders requests; zero is the most urgent.
	Rank int
	// Weight is the part of the account among others of its rank; zero stands for one.
	Weight float64
	// Bytes is what the request holds while it waits.
	Bytes int64
	// Deadline is the monotonic time by which the caller gets a response, and Objective
	// that by which it wants one, or zero.
	Deadline  time.Duration
	Objective time.Duration
}

func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// Ticket is the place of a request that waits or is in flight.
type Ticket struct {
	// Result gets one value unless the request was sent at once, or is canceled.
	Result chan Resolution
	// Until is the last time at which it is of use to admit the request.
	Until time.Duration

	request    Request
	queuedAt   time.Duration
	admittedAt time.Duration
	isInFlight bool
	lane       *lane
	flow       *flow
	sequence   uint64
	index      int
}

// Resolution ends the wait of a request.
type Resolution struct {
	// Refusal is nil if the request was admitted.
	Refusal *Refusal
	Waited  time.Duration
}

// Refusal tells why there is no room for a request, and when there may be.
type Refusal struct {
	Reason       string
	RetryAfter   time.Duration
	ExpectedWait time.Duration
}

// Decision is the decision about a request. Without a Ticket it is refused.
type Decision struct {
	Ticket *Ticket
	// IsWaiting reports that the Ticket's Result decides.
	IsWaiting bool
	// IsReturning reports that it goes before new requests: it came back in its time, or
	// a full target shed it.
	IsReturning  bool
	ExpectedWait time.Duration
	Refusal      *Refusal
}

// Room is the room of one service at one VM. The zero Room is ready to use.
type Room struct {
	// LowerRankShare is the part of the room that each rank keeps beside more urgent
	// ones, from 0 to 1; zero stands for the default.
	LowerRankShare float64

	limiter  limiter
	ranks    [MaxRanks]*rank
	inFlight int
	queued   int
	bytes    int64
	refused  uint64
}

// Status is the state of a Room.
type Status struct {
	// Limit is the number of requests in flight that are allowed, zero for any.
	Limit    float64
	InFlight int
	Queued   int
	// ExpectedWait is that of a further request of the most urgent rank.
	ExpectedWait time.Duration
	// ReportAge is the time since the last report of a full target, zero without a limit.
	ReportAge time.Duration
}

// Status returns the state at now.
func (r *Room) Status(now time.Duration) Status {
	status := Status{Limit: r.limiter.limit, InFlight: r.inFlight, Queued: r.queued}
	if r.limiter.isActive() {
		status.ExpectedWait = r.expectedWait(now, Request{}, false)
		status.ReportAge = now - r.limiter.fullAt
	}
	return status
}

// OpensAt returns the end of the last pause, after which Dispatch is due.
func (r *Room) OpensAt() time.Duration { return r.limiter.opensAt }

// Arrive decides about a new request.
func (r *Room) Arrive(now time.Duration, request Request) Decision {
	r.limiter.expire(now, r.queued)
	t := &Ticket{request: request}
	if !r.limiter.isActive() && r.queued == 0 {
		r.admit(now, t)
		return Decision{Ticket: t}
	}
	k := r.rank(request.Rank)
	k.arrive(now)
	isReturning := k.takePromise(now, request.Account)
	if r.queued == 0 && r.limiter.allows(now, r.inFlight) {
		r.admit(now, t)
		return Decision{Ticket: t}
	}
	return r.enqueue(now, t, isReturning)
}

// Shed decides about a request in flight that a full target with the reported load shed:
// it is sent again, or waits before new requests of its rank, or is refused.
func (r *Room) Shed(now time.Duration, t *Ticket, load ferry.TargetLoad) Decision {
	r.limiter.full(now, r.inFlight, load)
	if !t.isInFlight || !r.limiter.isActive() || r.limiter.allows(now, r.inFlight-1) {
		return Decision{Ticket: t}
	}
	r.leave(now, t)
	decision := r.enqueue(now, &Ticket{request: t.request}, true)
	r.Dispatch(now)
	return decision
}

// Answer ends a request in flight that a target with the reported load, which counts the
// request, answered.
func (r *Room) Answer(now time.Duration, t *Ticket, load ferry.TargetLoad) {
	if t.isInFlight {
		r.limiter.answered(now, now-t.admittedAt, r.inFlight, r.queued, load)
		r.Release(now, t)
	}
}

// Release ends a request in flight that no target answered, or whose answer tells
// nothing. It does nothing for one that has ended.
func (r *Room) Release(now time.Duration, t *Ticket) {
	if !t.isInFlight {
		return
	}
	r.leave(now, t)
	r.limiter.expire(now, r.queued)
	r.Dispatch(now)
}

// leave takes a request out of those in flight.
func (r *Room) leave(now time.Duration, t *Ticket) {
	t.isInFlight = false
	r.inFlight--
	r.limiter.pause(now)
}

// Cancel takes a waiting request out of the queue. It reports whether it still waited;
// otherwise its Result has a value.
func (r *Room) Cancel(t *Ticket) bool {
	if t.lane == nil {
		return false
	}
	r.remove(t)
	return true
}

// Refuse returns a refusal with the next place in the schedule, for a request that was
// in flight or waited without success.
func (r *Room) Refuse(now time.Duration, request Request, reason string) *Refusal {
	return r.refuse(now, r.rank(request.Rank), request, reason, r.expectedWait(now, request, false))
}

// Dispatch admits waiting requests while there is room. Those that it finds too late are
// refused.
func (r *Room) Dispatch(now time.Duration) {
	for r.queued > 0 && r.limiter.allows(now, r.inFlight) {
		k := r.next()
		l := &k.fresh
		if k.returning.queued > 0 {
			l = &k.returning
		}
		t := l.pop()
		r.queued--
		r.bytes -= t.request.Bytes
		if now > t.Until {
			refusal := r.refuse(now, k, t.request, "the deadline cannot be met any more", 0)
			t.Result <- Resolution{Refusal: refusal, Waited: now - t.queuedAt}
			continue
		}
		r.admit(now, t)
		t.Result <- Resolution{Waited: now - t.queuedAt}
	}
}

func (r *Room) admit(now time.Duration, t *Ticket) {
	t.admittedAt, t.isInFlight = now, true
	r.inFlight++
}

// next returns the rank that is served next: the most urgent one, or a less urgent one
// that is owed a request. One request at least must wait.
func (r *Room) next() *rank {
	var first *rank
	for _, k := range &r.ranks {
		switch {
		case k == nil:
		case k.queued() == 0:
			k.credit = 0
		case first == nil:
			first = k
		default:
			if k.credit += r.lowerRankShare(); k.credit >= 1 {
				k.credit--
				return k
			}
		}
	}
	return first
}

func (r *Room) lowerRankShare() float64 {
	if r.LowerRankShare > 0 {
		return r.LowerRankShare
	}
	return DefaultLowerRankShare
}

// enqueue lets a request wait, or refuses it.
func (r *Room) enqueue(now time.Duration, t *Ticket, isReturning bool) Decision {
	k := r.rank(t.request.Rank)
	wait := r.expectedWait(now, t.request, isReturning)
	if reason := r.refusalReason(now, t.request, wait); reason != "" {
		return Decision{Refusal: r.refuse(now, k, t.request, reason, wait), ExpectedWait: wait}
	}
	if !r.makeSpace(now, t.request) {
		return Decision{Refusal: r.refuse(now, k, t.request, "the queue is full", wait), ExpectedWait: wait}
	}
	t.Result = make(chan Resolution, 1)
	t.queuedAt = now
	t.Until = min(now+maxWait, t.request.Deadline-r.neededTime())
	l := &k.fresh
	if isReturning {
		l = &k.returning
	}
	l.push(t)
	r.queued++
	r.bytes += t.request.Bytes
	r.Dispatch(now)
	return Decision{Ticket: t, IsWaiting: true, IsReturning: isReturning, ExpectedWait: wait}
}

// neededTime is the time that a request needs once it is admitted, by an optimistic
// estimate.
func (r *Room) neededTime() time.Duration {
	return time.Duration(optimism * float64(r.limiter.serviceTime()))
}

// refusalReason returns why a request is refused at once, or nothing.
func (r *Room) refusalReason(now time.Duration, request Request, wait time.Duration) string {
	serviceTime := r.limiter.serviceTime()
	switch {
	case now+time.Duration(optimism*float64(wait))+r.neededTime() > request.Deadline:
		return "no room expected before the deadline"
	case request.Objective > now+serviceTime && now+time.Duration(caution*float64(wait))+serviceTime > request.Objective:
		return "no room expected within the objective"
	}
	return ""
}

// makeSpace reports whether the queue has space for a request, if need be after the
// last request of a less urgent rank was refused.
func (r *Room) makeSpace(now time.Duration, request Request) bool {
	if f := r.rank(request.Rank).fresh.flows[request.Account]; f != nil && len(f.tickets) >= maxQueued/2 {
		return false
	}
	for r.queued >= maxQueued || r.bytes+request.Bytes > maxQueuedBytes {
		last := r.lastBelow(request.Rank)
		if last == nil {
			return false
		}
		r.remove(last)
		refusal := r.refuse(now, r.rank(last.request.Rank), last.request, "a more urgent request took the place", 0)
		last.Result <- Resolution{Refusal: refusal, Waited: now - last.queuedAt}
	}
	return true
}

// lastBelow returns a waiting request of the least urgent rank below the given one.
func (r *Room) lastBelow(above int) *Ticket {
	for i := MaxRanks - 1; i > rankIndex(above); i-- {
		k := r.ranks[i]
		if k == nil || k.queued() == 0 {
			continue
		}
		l := &k.fresh
		if l.queued == 0 {
			l = &k.returning
		}
		f := l.active[len(l.active)-1]
		return f.tickets[len(f.tickets)-1]
	}
	return nil
}

func (r *Room) remove(t *Ticket) {
	t.lane.remove(t)
	r.queued--
	r.bytes -= t.request.Bytes
}

// expectedWait estimates the wait of a further request.
func (r *Room) expectedWait(now time.Duration, request Request, isReturning bool) time.Duration {
	if r.queued == 0 && r.limiter.allows(now, r.inFlight) || !r.limiter.isActive() {
		return 0
	}
	urgent, arrivals := 0, 0.0
	for _, k := range r.ranks[:rankIndex(request.Rank)] {
		if k != nil {
			urgent += k.queued()
			arrivals += k.arrivalRate(now)
		}
	}
	k := r.rank(request.Rank)
	own := k.returning.ahead(request) + 1
	if !isReturning {
		own = float64(k.returning.queued) + k.fresh.ahead(request) + 1
	}
	capacity := r.limiter.capacity()
	seconds := own / (capacity * r.lowerRankShare())
	if free := capacity - arrivals; free > 0 {
		seconds = min(seconds, (float64(urgent)+own)/free)
	}
	return durationOf(seconds)
}

// refuse returns a refusal with the next place in the schedule of the rank.
func (r *Room) refuse(now time.Duration, k *rank, request Request, reason string, wait time.Duration) *Refusal {
	interval := 1 / max(0.1, r.limiter.capacity())
	if lower := rankIndex(request.Rank); lower > 0 {
		interval /= r.freePart(now, lower)
	}
	earliest := now + max(wait, r.limiter.serviceTime())
	k.lastReturn = max(k.lastReturn, earliest-durationOf(interval)) + durationOf(interval)
	latest := min(maxReturn, time.Duration(returnPart*float64(max(0, request.Deadline-now))))
	due := k.lastReturn
	if due > now+latest {
		// The schedule is longer than callers wait. They return spread over the end of it.
		r.refused++
		_, part := math.Modf(float64(r.refused) * goldenRatio)
		due = now + latest - time.Duration(part*float64(latest)/2)
		k.lastReturn = min(k.lastReturn, now+maxReturn)
	}
	k.promise(now, request.Account, due)
	return &Refusal{Reason: reason, RetryAfter: max(minReturn, due-now), ExpectedWait: wait}
}

// freePart is the part of the capacity that more urgent ranks leave to a rank.
func (r *Room) freePart(now time.Duration, lower int) float64 {
	arrivals := 0.0
	for _, k := range r.ranks[:lower] {
		if k != nil {
			arrivals += k.arrivalRate(now)
		}
	}
	return max(r.lowerRankShare(), 1-arrivals/max(0.1, r.limiter.capacity()))
}

func (r *Room) rank(request int) *rank {
	i := rankIndex(request)
	if r.ranks[i] == nil {
		r.ranks[i] = &rank{}
	}
	return r.ranks[i]
}

func rankIndex(rank int) int { return min(MaxRanks-1, max(0, rank)) }

// durationOf returns a number of seconds as a duration of a day at most.
func durationOf(seconds float64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(day.Seconds(), seconds) * float64(time.Second))
}
