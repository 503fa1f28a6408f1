package lead

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// maxSentMessages is the number of sent messages whose times are kept. At the
// shortest time between messages they cover more than a second.
const maxSentMessages = 16

// sentMessage is the sequence number of a message and when it was sent.
type sentMessage struct {
	sequence uint64
	at       ferry.Moment
}

// link is the state of the exchanges with another VM, the peer.
type link struct {
	vm VM
	// receivedSequence is the last sequence number received.
	receivedSequence uint64
	// receivedAt is the monotonic time at which it arrived.
	receivedAt time.Duration
	// sent are the last messages to the peer, the newest last.
	sent []sentMessage

	// selfSent is the last record of this VM sent, first in the message
	// selfSentSequence, and selfAcked the one that the peer has acknowledged.
	selfSent         VM
	selfSentSequence uint64
	selfAcked        VM

	// heartbeatAt and replyAt are the monotonic times at which the last heartbeat
	// and reply of the peer arrived, or zero.
	heartbeatAt time.Duration
	replyAt     time.Duration
	// unansweredSince is the monotonic time of the first heartbeat without a
	// reply, or zero.
	unansweredSince time.Duration
	// nextHeartbeat is the monotonic time of the next heartbeat to the peer.
	nextHeartbeat time.Duration
	// excludedUntil is the monotonic time until which the peer may not lead.
	excludedUntil time.Duration

	// revision is that of the peer's records, dictionaryID that of its last configuration.
	revision     uint64
	dictionaryID uint64
	// peerViewVersion, peerMembersVersion and peerEvidenceVersion are the versions
	// of this VM's view, members and evidence that the peer has.
	peerViewVersion     uint64
	peerMembersVersion  uint64
	peerEvidenceVersion uint64
	// omitsEvidence reports that the peer has another primary leader, so that it
	// ignores the evidence of this VM.
	omitsEvidence bool
	// repliedAt is the monotonic time of the last reply to the peer, and
	// repliedMembersVersion the version of its members that it acknowledged.
	repliedAt             time.Duration
	repliedMembersVersion uint64

	// proofAt is the monotonic time of the peer's proof of freshness, by its last message
	// or a later one to it, or zero.
	proofAt time.Duration

	// view is the view of the peer, from its replies.
	view receivedList
	// members are the followers of the peer, from its heartbeats.
	members         receivedList
	evidenceVersion uint64
	fleetSize       int
	// seenFleetSize is the last fleetSize that the peer did not assume.
	seenFleetSize int
	reader        netip.AddrPort
	readsStore    bool

	// leasedUntil is when the lease of leasedShare from the peer expires.
	leasedUntil ferry.Moment
	// subleasedUntil is when this VM's sublease of leasedShare expires.
	subleasedUntil ferry.Moment
	leasedShare    float64
}

// recordState keeps what a message states about its sender.
func (l *link) recordState(now time.Duration, exchange Exchange) {
	l.receivedAt = now
	l.revision, l.dictionaryID = exchange.Revision, exchange.DictionaryID
	l.fleetSize = exchange.FleetSize
	if !exchange.IsHeartbeat || exchange.IsFleetSizeKnown {
		l.seenFleetSize = exchange.FleetSize
	}
	l.proofAt = 0
	if exchange.HasProof {
		l.proofAt = max(1, now-exchange.ProofAge)
	}
}

// recordSent keeps the moment at which a message was sent.
func (l *link) recordSent(now ferry.Moment, sequence uint64) {
	if len(l.sent) == maxSentMessages {
		copy(l.sent, l.sent[1:])
		l.sent = l.sent[:maxSentMessages-1]
	}
	l.sent = append(l.sent, sentMessage{sequence: sequence, at: now})
}

// sentAt returns the moment at which a message was sent.
func (l *link) sentAt(sequence uint64) (ferry.Moment, bool) {
	for i := len(l.sent) - 1; i >= 0; i-- {
		if l.sent[i].sequence == sequence {
			return l.sent[i].at, true
		}
	}
	return ferry.Moment{}, false
}

// provenBy returns the monotonic time of the proof that the peer gets from a message that
// states the given age: it counts the age from its own message that is echoed.
func (l *link) provenBy(age time.Duration) time.Duration { return l.receivedAt - age }

// isFollower reports whether the peer sent a heartbeat within followerTimeout.
func (l *link) isFollower(now time.Duration) bool {
	return l.heartbeatAt != 0 && now-l.heartbeatAt < followerTimeout
}

// expectsReply reports whether the peer replies to a heartbeat sent at now. Within
// replyInterval of its last reply it replies only if it has something new.
func (l *link) expectsReply(now time.Duration) bool {
	return l.replyAt == 0 || now-l.replyAt > replyInterval
}

// isReplyOverdue reports whether the peer has not replied for renewalTimeout.
func (l *link) isReplyOverdue(now time.Duration) bool {
	return l.unansweredSince != 0 && now-l.unansweredSince > renewalTimeout
}

// hasReplied reports whether the peer replied within listTimeout.
func (l *link) hasReplied(now time.Duration) bool {
	return l.replyAt != 0 && now-l.replyAt < listTimeout
}

// reported returns the peer, if it has sent messages recently, and its followers
// if it is a follower itself.
func (l *link) reported(now time.Duration) iter.Seq[VM] {
	return func(yield func(VM) bool) {
		isFollower := l.isFollower(now)
		if (isFollower || l.hasReplied(now)) && !yield(l.vm) || !isFollower || !l.members.isFresh(now) {
			return
		}
		for _, vm := range l.members.vms {
			if !yield(vm) {
				return
			}
		}
	}
}

// linkTo returns the link to an address and creates it if needed.
func (c *Controller) linkTo(address netip.AddrPort) *link {
	l := c.links[address]
	if l == nil {
		l = &link{vm: VM{Peers: address}}
		c.links[address] = l
		i, _ := slices.BinarySearchFunc(c.linkOrder, address, netip.AddrPort.Compare)
		c.linkOrder = slices.Insert(c.linkOrder, i, address)
	}
	return l
}

// removeLink removes the link to an address.
func (c *Controller) removeLink(address netip.AddrPort) {
	if i, found := slices.BinarySearchFunc(c.linkOrder, address, netip.AddrPort.Compare); found {
		c.linkOrder = slices.Delete(c.linkOrder, i, i+1)
	}
	delete(c.links, address)
}

// sortedLinks returns the links in the order of their addresses, so that equal
// events lead to equal actions. No link may be added or removed meanwhile.
func (c *Controller) sortedLinks() iter.Seq2[netip.AddrPort, *link] {
	return func(yield func(netip.AddrPort, *link) bool) {
		for _, address := range c.linkOrder {
			if !yield(address, c.links[address]) {
				return
			}
		}
	}
}
