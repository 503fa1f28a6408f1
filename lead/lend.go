package lead

import (
	"net/netip"

	"monsoonferry.org/ferry"
)

// loan is what this VM lends to its first lead. The zero loan has ended.
type loan struct {
	to netip.AddrPort
	// share is the part of all allowances that was lent. It does not fall while
	// the loan is renewed: the lead may still count by an earlier message.
	share float64
	until ferry.Moment
	// relentUntil is the moment until which it holds shares of other VMs.
	relentUntil ferry.Moment
	// sequence is that of the last message that lent.
	sequence uint64
}

// isOver reports whether the loan has ended. The lender counts by the clock
// that ran less.
func (l loan) isOver(now ferry.Moment) bool { return hasPassed(now, l.until) }

// hasPassed reports whether both clocks have reached a moment.
func hasPassed(now, moment ferry.Moment) bool {
	return now.Steady >= moment.Steady && now.Wall >= moment.Wall
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
	return l.lentUntil.Steady > at.Steady && l.lentUntil.Wall > at.Wall
}

// ownShare returns the share that belongs to this VM.
func (c *Controller) ownShare(now ferry.Moment) float64 {
	if !c.hasHeard && len(c.seeds) > 0 && now.Steady-c.started < aloneAfter {
		return 0
	}
	return 1 / float64(c.denominator(now))
}

// denominator returns the number of VMs among which the allowances are divided.
// VMs that all have just started may be a part of a fleet that they do not
// see, so they count it as unknownFleet at least.
func (c *Controller) denominator(now ferry.Moment) int {
	size := c.FleetSize()
	if c.isSettled || now.Steady-c.started > settleAfter {
		return size
	}
	return max(size, unknownFleet)
}

// lend adds a loan to a beat to the first lead: the own share and what others
// lent to this VM for longer than the term. What this VM may not lend yet is
// left out.
func (c *Controller) lend(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	isOver := c.lent.isOver(now)
	if !l.answers(now.Steady) || !isOver && c.lent.to != to {
		// A share is lent only to a lead that has counted this VM.
		return
	}
	term := LendTerm
	if c.leadsPlace {
		term = relendTerm
	}
	relent := 0.0
	for _, other := range c.links {
		// A VM that leaves gives back instead.
		if !c.self.Leaving && other.isLentAt(now.Add(term)) {
			relent += other.share
		}
	}
	exchange.Lent = min(1, c.ownShare(now)+relent)
	if isOver {
		c.lent.share = 0
	} else if l.isUnanswered(now.Steady) {
		// The loan of a lead that may be lost is not renewed, so that its end is
		// near when the next lead is chosen.
		return
	}
	exchange.LendTerm = term
	c.lent.to, c.lent.until, c.lent.sequence = to, now.Add(term), exchange.Sequence
	c.lent.share = max(c.lent.share, exchange.Lent)
	if relent > 0 {
		c.lent.relentUntil = c.lent.until
	}
}

// takeLoan takes the loan of a beat. sent is the moment of the message that
// the beat echoes.
func (c *Controller) takeLoan(l *link, exchange Exchange, sent ferry.Moment, isEcho bool) {
	switch {
	case exchange.Lent == 0 || c.self.Leaving:
		l.lentUntil, l.share = ferry.Moment{}, 0
	case exchange.LendTerm > 0 && isEcho:
		l.lentUntil, l.share = sent.Add(exchange.LendTerm), exchange.Lent
	}
}

// giveBack drops what was lent to a VM that leaves, as soon as what it lent on
// has ended. It reports whether nothing is held any more.
func (c *Controller) giveBack(now ferry.Moment) bool {
	if !c.self.Leaving || !hasPassed(now, c.lent.relentUntil) {
		return false
	}
	for _, l := range c.links {
		l.lentUntil, l.share = ferry.Moment{}, 0
	}
	return true
}

// takeBack ends the loan to a lead that gave it back.
func (c *Controller) takeBack(l *link, exchange Exchange) {
	if exchange.Returns && c.lent.to == l.vm.Peers && exchange.Echo >= c.lent.sequence {
		c.lent = loan{}
	}
}
