package grant

import (
	"time"

	"monsoonferry.org/ferry"
)

const (
	// TokenLifetime is how long a prefetched token may be cached.
	TokenLifetime = time.Second
	// maxAdvance is how long before its accrual a token may be granted.
	maxAdvance = 100 * time.Millisecond
	// prefetchReserve is the fraction of the bucket that prefetching leaves in it.
	prefetchReserve = 0.6
	// maxRetryAfter bounds the RetryAfter of refused requests.
	maxRetryAfter = 2 * time.Second
	// settleTime is the time after a Reset in which an Issuer refuses nothing: its
	// buckets are empty, and the leases of its followers arrive.
	settleTime = 2 * time.Second
	// refusedDecay is the time after which refused requests that were not retried
	// are no longer expected.
	refusedDecay = time.Second
)

// TokenRequest asks for tokens of one account.
type TokenRequest struct {
	Sequence uint64
	Account  ferry.AccountID
	// Waiting is the number of client requests that wait for a token.
	Waiting int
	// Prefetch is the number of tokens wanted for later client requests.
	Prefetch int
	// Spent is the number of prefetched tokens that were spent since the last
	// TokenRequest and have not expired.
	Spent int
	// Hops is the number of VMs that forwarded the request.
	Hops int
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Sequence uint64
	Account  ferry.AccountID
	// Count is the number of tokens granted.
	Count int
	// RetryAfter is the time until the next token when Count is less than the
	// number of waiting client requests.
	RetryAfter time.Duration
	// Unavailable reports that the request reached no issuer with a share, or one that
	// has just started. Requests that got no token may get one soon.
	Unavailable bool
	// Hops is that of the TokenRequest.
	Hops int
	// Partial reports that further replies to the TokenRequest follow.
	Partial bool
}

// bucket is the token bucket of one account.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
	// prefetched and prefetchedBefore count the outstanding prefetched tokens of
	// the current TokenLifetime, begun at rotatedAt, and of the previous one.
	prefetched, prefetchedBefore float64
	rotatedAt                    time.Duration
	// refused is the number of refused requests whose retries are expected.
	refused   float64
	refusedAt time.Duration
}

// Issuer grants tokens out of one bucket for each account. The zero Issuer is
// ready to use. It is not safe for concurrent use.
type Issuer struct {
	buckets map[ferry.AccountID]*bucket
	// startedAt is the time from which the buckets accrue.
	startedAt time.Duration
	// settlesAt is the time before which no request is refused.
	settlesAt time.Duration
}

// Grant replies to a request. share is the part of the allowance that this VM
// holds, from 0 to 1.
func (i *Issuer) Grant(now time.Duration, request TokenRequest, account *ferry.Account, share float64) TokenReply {
	reply := TokenReply{Sequence: request.Sequence, Account: request.Account, Hops: request.Hops}
	if account == nil || account.Rate <= 0 {
		reply.Count = request.Waiting + request.Prefetch
		return reply
	}
	if share <= 0 {
		reply.Unavailable = true
		return reply
	}
	b := i.bucket(now, request.Account)
	rate, capacity := account.Rate*share, max(1, account.Burst*share)
	// Tokens granted early count inside the burst, so that no window admits more.
	advance := min(rate*maxAdvance.Seconds(), capacity/2)
	// Refill first: the tokens outstanding until now limited the accrual.
	b.refill(now, rate, capacity-advance)
	b.rotatePrefetched(now)
	b.countSpent(request.Spent)
	reply.Count = min(request.Waiting, int(b.tokens+advance))
	reply.Count = max(0, reply.Count)
	b.tokens -= float64(reply.Count)
	if reply.Count < request.Waiting && now < i.settlesAt {
		reply.Unavailable, reply.RetryAfter = true, b.nextToken(rate)
		return reply
	}
	if reply.Count < request.Waiting {
		reply.RetryAfter = b.refuse(now, request.Waiting-reply.Count, rate)
		return reply
	}
	if prefetch := min(float64(request.Prefetch), b.tokens-prefetchReserve*(capacity-advance)); prefetch >= 1 {
		count := int(prefetch)
		reply.Count += count
		b.tokens -= float64(count)
		b.prefetched += float64(count)
	}
	return reply
}

func (i *Issuer) bucket(now time.Duration, id ferry.AccountID) *bucket {
	if i.buckets == nil {
		i.buckets = map[ferry.AccountID]*bucket{}
	}
	b := i.buckets[id]
	if b == nil {
		// The tokens granted by the previous issuer are not known, so the bucket
		// counts as empty when this issuer starts.
		b = &bucket{refilledAt: i.startedAt, rotatedAt: now, refusedAt: now}
		i.buckets[id] = b
	}
	return b
}

// rotatePrefetched stops counting prefetched tokens that have expired.
func (b *bucket) rotatePrefetched(now time.Duration) {
	if now-b.rotatedAt >= TokenLifetime {
		b.prefetchedBefore, b.prefetched = b.prefetched, 0
		if now-b.rotatedAt >= 2*TokenLifetime {
			b.prefetchedBefore = 0
		}
		b.rotatedAt = now
	}
}

// countSpent stops counting prefetched tokens that were spent, oldest first.
func (b *bucket) countSpent(count int) {
	b.prefetchedBefore -= float64(count)
	if b.prefetchedBefore < 0 {
		b.prefetched = max(0, b.prefetched+b.prefetchedBefore)
		b.prefetchedBefore = 0
	}
}

// refill adds the tokens that accrued since the last refill. Prefetched tokens
// count against the capacity until they are spent or expire.
func (b *bucket) refill(now time.Duration, rate, capacity float64) {
	b.tokens += rate * (now - b.refilledAt).Seconds()
	b.tokens = min(b.tokens, capacity-b.prefetched-b.prefetchedBefore)
	b.refilledAt = now
}

// nextToken returns the time until the next token accrues.
func (b *bucket) nextToken(rate float64) time.Duration {
	return min(maxRetryAfter, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)))
}

// refuse counts refused requests and returns the time after which the first of
// them may be retried: after the retries of those that were refused before.
func (b *bucket) refuse(now time.Duration, count int, rate float64) time.Duration {
	elapsed := (now - b.refusedAt).Seconds() / refusedDecay.Seconds()
	b.refused = max(0, b.refused*(1-min(1, elapsed))) + float64(count)
	b.refusedAt = now
	seconds := (b.refused - min(0, b.tokens)) / rate
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Reset empties every bucket. The buckets accrue from now on, and nothing is refused for
// settleTime: requests that got no token ask again.
func (i *Issuer) Reset(now time.Duration) {
	i.buckets, i.startedAt, i.settlesAt = nil, now, now+settleTime
}
