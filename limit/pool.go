package limit

import (
	"math"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// tokenRequestTimeout is the age at which a token request counts as lost.
	tokenRequestTimeout = 250 * time.Millisecond
	// maxWait is the longest wait of a client request for the holder.
	maxWait = time.Second
	// idleTokenLifetime is the age at which unused tokens are returned.
	idleTokenLifetime = 100 * time.Millisecond
	// reportDelay is the time after which spent and returned tokens are
	// reported without waiting for the next request for tokens.
	reportDelay = 50 * time.Millisecond
	// prefetchWindow is the period of average usage that a pool prefetches.
	prefetchWindow = 60 * time.Millisecond
	// prefetchBackoff is the pause after the holder had no surplus.
	prefetchBackoff = 50 * time.Millisecond
	// maxPrefetch bounds the tokens prefetched by one request.
	maxPrefetch = 64
	// usageWeight is the weight of the latest tick in the average usage rate.
	usageWeight = 0.3
	// poolIdleTimeout is the time after which an unused pool is evicted.
	poolIdleTimeout = 10 * time.Second
)

// receivedGrant is a grant at the VM that spends it.
type receivedGrant struct {
	sequence    uint64
	requestedAt ferry.Moment
	// tokens = available + reserved + spent + returned + expired.
	tokens, available, reserved, spent, returned int
	// reportedSpent and reportedReturned were last sent to the holder.
	reportedSpent, reportedReturned int
}

func (g *receivedGrant) isValid(now ferry.Moment) bool {
	return now.LongestSince(g.requestedAt) < GrantLifetime-MaxClockDrift
}

func (g *receivedGrant) isReported() bool {
	return g.spent == g.reportedSpent && g.returned == g.reportedReturned
}

// waiter is a client request that waits for a token.
type waiter struct {
	waitingSince ferry.Moment
	result       chan waitResult
}

type waitResult struct {
	permit  *permit
	refusal *ferry.RefusalError
}

// pendingRequest is a token request without a reply.
type pendingRequest struct {
	requestedAt ferry.Moment
	needed      int
	prefetch    int
}

// pool holds the grants of one client account on one VM.
type pool struct {
	account ferry.AccountID

	mu              sync.Mutex
	grants          []*receivedGrant
	waiters         []*waiter
	pendingRequests map[uint64]pendingRequest
	usedSinceTick   int
	// usageRate is the average number of permits per second.
	usageRate     float64
	lastUsed      ferry.Moment
	lastTick      ferry.Moment
	prefetchAfter ferry.Moment
	lastReport    ferry.Moment
	// isEvicted marks a pool that no longer admits requests.
	isEvicted bool
}

// permit implements ferry.Permit.
type permit struct {
	pool  *pool
	grant *receivedGrant
	done  bool
}

// Spend implements ferry.Permit.
func (p *permit) Spend(now ferry.Moment) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.done {
		return false
	}
	p.done = true
	p.grant.reserved--
	if !p.grant.isValid(now) {
		return false
	}
	p.grant.spent++
	return true
}

// Return implements ferry.Permit.
func (p *permit) Return(now ferry.Moment) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.grant.reserved--
	if p.grant.isValid(now) {
		p.grant.available++
	}
}

// take returns a permit for a token of the oldest valid grant, or nil.
func (p *pool) take(now ferry.Moment) *permit {
	for _, g := range p.grants {
		if g.available > 0 && g.isValid(now) {
			g.available--
			g.reserved++
			p.usedSinceTick++
			p.lastUsed = now
			return &permit{pool: p, grant: g}
		}
	}
	return nil
}

// available returns the number of tokens that can be reserved.
func (p *pool) available(now ferry.Moment) int {
	total := 0
	for _, g := range p.grants {
		if g.isValid(now) {
			total += g.available
		}
	}
	return total
}

// admit takes a permit or adds a waiter. The caller sends the returned
// TokenRequest when its Sequence is not zero. admit returns neither a permit
// nor a waiter when the pool has been evicted.
func (p *pool) admit(now ferry.Moment, nextSequence func() uint64) (*permit, *waiter, TokenRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isEvicted {
		return nil, nil, TokenRequest{}
	}
	if len(p.waiters) == 0 {
		if taken := p.take(now); taken != nil {
			return taken, nil, p.requestPrefetch(now, nextSequence)
		}
	}
	w := &waiter{waitingSince: now, result: make(chan waitResult, 1)}
	p.waiters = append(p.waiters, w)
	p.lastUsed = now
	return nil, w, p.requestNeeded(now, nextSequence)
}

// removeWaiter ends the wait of a canceled request. It returns false when the
// waiter already has its result.
func (p *pool) removeWaiter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// requestNeeded requests tokens for the waiters that no pending request covers.
func (p *pool) requestNeeded(now ferry.Moment, nextSequence func() uint64) TokenRequest {
	needed := len(p.waiters)
	for _, pending := range p.pendingRequests {
		needed -= pending.needed
	}
	if needed <= 0 {
		return TokenRequest{}
	}
	prefetch := 0
	if now.Since(p.prefetchAfter) >= 0 {
		prefetch = p.prefetchTarget()
	}
	return p.newRequest(now, nextSequence, needed, prefetch)
}

// requestPrefetch requests more tokens when few are left.
func (p *pool) requestPrefetch(now ferry.Moment, nextSequence func() uint64) TokenRequest {
	target := p.prefetchTarget()
	if target == 0 || now.Since(p.prefetchAfter) < 0 || 2*p.available(now) >= target {
		return TokenRequest{}
	}
	for _, pending := range p.pendingRequests {
		if pending.prefetch > 0 {
			return TokenRequest{}
		}
	}
	return p.newRequest(now, nextSequence, 0, target)
}

func (p *pool) prefetchTarget() int {
	return min(maxPrefetch, int(math.Ceil(p.usageRate*prefetchWindow.Seconds())))
}

func (p *pool) newRequest(now ferry.Moment, nextSequence func() uint64, needed, prefetch int) TokenRequest {
	request := TokenRequest{Sequence: nextSequence(), Account: p.account, Needed: needed, Prefetch: prefetch, Reports: p.takeReports()}
	if needed > 0 || prefetch > 0 {
		p.pendingRequests[request.Sequence] = pendingRequest{requestedAt: now, needed: needed, prefetch: prefetch}
	}
	p.lastReport = now
	return request
}

// takeReports returns the unreported grant states and marks them as reported.
func (p *pool) takeReports() []Report {
	var reports []Report
	for _, g := range p.grants {
		if !g.isReported() {
			reports = append(reports, Report{Sequence: g.sequence, Spent: g.spent, Returned: g.returned})
			g.reportedSpent, g.reportedReturned = g.spent, g.returned
		}
	}
	return reports
}

// handleReply applies the holder's reply. Replies to unknown requests are
// ignored, so a duplicate reply adds no tokens.
func (p *pool) handleReply(now ferry.Moment, reply TokenReply, nextSequence func() uint64) TokenRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.pendingRequests[reply.Sequence]
	if !ok {
		return TokenRequest{}
	}
	delete(p.pendingRequests, reply.Sequence)
	if reply.Granted > 0 {
		g := &receivedGrant{sequence: reply.Sequence, requestedAt: pending.requestedAt, tokens: reply.Granted, available: reply.Granted}
		p.grants = append(p.grants, g)
	}
	if pending.prefetch > 0 && reply.Granted <= pending.needed {
		p.prefetchAfter = now.Add(prefetchBackoff)
	}
	p.serveWaiters(now)
	if reply.Status == StatusEmpty {
		p.refuseWaiters(pending.needed-reply.Granted, overAllowance(reply.RetryAfter))
	}
	if reply.Status == StatusNoShare || reply.Status == StatusNoAccount {
		return TokenRequest{}
	}
	return p.requestNeeded(now, nextSequence)
}

// serveWaiters gives tokens to waiters in the order of their arrival.
func (p *pool) serveWaiters(now ferry.Moment) {
	for len(p.waiters) > 0 {
		taken := p.take(now)
		if taken == nil {
			return
		}
		p.waiters[0].result <- waitResult{permit: taken}
		p.waiters = p.waiters[1:]
	}
}

// refuseWaiters refuses up to count waiters in the order of their arrival.
func (p *pool) refuseWaiters(count int, refusal *ferry.RefusalError) {
	for ; count > 0 && len(p.waiters) > 0; count-- {
		p.waiters[0].result <- waitResult{refusal: refusal}
		p.waiters = p.waiters[1:]
	}
}

func overAllowance(retryAfter time.Duration) *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusTooManyRequests, Reason: ferry.ReasonOverAllowance, Outcome: ferry.OutcomeNotRun,
		RetryAfter: retryAfter, Detail: "the client account has used up its rate and burst",
	}
}

func allowanceUnknown() *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
		RetryAfter: maxWait, Detail: "the holder of the allowance did not answer",
	}
}

// tick drops lost requests and finished grants, refuses waiters after maxWait
// and reports spent and returned tokens. When isIdle is true, the pool has
// been evicted.
func (p *pool) tick(now ferry.Moment, nextSequence func() uint64) (request TokenRequest, isIdle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateUsage(now)
	for sequence, pending := range p.pendingRequests {
		if now.Since(pending.requestedAt) >= tokenRequestTimeout {
			delete(p.pendingRequests, sequence)
		}
	}
	for len(p.waiters) > 0 && now.Since(p.waiters[0].waitingSince) >= maxWait {
		p.refuseWaiters(1, allowanceUnknown())
	}
	hasUnreported := p.returnIdleTokens(now)
	p.dropFinished(now)
	if request = p.requestNeeded(now, nextSequence); request.Sequence == 0 && hasUnreported && now.Since(p.lastReport) >= reportDelay {
		request = p.newRequest(now, nextSequence, 0, 0)
	}
	p.isEvicted = len(p.waiters)+len(p.grants)+len(p.pendingRequests) == 0 && now.Since(p.lastUsed) >= poolIdleTimeout
	return request, p.isEvicted
}

func (p *pool) updateUsage(now ferry.Moment) {
	if elapsed := now.Since(p.lastTick).Seconds(); elapsed > 0 {
		p.usageRate += usageWeight * (float64(p.usedSinceTick)/elapsed - p.usageRate)
	}
	p.usedSinceTick, p.lastTick = 0, now
}

// returnIdleTokens marks tokens not used within idleTokenLifetime as returned.
// It reports whether any grant has an unreported state.
func (p *pool) returnIdleTokens(now ferry.Moment) (hasUnreported bool) {
	for _, g := range p.grants {
		if g.available > 0 && now.Since(g.requestedAt) >= idleTokenLifetime {
			g.returned += g.available
			g.available = 0
		}
		hasUnreported = hasUnreported || !g.isReported()
	}
	return hasUnreported
}

// dropFinished removes expired grants, and used-up grants that are reported.
func (p *pool) dropFinished(now ferry.Moment) {
	kept := p.grants[:0]
	for _, g := range p.grants {
		isInUse := g.available+g.reserved > 0 || !g.isReported()
		if isInUse && now.LongestSince(g.requestedAt) < GrantLifetime {
			kept = append(kept, g)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
}
