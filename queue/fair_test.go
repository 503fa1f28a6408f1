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

// slots is a balancer with a number of free slots.
type slots struct {
	mu   sync.Mutex
	free int
}

// Choose implements ferry.Balancer.
func (s *slots) Choose(ferry.Moment, ferry.Choice) (ferry.Pick, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return ferry.Pick{}, overload("busy")
	}
	s.free--
	return ferry.Pick{Target: &ferry.Target{Service: "s"}}, nil
}

// Release implements ferry.Balancer.
func (s *slots) Release(ferry.Moment, ferry.Pick, ferry.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

type stillClock struct{}

func (stillClock) Now() ferry.Moment { return ferry.Moment{} }

var choice = ferry.Choice{Service: "s"}

// waitFor joins a request to the line without a wait for its result.
func (f *FairQueue) waitFor(t *testing.T, account *ferry.Account) *ticket {
	t.Helper()
	ticket := f.line("s").join(account, choice)
	if ticket == nil {
		t.Fatal("the line is full")
	}
	return ticket
}

// serve frees one slot and returns the tickets that have their result.
func (f *FairQueue) serve(s *slots, tickets map[*ticket]ferry.AccountID) ferry.AccountID {
	s.Release(ferry.Moment{}, ferry.Pick{}, ferry.Result{})
	f.line("s").dispatch(f)
	for t, id := range tickets {
		select {
		case <-t.result:
			delete(tickets, t)
			return id
		default:
		}
	}
	return ""
}

// TestWorstServedAccount lets one account wait with many more requests than the
// others, all with the same rate. The others are served as if it were alone
// with its share.
func TestWorstServedAccount(t *testing.T) {
	is := is.New(t)
	s := &slots{}
	f := NewFairQueue(s, stillClock{})
	tickets := map[*ticket]ferry.AccountID{}
	accounts := []*ferry.Account{{ID: "greedy", Rate: 10}, {ID: "a", Rate: 10}, {ID: "b", Rate: 10}, {ID: "c", Rate: 10}}
	for range 50 {
		tickets[f.waitFor(t, accounts[0])] = "greedy"
	}
	for range 10 {
		for _, account := range accounts[1:] {
			tickets[f.waitFor(t, account)] = account.ID
		}
	}
	served := map[ferry.AccountID]int{}
	for range 40 {
		served[f.serve(s, tickets)]++
	}
	is.Equal(served, map[ferry.AccountID]int{"greedy": 10, "a": 10, "b": 10, "c": 10})
}

// TestWeights serves accounts in proportion to their rates.
func TestWeights(t *testing.T) {
	is := is.New(t)
	s := &slots{}
	f := NewFairQueue(s, stillClock{})
	tickets := map[*ticket]ferry.AccountID{}
	large, small := &ferry.Account{ID: "large", Rate: 30}, &ferry.Account{ID: "small", Rate: 10}
	for range 40 {
		tickets[f.waitFor(t, large)] = "large"
		tickets[f.waitFor(t, small)] = "small"
	}
	served := map[ferry.AccountID]int{}
	for range 40 {
		served[f.serve(s, tickets)]++
	}
	is.Equal(served, map[ferry.AccountID]int{"large": 30, "small": 10})
}

// TestBounds refuses requests beyond the part of one account, and keeps room
// for another.
func TestBounds(t *testing.T) {
	is := is.New(t)
	f := NewFairQueue(&slots{}, stillClock{})
	greedy := &ferry.Account{ID: "greedy", Rate: 10}
	for range maxPerAccount {
		f.waitFor(t, greedy)
	}
	is.True(f.line("s").join(greedy, choice) == nil)
	f.waitFor(t, &ferry.Account{ID: "other", Rate: 10})
}

// TestLeave removes requests that no longer wait; a slot goes to the next.
func TestLeave(t *testing.T) {
	is := is.New(t)
	s := &slots{}
	f := NewFairQueue(s, stillClock{})
	account := &ferry.Account{ID: "a", Rate: 10}
	first, second := f.waitFor(t, account), f.waitFor(t, account)
	is.True(f.line("s").leave(first))
	is.Equal(f.serve(s, map[*ticket]ferry.AccountID{second: "second"}), ferry.AccountID("second"))
	is.True(!f.line("s").leave(second)) // it has its result
	is.Equal(f.Waiting(), 0)
}

// TestChoose waits for a slot, and refuses truthfully when none comes or the
// caller leaves.
func TestChoose(t *testing.T) {
	is := is.New(t)
	s := &slots{free: 1}
	f := NewFairQueue(s, stillClock{})
	pick, err := f.Choose(t.Context(), nil, choice)
	is.NoErr(err)
	_, err = f.Choose(t.Context(), nil, choice)
	var refusal *ferry.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, ferry.OutcomeNotRun)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.Choose(gone, nil, choice)
	is.True(err != nil)
	results := make(chan error, 1)
	go func() {
		_, err := f.Choose(context.Background(), nil, choice)
		results <- err
	}()
	for f.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Release(ferry.Moment{}, pick, ferry.Result{})
	is.NoErr(<-results)
}
