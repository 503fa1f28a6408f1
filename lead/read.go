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
	// cutOffAfter is the same for a VM whose lead does not answer. Changes come at
	// once as long as it does, so only what came since then may be missing, and
	// that has to be known within two seconds.
	cutOffAfter = time.Second
	// staleSpread spreads the VMs that start to read.
	staleSpread = 400 * time.Millisecond
	// bootSpread is the same for a process without any proof.
	bootSpread = 600 * time.Millisecond
	// ledSpread is the same for one whose lead answers, in fleets of up to
	// urgentFleet VMs. It grows with the fleet, as the lists of all its VMs do.
	ledSpread = time.Second
	// firstSpread is the same for one that leads all VMs that it knows: a round
	// trip between regions and the time in which the VMs of a fleet start.
	firstSpread = 150 * time.Millisecond
	// soundFor is how long a successful read counts as reading.
	soundFor = 1200 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// readerTurn is the time after which a lead that can't read relies on another
	// follower: a call that fails without an answer takes longer, one that
	// succeeds a few milliseconds.
	readerTurn = 300 * time.Millisecond
	// outageAfter is the age of the proof from which deletions count as
	// suspect: targets may have been unable to renew their entries.
	outageAfter = 1200 * time.Millisecond
	// deletionHold is the time in which lapsed entries return after an outage,
	// by the platform's pages, with a margin.
	deletionHold = 2200 * time.Millisecond
)

// reading is the state of this VM's calls to the store.
type reading struct {
	inFlight bool
	full     bool
	notUntil time.Duration
	pause    time.Duration
	soundAt  time.Duration
	started  bool
	// heldUntil is the steady time until which deletions are held after an
	// outage.
	heldUntil time.Duration
	// failedAt is the steady time of the first failure since the last success, or
	// zero.
	failedAt time.Duration
	// reader is the follower on whose reads this VM relies, or the zero AddrPort.
	reader netip.AddrPort
}

// isSound reports whether a call succeeded a short while ago.
func (r *reading) isSound(now time.Duration) bool {
	return r.started && now-r.soundAt < soundFor
}

// startRead starts a call when this VM has to read.
func (c *Controller) startRead(now ferry.Moment) {
	if !c.options.CanRead || c.read.inFlight || now.Monotonic < c.read.notUntil || !c.mustRead(now) {
		return
	}
	c.read.inFlight = true
	if c.records.Revision() == 0 || c.read.full {
		c.emit(StartRead{Full: true})
		return
	}
	c.emit(StartRead{After: c.records.Revision(), Wait: watchWait})
}

// mustRead reports whether this VM has to read the store: it is the first
// lead, its proof is old, or its lead relies on it.
func (c *Controller) mustRead(now ferry.Moment) bool {
	lead, isSelf := c.Lead()
	if l := c.links[lead]; !isSelf && l != nil && l.reader == c.self.Peers {
		return true
	}
	if !c.hasProof {
		return now.Monotonic-c.started > c.bootDelay(now.Monotonic)
	}
	if l := c.links[lead]; l != nil && l.isUnanswered(now.Monotonic) && now.LongestSince(c.proof) > cutOffAfter {
		return true
	}
	return isSelf || now.LongestSince(c.proof) > staleAfter+time.Duration(c.options.Jitter*float64(staleSpread))
}

// bootDelay is the time after which a new process without any proof reads: the
// first lead of the VMs that it knows before the others, and VMs whose lead
// answers last. In a large fleet a list takes many calls, and lists of all VMs at
// once would exceed the rate of the store.
func (c *Controller) bootDelay(now time.Duration) time.Duration {
	lead, isSelf := c.Lead()
	spread := bootSpread
	switch l := c.links[lead]; {
	case isSelf && len(c.view) > 1:
		return time.Duration(c.options.Jitter * float64(firstSpread))
	case !isSelf && l != nil && l.answers(now):
		spread = ledSpread * time.Duration(max(urgentFleet, len(c.view))) / urgentFleet
	}
	return spread + time.Duration(c.options.Jitter*float64(spread))
}

// hasReads reports whether this VM, or one that it leads, read the store a
// short while ago.
func (c *Controller) hasReads(now time.Duration) bool {
	if c.read.isSound(now) {
		return true
	}
	for _, l := range c.links {
		if l.reads && l.isFollower(now) {
			return true
		}
	}
	return false
}

// nameReader chooses the follower on whose reads this lead relies: as the first
// lead of the fleet, or as the VM on which that one relies, while the own calls
// fail. A new reader is told at once.
func (c *Controller) nameReader(now ferry.Moment) {
	before := c.read.reader
	c.read.reader = c.chooseReader(now.Monotonic)
	if l := c.links[c.read.reader]; l != nil && c.read.reader != before {
		c.send(now, c.read.reader, l, false)
	}
}

// chooseReader takes a follower that reads, or lets all followers try by turns.
func (c *Controller) chooseReader(now time.Duration) netip.AddrPort {
	lead, isSelf := c.Lead()
	if l := c.links[lead]; !isSelf && (l == nil || l.reader != c.self.Peers) {
		return netip.AddrPort{}
	}
	if c.read.failedAt == 0 {
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
	slices.SortFunc(followers, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	for _, address := range followers {
		if c.links[address].reads {
			return address
		}
	}
	return followers[int((now-c.read.failedAt)/readerTurn)%len(followers)]
}

// endRead takes the end of a call in.
func (c *Controller) endRead(now ferry.Moment, ended ReadEnded) {
	c.read.inFlight = false
	if ended.Err != nil {
		c.failRead(now, ended)
		return
	}
	isOutage := c.hasProof && now.LongestSince(c.proof) > outageAfter+watchWait
	if isOutage {
		c.read.heldUntil = now.Monotonic + deletionHold
	}
	c.read.soundAt, c.read.started = now.Monotonic, true
	c.read.pause, c.read.full, c.read.failedAt = 0, false, 0
	c.read.notUntil = now.Monotonic
	if len(ended.Listing.Records) > 0 {
		c.read.notUntil += watchPause
	}
	update := Update{After: ended.After, Revision: ended.Listing.Revision}
	if ended.Full {
		update.After = 0
	}
	hold := max(0, c.read.heldUntil-now.Monotonic)
	for _, record := range ended.Listing.Records {
		update.Records = append(update.Records, UpdateRecord{Record: record, Hold: hold})
	}
	c.merge(now, update)
	c.takeProof(provenAt(now, ended))
	lead, isSelf := c.Lead()
	if l := c.links[lead]; !isSelf && l != nil {
		// The lead lacked proof, or this VM would not read.
		l.nextBeat = now.Monotonic
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
		c.read.full = true
		c.read.notUntil = now.Monotonic
		return
	}
	if c.read.failedAt == 0 {
		c.read.failedAt = now.Monotonic
	}
	c.read.pause = min(retryMost, max(retryFirst, 2*c.read.pause))
	c.read.notUntil = now.Monotonic + c.read.pause
}
