package limit

import (
	"time"

	"monsoonferry.org/ferry"
)

// loan is the share of one shard while it is lent.
type loan struct {
	holder Process
	// until is the steady time at which the holder's right has ended.
	until time.Duration
	// returned is the return that ended the loan, or zero.
	returned ReleaseID
	// origin is the return that ended the loan before this one, or zero.
	origin ReleaseID
	// originEnd is the steady time until which answers repeat origin.
	originEnd time.Duration
}

// Lessor lends the VM's own share. It is not safe for concurrent use.
type Lessor struct {
	self Process
	// parts is the number of parts in force, 0 while the VM owns no share.
	parts int
	// since is the steady time since which the VM owns its share. Each shard may
	// be lent one term later.
	since time.Duration
	// wanted is a smaller number of parts that comes into force at grows.
	wanted int
	grows  time.Duration
	loans  [Shards]loan
}

// NewLessor returns the lender of a process that starts now.
func NewLessor(self Process, now ferry.Moment) *Lessor {
	return &Lessor{self: self, since: now.Steady}
}

// SetShare sets the number of parts and whether this VM owns one of them. A
// larger share comes into force only after every VM has had time to learn of
// the change; a smaller one at once.
func (l *Lessor) SetShare(now ferry.Moment, parts int, owns bool) {
	l.grow(now)
	if !owns || parts <= 0 {
		l.parts, l.wanted = 0, 0
		return
	}
	switch {
	case l.parts == 0:
		l.parts, l.wanted = parts, 0
		l.since = now.Steady
	case parts >= l.parts:
		l.parts, l.wanted = parts, 0
	case parts != l.wanted:
		l.wanted, l.grows = parts, now.Steady+changeTime
	}
}

// changeTime is the time within which a change is in force on every VM.
const changeTime = 7 * time.Second

func (l *Lessor) grow(now ferry.Moment) {
	if l.wanted > 0 && now.Steady >= l.grows {
		l.parts, l.wanted = l.wanted, 0
	}
}

// Lease answers an ask. It lends a shard only to the holder that its own view
// names, and never to two holders at once.
func (l *Lessor) Lease(now ferry.Moment, ask LeaseRequest, view Placement) LeaseReply {
	l.grow(now)
	answer := LeaseReply{Lessor: l.self, Holder: ask.Holder, Sequence: ask.Sequence, Parts: l.parts}
	if l.parts == 0 {
		return answer
	}
	for shard := range l.loans {
		if !ask.Mask.Has(shard) || view[shard] != ask.Holder.VM || now.Steady < l.since+termOf(shard)+quarantine {
			continue
		}
		current := &l.loans[shard]
		if !current.renew(now, ask, termOf(shard)) {
			continue
		}
		answer.Mask = answer.Mask.With(shard)
		if current.origin != (ReleaseID{}) && now.Steady < current.originEnd {
			answer.addOrigin(current.origin, shard)
		}
	}
	return answer
}

// renew lends to the asking holder. It reports false while another holder has
// the share and for asks from before a return.
func (l *loan) renew(now ferry.Moment, ask LeaseRequest, term time.Duration) bool {
	if l.holder == ask.Holder && ask.Sequence <= l.returned.Sequence {
		return false
	}
	if l.holder != ask.Holder {
		if now.Steady < l.until {
			return false
		}
		*l = loan{holder: ask.Holder, origin: l.returned, originEnd: now.Steady + term}
	}
	l.until = now.Steady + term + MaxClockDrift
	return true
}

func (a *LeaseReply) addOrigin(origin ReleaseID, shard int) {
	for i := range a.Released {
		if a.Released[i].Release == origin {
			a.Released[i].Mask = a.Released[i].Mask.With(shard)
			return
		}
	}
	a.Released = append(a.Released, ReleasedShards{Release: origin, Mask: Mask(0).With(shard)})
}

// Release ends loans early once the grants behind them have expired.
func (l *Lessor) Release(now ferry.Moment, message LeaseRelease) {
	for shard := range l.loans {
		current := &l.loans[shard]
		if !message.Mask.Has(shard) || current.holder != message.Holder || message.Sequence <= current.returned.Sequence {
			continue
		}
		if now.Steady >= current.until {
			continue
		}
		current.returned = ReleaseID{Holder: message.Holder, Sequence: message.Sequence}
		current.until = min(current.until, now.Steady+GrantLifetime+MaxClockDrift)
	}
}

// ActiveLeases returns the number of shards whose share is lent now.
func (l *Lessor) ActiveLeases(now ferry.Moment) int {
	count := 0
	for shard := range l.loans {
		if now.Steady < l.loans[shard].until {
			count++
		}
	}
	return count
}

// Parts returns the number of parts in force, or 0 while the VM has no share.
func (l *Lessor) Parts() int { return l.parts }
