package limit

import (
	"math"
	"time"
)

// issuedGrant is a number of tokens granted to one process.
type issuedGrant struct {
	recipient Process
	sequence  uint64
	tokens    int
	spent     int
	returned  int
	// expiresAt is the monotonic time at which the tokens expire.
	expiresAt time.Duration
}

// outstanding returns the number of tokens that may still be spent.
func (g *issuedGrant) outstanding() int { return g.tokens - g.spent - g.returned }

// bucket is the token bucket of one client account at its holder.
type bucket struct {
	rate  float64
	burst float64
	level float64
	// withheld is the number of tokens that the account may have saved before
	// its shares came to this holder. They are never granted, since another
	// holder may have granted them, but they tell an account that has used up its
	// allowance from one that nobody knows yet.
	withheld float64
	// updatedAt is the monotonic time for which level was computed.
	updatedAt time.Duration
	// nextChange is the number of the first share change not yet applied.
	nextChange int
	grants     []issuedGrant
}

// newBucket returns the bucket of an account that has been idle since the
// oldest share change in the shard's history.
func newBucket(s *heldShard, rate, burst float64) *bucket {
	b := &bucket{rate: rate, burst: burst, nextChange: s.trimmedChanges}
	if len(s.history) > 0 {
		b.updatedAt = s.history[0].effectiveAt
	}
	return b
}

// outstanding returns the number of granted tokens that may still be spent.
func (b *bucket) outstanding() int {
	total := 0
	for i := range b.grants {
		total += b.grants[i].outstanding()
	}
	return total
}

// advance updates the bucket to now. It applies share changes and grant
// expiries in order of time.
func (b *bucket) advance(s *heldShard, now time.Duration) {
	if b.nextChange < s.trimmedChanges {
		// Some changes were trimmed: restart empty at the oldest one left.
		b.nextChange, b.level, b.updatedAt = s.trimmedChanges, 0, max(b.updatedAt, s.history[0].effectiveAt)
	}
	share := s.shareBefore(b.nextChange)
	for {
		next, isShareChange, isGrantExpiry := now, false, false
		if i := b.nextChange - s.trimmedChanges; i < len(s.history) && s.history[i].effectiveAt <= next {
			next, isShareChange = s.history[i].effectiveAt, true
		}
		if len(b.grants) > 0 && b.grants[0].expiresAt <= next {
			next, isShareChange, isGrantExpiry = b.grants[0].expiresAt, false, true
		}
		b.accrue(share, next)
		switch {
		case isGrantExpiry:
			b.grants = b.grants[1:]
		case isShareChange:
			before := share
			share = s.history[b.nextChange-s.trimmedChanges].share
			b.nextChange++
			b.withheld += max(0, share-before) * b.burst
			b.truncate(share)
		default:
			return
		}
	}
}

// shareBefore returns the share in force just before the change of the given
// number.
func (s *heldShard) shareBefore(number int) float64 {
	if i := number - s.trimmedChanges - 1; i >= 0 {
		return s.history[i].share
	}
	return 0
}

// accrue adds the tokens of the time until next at a constant share.
func (b *bucket) accrue(share float64, next time.Duration) {
	if next > b.updatedAt {
		b.level += share * b.rate * (next - b.updatedAt).Seconds()
		b.updatedAt = next
	}
	b.truncate(share)
}

// maxLevel returns the largest number of tokens that the bucket may hold.
func (b *bucket) maxLevel(share float64) float64 {
	return max(0, share*b.burst-float64(b.outstanding()))
}

func (b *bucket) truncate(share float64) {
	most := b.maxLevel(share)
	b.level = min(b.level, most)
	b.withheld = min(b.withheld, most-b.level)
}

// excuse reports whether withheld tokens would have covered the missing ones. It
// uses them up, so that a steady excess is soon told from an early request.
func (b *bucket) excuse(missing int) bool {
	if b.withheld < float64(missing) {
		return false
	}
	b.withheld -= float64(missing)
	return true
}

// take removes up to needed tokens, and up to prefetch more while the bucket
// has a surplus.
func (b *bucket) take(share float64, needed, prefetch int) int {
	granted := min(needed, int(math.Floor(b.level)))
	capacity := share * b.burst
	surplus := int(b.level - float64(granted) - prefetchReserve*capacity)
	room := int(prefetchMaxOutstanding*capacity) - b.outstanding() - granted
	granted += max(0, min(prefetch, surplus, room))
	b.level -= float64(granted)
	return granted
}

// Tokens are prefetched only while at least prefetchReserve of the cap stays in
// the bucket and at most prefetchMaxOutstanding of the cap is outstanding.
const (
	prefetchReserve        = 0.5
	prefetchMaxOutstanding = 0.25
)

// applyReport applies the cumulative state of a grant.
func (b *bucket) applyReport(from Process, r Report, share float64) {
	for i := range b.grants {
		g := &b.grants[i]
		if g.recipient != from || g.sequence != r.Sequence {
			continue
		}
		spent := max(g.spent, min(r.Spent, g.tokens-g.returned))
		returned := max(g.returned, min(r.Returned, g.tokens-spent))
		b.level += float64(returned - g.returned)
		g.spent, g.returned = spent, returned
		b.truncate(share)
	}
}

// isIdle reports whether the bucket can be evicted without loss: it is as full
// as the bucket of an account that was never used.
func (b *bucket) isIdle(share float64) bool {
	return len(b.grants) == 0 && b.level >= share*b.burst
}

// untilNextToken returns the time until the bucket holds one token.
func (b *bucket) untilNextToken(share float64) time.Duration {
	fillRate := share * b.rate
	if fillRate <= 0 {
		return LeaseTerm
	}
	wait := time.Duration((1 - b.level) / fillRate * float64(time.Second))
	return max(wait, time.Millisecond)
}
