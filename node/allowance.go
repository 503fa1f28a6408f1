package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/grant"
)

// maxTokenWait bounds the wait for a leader that does not reply: a lost leader is
// replaced, and the new one has the shares after lead.LeaseTerm.
const maxTokenWait = 1800 * time.Millisecond

// unavailableRetryAfter is the RetryAfter when no leader replied.
const unavailableRetryAfter = 500 * time.Millisecond

// tokenLimiter implements ferry.Limiter with tokens that leaders grant.
type tokenLimiter struct {
	clock ferry.Clock
	// send sends a token request to the leader. It does not block.
	send func(request grant.TokenRequest)

	mu       sync.Mutex
	caches   map[ferry.AccountID]*grant.TokenCache
	sequence uint64
}

// spentPermit is the permit of an admitted request, whose token is already spent.
type spentPermit struct{}

// Spend implements ferry.Permit.
func (spentPermit) Spend(ferry.Moment) bool { return true }

// Return implements ferry.Permit.
func (spentPermit) Return(ferry.Moment) {}

// Admit implements ferry.Limiter.
func (l *tokenLimiter) Admit(ctx context.Context, account *ferry.Account) (ferry.Permit, error) {
	waiter := l.take(account.ID)
	if waiter == nil {
		return spentPermit{}, nil
	}
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	select {
	case result := <-waiter.Result:
		return l.permit(result)
	case <-ctx.Done():
	case <-timer.C:
	}
	if !l.cancel(account.ID, waiter) {
		return l.permit(<-waiter.Result)
	}
	if err := ctx.Err(); err != nil && context.Cause(ctx) == context.Canceled {
		return nil, err
	}
	return l.permit(grant.WaitResult{Unavailable: true})
}

func (l *tokenLimiter) permit(result grant.WaitResult) (ferry.Permit, error) {
	switch {
	case result.Granted:
		return spentPermit{}, nil
	case result.Unavailable:
		return nil, &ferry.RefusalError{
			Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
			RetryAfter: unavailableRetryAfter, Detail: "no lead answered for the allowance",
		}
	}
	return nil, &ferry.RefusalError{
		Status: http.StatusTooManyRequests, Reason: ferry.ReasonOverAllowance, Outcome: ferry.OutcomeNotRun,
		RetryAfter: result.RetryAfter, Detail: "the client account is over its rate",
	}
}

// take spends a cached token or returns a waiter, and sends the request that is due.
func (l *tokenLimiter) take(id ferry.AccountID) *grant.Waiter {
	now := monotonicTime(l.clock)
	l.mu.Lock()
	cache := l.caches[id]
	if cache == nil {
		cache = &grant.TokenCache{Account: id}
		l.caches[id] = cache
	}
	waiter := cache.Take(now)
	l.sequence++
	request, isDue := cache.NextRequest(now, l.sequence)
	l.mu.Unlock()
	if isDue {
		l.send(request)
	}
	return waiter
}

func (l *tokenLimiter) cancel(id ferry.AccountID, waiter *grant.Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cache := l.caches[id]
	return cache != nil && cache.Cancel(waiter)
}

// handleReply handles a token reply to this VM.
func (l *tokenLimiter) handleReply(reply grant.TokenReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cache := l.caches[reply.Account]; cache != nil {
		cache.HandleReply(monotonicTime(l.clock), reply)
	}
}

// tick retries token requests that have timed out and evicts idle caches.
func (l *tokenLimiter) tick() {
	now := monotonicTime(l.clock)
	var requests []grant.TokenRequest
	l.mu.Lock()
	for id, cache := range l.caches {
		if !cache.HasWaiters() {
			if cache.IsIdle(now) {
				delete(l.caches, id)
			}
			continue
		}
		l.sequence++
		if request, isDue := cache.NextRequest(now, l.sequence); isDue {
			requests = append(requests, request)
		}
	}
	l.mu.Unlock()
	for _, request := range requests {
		l.send(request)
	}
}

func monotonicTime(clock ferry.Clock) time.Duration { return clock.Now().Monotonic }
