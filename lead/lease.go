package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// loan is what this VM lends to its first lead. The zero loan has ended.
type lease struct {
	holder netip.AddrPort
	// incarnation is that of the process which got it.
	incarnation uint64
	// share is the part of all allowances that was lent. It does not fall while
	// the loan is renewed: the lead may still count by an earlier message.
	share     float64
	expiresAt ferry.Moment
	// sequence is that of the last message that lent.
	sequence uint64
	// nextRevokeAt is the steady time of the next message that recalls the loan.
	nextRevokeAt time.Duration
}

// isExpired reports whether the loan has ended. The lender counts by the clock
// that ran less.
func (l lease) isExpired(now ferry.Moment) bool { return hasPassed(now, l.expiresAt) }

// isHeldBy reports whether the process at the other end of a link got the loan.
func (l lease) isHeldBy(other *link) bool {
	return l.holder == other.vm.Peers && l.incarnation == other.vm.Incarnation
}

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
		if l.isLeasedAt(now) {
			share += l.leasedShare
		}
	}
	if !c.lease.isExpired(now) {
		share -= c.lease.share
	}
	return min(1, max(0, share))
}

// isLeasedAt reports whether the share that the other VM lent is held at a
// moment. The lead counts by the clock that runs further.
func (l *link) isLeasedAt(at ferry.Moment) bool {
	return l.leasedUntil.Steady > at.Steady && l.leasedUntil.Wall > at.Wall
}

// ownShare returns the share that belongs to this VM.
func (c *Controller) ownShare(now ferry.Moment) float64 {
	if !c.hasContact && len(c.seeds) > 0 && now.Steady-c.started < isolationTimeout {
		return 0
	}
	return 1 / float64(c.denominator(now))
}

// denominator returns the number of VMs among which the allowances are divided.
// VMs that all have just started may be a part of a fleet that they do not
// see, so they count it as assumedFleetSize at least.
func (c *Controller) denominator(now ferry.Moment) int {
	size := c.FleetSize()
	if c.isFleetSizeKnown || now.Steady-c.started > fleetSizeKnownAfter {
		return size
	}
	return max(size, assumedFleetSize)
}

// lend adds a loan to a beat to the first lead: the own share and what others
// lent to this VM for longer than the term. What this VM may not lend yet is
// left out.
func (c *Controller) addLease(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	isExpired := c.lease.isExpired(now)
	if !l.hasReplied(now.Steady) || !isExpired && !c.lease.isHeldBy(l) {
		// A share is lent only to a lead that has counted this VM.
		return
	}
	term := LendTerm
	if c.leadsPlace {
		term = subleaseTerm
	}
	share := c.ownShare(now)
	var subleased []*link
	for _, other := range c.links {
		if c.mayHoldLease(other) && other.isLeasedAt(now.Add(term)) {
			share += other.leasedShare
			subleased = append(subleased, other)
		}
	}
	exchange.Lent = min(1, share)
	if isExpired {
		c.lease.share = 0
	} else if l.isReplyOverdue(now.Steady) {
		// The loan of a lead that may be lost is not renewed, so that its end is
		// near when the next lead is chosen.
		return
	}
	exchange.LendTerm = term
	c.lease.holder, c.lease.incarnation = to, l.vm.Incarnation
	c.lease.expiresAt, c.lease.sequence = now.Add(term), exchange.Sequence
	c.lease.share = max(c.lease.share, exchange.Lent)
	for _, other := range subleased {
		other.subleasedUntil = c.lease.expiresAt
	}
}

// mayHoldLease reports whether this VM uses what the other one lends: as the first
// lead of the fleet, or as the lead of the place of both.
func (c *Controller) mayHoldLease(l *link) bool {
	_, isSelf := c.Lead()
	return !c.self.Leaving && (isSelf || c.leadsPlace && l.vm.Place == c.self.Place)
}

// receiveLease takes the loan of a beat. sent is the moment of the message that
// the beat echoes.
func (c *Controller) receiveLease(l *link, exchange Exchange, sent ferry.Moment, hasEcho bool) {
	switch {
	case exchange.Lent == 0:
		l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
	case exchange.LendTerm > 0 && hasEcho && c.mayHoldLease(l):
		l.leasedUntil, l.leasedShare = sent.Add(exchange.LendTerm), exchange.Lent
	}
}

// returns reports whether this VM holds nothing of what the other one lent: it
// is not its lead, or the loan was recalled, and what it lent on has ended.
func (c *Controller) release(now ferry.Moment, l *link) bool {
	if c.mayHoldLease(l) && l.isLeasedAt(now) || !hasPassed(now, l.subleasedUntil) {
		return false
	}
	l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
	return true
}

// releaseLeases drops the loans that this VM does not use any more and tells those
// who lent.
func (c *Controller) releaseLeases(now ferry.Moment) {
	for address, l := range c.links {
		if l.isLeasedAt(now) && c.release(now, l) {
			c.send(now, address, l, false)
		}
	}
}

// recall asks the lead that this VM lent to before for the loan: a beat that lends
// nothing recalls it.
func (c *Controller) revokeLease(now ferry.Moment) {
	leader, _ := c.Lead()
	if !c.lease.holder.IsValid() || c.lease.holder == leader || c.lease.isExpired(now) || now.Steady < c.lease.nextRevokeAt {
		return
	}
	c.lease.nextRevokeAt = now.Steady + fleetLeaderInterval
	c.send(now, c.lease.holder, c.linkTo(c.lease.holder), true)
}

// receiveRelease ends the loan to a lead that holds nothing of it.
func (c *Controller) receiveRelease(now ferry.Moment, l *link, exchange Exchange) {
	if !exchange.Returns || !c.lease.isHeldBy(l) || exchange.Echo < c.lease.sequence {
		return
	}
	c.lease = lease{}
	for _, other := range c.links {
		// What was lent on was in this loan.
		other.subleasedUntil = ferry.Moment{}
	}
	leader, _ := c.Lead()
	if next := c.links[leader]; next != nil {
		next.nextHeartbeat = now.Steady
	}
}
