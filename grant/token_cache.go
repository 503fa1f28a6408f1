package grant

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// requestTimeout is the time after which a TokenRequest without a reply is
	// retried: more than a round trip between regions.
	requestTimeout = 150 * time.Millisecond
	// unavailableBackoff is the time without requests after an Unavailable reply.
	unavailableBackoff = 100 * time.Millisecond
	// minPrefetch is the minimum number of tokens to cache for an account in use.
	minPrefetch = 2
	// prefetchPeriod is the time whose expected use is cached: some round trips
	// between regions.
	prefetchPeriod = 250 * time.Millisecond
	// prefetchBackoff is the time without requests for prefetching alone after the
	// issuer granted fewer tokens than requested.
	prefetchBackoff = 500 * time.Millisecond
	// useRateDecay is the time constant of the exponential decay of past use.
	useRateDecay = time.Second
	// maxKnownEmpty bounds the time after a refusal in which the allowance counts as used
	// up without another request: a few round trips between regions. The RetryAfter of
	// the refusal is longer, since it is the place in the schedule of all that were
	// refused, while tokens accrue all the time: a VM that waited so long would lose them.
	maxKnownEmpty = 40 * time.Millisecond
	// minSpread is the least time over which immediate refusals are spread.
	minSpread = 100 * time.Millisecond
	// spreadStep is the golden ratio less 1: the fractional parts of its multiples
	// spread evenly.
	spreadStep = 0.6180339887
	// idleAfter is the time since the last use after which an account is idle.
	idleAfter = 2 * time.Second
)

// Waiter waits for a token. Result gets one value unless the waiter is canceled.
type Waiter struct {
	Result chan WaitResult
	// sequence is that of the pending TokenRequest for this waiter, or zero.
	sequence uint64
}

// WaitResult ends the wait for a token.
type WaitResult struct {
	Granted bool
	// RetryAfter is set when the issuer refused the token.
	RetryAfter time.Duration
	// Unavailable reports that no issuer replied in time.
	Unavailable bool
}

// pendingRequest is a TokenRequest whose last reply has not been received.
type pendingRequest struct {
	sequence uint64
	sentAt   time.Duration
	waiting  int
	prefetch int
}

// TokenCache holds the tokens and the waiters of one account on one VM. The zero
// TokenCache is ready to use. It is not safe for concurrent use.
type TokenCache struct {
	Account ferry.AccountID
	// expiries holds the expiry time of each cached token, oldest first.
	expiries []time.Duration
	waiters  []*Waiter
	pending  []pendingRequest
	// spentExpiries holds the expiry times of tokens spent since the last request.
	spentExpiries        []time.Duration
	lastUsed             time.Duration
	wasUsed              bool
	requestsBlockedUntil time.Duration
	// prefetchBlockedUntil is when requests for prefetching alone are sent again.
	prefetchBlockedUntil time.Duration
	// useRate is the recent use in tokens per second, as of lastUsed.
	useRate float64
	// emptyUntil is when tokens are requested again after a refusal, and returnAt the
	// time that the last refusal named. refusals counts those in between.
	emptyUntil, returnAt time.Duration
	refusals             int
}

// Take spends a cached token and returns nil, or returns a Waiter for a token. Shortly
// after a refusal the Waiter is refused already.
func (c *TokenCache) Take(now time.Duration) *Waiter {
	c.useRate = c.useRateAt(now) + 1/useRateDecay.Seconds()
	c.lastUsed, c.wasUsed = now, true
	c.removeExpired(now)
	if len(c.waiters) == 0 && len(c.expiries) > 0 {
		c.spendOldest()
		return nil
	}
	waiter := &Waiter{Result: make(chan WaitResult, 1)}
	if len(c.waiters) == 0 && now < c.emptyUntil {
		waiter.Result <- WaitResult{RetryAfter: c.nextReturn(now)}
		return waiter
	}
	c.waiters = append(c.waiters, waiter)
	return waiter
}

// nextReturn returns the RetryAfter of an immediate refusal. Refused requests return
// one after the other, over as much time as the refusal of the issuer named.
func (c *TokenCache) nextReturn(now time.Duration) time.Duration {
	c.refusals++
	_, part := math.Modf(float64(c.refusals) * spreadStep)
	remaining := c.returnAt - now
	spread := max(remaining, minSpread)
	return min(maxRetryAfter, max(0, remaining)+time.Duration(part*float64(spread)))
}

// useRateAt returns the recent use in tokens per second, decayed until now.
func (c *TokenCache) useRateAt(now time.Duration) float64 {
	return c.useRate * math.Exp(-(now-c.lastUsed).Seconds()/useRateDecay.Seconds())
}

func (c *TokenCache) removeExpired(now time.Duration) {
	c.expiries = unexpired(c.expiries, now)
	c.spentExpiries = unexpired(c.spentExpiries, now)
}

// unexpired returns the expiry times that are later than now.
func unexpired(expiries []time.Duration, now time.Duration) []time.Duration {
	for len(expiries) > 0 && expiries[0] <= now {
		expiries = expiries[1:]
	}
	return expiries
}

// NextRequest returns the TokenRequest that is due at now, if any.
func (c *TokenCache) NextRequest(now time.Duration, sequence uint64) (TokenRequest, bool) {
	c.removeExpired(now)
	c.expireRequests(now)
	waiting := 0
	for _, waiter := range c.waiters {
		if waiter.sequence == 0 {
			waiting++
		}
	}
	prefetch, wanted := 0, max(minPrefetch, int(c.useRateAt(now)*prefetchPeriod.Seconds()))
	if c.wasUsed && now-c.lastUsed < idleAfter && len(c.pending) == 0 && len(c.expiries) < wanted {
		prefetch = wanted - len(c.expiries)
	}
	isPrefetchDue := 2*prefetch > wanted && now >= c.prefetchBlockedUntil && now-c.lastUsed <= requestTimeout
	if now < c.requestsBlockedUntil || waiting == 0 && !isPrefetchDue {
		return TokenRequest{}, false
	}
	for _, waiter := range c.waiters {
		if waiter.sequence == 0 {
			waiter.sequence = sequence
		}
	}
	c.pending = append(c.pending, pendingRequest{sequence: sequence, sentAt: now, waiting: waiting, prefetch: prefetch})
	spent := len(c.spentExpiries)
	c.spentExpiries = nil
	return TokenRequest{Sequence: sequence, Account: c.Account, Waiting: waiting, Prefetch: prefetch, Spent: spent}, true
}

// expireRequests removes pending requests that have timed out, so that tokens for
// their waiters are requested again.
func (c *TokenCache) expireRequests(now time.Duration) {
	for len(c.pending) > 0 && now-c.pending[0].sentAt > requestTimeout {
		c.resetWaiters(c.pending[0].sequence)
		c.pending = c.pending[1:]
	}
}

// resetWaiters marks the waiters of a TokenRequest as not requested.
func (c *TokenCache) resetWaiters(sequence uint64) {
	for _, waiter := range c.waiters {
		if waiter.sequence == sequence {
			waiter.sequence = 0
		}
	}
}

// HandleReply handles a reply to a TokenRequest of this cache.
func (c *TokenCache) HandleReply(now time.Duration, reply TokenReply) {
	request, isPending := c.takePending(reply)
	switch {
	case reply.Unavailable:
		c.resolve(reply.Count, WaitResult{Granted: true}, func(waiter *Waiter) bool { return waiter.sequence == reply.Sequence })
		c.resetWaiters(reply.Sequence)
		c.requestsBlockedUntil = now + unavailableBackoff
		return
	case !isPending:
		// The request timed out and was retried for its waiters. Tokens beyond the
		// waiters are not cached, since their age is not known.
		c.resolve(reply.Count, WaitResult{Granted: true}, func(*Waiter) bool { return true })
		return
	}
	isForRequest := func(waiter *Waiter) bool { return waiter.sequence == reply.Sequence }
	c.resolve(min(reply.Count, request.waiting), WaitResult{Granted: true}, isForRequest)
	if !reply.Partial && reply.Count < request.waiting+request.prefetch {
		c.prefetchBlockedUntil = now + prefetchBackoff
	}
	for range reply.Count - request.waiting {
		c.expiries = append(c.expiries, request.sentAt+TokenLifetime)
	}
	if reply.RetryAfter > 0 {
		c.returnAt, c.emptyUntil = now+reply.RetryAfter, now+min(maxKnownEmpty, reply.RetryAfter)
		c.resolve(request.waiting-reply.Count, WaitResult{RetryAfter: reply.RetryAfter}, isForRequest)
	}
	c.grantCached(now)
}

// resolve sends a result to the first count waiters that match. A token whose
// waiter was canceled is lost: the issuer counts it as spent.
func (c *TokenCache) resolve(count int, result WaitResult, matches func(*Waiter) bool) {
	waiting := c.waiters[:0]
	for _, waiter := range c.waiters {
		if count > 0 && matches(waiter) {
			waiter.Result <- result
			count--
			continue
		}
		waiting = append(waiting, waiter)
	}
	c.waiters = waiting
}

// grantCached grants cached tokens to waiters without a pending TokenRequest.
func (c *TokenCache) grantCached(now time.Duration) {
	c.removeExpired(now)
	waiting := c.waiters[:0]
	for _, waiter := range c.waiters {
		if waiter.sequence == 0 && len(c.expiries) > 0 {
			c.spendOldest()
			waiter.Result <- WaitResult{Granted: true}
			continue
		}
		waiting = append(waiting, waiter)
	}
	c.waiters = waiting
}

func (c *TokenCache) spendOldest() {
	c.spentExpiries = append(c.spentExpiries, c.expiries[0])
	c.expiries = c.expiries[1:]
}

// takePending returns the pending request of a reply, as it was before the reply,
// and removes it if the reply is its last.
func (c *TokenCache) takePending(reply TokenReply) (pending pendingRequest, found bool) {
	for i, request := range c.pending {
		if request.sequence != reply.Sequence {
			continue
		}
		if reply.Partial {
			c.pending[i].waiting -= min(request.waiting, reply.Count)
		} else {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
		}
		return request, true
	}
	return pendingRequest{}, false
}

// Cancel removes a waiter. It reports whether the waiter was still without a
// result.
func (c *TokenCache) Cancel(waiter *Waiter) bool {
	for i, other := range c.waiters {
		if other == waiter {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// IsIdle reports whether the cache can be evicted.
func (c *TokenCache) IsIdle(now time.Duration) bool {
	c.removeExpired(now)
	return len(c.waiters) == 0 && len(c.pending) == 0 && len(c.expiries) == 0 && now-c.lastUsed > idleAfter
}

// HasWaiters reports whether client requests wait for tokens.
func (c *TokenCache) HasWaiters() bool { return len(c.waiters) > 0 }
