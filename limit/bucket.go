package limit

import (
	"math"
	"time"
)

// grant is a number of tokens given to one process.
type grant struct {
	to       Process
	sequence uint64
	tokens   int
	spent    int
	returned int
	// expires is the steady time at which the tokens are worthless.
	expires time.Duration
}

// open returns the tokens that may still be spent.
func (g *grant) open() int { return g.tokens - g.spent - g.returned }

// bucket is the token bucket of one client account at its holder.
type bucket struct {
	rate  float64
	burst float64
	level float64
	// at is the steady time to which level belongs.
	at time.Duration
	// seen is the number of the first change of share after at.
	seen   int
	grants []grant
}

// newBucket returns the bucket of an account that has been idle for as long
// as the shard remembers.
func newBucket(s *shard, rate, burst float64) *bucket {
	b := &bucket{rate: rate, burst: burst, seen: s.first}
	if len(s.history) > 0 {
		b.at = s.history[0].at
	}
	return b
}

// open returns the tokens in grants that may still be spent.
func (b *bucket) open() int {
	total := 0
	for i := range b.grants {
		total += b.grants[i].open()
	}
	return total
}

// advance brings the bucket to now. It applies the changes of share and the
// ends of grants in order of time.
func (b *bucket) advance(s *shard, now time.Duration) {
	if b.seen < s.first {
		// Some changes are forgotten: start empty at the oldest known one.
		b.seen, b.level, b.at = s.first, 0, max(b.at, s.history[0].at)
	}
	share := s.shareAt(b.seen)
	for {
		next, isChange, isGrant := now, false, false
		if i := b.seen - s.first; i < len(s.history) && s.history[i].at <= next {
			next, isChange = s.history[i].at, true
		}
		if len(b.grants) > 0 && b.grants[0].expires <= next {
			next, isChange, isGrant = b.grants[0].expires, false, true
		}
		b.accrue(share, next)
		switch {
		case isGrant:
			b.grants = b.grants[1:]
		case isChange:
			share = s.history[b.seen-s.first].share
			b.seen++
			b.truncate(share)
		default:
			return
		}
	}
}

// shareAt returns the share in force just before the change of the given
// number.
func (s *shard) shareAt(number int) float64 {
	if i := number - s.first - 1; i >= 0 {
		return s.history[i].share
	}
	return 0
}

// accrue adds the tokens of the time until next at a constant share.
func (b *bucket) accrue(share float64, next time.Duration) {
	if next > b.at {
		b.level += share * b.rate * (next - b.at).Seconds()
		b.at = next
	}
	b.level = min(b.level, b.limit(share))
}

// limit returns the most tokens that the bucket may hold.
func (b *bucket) limit(share float64) float64 {
	return max(0, share*b.burst-float64(b.open()))
}

func (b *bucket) truncate(share float64) {
	b.level = min(b.level, b.limit(share))
}

// take removes up to need tokens, and up to ahead more while the bucket has a
// surplus.
func (b *bucket) take(share float64, need, ahead int) int {
	granted := min(need, int(math.Floor(b.level)))
	ceiling := share * b.burst
	surplus := int(b.level - float64(granted) - surplusLevel*ceiling)
	room := int(surplusOpen*ceiling) - b.open() - granted
	granted += max(0, min(ahead, surplus, room))
	b.level -= float64(granted)
	return granted
}

// Tokens are granted ahead only while the bucket keeps surplusLevel of its
// cap and open grants stay below surplusOpen of it.
const (
	surplusLevel = 0.5
	surplusOpen  = 0.25
)

// report applies the cumulative state of a grant.
func (b *bucket) report(from Process, r Report, share float64) {
	for i := range b.grants {
		g := &b.grants[i]
		if g.to != from || g.sequence != r.Sequence {
			continue
		}
		spent := max(g.spent, min(r.Spent, g.tokens-g.returned))
		returned := max(g.returned, min(r.Returned, g.tokens-spent))
		b.level += float64(returned - g.returned)
		g.spent, g.returned = spent, returned
		b.truncate(share)
	}
}

// isIdle reports whether forgetting the bucket loses nothing: it is as full
// as that of an account which was never used.
func (b *bucket) isIdle(share float64) bool {
	return len(b.grants) == 0 && b.level >= share*b.burst
}

// untilNext returns the time until the bucket holds one token.
func (b *bucket) untilNext(share float64) time.Duration {
	fill := share * b.rate
	if fill <= 0 {
		return LeaseTerm
	}
	wait := time.Duration((1 - b.level) / fill * float64(time.Second))
	return max(wait, time.Millisecond)
}
