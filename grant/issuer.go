package grant

import (
	"time"

	"monsoonferry.org/ferry"
)

const (
	// TokenLifetime is how long a token may be kept.
	TokenLifetime = time.Second
	// maxDelay is the longest time for which a token is promised ahead.
	maxDelay = 100 * time.Millisecond
	// aheadFill is the part of the bucket above which tokens are given ahead.
	aheadFill = 0.6
	// maxRetryAfter bounds the time to return of refused requests.
	maxRetryAfter = 2 * time.Second
	// refusedDecay is the time after which refused requests that did not return
	// are no longer expected.
	refusedDecay = time.Second
)

// TokenRequest asks for tokens.
type TokenRequest struct {
	Sequence uint64
	Account  ferry.AccountID
	// Waiting is the number of requests that wait, Ahead that of tokens to keep.
	Waiting  int
	Prefetch int
	// Spent is the number of tokens given ahead that were spent since the last
	// ask, and have not ended.
	Spent int
	// Hops is the number of VMs that passed the ask on.
	Hops int
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Sequence uint64
	Account  ferry.AccountID
	// Count is the number of tokens granted.
	Count int
	// RetryAfter is the time until the next token when Count is less than was
	// asked for.
	RetryAfter time.Duration
	// Unavailable reports that the holder has no share of the allowance.
	Unavailable bool
	// Hops is that of the ask.
	Hops int
	// Partial reports that further answers to the ask follow.
	Partial bool
}

// bucket is the allowance of one account.
type bucket struct {
	tokens float64
	at     time.Duration
	// ahead counts tokens given ahead in this and in the last TokenLifetime.
	ahead, aheadBefore float64
	aheadAt            time.Duration
	// refused is the number of requests refused lately.
	refused   float64
	refusedAt time.Duration
}

// Issuer grants tokens. The zero Issuer is ready to use. It is not safe for
// concurrent use.
type Issuer struct {
	buckets map[ferry.AccountID]*bucket
	// since is the time from which this holder's buckets accrue.
	since time.Duration
}

// Grant decides on an ask. share is the part of the allowance that this
// holder has, from 0 to 1.
func (h *Issuer) Grant(now time.Duration, ask TokenRequest, account *ferry.Account, share float64) TokenReply {
	answer := TokenReply{Sequence: ask.Sequence, Account: ask.Account, Hops: ask.Hops}
	if account == nil || account.Rate <= 0 {
		answer.Count = ask.Waiting + ask.Prefetch
		return answer
	}
	if share <= 0 {
		answer.Unavailable = true
		return answer
	}
	b := h.bucket(now, ask.Account)
	rate, most := account.Rate*share, max(1, account.Burst*share)
	// Tokens promised early count inside the burst, so no window holds more.
	early := min(rate*maxDelay.Seconds(), most/2)
	// What has accrued so far was capped by the tokens that were out.
	b.refill(now, rate, most-early)
	b.age(now)
	b.spend(ask.Spent)
	answer.Count = min(ask.Waiting, int(b.tokens+early))
	answer.Count = max(0, answer.Count)
	b.tokens -= float64(answer.Count)
	if answer.Count < ask.Waiting {
		answer.RetryAfter = b.refuse(now, ask.Waiting-answer.Count, rate)
		return answer
	}
	if ahead := min(float64(ask.Prefetch), b.tokens-aheadFill*(most-early)); ahead >= 1 {
		count := int(ahead)
		answer.Count += count
		b.tokens -= float64(count)
		b.ahead += float64(count)
	}
	return answer
}

func (h *Issuer) bucket(now time.Duration, id ferry.AccountID) *bucket {
	if h.buckets == nil {
		h.buckets = map[ferry.AccountID]*bucket{}
	}
	b := h.buckets[id]
	if b == nil {
		// What a former holder granted is not known, so the bucket was empty when
		// this holder started.
		b = &bucket{at: h.since, aheadAt: now, refusedAt: now}
		h.buckets[id] = b
	}
	return b
}

// age forgets tokens given ahead that have ended.
func (b *bucket) age(now time.Duration) {
	if now-b.aheadAt >= TokenLifetime {
		b.aheadBefore, b.ahead = b.ahead, 0
		if now-b.aheadAt >= 2*TokenLifetime {
			b.aheadBefore = 0
		}
		b.aheadAt = now
	}
}

// spend takes note of tokens given ahead that were spent.
func (b *bucket) spend(count int) {
	b.aheadBefore -= float64(count)
	if b.aheadBefore < 0 {
		b.ahead = max(0, b.ahead+b.aheadBefore)
		b.aheadBefore = 0
	}
}

// refill adds what accrued. Tokens given ahead count inside the cap until they
// were spent or have ended.
func (b *bucket) refill(now time.Duration, rate, most float64) {
	b.tokens += rate * (now - b.at).Seconds()
	b.tokens = min(b.tokens, most-b.ahead-b.aheadBefore)
	b.at = now
}

// refuse counts refused requests and returns when the first of them may come
// back: behind those that were refused before.
func (b *bucket) refuse(now time.Duration, count int, rate float64) time.Duration {
	elapsed := (now - b.refusedAt).Seconds() / refusedDecay.Seconds()
	b.refused = max(0, b.refused*(1-min(1, elapsed))) + float64(count)
	b.refusedAt = now
	seconds := (b.refused - min(0, b.tokens)) / rate
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Reset empties every bucket, for a holder whose shares begin at now.
func (h *Issuer) Reset(now time.Duration) { h.buckets, h.since = nil, now }
