package queue

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// slotBalancer is a balancer with a number of free slots.
type slotBalancer struct {
	mu   sync.Mutex
	free int
}

// Choose implements ferry.Balancer.
func (s *slotBalancer) Choose(ferry.Moment, ferry.Choice) (ferry.Pick, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return ferry.Pick{}, overloadRefusal("busy")
	}
	s.free--
	return ferry.Pick{Target: &ferry.Target{Service: "s"}}, nil
}

// Release implements ferry.Balancer.
func (s *slotBalancer) Release(ferry.Moment, ferry.Pick, ferry.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

type fixedClock struct{}

func (fixedClock) Now() ferry.Moment { return ferry.Moment{} }

var choice = ferry.Choice{Service: "s"}

// mustEnqueue adds a request to the queue without waiting for its result.
func (f *FairQueue) mustEnqueue(t *testing.T, account *ferry.Account) *waiter {
	t.Helper()
	w := f.queueFor("s").enqueue(account, choice)
	if w == nil {
		t.Fatal("the queue is full")
	}
	return w
}

// serveOne frees one slot and returns the account of the served waiter.
func (f *FairQueue) serveOne(balancer *slotBalancer, waiters map[*waiter]ferry.AccountID) ferry.AccountID {
	balancer.Release(ferry.Moment{}, ferry.Pick{}, ferry.Result{})
	f.queueFor("s").dispatch(f)
	for w, id := range waiters {
		select {
		case <-w.result:
			delete(waiters, w)
			return id
		default:
		}
	}
	return ""
}

// TestWorstServedAccount enqueues many more requests for one account than for
// the others, all with the same rate. Each account is served the same number of
// requests.
func TestWorstServedAccount(t *testing.T) {
	is := is.New(t)
	balancer := &slotBalancer{}
	fairQueue := NewFairQueue(balancer, fixedClock{})
	waiters := map[*waiter]ferry.AccountID{}
	accounts := []*ferry.Account{{ID: "greedy", Rate: 10}, {ID: "a", Rate: 10}, {ID: "b", Rate: 10}, {ID: "c", Rate: 10}}
	for range 50 {
		waiters[fairQueue.mustEnqueue(t, accounts[0])] = "greedy"
	}
	for range 10 {
		for _, account := range accounts[1:] {
			waiters[fairQueue.mustEnqueue(t, account)] = account.ID
		}
	}
	served := map[ferry.AccountID]int{}
	for range 40 {
		served[fairQueue.serveOne(balancer, waiters)]++
	}
	is.Equal(served, map[ferry.AccountID]int{"greedy": 10, "a": 10, "b": 10, "c": 10})
}

// TestWeights checks that accounts are served in proportion to their rates.
func TestWeights(t *testing.T) {
	is := is.New(t)
	balancer := &slotBalancer{}
	fairQueue := NewFairQueue(balancer, fixedClock{})
	waiters := map[*waiter]ferry.AccountID{}
	large, small := &ferry.Account{ID: "large", Rate: 30}, &ferry.Account{ID: "small", Rate: 10}
	for range 40 {
		waiters[fairQueue.mustEnqueue(t, large)] = "large"
		waiters[fairQueue.mustEnqueue(t, small)] = "small"
	}
	served := map[ferry.AccountID]int{}
	for range 40 {
		served[fairQueue.serveOne(balancer, waiters)]++
	}
	is.Equal(served, map[ferry.AccountID]int{"large": 30, "small": 10})
}

// TestBounds checks that requests beyond maxPerAccount are refused, and that
// another account can still wait.
func TestBounds(t *testing.T) {
	is := is.New(t)
	fairQueue := NewFairQueue(&slotBalancer{}, fixedClock{})
	greedy := &ferry.Account{ID: "greedy", Rate: 10}
	for range maxPerAccount {
		fairQueue.mustEnqueue(t, greedy)
	}
	is.True(fairQueue.queueFor("s").enqueue(greedy, choice) == nil)
	fairQueue.mustEnqueue(t, &ferry.Account{ID: "other", Rate: 10})
}

// TestCancel removes a canceled request; the free slot goes to the next waiter.
func TestCancel(t *testing.T) {
	is := is.New(t)
	balancer := &slotBalancer{}
	fairQueue := NewFairQueue(balancer, fixedClock{})
	account := &ferry.Account{ID: "a", Rate: 10}
	first, second := fairQueue.mustEnqueue(t, account), fairQueue.mustEnqueue(t, account)
	is.True(fairQueue.queueFor("s").cancel(first))
	is.Equal(fairQueue.serveOne(balancer, map[*waiter]ferry.AccountID{second: "second"}), ferry.AccountID("second"))
	is.True(!fairQueue.queueFor("s").cancel(second)) // it has its result
	is.Equal(fairQueue.Waiting(), 0)
}

// TestChoose waits for a slot, and checks the refusals when none becomes free
// or the client request is canceled.
func TestChoose(t *testing.T) {
	is := is.New(t)
	balancer := &slotBalancer{free: 1}
	fairQueue := NewFairQueue(balancer, fixedClock{})
	pick, err := fairQueue.Choose(t.Context(), nil, choice)
	is.NoErr(err)
	_, err = fairQueue.Choose(t.Context(), nil, choice)
	var refusal *ferry.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, ferry.OutcomeNotRun)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = fairQueue.Choose(canceled, nil, choice)
	is.True(err != nil)
	results := make(chan error, 1)
	go func() {
		_, err := fairQueue.Choose(context.Background(), nil, choice)
		results <- err
	}()
	for fairQueue.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	fairQueue.Release(ferry.Moment{}, pick, ferry.Result{})
	is.NoErr(<-results)
}
