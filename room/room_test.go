package room

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// fullLoad is what a full target reports, and idleLoad one with free slots.
var (
	fullLoad = ferry.TargetLoad{Known: true, Running: 4, Waiting: 4, Slots: 4}
	idleLoad = ferry.TargetLoad{Known: true, Running: 1, Slots: 4}
)

// newLimited returns a room with a limit and as many requests in flight.
func newLimited(now time.Duration, limit int) (*Room, []*Ticket) {
	r := &Room{}
	var inFlight []*Ticket
	for range limit {
		inFlight = append(inFlight, r.Arrive(now, Request{Deadline: now + time.Minute}).Ticket)
	}
	r.limiter.limit, r.limiter.evidence, r.limiter.fullAt = float64(limit), maxEvidence, now
	return r, inFlight
}

func result(t *Ticket) (resolution Resolution, ok bool) {
	select {
	case resolution = <-t.Result:
		return resolution, true
	default:
		return Resolution{}, false
	}
}

// A full target begins no limit while most reports tell of free slots. Once they tell of
// busy targets, it does.
func TestLimitBeginsWhenMostTargetsAreBusy(t *testing.T) {
	is := is.New(t)
	var r Room
	ticket := r.Arrive(0, Request{Deadline: time.Minute}).Ticket
	for range 20 {
		r.Answer(0, r.Arrive(0, Request{Deadline: time.Minute}).Ticket, idleLoad)
		is.Equal(r.Shed(0, ticket, fullLoad).Ticket, ticket)
	}
	is.Equal(r.Status(0).Limit, 0.0)
	for range 10 {
		r.Answer(0, r.Arrive(0, Request{Deadline: time.Minute}).Ticket, fullLoad)
	}
	is.Equal(r.Status(0).Limit, 0.0)
	is.Equal(r.Shed(0, ticket, fullLoad).Ticket, ticket)
	is.Equal(r.Status(0).Limit, 1.0)
	is.True(r.Arrive(0, Request{Deadline: time.Minute}).IsWaiting)
}

// A request that a full target shed while the limit is exceeded waits before new ones.
func TestShedRequestWaitsFirst(t *testing.T) {
	is := is.New(t)
	r, inFlight := newLimited(0, 2)
	later := r.Arrive(0, Request{Account: "other", Deadline: time.Minute})
	is.True(later.IsWaiting)
	shed := r.Shed(time.Second, inFlight[0], fullLoad)
	is.True(shed.IsWaiting)
	r.Release(time.Second, inFlight[1])
	resolution, ok := result(shed.Ticket)
	is.True(ok && resolution.Refusal == nil)
	_, ok = result(later.Ticket)
	is.True(!ok)
}

// Inside an account the earliest deadline that can still be met goes first.
func TestEarliestDeadlineThatCanBeMet(t *testing.T) {
	is := is.New(t)
	r, inFlight := newLimited(0, 1)
	late := r.Arrive(0, Request{Account: "a", Deadline: 20 * time.Second}).Ticket
	early := r.Arrive(0, Request{Account: "a", Deadline: 15 * time.Second}).Ticket
	lost := r.Arrive(0, Request{Account: "a", Deadline: 3 * time.Second}).Ticket
	r.Release(4*time.Second, inFlight[0])
	resolution, _ := result(lost)
	is.True(resolution.Refusal != nil)
	_, ok := result(early)
	is.True(ok)
	_, ok = result(late)
	is.True(!ok)
}

// A caller that returns in the promised time goes before new requests of its rank.
func TestReturnGoesFirst(t *testing.T) {
	is := is.New(t)
	r, inFlight := newLimited(0, 1)
	fresh := r.Arrive(0, Request{Account: "fresh", Deadline: 10 * time.Second}).Ticket
	refused := r.Arrive(0, Request{Account: "a", Deadline: 5 * time.Second, Objective: 400 * time.Millisecond})
	is.True(refused.Refusal != nil)
	now := refused.Refusal.RetryAfter
	back := r.Arrive(now, Request{Account: "a", Deadline: 5 * time.Second}).Ticket
	r.Release(now, inFlight[0])
	_, ok := result(back)
	is.True(ok)
	_, ok = result(fresh)
	is.True(!ok)
}

// Refused callers are told different times, in the rate at which room becomes free.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	r, _ := newLimited(0, 3)
	last := time.Duration(0)
	for range 5 {
		refusal := r.Refuse(0, Request{Account: "a", Deadline: 30 * time.Second}, "")
		is.True(refusal.RetryAfter > last)
		last = refusal.RetryAfter
	}
	is.True(last >= 5*100*time.Millisecond)
}

// A queue that is full in a burst gives way to more urgent requests.
func TestFullQueueMakesSpaceForUrgentRequests(t *testing.T) {
	is := is.New(t)
	r, _ := newLimited(0, maxQueued)
	var low []*Ticket
	for i := range maxQueued {
		low = append(low, r.Arrive(0, Request{Account: ferry.AccountID(fmt.Sprint(i)), Rank: 2, Deadline: time.Minute}).Ticket)
	}
	is.Equal(r.Arrive(0, Request{Account: "more", Rank: 2, Deadline: time.Minute}).Refusal.Reason, "the queue is full")
	is.True(r.Arrive(0, Request{Account: "urgent", Deadline: time.Minute}).IsWaiting)
	refused := 0
	for _, ticket := range low {
		if resolution, ok := result(ticket); ok && resolution.Refusal != nil {
			refused++
		}
	}
	is.Equal(refused, 1)
	is.Equal(r.queued, maxQueued)
}

// A VM that was frozen with a full queue refuses what is too late, sends the rest, and
// forgets its old limit.
func TestFrozenWithFullQueue(t *testing.T) {
	is := is.New(t)
	r, inFlight := newLimited(0, 10)
	var tickets []*Ticket
	for i := range 40 {
		deadline := 4 * time.Second
		if i%2 == 0 {
			deadline = time.Minute
		}
		tickets = append(tickets, r.Arrive(0, Request{Account: ferry.AccountID(fmt.Sprint(i)), Deadline: deadline}).Ticket)
	}
	thaw := 4500 * time.Millisecond
	for _, ticket := range inFlight {
		r.Answer(thaw, ticket, idleLoad)
	}
	refused := 0
	for _, ticket := range tickets {
		if resolution, ok := result(ticket); ok && resolution.Refusal != nil {
			refused++
		}
	}
	is.True(refused > 0)
	is.True(r.inFlight >= 10)
	next := r.Arrive(time.Minute, Request{Account: "new", Deadline: 2 * time.Minute})
	is.True(next.Refusal == nil)
	is.Equal(r.queued, 0)
	is.Equal(r.Status(time.Minute).Limit, 0.0)
}

// A limit without full targets ends.
func TestStaleLimitEnds(t *testing.T) {
	is := is.New(t)
	r, _ := newLimited(0, 1)
	is.True(r.Arrive(limitLifetime, Request{Deadline: time.Minute}).IsWaiting)
	last := r.Arrive(staleLimit+1, Request{Deadline: time.Minute})
	resolution, ok := result(last.Ticket)
	is.True(ok && resolution.Refusal == nil)
	is.Equal(r.queued, 0)
}

// Whatever happens, every request ends once, the counts stay right and the queue is
// bounded.
func TestRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Room{}
		now := time.Duration(0)
		var inFlight, waiting []*Ticket
		collect := func() {
			var still []*Ticket
			for _, ticket := range waiting {
				resolution, ok := result(ticket)
				switch {
				case !ok:
					still = append(still, ticket)
				case resolution.Refusal == nil:
					inFlight = append(inFlight, ticket)
				}
			}
			waiting = still
		}
		follow := func(decision Decision) {
			switch {
			case decision.Refusal != nil:
				if decision.Ticket != nil || decision.Refusal.RetryAfter <= 0 {
					t.Fatalf("refusal %+v", decision)
				}
			case decision.IsWaiting:
				waiting = append(waiting, decision.Ticket)
			default:
				inFlight = append(inFlight, decision.Ticket)
			}
		}
		// pick removes a random element.
		pick := func(list *[]*Ticket) *Ticket {
			i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
			ticket := (*list)[i]
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return ticket
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					follow(r.Arrive(now, Request{
						Account: ferry.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
						Rank:    rapid.IntRange(-1, 20).Draw(t, "rank"), Weight: rapid.Float64Range(0, 50).Draw(t, "weight"),
						Bytes: rapid.Int64Range(0, 4<<20).Draw(t, "bytes"), Deadline: now + time.Duration(rapid.IntRange(0, 6000).Draw(t, "left"))*time.Millisecond,
					}))
				}
			},
			"release": func(t *rapid.T) {
				if len(inFlight) > 0 {
					r.Answer(now, pick(&inFlight), ferry.TargetLoad{Known: true, Slots: 4, Running: rapid.IntRange(0, 4).Draw(t, "running")})
				}
			},
			"shed": func(*rapid.T) {
				if len(inFlight) > 0 {
					follow(r.Shed(now, pick(&inFlight), fullLoad))
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				if ticket := pick(&waiting); !r.Cancel(ticket) {
					t.Fatal("a waiting request was not canceled")
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{1, 50, 400, 12000}).Draw(t, "milliseconds")) * time.Millisecond
				r.Dispatch(now)
			},
			"": func(t *rapid.T) {
				collect()
				if r.queued != len(waiting) || r.inFlight != len(inFlight) {
					t.Fatalf("queued %d of %d, in flight %d of %d", r.queued, len(waiting), r.inFlight, len(inFlight))
				}
				if r.queued > maxQueued || r.bytes > maxQueuedBytes || r.bytes < 0 {
					t.Fatalf("queued %d, %d bytes", r.queued, r.bytes)
				}
			},
		})
		for len(inFlight) > 0 || len(waiting) > 0 {
			now += time.Second
			r.Dispatch(now)
			collect()
			if len(inFlight) > 0 {
				r.Answer(now, inFlight[0], idleLoad)
				inFlight = inFlight[1:]
			}
		}
		if r.inFlight != 0 || r.queued != 0 || r.bytes != 0 {
			t.Fatalf("left: %+v", r)
		}
	})
}

// BenchmarkDecision is the arrival and the end of one request with 1,000 queued and
// 27,000 accounts.
func BenchmarkDecision(b *testing.B) {
	accounts := make([]ferry.AccountID, 27000)
	for i := range accounts {
		accounts[i] = ferry.AccountID(fmt.Sprint("account-", i))
	}
	r, _ := newLimited(0, 500)
	r.limiter.average = time.Millisecond
	now := time.Duration(0)
	for i := range maxQueued - 1 {
		r.Arrive(now, Request{Account: accounts[i*27], Rank: i % 4, Deadline: 4 * time.Second})
	}
	next := 0
	b.ReportAllocs()
	for b.Loop() {
		now += 2 * time.Microsecond
		r.limiter.fullAt, r.limiter.limit = now, 500
		decision := r.Arrive(now, Request{Account: accounts[next*7919%len(accounts)], Rank: next % 4, Deadline: now + 4*time.Second})
		if decision.Refusal != nil {
			b.Fatal(decision.Refusal.Reason)
		}
		// One of those in flight ends.
		r.Answer(now, &Ticket{admittedAt: now - time.Millisecond, isInFlight: true}, idleLoad)
		next++
	}
	b.ReportMetric(float64(r.queued), "queued")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*next), "ns/decision")
}

// BenchmarkWithoutLimit is the same without a limit.
func BenchmarkWithoutLimit(b *testing.B) {
	var r Room
	for b.Loop() {
		r.Answer(0, r.Arrive(0, Request{Account: "a", Deadline: time.Minute}).Ticket, idleLoad)
	}
}
