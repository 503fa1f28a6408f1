package limit

import (
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// historySize is the number of share changes that a shard keeps.
const historySize = 128

// heldLease is a lease of one VM's share of a shard.
type heldLease struct {
	lessor      Process
	parts       int
	requestedAt ferry.Moment
	term        time.Duration
}

// usableTime is the time for which the lease backs new grants. It ends early
// enough that these grants expire before the lease does.
func (l heldLease) usableTime() time.Duration { return l.term - GrantLifetime - MaxClockDrift }

// usableUntil is the monotonic time from which the lease backs no new grants.
func (l heldLease) usableUntil() time.Duration { return l.requestedAt.Monotonic + l.usableTime() }

// isExpired reports whether usableTime has passed on either clock.
func (l heldLease) isExpired(now ferry.Moment) bool {
	return now.LongestSince(l.requestedAt) >= l.usableTime()
}

// shareChange is a change of the held share at a monotonic time.
type shareChange struct {
	effectiveAt time.Duration
	share       float64
}

// heldShard is the share of one shard that this VM holds.
type heldShard struct {
	leases map[Process]heldLease
	// history lists the latest share changes in order of time.
	history []shareChange
	// trimmedChanges is the number of changes removed from history.
	trimmedChanges int
	// releaseSequence is the sequence of the last release of this shard.
	releaseSequence uint64
	// creditable sums, by release, the shares whose tokens may still be credited.
	creditable map[ReleaseID]float64
	// creditedRelease is the last release counted in creditable for each
	// lessor.
	creditedRelease map[Process]ReleaseID
	// lostLeases counts the leases that expired without a renewal or a release.
	lostLeases uint64
}

// share returns the share held after the last change.
func (s *heldShard) share() float64 {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].share
}

// recordChange adds the sum of the leased shares to history if it changed.
func (s *heldShard) recordChange(at time.Duration) {
	var parts []int
	for _, l := range s.leases {
		parts = append(parts, l.parts)
	}
	// The rounding of the sum depends on the order.
	slices.Sort(parts)
	total := 0.0
	for _, count := range parts {
		total += 1 / float64(count)
	}
	// Rounding must not make the sum of the parts exceed the whole.
	total = min(1, total)
	if len(s.history) > 0 {
		last := s.history[len(s.history)-1]
		if last.share == total {
			return
		}
		if last.share > total {
			// Tokens that are not credited yet may belong to the lost share.
			clear(s.creditable)
		}
		at = max(at, last.effectiveAt)
	}
	s.history = append(s.history, shareChange{effectiveAt: at, share: total})
	if overflow := len(s.history) - historySize; overflow > 0 {
		s.history = slices.Delete(s.history, 0, overflow)
		s.trimmedChanges += overflow
	}
}

// expire removes every expired lease, each as of its own end, so that a process
// that was frozen accrues no tokens beyond it.
func (s *heldShard) expire(now ferry.Moment) {
	for {
		first, found := s.firstToExpire()
		if !found || first.usableUntil() > now.Monotonic {
			break
		}
		delete(s.leases, first.lessor)
		s.lostLeases++
		s.recordChange(first.usableUntil())
	}
	for lessor, l := range s.leases {
		if l.isExpired(now) {
			delete(s.leases, lessor)
			s.lostLeases++
		}
	}
	s.recordChange(now.Monotonic)
}

// firstToExpire returns the lease that ends first.
func (s *heldShard) firstToExpire() (first heldLease, found bool) {
	for _, l := range s.leases {
		if !found || l.usableUntil() < first.usableUntil() {
			first, found = l, true
		}
	}
	return first, found
}

// renew starts or extends a lease.
func (s *heldShard) renew(now ferry.Moment, l heldLease) {
	s.expire(now)
	if l.isExpired(now) {
		return
	}
	if old, ok := s.leases[l.lessor]; ok && old.requestedAt.Monotonic >= l.requestedAt.Monotonic {
		return
	}
	if s.leases == nil {
		s.leases = map[Process]heldLease{}
	}
	s.leases[l.lessor] = l
	s.recordChange(now.Monotonic)
}

// addCreditable adds a lessor's share to the creditable share of a release,
// once for each lessor.
func (s *heldShard) addCreditable(lessor Process, release ReleaseID) {
	l, ok := s.leases[lessor]
	if !ok || s.creditedRelease[lessor] == release {
		return
	}
	if s.creditable == nil {
		s.creditable = map[ReleaseID]float64{}
		s.creditedRelease = map[Process]ReleaseID{}
	}
	s.creditedRelease[lessor] = release
	s.creditable[release] += 1 / float64(l.parts)
}

// releaseAll ends every lease at once.
func (s *heldShard) releaseAll(now ferry.Moment, sequence uint64) {
	s.expire(now)
	clear(s.leases)
	clear(s.creditable)
	clear(s.creditedRelease)
	s.releaseSequence = sequence
	s.recordChange(now.Monotonic)
}
