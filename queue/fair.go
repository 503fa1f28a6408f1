// Package queue queues requests in fair order while every target is busy.
//
// # Concept
//
// Each service has a queue of waiting requests. The queue serves client
// accounts by weighted fair queuing: every request gets a virtual finish time
// that grows with the number of waiting requests of its client account, divided
// by the account's rate, and the lowest finish time is served first. A client
// account that sends far more than others therefore waits behind them.
//
// Queue lengths and waits are bounded. A request that cannot be served in time
// is refused early, with the outcome that it was not run.
//
// # Usage
//
//	fairQueue := queue.NewFairQueue(balancer, clock)
//	pick, err := fairQueue.Choose(ctx, account, choice)
//	// send the request
//	fairQueue.Release(now, pick, result)
//
// Run polls for free targets every few milliseconds while requests wait,
// because targets also become free when other VMs' requests end.
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
	// maxWait is the longest time in a queue.
	maxWait = time.Second
	// maxPerAccount and maxPerService bound the waiting requests in a queue.
	maxPerAccount = 64
	maxPerService = 1024
	// openRouteWeight is the weight of requests on open routes, in requests per
	// second.
	openRouteWeight = 10
)

// waiter is one waiting request.
type waiter struct {
	account ferry.AccountID
	choice  ferry.Choice
	finish  float64
	result  chan chooseResult
}

type chooseResult struct {
	pick ferry.Pick
	err  error
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	waiting atomic.Int64

	mu            sync.Mutex
	waiters       []*waiter
	waitingCounts map[ferry.AccountID]int
	// lastFinishes are the latest virtual finish times by account.
	lastFinishes map[ferry.AccountID]float64
	// virtualTime is the highest finish time among the served requests.
	virtualTime float64
}

// FairQueue adds queuing to a balancer. It is safe for concurrent use.
type FairQueue struct {
	balancer ferry.Balancer
	clock    ferry.Clock
	queues   sync.Map
	// enqueued signals that a request has started to wait.
	enqueued chan struct{}
}

// NewFairQueue returns a queue in front of the balancer.
func NewFairQueue(balancer ferry.Balancer, clock ferry.Clock) *FairQueue {
	return &FairQueue{balancer: balancer, clock: clock, enqueued: make(chan struct{}, 1)}
}

// Choose reserves a slot and waits in fair order while all are busy. The
// account is nil on an open route. Choose returns a *ferry.RefusalError when no
// target became free in time.
func (f *FairQueue) Choose(ctx context.Context, account *ferry.Account, choice ferry.Choice) (ferry.Pick, error) {
	q := f.queueFor(choice.Service)
	if q.waiting.Load() == 0 {
		pick, err := f.balancer.Choose(f.clock.Now(), choice)
		if !isOverload(err) {
			return pick, err
		}
	}
	w := q.enqueue(account, choice)
	if w == nil {
		return ferry.Pick{}, overloadRefusal("too many requests wait for the service")
	}
	select {
	case f.enqueued <- struct{}{}:
	default:
	}
	q.dispatch(f)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case chosen := <-w.result:
		return chosen.pick, chosen.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if q.cancel(w) {
		return ferry.Pick{}, overloadRefusal("every target of the service stayed busy")
	}
	chosen := <-w.result
	return chosen.pick, chosen.err
}

// Release ends the attempt on a target and serves the next waiting request.
func (f *FairQueue) Release(now ferry.Moment, pick ferry.Pick, result ferry.Result) {
	f.balancer.Release(now, pick, result)
	if q := f.queueFor(pick.Target.Service); q.waiting.Load() > 0 {
		q.dispatch(f)
	}
}

// pollInterval is the time between two polls for targets that became free.
const pollInterval = 5 * time.Millisecond

// Run serves waiting requests as targets become free, until ctx ends. It
// sleeps while no request waits.
func (f *FairQueue) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.enqueued:
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
	f.queues.Range(func(_, value any) bool {
		if q := value.(*serviceQueue); q.waiting.Load() > 0 {
			q.dispatch(f)
		}
		return true
	})
}

// Waiting returns the number of waiting requests.
func (f *FairQueue) Waiting() int {
	total := 0
	f.queues.Range(func(_, value any) bool {
		total += int(value.(*serviceQueue).waiting.Load())
		return true
	})
	return total
}

func (f *FairQueue) queueFor(id ferry.ServiceID) *serviceQueue {
	if found, ok := f.queues.Load(id); ok {
		return found.(*serviceQueue)
	}
	found, _ := f.queues.LoadOrStore(id, &serviceQueue{
		waitingCounts: map[ferry.AccountID]int{}, lastFinishes: map[ferry.AccountID]float64{},
	})
	return found.(*serviceQueue)
}

// enqueue adds a request. It returns nil when the queue is full or the account
// has maxPerAccount waiting requests.
func (q *serviceQueue) enqueue(account *ferry.Account, choice ferry.Choice) *waiter {
	w := &waiter{choice: choice, result: make(chan chooseResult, 1)}
	weight := float64(openRouteWeight)
	if account != nil {
		w.account, weight = account.ID, account.Rate
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxPerService || q.waitingCounts[w.account] >= maxPerAccount {
		return nil
	}
	w.finish = max(q.virtualTime, q.lastFinishes[w.account]) + 1/weight
	q.lastFinishes[w.account] = w.finish
	q.waitingCounts[w.account]++
	q.waiters = append(q.waiters, w)
	q.waiting.Add(1)
	return w
}

// cancel removes a waiter, or returns false when it already has its result.
func (q *serviceQueue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiters {
		if other == w {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes the waiter at index i.
func (q *serviceQueue) removeAt(i int) {
	w := q.waiters[i]
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	q.waiting.Add(-1)
	if q.waitingCounts[w.account]--; q.waitingCounts[w.account] == 0 {
		delete(q.waitingCounts, w.account)
		if q.lastFinishes[w.account] <= q.virtualTime {
			delete(q.lastFinishes, w.account)
		}
	}
	if len(q.waiters) == 0 {
		q.virtualTime = 0
		clear(q.lastFinishes)
	}
}

// dispatch serves the requests with the lowest finish times while targets are
// free.
func (q *serviceQueue) dispatch(f *FairQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 {
		next := 0
		for i, w := range q.waiters {
			if w.finish < q.waiters[next].finish {
				next = i
			}
		}
		w := q.waiters[next]
		pick, err := f.balancer.Choose(f.clock.Now(), w.choice)
		if isOverload(err) {
			return
		}
		q.virtualTime = max(q.virtualTime, w.finish)
		q.removeAt(next)
		w.result <- chooseResult{pick: pick, err: err}
	}
}

func isOverload(err error) bool {
	var refusal *ferry.RefusalError
	return errors.As(err, &refusal) && refusal.Reason == ferry.ReasonOverload
}

func overloadRefusal(detail string) *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonOverload, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: detail,
	}
}
