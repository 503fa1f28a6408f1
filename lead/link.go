package lead

import (
	"iter"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// maxSentMessages is the number of sent sequences whose moments are remembered. At
// the shortest gap between messages they cover more than a second.
const maxSentMessages = 16

// sentMessage is a sequence and the moment at which it was sent.
type sentMessage struct {
	sequence uint64
	at       ferry.Moment
}

// link is what this VM knows about its exchanges with another VM.
type link struct {
	vm VM
	// heard is the last sequence received.
	receivedSequence uint64
	// sent are the last messages to the VM, newest last.
	sent []sentMessage

	// selfSent is what this VM told about itself first with selfSentSequence, and
	// selfAcked what the other side has confirmed.
	selfSent         VM
	selfSentSequence uint64
	selfAcked        VM

	// heartbeatAt and replyAt are the steady times of the last beat and pulse that
	// came. Zero stands for never.
	heartbeatAt time.Duration
	replyAt     time.Duration
	// unansweredSince is the steady time of the first beat that no pulse answered, or
	// zero.
	unansweredSince time.Duration
	// nextHeartbeat is the steady time of the next beat to the VM.
	nextHeartbeat time.Duration
	// excludedUntil is the steady time until which the VM is not chosen as lead.
	excludedUntil time.Duration

	// revision and configRevision are the other side's state.
	revision       uint64
	configRevision uint64
	// peerViewVersion, peerMembersVersion and peerEvidenceVersion are the versions of this VM's view,
	// members and evidence that the other side has.
	peerViewVersion     uint64
	peerMembersVersion  uint64
	peerEvidenceVersion uint64
	// repliedAt is the steady time of the last pulse to the VM, and repliedMembersVersion the
	// version of its members that this pulse confirmed.
	repliedAt             time.Duration
	repliedMembersVersion uint64

	// list are the VMs that the VM knows, from its pulses.
	view receivedList
	// members are the VMs that the VM leads, from its beats.
	members         receivedList
	evidenceVersion uint64
	fleetSize       int
	reader          netip.AddrPort
	readsStore      bool

	// leasedUntil is the moment at which the loan of share by the VM ends.
	leasedUntil ferry.Moment
	// subleasedUntil is the moment until which this VM lent it on.
	subleasedUntil ferry.Moment
	leasedShare    float64
}

// mark remembers that sequence was sent at now.
func (l *link) recordSent(now ferry.Moment, sequence uint64) {
	if len(l.sent) == maxSentMessages {
		copy(l.sent, l.sent[1:])
		l.sent = l.sent[:maxSentMessages-1]
	}
	l.sent = append(l.sent, sentMessage{sequence: sequence, at: now})
}

// sentAt returns the moment at which sequence was sent.
func (l *link) sentAt(sequence uint64) (ferry.Moment, bool) {
	for i := len(l.sent) - 1; i >= 0; i-- {
		if l.sent[i].sequence == sequence {
			return l.sent[i].at, true
		}
	}
	return ferry.Moment{}, false
}

// isFollower reports whether the VM asked this VM to lead a short while ago.
func (l *link) isFollower(now time.Duration) bool {
	return l.heartbeatAt != 0 && now-l.heartbeatAt < followerTimeout
}

// isReplyOverdue reports whether beats to the VM got no pulse for a while.
func (l *link) isReplyOverdue(now time.Duration) bool {
	return l.unansweredSince != 0 && now-l.unansweredSince > renewalTimeout
}

// answers reports whether the VM answered as a lead a short while ago.
func (l *link) hasReplied(now time.Duration) bool {
	return l.replyAt != 0 && now-l.replyAt < listTimeout
}

// seen returns the VM itself if it was heard a short while ago, and the VMs that
// it leads.
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
