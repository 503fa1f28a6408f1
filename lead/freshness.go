package lead

import (
	"cmp"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// The operators bound the time from the store's acknowledgment of a change to the last
// request that a VM handles without it. A VM that lacks a change has a proof of freshness
// from before that acknowledgment. So each VM that reaches the store keeps the bound alone,
// whatever its leaders know, if a call of its own ends in time after its proof:
//
//	proof        firstRead     lastRead        the call has ended      bound
//	  |--------------|-------------|--TickInterval--|--overdueAfter--|--swapTime--|
//
// Leaders exist to make that call rare. They pass proofs on, and none of their messages
// stands for a proof: a leader that replies may itself hear nothing.
const (
	// TickInterval is the longest time between the Ticks of a Controller.
	TickInterval = 100 * time.Millisecond
	// overdueAfter is the time after the wait of a call from which a missing
	// response counts as a failure, so that a reader is assigned before the call
	// ends: the response of a store that is slowed down by a factor of 60.
	overdueAfter = 250 * time.Millisecond
	// swapTime is the time from the records of a change to the last request that was
	// handled without it: decoding, and sending a request that has chosen its target.
	swapTime = 100 * time.Millisecond
	// defaultFreshWithin is the operators' bound if the options state none.
	defaultFreshWithin = 2 * time.Second
	// readSpread is the time over which the VMs with equally old proofs read, unless
	// that is more than half of the time that they have. The first to read renews the
	// proofs of the others.
	readSpread = 400 * time.Millisecond
	// minLastRead is the least lastRead, so that a VM makes two such calls per second at
	// most. VMs whose leaders hear nothing do not keep a bound that needs more.
	minLastRead = 500 * time.Millisecond
	// silentLeaderRead is the age from which a VM reads whose primary leader does not
	// reply, if firstRead is not earlier.
	silentLeaderRead = time.Second
	// minProofGain is the least difference of age for which a leader sends a proof to a
	// follower that has not asked.
	minProofGain = replyInterval
)

// freshness holds the ages of the proof at which a VM acts.
type freshness struct {
	// firstRead and lastRead are the least and largest age of the proof at which a VM
	// reads the store though it is not the fleet leader's task.
	firstRead, lastRead time.Duration
}

// newFreshness derives the ages from the operators' bound, or zero for the default. A
// successful call after outageAfter would hold deletions, so no VM waits for that.
func newFreshness(within, outageAfter time.Duration) freshness {
	last := min(cmp.Or(within, defaultFreshWithin)-swapTime, outageAfter) - overdueAfter - TickInterval
	last = max(minLastRead, last)
	return freshness{firstRead: last - min(readSpread, last/2), lastRead: last}
}

// readAge returns the age of the proof from which a VM reads. Leaders come first, since
// they renew the proofs of others, and followers at a place between 0 and 1, the jitter,
// of the rest.
func (f freshness) readAge(leads bool, jitter float64) time.Duration {
	if leads {
		return f.firstRead
	}
	first := f.followerRead()
	return first + time.Duration(jitter*float64(f.lastRead-first))
}

// followerRead returns the least age of the proof from which a follower reads.
func (f freshness) followerRead() time.Duration { return (f.firstRead + f.lastRead) / 2 }

// silentReadAge is readAge for a VM whose primary leader does not reply.
func (f freshness) silentReadAge(jitter float64) time.Duration {
	first := min(silentLeaderRead, f.firstRead)
	return first + time.Duration(jitter*float64(f.lastRead-first)/2)
}

// setFreshWithin derives the ages from the operators' bound.
func (c *Controller) setFreshWithin(within time.Duration) {
	c.freshness = newFreshness(within, c.outageAfter())
}

// updateProof keeps the newer proof. The wall clock decides, since it runs while
// the VM is suspended.
func (c *Controller) updateProof(now, proof ferry.Moment, from netip.AddrPort) {
	if c.hasProof && proof.Wall <= c.proof.Wall {
		return
	}
	former := c.proof
	c.proof, c.proofFrom, c.hasProof = proof, from, true
	if c.isProofOverdue && !c.isReadDue(now) {
		c.isProofOverdue = false
		c.emit(ProofRenewed{After: now.LongestSince(former), From: from})
	}
}

// checkProof reports once that the proof is overdue.
func (c *Controller) checkProof(now ferry.Moment) {
	if !c.hasProof || c.isProofOverdue || !c.isReadDue(now) {
		return
	}
	c.isProofOverdue = true
	overdue := ProofOverdue{Age: now.LongestSince(c.proof), From: c.proofFrom, LeaderAge: -1, RepliedAgo: -1}
	leader, _ := c.Leader()
	overdue.Leader = leader
	if l := c.links[leader]; l != nil {
		if l.proofAt != 0 {
			overdue.LeaderAge = now.Monotonic - l.proofAt
		}
		if l.replyAt != 0 {
			overdue.RepliedAgo = now.Monotonic - l.replyAt
		}
	}
	c.emit(overdue)
}

// isReadDue reports whether the proof is so old that this VM reads the store itself.
func (c *Controller) isReadDue(now ferry.Moment) bool {
	age, jitter := now.LongestSince(c.proof), c.options.Jitter
	leader, _ := c.Leader()
	if l := c.links[leader]; l != nil && l.isReplyOverdue(now.Monotonic) && age > c.freshness.silentReadAge(jitter) {
		return true
	}
	return age > c.freshness.readAge(c.leadsPlace, jitter)
}

// readWait returns the wait of a watch: until the proof is as old as watchWait. An older
// one needs a response at once.
func (c *Controller) readWait(now ferry.Moment) time.Duration {
	return max(0, watchWait-now.LongestSince(c.proof)).Truncate(time.Millisecond)
}

// pushProof sends the proof to followers whose own would get too old before their next
// heartbeat brings them one.
func (c *Controller) pushProof(now ferry.Moment) {
	if !c.hasProof {
		return
	}
	age := now.LongestSince(c.proof)
	for address, l := range c.sortedLinks() {
		if !l.isFollower(now.Monotonic) || l.proofAt == 0 {
			continue
		}
		if l.provenBy(age)-l.proofAt >= minProofGain && c.needsProof(now, l) {
			c.send(now, address, l, proofKind)
		}
	}
}

// needsProof reports whether the proof of a follower gets too old before its next heartbeat:
// a place leader's must leave the followers behind it the time of a heartbeat.
func (c *Controller) needsProof(now ferry.Moment, l *link) bool {
	interval, limit := primaryInterval, c.freshness.followerRead()
	switch {
	case l.omitsEvidence:
		// The peer has another primary leader, and needs this one only if that fails.
		return now.Monotonic-l.proofAt >= limit
	case l.vm.Place != c.self.Place:
		interval, limit = fleetLeaderInterval, limit-primaryInterval-TickInterval
	}
	next := max(now.Monotonic, l.heartbeatAt+interval+TickInterval)
	return next-l.proofAt >= limit
}
