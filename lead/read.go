package lead

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// watchWait is the longest wait of a watch. Its answer renews the proof.
	watchWait = 500 * time.Millisecond
	// watchPause gathers changes between two watches.
	watchPause = 150 * time.Millisecond
	// staleAfter is the age of the proof at which a VM reads by itself.
	staleAfter = 2 * time.Second
	// unansweredStaleAfter is the same for a VM whose lead does not answer. Changes come at
	// once as long as it does, so only what came since then may be missing, and
	// that has to be known within two seconds.
	unansweredStaleAfter = time.Second
	// staleJitter spreads the VMs that start to read.
	staleJitter = 400 * time.Millisecond
	// bootJitter is the same for a process without any proof.
	bootJitter = 600 * time.Millisecond
	// followerBootJitter is the same for one whose lead answers, in fleets of up to
	// baseFleetSize VMs. It grows with the fleet, as the lists of all its VMs do.
	followerBootJitter = time.Second
	// leaderBootJitter is the same for one that leads all VMs that it knows: a round
	// trip between regions and the time in which the VMs of a fleet start.
	leaderBootJitter = 150 * time.Millisecond
	// readSuccessWindow is how long a successful read counts as reading.
	readSuccessWindow = 1200 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the pause after a failed read.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = time.Second
	// readerRotation is the time after which a lead that can't read relies on another
	// follower: a call that fails without an answer takes longer, one that
	// succeeds a few milliseconds.
	readerRotation = 300 * time.Millisecond
	// outageAfter is the age of the proof from which deletions count as
	// suspect: targets may have been unable to renew their entries.
	outageAfter = 1200 * time.Millisecond
	// deletionHold is the time in which lapsed entries return after an outage,
	// by the platform's pages, with a margin.
	deletionHold = 2200 * time.Millisecond
)

// reading is the state of this VM's calls to the store.
type readState struct {
	inFlight     bool
	needsFull    bool
	notBefore    time.Duration
	backoff      time.Duration
	succeededAt  time.Duration
	hasSucceeded bool
	// holdUntil is the steady time until which deletions are held after an
	// outage.
	holdUntil time.Duration
	// failingSince is the steady time of the first failure since the last success, or
	// zero.
	failingSince time.Duration
	// reader is the follower on whose reads this VM relies, or the zero AddrPort.
	reader netip.AddrPort
}

// hasRecentSuccess reports whether a call succeeded a short while ago.
func (r *readState) hasRecentSuccess(now time.Duration) bool {
	return r.hasSucceeded && now-r.succeededAt < readSuccessWindow
}

// startRead starts a call when this VM has to read.
func (c *Controller) startRead(now ferry.Moment) {
	if !c.options.CanRead || c.read.inFlight || now.Steady < c.read.notBefore || !c.mustRead(now) {
		return
	}
	c.read.inFlight = true
	if c.records.Revision() == 0 || c.read.needsFull {
		c.emit(StartRead{Full: true})
		return
	}
	c.emit(StartRead{After: c.records.Revision(), Wait: watchWait})
}

// mustRead reports whether this VM has to read the store: it is the first
// lead, its proof is old, or its lead relies on it.
func (c *Controller) mustRead(now ferry.Moment) bool {
	leader, isSelf := c.Lead()
	if l := c.links[leader]; !isSelf && l != nil && l.reader == c.self.Peers {
		return true
	}
	if !c.hasProof {
		return now.Steady-c.started > c.bootDelay(now.Steady)
	}
	if l := c.links[leader]; l != nil && l.isReplyOverdue(now.Steady) && now.LongestSince(c.proof) > unansweredStaleAfter {
		return true
	}
	return isSelf || now.LongestSince(c.proof) > staleAfter+time.Duration(c.options.Jitter*float64(staleJitter))
}

// bootDelay is the time after which a new process without any proof reads: the
// first lead of the VMs that it knows before the others, and VMs whose lead
// answers last. In a large fleet a list takes many calls, and lists of all VMs at
// once would exceed the rate of the store.
func (c *Controller) bootDelay(now time.Duration) time.Duration {
	leader, isSelf := c.Lead()
	spread := bootJitter
	switch l := c.links[leader]; {
	case isSelf && len(c.view) > 1:
		return time.Duration(c.options.Jitter * float64(leaderBootJitter))
	case !isSelf && l != nil && l.hasReplied(now):
		spread = followerBootJitter * time.Duration(max(baseFleetSize, len(c.view))) / baseFleetSize
	}
	return spread + time.Duration(c.options.Jitter*float64(spread))
}

// readsStore reports whether this VM, or one that it leads, read the store a
// short while ago.
func (c *Controller) readsStore(now time.Duration) bool {
	if c.read.hasRecentSuccess(now) {
		return true
	}
	for _, l := range c.links {
		if l.readsStore && l.isFollower(now) {
			return true
		}
	}
	return false
}

// assignReader chooses the follower on whose reads this lead relies: as the first
// lead of the fleet, or as the VM on which that one relies, while the own calls
// fail. A new reader is told at once.
func (c *Controller) assignReader(now ferry.Moment) {
	before := c.read.reader
	c.read.reader = c.chooseReader(now.Steady)
	if l := c.links[c.read.reader]; l != nil && c.read.reader != before {
		c.send(now, c.read.reader, l, false)
	}
}

// chooseReader takes a follower that reads, or lets all followers try by turns.
func (c *Controller) chooseReader(now time.Duration) netip.AddrPort {
	leader, isSelf := c.Lead()
	if l := c.links[leader]; !isSelf && (l == nil || l.reader != c.self.Peers) {
		return netip.AddrPort{}
	}
	if c.read.failingSince == 0 {
		return netip.AddrPort{}
	}
	var followers []netip.AddrPort
	for address, l := range c.links {
		if l.isFollower(now) {
			followers = append(followers, address)
		}
	}
	if len(followers) == 0 {
		return netip.AddrPort{}
	}
	slices.SortFunc(followers, func(a, b netip.AddrPort) int { return cmp.Compare(addressHash(a), addressHash(b)) })
	for _, address := range followers {
		if c.links[address].readsStore {
			return address
		}
	}
	return followers[int((now-c.read.failingSince)/readerRotation)%len(followers)]
}

// finishRead takes the end of a call in.
func (c *Controller) finishRead(now ferry.Moment, ended ReadEnded) {
	c.read.inFlight = false
	if ended.Err != nil {
		c.failRead(now, ended)
		return
	}
	isOutage := c.hasProof && now.LongestSince(c.proof) > outageAfter+watchWait
	if isOutage {
		c.read.holdUntil = now.Steady + deletionHold
	}
	c.read.succeededAt, c.read.hasSucceeded = now.Steady, true
	c.read.backoff, c.read.needsFull, c.read.failingSince = 0, false, 0
	c.read.notBefore = now.Steady
	if len(ended.Listing.Records) > 0 {
		c.read.notBefore += watchPause
	}
	update := Update{After: ended.After, Revision: ended.Listing.Revision}
	if ended.Full {
		update.After = 0
	}
	hold := max(0, c.read.holdUntil-now.Steady)
	for _, record := range ended.Listing.Records {
		update.Records = append(update.Records, UpdateRecord{Record: record, Hold: hold})
	}
	c.merge(now, update)
	c.updateProof(provenAt(now, ended))
	leader, isSelf := c.Lead()
	if l := c.links[leader]; !isSelf && l != nil {
		// The lead lacked proof, or this VM would not read.
		l.nextHeartbeat = now.Steady
	}
}

// provenAt returns the moment at which a call proves its records current: when
// it was sent, or the end of the wait of a watch that saw no change.
func provenAt(now ferry.Moment, ended ReadEnded) ferry.Moment {
	if !ended.Full && len(ended.Listing.Records) == 0 && ended.Waited > 0 && now.Since(ended.Sent) >= ended.Waited {
		return ended.Sent.Add(ended.Waited)
	}
	return ended.Sent
}

// failRead decides when to call again.
func (c *Controller) failRead(now ferry.Moment, ended ReadEnded) {
	var fault *ferry.StoreError
	if errors.As(ended.Err, &fault) && fault.Fault == ferry.StoreCompacted {
		c.read.needsFull = true
		c.read.notBefore = now.Steady
		return
	}
	if c.read.failingSince == 0 {
		c.read.failingSince = now.Steady
	}
	c.read.backoff = min(maxReadBackoff, max(minReadBackoff, 2*c.read.backoff))
	c.read.notBefore = now.Steady + c.read.backoff
}
