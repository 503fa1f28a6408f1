package lead

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// watchWait is the longest wait of a watch. Its response renews the proof.
	watchWait = 500 * time.Millisecond
	// watchPause is the pause after a watch with changes, to gather more of them. They
	// may be of other keys than those of records.
	watchPause = 150 * time.Millisecond
	// bootJitter spreads the first reads of processes without any proof.
	bootJitter = 600 * time.Millisecond
	// followerBootJitter is the same for one whose leader replies, in fleets of up
	// to baseFleetSize VMs. It grows with the fleet, as the store calls for lists
	// by all VMs do.
	followerBootJitter = time.Second
	// leaderBootJitter is the same for the fleet leader: a round trip between
	// regions and the time in which the VMs of a fleet start.
	leaderBootJitter = 150 * time.Millisecond
	// readSuccessWindow is how long a VM counts as reading after a successful
	// call.
	readSuccessWindow = 1200 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the exponential backoff after failed
	// calls.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = time.Second
	// silentReadBackoff is the least backoff after a call without a response, of a VM that
	// reads only because its proof is old.
	silentReadBackoff = 500 * time.Millisecond
	// readerRotation is the time after which a leader that cannot read tries
	// another follower. A call without a response fails later, and a successful
	// one takes some milliseconds.
	readerRotation = 200 * time.Millisecond
	// lapseHeartbeats is the number of intervals between the heartbeats of a target
	// for which its entry certainly lives on while the store is away, one less than
	// the platform waits. outageMargin is subtracted.
	lapseHeartbeats = 2
	outageMargin    = 300 * time.Millisecond
	// defaultTargetHeartbeat is the interval where the settings state none.
	defaultTargetHeartbeat = 1500 * time.Millisecond
	// deletionHold is the time in which expired entries return after an outage, as
	// the platform documents it, plus a margin.
	deletionHold = 2200 * time.Millisecond
)

// readState is the state of this VM's calls to the store.
type readState struct {
	inFlight bool
	// overdueAt is the monotonic time at which the call in flight is overdue.
	overdueAt    time.Duration
	needsFull    bool
	notBefore    time.Duration
	backoff      time.Duration
	succeededAt  time.Duration
	hasSucceeded bool
	// outdated counts the responses of an earlier epoch of the store than that of the records.
	outdated uint64
	// holdUntil is the monotonic time until which deletions are held after an outage.
	holdUntil time.Duration
	// failingSince is the monotonic time of the first failure since the last success,
	// or zero.
	failingSince time.Duration
	// reader is the follower that reads for this VM, or the zero AddrPort.
	reader netip.AddrPort
}

// hasRecentSuccess reports whether a call succeeded within readSuccessWindow.
func (r *readState) hasRecentSuccess(now time.Duration) bool {
	return r.hasSucceeded && now-r.succeededAt < readSuccessWindow
}

// startRead starts a call when this VM has to read.
func (c *Controller) startRead(now ferry.Moment) {
	if c.read.inFlight && now.Monotonic >= c.read.overdueAt && c.read.failingSince == 0 {
		c.read.failingSince = now.Monotonic
	}
	if !c.options.CanRead || c.read.inFlight || now.Monotonic < c.read.notBefore || !c.mustRead(now) {
		return
	}
	c.read.inFlight = true
	c.read.overdueAt = now.Monotonic + overdueAfter
	if c.records.Revision() == 0 || c.read.needsFull {
		c.emit(StartRead{Full: true})
		return
	}
	wait := c.readWait(now)
	c.read.overdueAt += wait
	c.emit(StartRead{After: c.records.Revision(), Wait: wait})
}

// mustRead reports whether this VM has to read the store: as the fleet leader,
// with an old proof, or as the reader of its primary leader.
func (c *Controller) mustRead(now ferry.Moment) bool {
	_, isSelf := c.Leader()
	if c.isAssignedReader() {
		return true
	}
	if !c.hasProof {
		return now.Monotonic-c.started > c.bootDelay(now.Monotonic)
	}
	return isSelf || c.isReadDue(now)
}

// isAssignedReader reports whether the primary leader has this VM read for it.
func (c *Controller) isAssignedReader() bool {
	leader, isSelf := c.Leader()
	l := c.links[leader]
	return !isSelf && l != nil && l.reader == c.self.Peers
}

// bootDelay returns the time after which a new process without any proof reads:
// soonest on the fleet leader, last on VMs whose leader replies. In a large
// fleet a full list takes many calls, and lists of all VMs at once would exceed
// the rate limit of the store.
func (c *Controller) bootDelay(now time.Duration) time.Duration {
	leader, isSelf := c.Leader()
	spread := bootJitter
	switch l := c.links[leader]; {
	case isSelf && len(c.view) > 1:
		return time.Duration(c.options.Jitter * float64(leaderBootJitter))
	case !isSelf && l != nil && l.hasReplied(now):
		spread = followerBootJitter * time.Duration(max(baseFleetSize, len(c.view))) / baseFleetSize
	}
	return spread + time.Duration(c.options.Jitter*float64(spread))
}

// readsStore reports, for a message to a VM, whether this VM read the store recently
// or, if the receiver is its primary leader, another follower did. Other receivers
// are not told of followers, and none of itself: VMs that lead each other in a circle
// would take each other for readers without end.
func (c *Controller) readsStore(now time.Duration, receiver netip.AddrPort) bool {
	if c.read.hasRecentSuccess(now) {
		return true
	}
	if leader, _ := c.Leader(); leader != receiver {
		return false
	}
	for address, l := range c.sortedLinks() {
		if address != receiver && l.readsStore && l.isFollower(now) {
			return true
		}
	}
	return false
}

// assignReader chooses the follower that reads for this VM and notifies a new
// one at once.
func (c *Controller) assignReader(now ferry.Moment) {
	before := c.read.reader
	c.read.reader = c.chooseReader(now.Monotonic)
	if l := c.links[c.read.reader]; l != nil && c.read.reader != before {
		c.send(now, c.read.reader, l, replyKind)
	}
}

// chooseReader returns a follower that reads, or each follower in turn, while
// the own calls of the fleet leader or of its reader fail.
func (c *Controller) chooseReader(now time.Duration) netip.AddrPort {
	if _, isSelf := c.Leader(); !isSelf && !c.isAssignedReader() {
		return netip.AddrPort{}
	}
	if c.read.failingSince == 0 {
		return netip.AddrPort{}
	}
	var followers []netip.AddrPort
	for address, l := range c.sortedLinks() {
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

// finishRead applies the result of a call to the store.
func (c *Controller) finishRead(now ferry.Moment, ended ReadEnded) {
	c.read.inFlight = false
	epoch, known := ferry.Revision(ended.Listing.Revision).Epoch(), ferry.Revision(c.records.Revision()).Epoch()
	if ended.Err == nil && epoch < known {
		// It proves nothing about the present state.
		c.read.outdated++
		ended.Err = &ferry.StoreError{Fault: ferry.StoreMalformed, Detail: fmt.Sprintf("the response is of epoch %d, known is %d", epoch, known)}
	}
	if ended.Err != nil {
		c.failRead(now, ended)
		return
	}
	if epoch > known && c.records.Revision() > 0 {
		// What the store lacks since it was restored from a copy is written again.
		c.read.holdUntil = now.Monotonic + deletionHold
	}
	if c.hasProof && now.LongestSince(c.proof) > c.outageAfter() {
		c.read.holdUntil = now.Monotonic + deletionHold
	}
	c.read.succeededAt, c.read.hasSucceeded = now.Monotonic, true
	c.read.backoff, c.read.needsFull, c.read.failingSince = 0, false, 0
	c.read.notBefore = now.Monotonic
	switch _, isSelf := c.Leader(); {
	case !ended.Full && ended.Waited == 0 && !isSelf && !c.isAssignedReader():
		// Where the wall clock was set back, the proof stays old.
		c.read.notBefore += minLastRead
	case !ended.Full && ended.Waited == 0, len(ended.Listing.Records) > 0, now.Since(ended.Sent) < ended.Waited:
		c.read.notBefore += watchPause
	}
	update := Update{After: ended.After, Revision: ended.Listing.Revision}
	if ended.Full {
		update.After = 0
	}
	hold := c.DeletionHold(now)
	update.Hold = hold
	for _, record := range ended.Listing.Records {
		update.Records = append(update.Records, UpdateRecord{Record: record, Hold: hold})
	}
	c.merge(now, update)
	c.updateProof(now, provenAt(now, ended), c.self.Peers)
	c.tellLeaders(now)
}

// tellLeaders makes heartbeats due that pass on what this VM has read: it reads only if its
// leader lacks a recent proof or does not reply. Then the secondary one is told too.
func (c *Controller) tellLeaders(now ferry.Moment) {
	leader, isSelf := c.Leader()
	if isSelf {
		return
	}
	for _, address := range c.leaders {
		primary, l := c.links[leader], c.links[address]
		if l != nil && (address == leader || primary != nil && primary.isReplyOverdue(now.Monotonic)) {
			l.nextHeartbeat = now.Monotonic
		}
	}
}

// outageAfter is the age of the proof from which deletions are held: targets may have
// been unable to renew their entries.
func (c *Controller) outageAfter() time.Duration {
	return lapseHeartbeats*cmp.Or(c.options.TargetHeartbeat, defaultTargetHeartbeat) - outageMargin
}

// provenAt returns the moment at which a call proves the records current: when
// it was sent, or, for a watch without changes, the end of its wait.
func provenAt(now ferry.Moment, ended ReadEnded) ferry.Moment {
	if !ended.Full && len(ended.Listing.Records) == 0 && ended.Waited > 0 && now.Since(ended.Sent) >= ended.Waited {
		return ended.Sent.Add(ended.Waited)
	}
	return ended.Sent
}

// failRead schedules the call after a failed one.
func (c *Controller) failRead(now ferry.Moment, ended ReadEnded) {
	var fault *ferry.StoreError
	if errors.As(ended.Err, &fault) && fault.Fault == ferry.StoreCompacted {
		c.read.needsFull = true
		c.read.notBefore = now.Monotonic
		return
	}
	if fault != nil && fault.Fault == ferry.StoreMalformed {
		// Changes that cannot be read, or are too long for one response, may be
		// readable as a list.
		c.read.needsFull = true
	}
	if c.read.failingSince == 0 {
		c.read.failingSince = now.Monotonic
	}
	least := minReadBackoff
	if _, isSelf := c.Leader(); fault != nil && fault.Fault == ferry.StoreSilent && !isSelf && !c.isAssignedReader() {
		// The wait for the response has used up the time in which a VM in touch had to read.
		least = silentReadBackoff
	}
	c.read.backoff = min(maxReadBackoff, max(least, 2*c.read.backoff))
	c.read.notBefore = now.Monotonic + c.read.backoff
}
