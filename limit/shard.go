package limit

import (
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// historySize is the number of changes of share that a shard remembers.
const historySize = 128

// lease is the share that one VM lends for a shard.
type lease struct {
	lender Process
	parts  int
	asked  ferry.Moment
	term   time.Duration
}

// usableTime is the time for which the lease backs new grants. Grants given
// before its end have expired when the lease ends.
func (l lease) usableTime() time.Duration { return l.term - GrantLifetime - MaxClockDrift }

// end is the steady time from which the lease backs no new grants.
func (l lease) end() time.Duration { return l.asked.Steady + l.usableTime() }

// isOver reports whether the lease backs no new grants by either clock.
func (l lease) isOver(now ferry.Moment) bool {
	return now.LongestSince(l.asked) >= l.usableTime()
}

// change is a change of the held share at one steady time.
type change struct {
	at    time.Duration
	share float64
}

// shard is the share that this VM holds of one group of accounts.
type shard struct {
	leases map[Process]lease
	// history lists the changes of share in order of time. The first entry is
	// the oldest that is remembered.
	history []change
	// first is the number of changes that were forgotten.
	first int
	// returned is the sequence of the last return of this shard.
	returned uint64
	// arrived adds up the shares of each origin whose tokens are still due.
	arrived map[ReleaseID]float64
	// settled remembers the last origin counted for each lender.
	settled map[Process]ReleaseID
	// lost counts the leases that ended without a renewal or a return.
	lost uint64
}

// share returns the share held after the last change.
func (s *shard) share() float64 {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].share
}

// record notes the share that the leases now add up to.
func (s *shard) record(at time.Duration) {
	total := 0.0
	for _, l := range s.leases {
		total += 1 / float64(l.parts)
	}
	// Rounding must not make the sum of the parts exceed the whole.
	total = min(1, total)
	if len(s.history) > 0 {
		last := s.history[len(s.history)-1]
		if last.share == total {
			return
		}
		if last.share > total {
			// Tokens that are still due may belong to a share that left.
			clear(s.arrived)
		}
		at = max(at, last.at)
	}
	s.history = append(s.history, change{at: at, share: total})
	if surplus := len(s.history) - historySize; surplus > 0 {
		s.history = slices.Delete(s.history, 0, surplus)
		s.first += surplus
	}
}

// expire ends every lease whose time is over, each at its own end, so that a
// process which was frozen does not accrue beyond it.
func (s *shard) expire(now ferry.Moment) {
	for {
		oldest, found := s.oldest()
		if !found || oldest.end() > now.Steady {
			break
		}
		delete(s.leases, oldest.lender)
		s.lost++
		s.record(oldest.end())
	}
	for lender, l := range s.leases {
		if l.isOver(now) {
			delete(s.leases, lender)
			s.lost++
		}
	}
	s.record(now.Steady)
}

// oldest returns the lease that ends first.
func (s *shard) oldest() (oldest lease, found bool) {
	for _, l := range s.leases {
		if !found || l.end() < oldest.end() {
			oldest, found = l, true
		}
	}
	return oldest, found
}

// renew starts or extends a lease.
func (s *shard) renew(now ferry.Moment, l lease) {
	s.expire(now)
	if l.isOver(now) {
		return
	}
	if old, ok := s.leases[l.lender]; ok && old.asked.Steady >= l.asked.Steady {
		return
	}
	if s.leases == nil {
		s.leases = map[Process]lease{}
	}
	s.leases[l.lender] = l
	s.record(now.Steady)
}

// arrive counts the share of a lender towards the tokens of its origin, once
// for each lender.
func (s *shard) arrive(lender Process, origin ReleaseID) {
	l, ok := s.leases[lender]
	if !ok || s.settled[lender] == origin {
		return
	}
	if s.arrived == nil {
		s.arrived = map[ReleaseID]float64{}
		s.settled = map[Process]ReleaseID{}
	}
	s.settled[lender] = origin
	s.arrived[origin] += 1 / float64(l.parts)
}

// drop ends every lease at once.
func (s *shard) drop(now ferry.Moment, sequence uint64) {
	s.expire(now)
	clear(s.leases)
	clear(s.arrived)
	clear(s.settled)
	s.returned = sequence
	s.record(now.Steady)
}
