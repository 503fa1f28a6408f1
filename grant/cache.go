package grant

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// askTimeout is the time after which an unanswered ask is repeated: more
	// than a round trip between regions.
	askTimeout = 150 * time.Millisecond
	// unknownPause is the pause after an answer of a holder without a share.
	unknownPause = 100 * time.Millisecond
	// aheadWanted is the least number of tokens kept for an account in use, and
	// aheadFor the time whose use is kept: some round trips between regions.
	aheadWanted = 2
	aheadFor    = 250 * time.Millisecond
	// aheadPause is the time for which no tokens are asked for ahead after the
	// holder had too few.
	aheadPause = 500 * time.Millisecond
	// paceDecay is the time in which past use loses weight by the factor e.
	paceDecay = time.Second
	// useFor is how long an account counts as in use.
	useFor = 2 * time.Second
)

// Waiter is the wait for one token. Exactly one value comes over Result.
type Waiter struct {
	Result chan WaitResult
	// sequence is that of the ask under way for the ticket, or zero.
	sequence uint64
}

// WaitResult ends the wait for a token.
type WaitResult struct {
	Granted bool
	// RetryAfter is set when the holder refused.
	RetryAfter time.Duration
	// Unavailable reports that no holder answered in time.
	Unavailable bool
}

// openAsk is an ask without an answer.
type openAsk struct {
	sequence uint64
	sent     time.Duration
	waiting  int
	ahead    int
}

// TokenCache holds the tokens of one account on one VM. The zero TokenCache is ready to
// use. It is not safe for concurrent use.
type TokenCache struct {
	Account ferry.AccountID
	// ends are the ends of the tokens, oldest first.
	ends    []time.Duration
	tickets []*Waiter
	open    []openAsk
	// spent are the ends of kept tokens that were spent since the last ask.
	spent    []time.Duration
	usedAt   time.Duration
	used     bool
	notUntil time.Duration
	// aheadNotUntil is the time before which no tokens are asked for ahead alone.
	aheadNotUntil time.Duration
	// pace is the use of late in tokens a second.
	pace float64
}

// Take takes a token, or returns a Waiter to wait with.
func (p *TokenCache) Take(now time.Duration) *Waiter {
	p.pace = p.paceAt(now) + 1/paceDecay.Seconds()
	p.usedAt, p.used = now, true
	p.drop(now)
	if len(p.tickets) == 0 && len(p.ends) > 0 {
		p.spendOne()
		return nil
	}
	ticket := &Waiter{Result: make(chan WaitResult, 1)}
	p.tickets = append(p.tickets, ticket)
	return ticket
}

// paceAt returns the use of late in tokens a second.
func (p *TokenCache) paceAt(now time.Duration) float64 {
	return p.pace * math.Exp(-(now-p.usedAt).Seconds()/paceDecay.Seconds())
}

// drop removes tokens that have ended.
func (p *TokenCache) drop(now time.Duration) {
	p.ends = after(p.ends, now)
	p.spent = after(p.spent, now)
}

// after returns the ends that are later than now.
func after(ends []time.Duration, now time.Duration) []time.Duration {
	for len(ends) > 0 && ends[0] <= now {
		ends = ends[1:]
	}
	return ends
}

// NextRequest returns the ask that has to be sent at now, if any.
func (p *TokenCache) NextRequest(now time.Duration, sequence uint64) (TokenRequest, bool) {
	p.drop(now)
	p.expireAsks(now)
	waiting := 0
	for _, ticket := range p.tickets {
		if ticket.sequence == 0 {
			waiting++
		}
	}
	ahead, wanted := 0, max(aheadWanted, int(p.paceAt(now)*aheadFor.Seconds()))
	if p.used && now-p.usedAt < useFor && len(p.open) == 0 && len(p.ends) < wanted {
		ahead = wanted - len(p.ends)
	}
	isAheadDue := 2*ahead > wanted && now >= p.aheadNotUntil && now-p.usedAt <= askTimeout
	if now < p.notUntil || waiting == 0 && !isAheadDue {
		return TokenRequest{}, false
	}
	for _, ticket := range p.tickets {
		if ticket.sequence == 0 {
			ticket.sequence = sequence
		}
	}
	p.open = append(p.open, openAsk{sequence: sequence, sent: now, waiting: waiting, ahead: ahead})
	spent := len(p.spent)
	p.spent = nil
	return TokenRequest{Sequence: sequence, Account: p.Account, Waiting: waiting, Prefetch: ahead, Spent: spent}, true
}

// expireAsks gives asks up that were not answered, so that their tickets are
// asked for again.
func (p *TokenCache) expireAsks(now time.Duration) {
	for len(p.open) > 0 && now-p.open[0].sent > askTimeout {
		p.unask(p.open[0].sequence)
		p.open = p.open[1:]
	}
}

// unask lets the tickets of an ask be asked for again.
func (p *TokenCache) unask(sequence uint64) {
	for _, ticket := range p.tickets {
		if ticket.sequence == sequence {
			ticket.sequence = 0
		}
	}
}

// HandleReply takes an answer in.
func (p *TokenCache) HandleReply(now time.Duration, answer TokenReply) {
	ask, isOpen := p.take(answer)
	switch {
	case answer.Unavailable:
		p.unask(answer.Sequence)
		p.notUntil = now + unknownPause
		return
	case !isOpen:
		// The tickets were asked for again. The tokens are not kept: their age is
		// not known.
		p.settle(answer.Count, WaitResult{Granted: true}, func(*Waiter) bool { return true })
		return
	}
	isOwn := func(ticket *Waiter) bool { return ticket.sequence == answer.Sequence }
	p.settle(min(answer.Count, ask.waiting), WaitResult{Granted: true}, isOwn)
	if !answer.Partial && answer.Count < ask.waiting+ask.ahead {
		p.aheadNotUntil = now + aheadPause
	}
	for range answer.Count - ask.waiting {
		p.ends = append(p.ends, ask.sent+TokenLifetime)
	}
	if answer.RetryAfter > 0 {
		p.settle(ask.waiting-answer.Count, WaitResult{RetryAfter: answer.RetryAfter}, isOwn)
	}
	p.spendKept(now)
}

// settle gives a verdict to the first count tickets of a kind. A token whose
// ticket was given up is lost: the holder counts it as spent.
func (p *TokenCache) settle(count int, verdict WaitResult, isMeant func(*Waiter) bool) {
	waiting := p.tickets[:0]
	for _, ticket := range p.tickets {
		if count > 0 && isMeant(ticket) {
			ticket.Result <- verdict
			count--
			continue
		}
		waiting = append(waiting, ticket)
	}
	p.tickets = waiting
}

// spendKept gives kept tokens to tickets that were not asked for.
func (p *TokenCache) spendKept(now time.Duration) {
	p.drop(now)
	waiting := p.tickets[:0]
	for _, ticket := range p.tickets {
		if ticket.sequence == 0 && len(p.ends) > 0 {
			p.spendOne()
			ticket.Result <- WaitResult{Granted: true}
			continue
		}
		waiting = append(waiting, ticket)
	}
	p.tickets = waiting
}

// spendOne spends the oldest kept token.
func (p *TokenCache) spendOne() {
	p.spent = append(p.spent, p.ends[0])
	p.ends = p.ends[1:]
}

// take returns the open ask that an answer belongs to, and ends it with its last
// answer.
func (p *TokenCache) take(answer TokenReply) (open openAsk, found bool) {
	for i, ask := range p.open {
		if ask.sequence != answer.Sequence {
			continue
		}
		if answer.Partial {
			p.open[i].waiting -= min(ask.waiting, answer.Count)
		} else {
			p.open = append(p.open[:i], p.open[i+1:]...)
		}
		return ask, true
	}
	return openAsk{}, false
}

// Cancel ends the wait with a ticket. It reports whether the ticket had still
// no result.
func (p *TokenCache) Cancel(ticket *Waiter) bool {
	for i, other := range p.tickets {
		if other == ticket {
			p.tickets = append(p.tickets[:i], p.tickets[i+1:]...)
			return true
		}
	}
	return false
}

// IsIdle reports whether the purse can be forgotten.
func (p *TokenCache) IsIdle(now time.Duration) bool {
	p.drop(now)
	return len(p.tickets) == 0 && len(p.open) == 0 && len(p.ends) == 0 && now-p.usedAt > useFor
}

// HasWaiters reports whether requests wait.
func (p *TokenCache) HasWaiters() bool { return len(p.tickets) > 0 }
