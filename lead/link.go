package lead

import (
	"iter"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// sentKept is the number of sent sequences whose moments are remembered. At
// the shortest gap between messages they cover more than a second.
const sentKept = 16

// sentMark is a sequence and the moment at which it was sent.
type sentMark struct {
	sequence uint64
	at       ferry.Moment
}

// link is what this VM knows about its exchanges with another VM.
type link struct {
	vm VM
	// heard is the last sequence received.
	heard uint64
	// sent are the last messages to the VM, newest last.
	sent []sentMark

	// selfSent is what this VM told about itself first with selfSequence, and
	// selfKnown what the other side has confirmed.
	selfSent     VM
	selfSequence uint64
	selfKnown    VM

	// beatAt and pulseAt are the steady times of the last beat and pulse that
	// came. Zero stands for never.
	beatAt  time.Duration
	pulseAt time.Duration
	// askedAt is the steady time of the first beat that no pulse answered, or
	// zero.
	askedAt time.Duration
	// nextBeat is the steady time of the next beat to the VM.
	nextBeat time.Duration
	// silentUntil is the steady time until which the VM is not chosen as lead.
	silentUntil time.Duration

	// revision and configRevision are the other side's state.
	revision       uint64
	configRevision uint64
	// viewHas, membersHas and evidenceHas are the versions of this VM's view,
	// members and evidence that the other side has.
	viewHas     uint64
	membersHas  uint64
	evidenceHas uint64
	// toldAt is the steady time of the last pulse to the VM, and toldMembers the
	// version of its members that this pulse confirmed.
	toldAt      time.Duration
	toldMembers uint64

	// list are the VMs that the VM knows, from its pulses.
	list vmList
	// members are the VMs that the VM leads, from its beats.
	members         vmList
	evidenceVersion uint64
	fleetSize       int
	reader          netip.AddrPort
	reads           bool

	// lentUntil is the moment at which the loan of share by the VM ends.
	lentUntil ferry.Moment
	// relentUntil is the moment until which this VM lent it on.
	relentUntil ferry.Moment
	share       float64
}

// mark remembers that sequence was sent at now.
func (l *link) mark(now ferry.Moment, sequence uint64) {
	if len(l.sent) == sentKept {
		copy(l.sent, l.sent[1:])
		l.sent = l.sent[:sentKept-1]
	}
	l.sent = append(l.sent, sentMark{sequence: sequence, at: now})
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
	return l.beatAt != 0 && now-l.beatAt < followerTimeout
}

// isUnanswered reports whether beats to the VM got no pulse for a while.
func (l *link) isUnanswered(now time.Duration) bool {
	return l.askedAt != 0 && now-l.askedAt > unansweredAfter
}

// answers reports whether the VM answered as a lead a short while ago.
func (l *link) answers(now time.Duration) bool {
	return l.pulseAt != 0 && now-l.pulseAt < listTimeout
}

// seen returns the VM itself if it was heard a short while ago, and the VMs that
// it leads.
func (l *link) seen(now time.Duration) iter.Seq[VM] {
	return func(yield func(VM) bool) {
		isFollower := l.isFollower(now)
		if (isFollower || l.answers(now)) && !yield(l.vm) || !isFollower || !l.members.isFresh(now) {
			return
		}
		for _, vm := range l.members.vms {
			if !yield(vm) {
				return
			}
		}
	}
}
