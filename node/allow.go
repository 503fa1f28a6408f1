package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/grant"
)

// maxAllowanceWait bounds the wait for a lead that does not answer: a lost lead
// is replaced and has the shares after LendTerm.
const maxAllowanceWait = 1800 * time.Millisecond

// unknownRetryAfter is the time to return when no lead answered.
const unknownRetryAfter = 500 * time.Millisecond

// allowance implements ferry.Limiter with the tokens of leads.
type allowance struct {
	clock ferry.Clock
	// send carries an ask to the lead. It does not wait.
	send func(ask grant.Ask)

	mu       sync.Mutex
	purses   map[ferry.AccountID]*grant.Purse
	sequence uint64
}

// spent is the permit of an admitted request: its token is gone.
type spent struct{}

// Spend implements ferry.Permit.
func (spent) Spend(ferry.Moment) bool { return true }

// Return implements ferry.Permit.
func (spent) Return(ferry.Moment) {}

// Admit implements ferry.Limiter.
func (a *allowance) Admit(ctx context.Context, account *ferry.Account) (ferry.Permit, error) {
	ticket := a.take(account.ID)
	if ticket == nil {
		return spent{}, nil
	}
	timer := time.NewTimer(maxAllowanceWait)
	defer timer.Stop()
	select {
	case verdict := <-ticket.Result:
		return a.conclude(verdict)
	case <-ctx.Done():
	case <-timer.C:
	}
	if !a.leave(account.ID, ticket) {
		return a.conclude(<-ticket.Result)
	}
	if err := ctx.Err(); err != nil && context.Cause(ctx) == context.Canceled {
		return nil, err
	}
	return a.conclude(grant.Verdict{Unknown: true})
}

func (a *allowance) conclude(verdict grant.Verdict) (ferry.Permit, error) {
	switch {
	case verdict.Granted:
		return spent{}, nil
	case verdict.Unknown:
		return nil, &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
			RetryAfter: unknownRetryAfter, Detail: "no lead answered for the allowance",
		}
	}
	return nil, &ferry.RefusalError{
		Status: http.StatusTooManyRequests, Reason: ferry.ReasonOverAllowance, Outcome: ferry.OutcomeNotRun,
		RetryAfter: verdict.RetryAfter, Detail: "the client account is over its rate",
	}
}

// take takes a token or returns a ticket, and sends the ask that is due.
func (a *allowance) take(id ferry.AccountID) *grant.Ticket {
	now := steady(a.clock)
	a.mu.Lock()
	purse := a.purses[id]
	if purse == nil {
		purse = &grant.Purse{Account: id}
		a.purses[id] = purse
	}
	ticket := purse.Take(now)
	a.sequence++
	ask, isDue := purse.Due(now, a.sequence)
	a.mu.Unlock()
	if isDue {
		a.send(ask)
	}
	return ticket
}

func (a *allowance) leave(id ferry.AccountID, ticket *grant.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	purse := a.purses[id]
	return purse != nil && purse.Leave(ticket)
}

// receive takes the answer of a lead in.
func (a *allowance) receive(answer grant.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if purse := a.purses[answer.Account]; purse != nil {
		purse.Receive(steady(a.clock), answer)
	}
}

// tick repeats asks without an answer and forgets idle purses.
func (a *allowance) tick() {
	now := steady(a.clock)
	var asks []grant.Ask
	a.mu.Lock()
	for id, purse := range a.purses {
		if !purse.HasTickets() {
			if purse.IsIdle(now) {
				delete(a.purses, id)
			}
			continue
		}
		a.sequence++
		if ask, isDue := purse.Due(now, a.sequence); isDue {
			asks = append(asks, ask)
		}
	}
	a.mu.Unlock()
	for _, ask := range asks {
		a.send(ask)
	}
}

// steady returns the steady time of a clock.
func steady(clock ferry.Clock) time.Duration { return clock.Now().Monotonic }
