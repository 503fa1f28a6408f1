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
	returned Origin
	// origin is the return that ended the loan before this one, or zero.
	origin Origin
	// originEnd is the steady time until which answers repeat origin.
	originEnd time.Duration
}

// Lender lends the VM's own share. It is not safe for concurrent use.
type Lender struct {
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

// NewLender returns the lender of a process that starts now.
func NewLender(self Process, now ferry.Moment) *Lender {
	return &Lender{self: self, since: now.Monotonic}
}

// SetShare sets the number of parts and whether this VM owns one of them. A
// larger share comes into force only after every VM has had time to learn of
// the change; a smaller one at once.
func (l *Lender) SetShare(now ferry.Moment, parts int, owns bool) {
	l.grow(now)
	if !owns || parts <= 0 {
		l.parts, l.wanted = 0, 0
		return
	}
	switch {
	case l.parts == 0:
		l.parts, l.wanted = parts, 0
		l.since = now.Monotonic
	case parts >= l.parts:
		l.parts, l.wanted = parts, 0
	case parts != l.wanted:
		l.wanted, l.grows = parts, now.Monotonic+changeTime
	}
}

// changeTime is the time within which a change is in force on every VM.
const changeTime = 7 * time.Second

func (l *Lender) grow(now ferry.Moment) {
	if l.wanted > 0 && now.Monotonic >= l.grows {
		l.parts, l.wanted = l.wanted, 0
	}
}

// Lend answers an ask. It lends a shard only to the holder that its own view
// names, and never to two holders at once.
func (l *Lender) Lend(now ferry.Moment, ask LeaseAsk, view Placement) LeaseAnswer {
	l.grow(now)
	answer := LeaseAnswer{Lender: l.self, Holder: ask.Holder, Sequence: ask.Sequence, Parts: l.parts}
	if l.parts == 0 {
		return answer
	}
	for shard := range l.loans {
		if !ask.Mask.Has(shard) || view[shard] != ask.Holder.VM || now.Monotonic < l.since+termOf(shard)+quarantine {
			continue
		}
		current := &l.loans[shard]
		if !current.renew(now, ask, termOf(shard)) {
			continue
		}
		answer.Mask = answer.Mask.With(shard)
		if current.origin != (Origin{}) && now.Monotonic < current.originEnd {
			answer.addOrigin(current.origin, shard)
		}
	}
	return answer
}

// renew lends to the asking holder. It reports false while another holder has
// the share and for asks from before a return.
func (l *loan) renew(now ferry.Moment, ask LeaseAsk, term time.Duration) bool {
	if l.holder == ask.Holder && ask.Sequence <= l.returned.Sequence {
		return false
	}
	if l.holder != ask.Holder {
		if now.Monotonic < l.until {
			return false
		}
		*l = loan{holder: ask.Holder, origin: l.returned, originEnd: now.Monotonic + term}
	}
	l.until = now.Monotonic + term + Drift
	return true
}

func (a *LeaseAnswer) addOrigin(origin Origin, shard int) {
	for i := range a.Origins {
		if a.Origins[i].Origin == origin {
			a.Origins[i].Mask = a.Origins[i].Mask.With(shard)
			return
		}
	}
	a.Origins = append(a.Origins, OriginMask{Origin: origin, Mask: Mask(0).With(shard)})
}

// Return ends loans early once the grants behind them have expired.
func (l *Lender) Return(now ferry.Moment, message LeaseReturn) {
	for shard := range l.loans {
		current := &l.loans[shard]
		if !message.Mask.Has(shard) || current.holder != message.Holder || message.Sequence <= current.returned.Sequence {
			continue
		}
		if now.Monotonic >= current.until {
			continue
		}
		current.returned = Origin{Holder: message.Holder, Sequence: message.Sequence}
		current.until = min(current.until, now.Monotonic+GrantLife+Drift)
	}
}

// Lent returns the number of shards whose share is lent now.
func (l *Lender) Lent(now ferry.Moment) int {
	count := 0
	for shard := range l.loans {
		if now.Monotonic < l.loans[shard].until {
			count++
		}
	}
	return count
}

// Parts returns the number of parts in force, or 0 while the VM has no share.
func (l *Lender) Parts() int { return l.parts }
