package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// loan is what this VM lends to its first lead. The zero loan has ended.
type loan struct {
	to netip.AddrPort
	// incarnation is that of the process which got it.
	incarnation uint64
	// share is the part of all allowances that was lent. It does not fall while
	// the loan is renewed: the lead may still count by an earlier message.
	share float64
	until ferry.Moment
	// sequence is that of the last message that lent.
	sequence uint64
	// recallAt is the steady time of the next message that recalls the loan.
	recallAt time.Duration
}

// isOver reports whether the loan has ended. The lender counts by the clock
// that ran less.
func (l loan) isOver(now ferry.Moment) bool { return hasPassed(now, l.until) }

// isTo reports whether the process at the other end of a link got the loan.
func (l loan) isTo(other *link) bool {
	return l.to == other.vm.Peers && l.incarnation == other.vm.Incarnation
}

// hasPassed reports whether both clocks have reached a moment.
func hasPassed(now, moment ferry.Moment) bool {
	return now.Monotonic >= moment.Monotonic && now.Wall >= moment.Wall
}

// HeldShare returns the share of every allowance that this VM may grant at
// now, from 0 to 1. Only the first lead of the fleet grants.
func (c *Controller) HeldShare(now ferry.Moment) float64 {
	if _, isSelf := c.Lead(); !isSelf {
		return 0
	}
	share := c.ownShare(now)
	for _, l := range c.links {
		if l.isLentAt(now) {
			share += l.share
		}
	}
	if !c.lent.isOver(now) {
		share -= c.lent.share
	}
	return min(1, max(0, share))
}

// isLentAt reports whether the share that the other VM lent is held at a
// moment. The lead counts by the clock that runs further.
func (l *link) isLentAt(at ferry.Moment) bool {
	return l.lentUntil.Monotonic > at.Monotonic && l.lentUntil.Wall > at.Wall
}

// ownShare returns the share that belongs to this VM.
func (c *Controller) ownShare(now ferry.Moment) float64 {
	if !c.hasHeard && len(c.seeds) > 0 && now.Monotonic-c.started < aloneAfter {
		return 0
	}
	return 1 / float64(c.denominator(now))
}

// denominator returns the number of VMs among which the allowances are divided.
// VMs that all have just started may be a part of a fleet that they do not
// see, so they count it as unknownFleet at least.
func (c *Controller) denominator(now ferry.Moment) int {
	size := c.FleetSize()
	if c.isSettled || now.Monotonic-c.started > settleAfter {
		return size
	}
	return max(size, unknownFleet)
}

// lend adds a loan to a beat to the first lead: the own share and what others
// lent to this VM for longer than the term. What this VM may not lend yet is
// left out.
func (c *Controller) lend(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	isOver := c.lent.isOver(now)
	if !l.answers(now.Monotonic) || !isOver && !c.lent.isTo(l) {
		// A share is lent only to a lead that has counted this VM.
		return
	}
	term := LendTerm
	if c.leadsPlace {
		term = relendTerm
	}
	share := c.ownShare(now)
	var relent []*link
	for _, other := range c.links {
		if c.mayHold(other) && other.isLentAt(now.Add(term)) {
			share += other.share
			relent = append(relent, other)
		}
	}
	exchange.Lent = min(1, share)
	if isOver {
		c.lent.share = 0
	} else if l.isUnanswered(now.Monotonic) {
		// The loan of a lead that may be lost is not renewed, so that its end is
		// near when the next lead is chosen.
		return
	}
	exchange.LendTerm = term
	c.lent.to, c.lent.incarnation = to, l.vm.Incarnation
	c.lent.until, c.lent.sequence = now.Add(term), exchange.Sequence
	c.lent.share = max(c.lent.share, exchange.Lent)
	for _, other := range relent {
		other.relentUntil = c.lent.until
	}
}

// mayHold reports whether this VM uses what the other one lends: as the first
// lead of the fleet, or as the lead of the place of both.
func (c *Controller) mayHold(l *link) bool {
	_, isSelf := c.Lead()
	return !c.self.Leaving && (isSelf || c.leadsPlace && l.vm.Place == c.self.Place)
}

// takeLoan takes the loan of a beat. sent is the moment of the message that
// the beat echoes.
func (c *Controller) takeLoan(l *link, exchange Exchange, sent ferry.Moment, isEcho bool) {
	switch {
	case exchange.Lent == 0:
		l.lentUntil, l.share = ferry.Moment{}, 0
	case exchange.LendTerm > 0 && isEcho && c.mayHold(l):
		l.lentUntil, l.share = sent.Add(exchange.LendTerm), exchange.Lent
	}
}

// returns reports whether this VM holds nothing of what the other one lent: it
// is not its lead, or the loan was recalled, and what it lent on has ended.
func (c *Controller) returns(now ferry.Moment, l *link) bool {
	if c.mayHold(l) && l.isLentAt(now) || !hasPassed(now, l.relentUntil) {
		return false
	}
	l.lentUntil, l.share = ferry.Moment{}, 0
	return true
}

// giveBack drops the loans that this VM does not use any more and tells those
// who lent.
func (c *Controller) giveBack(now ferry.Moment) {
	for address, l := range c.links {
		if l.isLentAt(now) && c.returns(now, l) {
			c.send(now, address, l, false)
		}
	}
}

// recall asks the lead that this VM lent to before for the loan: a beat that lends
// nothing recalls it.
func (c *Controller) recall(now ferry.Moment) {
	lead, _ := c.Lead()
	if !c.lent.to.IsValid() || c.lent.to == lead || c.lent.isOver(now) || now.Monotonic < c.lent.recallAt {
		return
	}
	c.lent.recallAt = now.Monotonic + upperBeat
	c.send(now, c.lent.to, c.linkTo(c.lent.to), true)
}

// takeBack ends the loan to a lead that holds nothing of it.
func (c *Controller) takeBack(now ferry.Moment, l *link, exchange Exchange) {
	if !exchange.Returns || !c.lent.isTo(l) || exchange.Echo < c.lent.sequence {
		return
	}
	c.lent = loan{}
	for _, other := range c.links {
		// What was lent on was in this loan.
		other.relentUntil = ferry.Moment{}
	}
	lead, _ := c.Lead()
	if next := c.links[lead]; next != nil {
		next.nextBeat = now.Monotonic
	}
}
