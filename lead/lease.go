package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// lease is what this VM leases to its primary leader. The zero lease has expired.
type lease struct {
	holder netip.AddrPort
	// incarnation is that of the process which holds the lease.
	incarnation uint64
	// share is the part of all allowances that is leased. It does not fall while
	// the lease is renewed: the holder may still rely on an earlier message.
	share     float64
	expiresAt ferry.Moment
	// sequence is that of the last message that granted the lease.
	sequence uint64
	// nextRevokeAt is the monotonic time of the next message that revokes the lease.
	nextRevokeAt time.Duration
}

// isExpired reports whether the lease has expired. The lessor counts by the
// clock that ran less.
func (l lease) isExpired(now ferry.Moment) bool { return hasPassed(now, l.expiresAt) }

// isHeldBy reports whether the process at the other end of a link is the holder.
func (l lease) isHeldBy(other *link) bool {
	return l.holder == other.vm.Peers && l.incarnation == other.vm.Incarnation
}

// hasPassed reports whether both clocks have reached a moment.
func hasPassed(now, moment ferry.Moment) bool {
	return now.Monotonic >= moment.Monotonic && now.Wall >= moment.Wall
}

// HeldShare returns the share of every allowance that this VM may grant at now,
// from 0 to 1. Only the fleet leader grants.
func (c *Controller) HeldShare(now ferry.Moment) float64 {
	if _, isSelf := c.Leader(); !isSelf {
		return 0
	}
	share := c.ownShare(now)
	for _, l := range c.sortedLinks() {
		if l.isLeasedAt(now) {
			share += l.leasedShare
		}
	}
	if !c.grantedLease.isExpired(now) {
		share -= c.grantedLease.share
	}
	return min(1, max(0, share))
}

// isLeasedAt reports whether this VM holds the peer's lease at a moment. The
// holder counts by the clock that ran further.
func (l *link) isLeasedAt(at ferry.Moment) bool {
	return l.leasedUntil.Monotonic > at.Monotonic && l.leasedUntil.Wall > at.Wall
}

// ownShare returns the share that belongs to this VM.
func (c *Controller) ownShare(now ferry.Moment) float64 {
	if !c.hasContact && len(c.seeds) > 0 && now.Monotonic-c.started < isolationTimeout {
		return 0
	}
	return 1 / float64(c.denominator(now))
}

// addLease adds a lease to a heartbeat to the primary leader: this VM's share and
// what followers leased for longer than the term. None is added before a lease to
// another process has expired.
func (c *Controller) addLease(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	isExpired := c.grantedLease.isExpired(now)
	if !l.hasReplied(now.Monotonic) || !isExpired && !c.grantedLease.isHeldBy(l) {
		// Only a leader that replies has counted this VM in its fleet size.
		return
	}
	term := LeaseTerm
	if c.leadsPlace {
		term = subleaseTerm
	}
	share := c.ownShare(now)
	var subleased []*link
	for _, other := range c.sortedLinks() {
		if c.mayHoldLease(other) && other.isLeasedAt(now.Add(term)) {
			share += other.leasedShare
			subleased = append(subleased, other)
		}
	}
	exchange.LeasedShare = min(1, share)
	if isExpired {
		c.grantedLease.share = 0
	} else if l.isReplyOverdue(now.Monotonic) {
		// The lease of a leader that may be lost is not renewed, so that it expires
		// soon after the next leader is chosen.
		return
	}
	exchange.LeaseTerm = term
	c.grantedLease.holder, c.grantedLease.incarnation = to, l.vm.Incarnation
	c.grantedLease.expiresAt, c.grantedLease.sequence = now.Add(term), exchange.Sequence
	c.grantedLease.share = max(c.grantedLease.share, exchange.LeasedShare)
	for _, other := range subleased {
		other.subleasedUntil = c.grantedLease.expiresAt
	}
}

// mayHoldLease reports whether this VM may hold a lease of the peer: as the
// fleet leader, or as the leader of the place of both.
func (c *Controller) mayHoldLease(l *link) bool {
	_, isSelf := c.Leader()
	return !c.self.Leaving && (isSelf || c.leadsPlace && l.vm.Place == c.self.Place)
}

// receiveLease applies the lease of a heartbeat. sent is when the message that
// it echoes was sent, if hasEcho is set.
func (c *Controller) receiveLease(l *link, exchange Exchange, sent ferry.Moment, hasEcho bool) {
	switch {
	case exchange.LeasedShare == 0:
		l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
	case exchange.LeaseTerm > 0 && hasEcho && c.mayHoldLease(l):
		l.leasedUntil, l.leasedShare = sent.Add(exchange.LeaseTerm), exchange.LeasedShare
	}
}

// release drops the peer's lease, unless this VM may hold it or its sublease has
// not expired, and reports whether this VM holds nothing of it.
func (c *Controller) release(now ferry.Moment, l *link) bool {
	if c.mayHoldLease(l) && l.isLeasedAt(now) || !hasPassed(now, l.subleasedUntil) {
		return false
	}
	l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
	return true
}

// releaseLeases releases leases that this VM may no longer hold and notifies the
// lessors.
func (c *Controller) releaseLeases(now ferry.Moment) {
	for address, l := range c.sortedLinks() {
		if l.isLeasedAt(now) && c.release(now, l) {
			c.send(now, address, l, replyKind)
		}
	}
}

// revokeLease revokes the lease of a former leader by a heartbeat without a
// leased share.
func (c *Controller) revokeLease(now ferry.Moment) {
	leader, _ := c.Leader()
	if !c.grantedLease.holder.IsValid() || c.grantedLease.holder == leader || c.grantedLease.isExpired(now) || now.Monotonic < c.grantedLease.nextRevokeAt {
		return
	}
	c.grantedLease.nextRevokeAt = now.Monotonic + fleetLeaderInterval
	c.send(now, c.grantedLease.holder, c.linkTo(c.grantedLease.holder), heartbeatKind)
}

// receiveRelease ends the lease to a leader that holds nothing of it.
func (c *Controller) receiveRelease(now ferry.Moment, l *link, exchange Exchange) {
	if !exchange.IsReleased || !c.grantedLease.isHeldBy(l) || exchange.Echo < c.grantedLease.sequence {
		return
	}
	c.grantedLease = lease{}
	for _, other := range c.sortedLinks() {
		// The subleases were part of this lease.
		other.subleasedUntil = ferry.Moment{}
	}
	leader, _ := c.Leader()
	if next := c.links[leader]; next != nil {
		next.nextHeartbeat = now.Monotonic
	}
}
