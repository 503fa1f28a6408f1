package limit

import (
	"math"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// askTimeout is the time after which an ask counts as lost.
	askTimeout = 250 * time.Millisecond
	// maxWait is the longest time for which a request waits for the holder.
	maxWait = time.Second
	// idleLife is the age at which unspent tokens are given back.
	idleLife = 100 * time.Millisecond
	// reportDelay is the time after which spent tokens are reported even
	// without another ask.
	reportDelay = 50 * time.Millisecond
	// aheadTime is the time for which a pool asks ahead.
	aheadTime = 60 * time.Millisecond
	// aheadPause is the pause after the holder had no surplus.
	aheadPause = 50 * time.Millisecond
	// maxAhead bounds the tokens asked ahead.
	maxAhead = 64
	// usageWeight is the weight of the last tick in the average usage.
	usageWeight = 0.3
	// forgetAfter is the time after which an unused pool is forgotten.
	forgetAfter = 10 * time.Second
)

// batch is one grant at the VM that spends it.
type batch struct {
	sequence uint64
	asked    ferry.Moment
	// tokens = free + taken + spent + returned + lost.
	tokens, free, taken, spent, returned int
	// reportedSpent and reportedReturned are what the holder was told last.
	reportedSpent, reportedReturned int
}

func (b *batch) isValid(now ferry.Moment) bool {
	return now.LongestSince(b.asked) < GrantLifetime-MaxClockDrift
}

func (b *batch) isReported() bool {
	return b.spent == b.reportedSpent && b.returned == b.reportedReturned
}

// waiter is a request that waits for tokens.
type waiter struct {
	since  ferry.Moment
	result chan waitResult
}

type waitResult struct {
	permit  *permit
	refusal *ferry.RefusalError
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	asked ferry.Moment
	need  int
	ahead int
}

// pool holds the grants of one client account on one VM.
type pool struct {
	account ferry.AccountID

	mu      sync.Mutex
	batches []*batch
	waiters []*waiter
	pending map[uint64]pendingAsk
	// used counts the permits since the last tick.
	used       int
	usage      float64
	lastUsed   ferry.Moment
	lastTick   ferry.Moment
	aheadAfter ferry.Moment
	reportAt   ferry.Moment
	// gone marks a pool that has been forgotten.
	gone bool
}

// permit implements ferry.Permit.
type permit struct {
	pool  *pool
	batch *batch
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
	p.batch.taken--
	if !p.batch.isValid(now) {
		return false
	}
	p.batch.spent++
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
	p.batch.taken--
	if p.batch.isValid(now) {
		p.batch.free++
	}
}

// take returns a permit from the oldest valid grant, or nil.
func (p *pool) take(now ferry.Moment) *permit {
	for _, b := range p.batches {
		if b.free > 0 && b.isValid(now) {
			b.free--
			b.taken++
			p.used++
			p.lastUsed = now
			return &permit{pool: p, batch: b}
		}
	}
	return nil
}

// free returns the number of tokens that can be taken.
func (p *pool) free(now ferry.Moment) int {
	total := 0
	for _, b := range p.batches {
		if b.isValid(now) {
			total += b.free
		}
	}
	return total
}

// admit takes a permit or joins the waiting requests. The ask is to be sent
// when its Sequence is not zero. It returns neither a permit nor a waiter when
// the pool has been forgotten.
func (p *pool) admit(now ferry.Moment, next func() uint64) (*permit, *waiter, TokenRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, nil, TokenRequest{}
	}
	if len(p.waiters) == 0 {
		if taken := p.take(now); taken != nil {
			return taken, nil, p.askAhead(now, next)
		}
	}
	w := &waiter{since: now, result: make(chan waitResult, 1)}
	p.waiters = append(p.waiters, w)
	p.lastUsed = now
	return nil, w, p.askNeeded(now, next)
}

// abandon removes a request that no longer waits. It returns false when the
// request has its result already.
func (p *pool) abandon(w *waiter) bool {
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

// askNeeded asks for tokens that waiting requests need and that no ask in
// flight covers.
func (p *pool) askNeeded(now ferry.Moment, next func() uint64) TokenRequest {
	need := len(p.waiters)
	for _, ask := range p.pending {
		need -= ask.need
	}
	if need <= 0 {
		return TokenRequest{}
	}
	ahead := 0
	if now.Since(p.aheadAfter) >= 0 {
		ahead = p.aheadTarget()
	}
	return p.ask(now, next, need, ahead)
}

// askAhead asks for more tokens when few are left.
func (p *pool) askAhead(now ferry.Moment, next func() uint64) TokenRequest {
	target := p.aheadTarget()
	if target == 0 || now.Since(p.aheadAfter) < 0 || 2*p.free(now) >= target {
		return TokenRequest{}
	}
	for _, ask := range p.pending {
		if ask.ahead > 0 {
			return TokenRequest{}
		}
	}
	return p.ask(now, next, 0, target)
}

func (p *pool) aheadTarget() int {
	return min(maxAhead, int(math.Ceil(p.usage*aheadTime.Seconds())))
}

func (p *pool) ask(now ferry.Moment, next func() uint64, need, ahead int) TokenRequest {
	ask := TokenRequest{Sequence: next(), Account: p.account, Needed: need, Prefetch: ahead, Reports: p.reports()}
	if need > 0 || ahead > 0 {
		p.pending[ask.Sequence] = pendingAsk{asked: now, need: need, ahead: ahead}
	}
	p.reportAt = now
	return ask
}

// reports lists the grants whose state the holder does not know.
func (p *pool) reports() []Report {
	var reports []Report
	for _, b := range p.batches {
		if !b.isReported() {
			reports = append(reports, Report{Sequence: b.sequence, Spent: b.spent, Returned: b.returned})
			b.reportedSpent, b.reportedReturned = b.spent, b.returned
		}
	}
	return reports
}

// answer takes the holder's answer. Answers to unknown asks are ignored, so a
// doubled answer brings no tokens.
func (p *pool) answer(now ferry.Moment, answer TokenReply, next func() uint64) TokenRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.pending[answer.Sequence]
	if !ok {
		return TokenRequest{}
	}
	delete(p.pending, answer.Sequence)
	if answer.Granted > 0 {
		b := &batch{sequence: answer.Sequence, asked: pending.asked, tokens: answer.Granted, free: answer.Granted}
		p.batches = append(p.batches, b)
	}
	if pending.ahead > 0 && answer.Granted <= pending.need {
		p.aheadAfter = now.Add(aheadPause)
	}
	p.serve(now)
	if answer.Status == StatusEmpty {
		p.refuse(pending.need-answer.Granted, overAllowance(answer.RetryAfter))
	}
	if answer.Status == StatusNoShare || answer.Status == StatusNoAccount {
		return TokenRequest{}
	}
	return p.askNeeded(now, next)
}

// serve gives tokens to waiting requests in the order of their arrival.
func (p *pool) serve(now ferry.Moment) {
	for len(p.waiters) > 0 {
		taken := p.take(now)
		if taken == nil {
			return
		}
		p.waiters[0].result <- waitResult{permit: taken}
		p.waiters = p.waiters[1:]
	}
}

// refuse ends the wait of up to count requests.
func (p *pool) refuse(count int, refusal *ferry.RefusalError) {
	for ; count > 0 && len(p.waiters) > 0; count-- {
		p.waiters[0].result <- waitResult{refusal: refusal}
		p.waiters = p.waiters[1:]
	}
}

func overAllowance(after time.Duration) *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusTooManyRequests, Reason: ferry.ReasonOverAllowance, Outcome: ferry.OutcomeNotRun,
		RetryAfter: after, Detail: "the client account has used up its rate and burst",
	}
}

func allowanceUnknown() *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonAllowanceUnknown, Outcome: ferry.OutcomeNotRun,
		RetryAfter: maxWait, Detail: "the holder of the allowance did not answer",
	}
}

// tick drops lost asks and old grants, ends long waits and reports spent and
// idle tokens. It reports whether the pool can be forgotten.
func (p *pool) tick(now ferry.Moment, next func() uint64) (ask TokenRequest, isIdle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure(now)
	for sequence, pending := range p.pending {
		if now.Since(pending.asked) >= askTimeout {
			delete(p.pending, sequence)
		}
	}
	for len(p.waiters) > 0 && now.Since(p.waiters[0].since) >= maxWait {
		p.refuse(1, allowanceUnknown())
	}
	dirty := p.returnIdle(now)
	p.dropOld(now)
	if ask = p.askNeeded(now, next); ask.Sequence == 0 && dirty && now.Since(p.reportAt) >= reportDelay {
		ask = p.ask(now, next, 0, 0)
	}
	p.gone = len(p.waiters)+len(p.batches)+len(p.pending) == 0 && now.Since(p.lastUsed) >= forgetAfter
	return ask, p.gone
}

// measure updates the average usage.
func (p *pool) measure(now ferry.Moment) {
	if elapsed := now.Since(p.lastTick).Seconds(); elapsed > 0 {
		p.usage += usageWeight * (float64(p.used)/elapsed - p.usage)
	}
	p.used, p.lastTick = 0, now
}

// returnIdle gives tokens back that nobody takes and reports whether the
// holder has something to learn.
func (p *pool) returnIdle(now ferry.Moment) (dirty bool) {
	for _, b := range p.batches {
		if b.free > 0 && now.Since(b.asked) >= idleLife {
			b.returned += b.free
			b.free = 0
		}
		dirty = dirty || !b.isReported()
	}
	return dirty
}

// dropOld forgets the grants that have no more use.
func (p *pool) dropOld(now ferry.Moment) {
	kept := p.batches[:0]
	for _, b := range p.batches {
		isOpen := b.free+b.taken > 0 || !b.isReported()
		if isOpen && now.LongestSince(b.asked) < GrantLifetime {
			kept = append(kept, b)
		}
	}
	clear(p.batches[len(kept):])
	p.batches = kept
}
