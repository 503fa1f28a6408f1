// Package queue lets requests wait in fair order while every target is busy.
//
// # Concept
//
// Each service has a line of waiting requests. The line serves client accounts
// by weighted fair queuing: every request gets a virtual finish time that
// grows with the requests its client account has waiting, divided by the
// account's rate, and the lowest finish time goes first. A client account that
// sends far more than others therefore waits behind them, not before them.
//
// Lines and waits are bounded. A request that cannot be served in time is
// refused early, with the truthful outcome that it was not run.
//
// # Usage
//
//	fair := queue.NewFair(balancer, clock)
//	pick, err := fair.Choose(ctx, account, choice)
//	// send the request
//	fair.Release(now, pick, result)
//
// Run looks for free targets every few milliseconds while requests wait,
// because targets also become free through other VMs.
package queue

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// maxWait is the longest time in a line.
	maxWait = time.Second
	// maxPerAccount and maxPerLine bound the waiting requests.
	maxPerAccount = 64
	maxPerLine    = 1024
	// openWeight is the weight of requests on open routes, in requests per
	// second.
	openWeight = 10
)

// ticket is one waiting request.
type ticket struct {
	account ferry.AccountID
	choice  ferry.Choice
	finish  float64
	result  chan outcome
}

type outcome struct {
	pick ferry.Pick
	err  error
}

// line holds the waiting requests of one service.
type line struct {
	waiting atomic.Int64

	mu      sync.Mutex
	tickets []*ticket
	counts  map[ferry.AccountID]int
	// finishes are the last virtual finish times by account.
	finishes map[ferry.AccountID]float64
	// virtual is the finish time of the last served request.
	virtual float64
}

// FairQueue adds waiting to a balancer. It is safe for concurrent use.
type FairQueue struct {
	balancer ferry.Balancer
	clock    ferry.Clock
	lines    sync.Map
	// joined signals that a request has begun to wait.
	joined chan struct{}
}

// NewFairQueue returns a queue in front of the balancer.
func NewFairQueue(balancer ferry.Balancer, clock ferry.Clock) *FairQueue {
	return &FairQueue{balancer: balancer, clock: clock, joined: make(chan struct{}, 1)}
}

// Choose reserves a target and waits for one in fair order while all are busy.
// The account is nil on an open route. It returns a *ferry.RefusalError when no
// target became free in time.
func (f *FairQueue) Choose(ctx context.Context, account *ferry.Account, choice ferry.Choice) (ferry.Pick, error) {
	l := f.line(choice.Service)
	if l.waiting.Load() == 0 {
		pick, err := f.balancer.Choose(f.clock.Now(), choice)
		if !isOverload(err) {
			return pick, err
		}
	}
	t := l.join(account, choice)
	if t == nil {
		return ferry.Pick{}, overload("too many requests wait for the service")
	}
	select {
	case f.joined <- struct{}{}:
	default:
	}
	l.dispatch(f)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case o := <-t.result:
		return o.pick, o.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if l.leave(t) {
		return ferry.Pick{}, overload("every target of the service stayed busy")
	}
	o := <-t.result
	return o.pick, o.err
}

// Release ends the attempt on a target and serves the next waiting request.
func (f *FairQueue) Release(now ferry.Moment, pick ferry.Pick, result ferry.Result) {
	f.balancer.Release(now, pick, result)
	if l := f.line(pick.Target.Service); l.waiting.Load() > 0 {
		l.dispatch(f)
	}
}

// pollInterval is the time between two looks for targets that became free.
const pollInterval = 5 * time.Millisecond

// Run serves waiting requests as targets become free, until ctx ends. It
// sleeps while no request waits.
func (f *FairQueue) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.joined:
		case <-ctx.Done():
			return nil
		}
		ticker.Reset(pollInterval)
		for f.Waiting() > 0 && ctx.Err() == nil {
			<-ticker.C
			f.poll()
		}
		ticker.Stop()
	}
}

// poll serves waiting requests for which a target has become free.
func (f *FairQueue) poll() {
	f.lines.Range(func(_, value any) bool {
		if l := value.(*line); l.waiting.Load() > 0 {
			l.dispatch(f)
		}
		return true
	})
}

// Waiting returns the number of waiting requests.
func (f *FairQueue) Waiting() int {
	total := 0
	f.lines.Range(func(_, value any) bool {
		total += int(value.(*line).waiting.Load())
		return true
	})
	return total
}

func (f *FairQueue) line(id ferry.ServiceID) *line {
	if found, ok := f.lines.Load(id); ok {
		return found.(*line)
	}
	found, _ := f.lines.LoadOrStore(id, &line{
		counts: map[ferry.AccountID]int{}, finishes: map[ferry.AccountID]float64{},
	})
	return found.(*line)
}

// join appends a request. It returns nil when the line or the account's part
// of it is full.
func (l *line) join(account *ferry.Account, choice ferry.Choice) *ticket {
	t := &ticket{choice: choice, result: make(chan outcome, 1)}
	weight := float64(openWeight)
	if account != nil {
		t.account, weight = account.ID, account.Rate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tickets) >= maxPerLine || l.counts[t.account] >= maxPerAccount {
		return nil
	}
	t.finish = max(l.virtual, l.finishes[t.account]) + 1/weight
	l.finishes[t.account] = t.finish
	l.counts[t.account]++
	l.tickets = append(l.tickets, t)
	l.waiting.Add(1)
	return t
}

// leave removes a request. It returns false when the request has its result.
func (l *line) leave(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.tickets {
		if other == t {
			l.remove(i)
			return true
		}
	}
	return false
}

// remove drops the ticket at index i.
func (l *line) remove(i int) {
	t := l.tickets[i]
	l.tickets = append(l.tickets[:i], l.tickets[i+1:]...)
	l.waiting.Add(-1)
	if l.counts[t.account]--; l.counts[t.account] == 0 {
		delete(l.counts, t.account)
		if l.finishes[t.account] <= l.virtual {
			delete(l.finishes, t.account)
		}
	}
	if len(l.tickets) == 0 {
		l.virtual = 0
		clear(l.finishes)
	}
}

// dispatch serves the requests with the lowest finish times while targets are
// free.
func (l *line) dispatch(f *FairQueue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.tickets) > 0 {
		first := 0
		for i, t := range l.tickets {
			if t.finish < l.tickets[first].finish {
				first = i
			}
		}
		t := l.tickets[first]
		pick, err := f.balancer.Choose(f.clock.Now(), t.choice)
		if isOverload(err) {
			return
		}
		l.virtual = max(l.virtual, t.finish)
		l.remove(first)
		t.result <- outcome{pick: pick, err: err}
	}
}

func isOverload(err error) bool {
	var refusal *ferry.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == ferry.ReasonOverload
}

func overload(detail string) *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonOverload, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: detail,
	}
}
