package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// receive applies a heartbeat or a reply.
func (c *Controller) receive(now ferry.Moment, from netip.AddrPort, exchange Exchange) {
	if from == c.self.Peers || exchange.HasSelf && exchange.Self.Peers != from {
		return
	}
	l := c.linkTo(from)
	if l.vm.Incarnation != exchange.Incarnation {
		if !exchange.HasSelf {
			// The sender's record went to the previous process of this VM. A reply
			// with the new incarnation makes the sender include its record again.
			if exchange.IsHeartbeat {
				c.send(now, from, l, replyKind)
			}
			return
		}
		// A new process has none of the state of the old one.
		*l = link{sent: l.sent, nextHeartbeat: l.nextHeartbeat}
		c.isViewDirty = true
	}
	if exchange.Sequence <= l.receivedSequence {
		if exchange.IsHeartbeat && exchange.Sequence < l.receivedSequence {
			// Evidence of a delayed message still counts.
			c.receiveEvidence(now, l, exchange)
		}
		return
	}
	l.receivedSequence = exchange.Sequence
	if !c.hasContact {
		c.hasContact, c.contactAt, c.isViewDirty = true, now.Monotonic, true
	}
	if exchange.IsFleetSizeKnown && !c.isFleetSizeKnown {
		c.isFleetSizeKnown = true
		c.fleetSizes.add(now.Monotonic, max(exchange.FleetSize, c.fleetSizes.largest()))
	}
	if exchange.HasSelf && !l.vm.isNewer(exchange.Self) {
		c.isViewDirty = c.isViewDirty || l.vm != exchange.Self
		l.vm = exchange.Self
	}
	l.recordState(now.Monotonic, exchange)
	c.lastSeen[from] = now.Monotonic
	c.applyRecords(now, l, exchange)
	sent, hasEcho := l.sentAt(exchange.Echo)
	if exchange.Echo >= l.selfSentSequence && l.selfSent == c.self {
		l.selfAcked = c.self
	}
	if hasEcho && exchange.HasProof && c.records.Revision() >= exchange.Revision {
		c.updateProof(now, ferry.Moment{Monotonic: sent.Monotonic - exchange.ProofAge, Wall: sent.Wall - exchange.ProofAge}, from)
	}
	if exchange.IsHeartbeat {
		c.receiveHeartbeat(now, from, l, exchange, sent, hasEcho)
		return
	}
	c.receiveReply(now, l, exchange)
}

// applyRecords merges a delta, or starts a copy if that is not possible.
func (c *Controller) applyRecords(now ferry.Moment, l *link, exchange Exchange) {
	if c.records.Revision() >= exchange.Revision {
		return
	}
	if len(exchange.Delta) > 0 {
		update, err := c.UnpackUpdate(exchange.Delta, exchange.DeltaDictionary)
		if err == nil && c.merge(now, update) {
			return
		}
	}
	// Copies come from leaders, since others may be in another region, and from the
	// follower that reads for this VM.
	isSource := slices.Contains(c.leaders, l.vm.Peers) || len(c.view) == 1 ||
		exchange.IsHeartbeat && exchange.ReadsStore && !c.read.hasRecentSuccess(now.Monotonic)
	if exchange.Bulk && isSource && now.Monotonic >= c.copyRetryAt {
		c.copyRetryAt = now.Monotonic + copyTimeout
		c.emit(StartCopy{From: l.vm.Control(), After: c.records.Revision()})
	}
}

// copyTimeout is the time after which a copy is requested again.
const copyTimeout = 700 * time.Millisecond

// receiveHeartbeat applies a heartbeat as a leader. sent is when the message
// that it echoes was sent, if hasEcho is set.
func (c *Controller) receiveHeartbeat(now ferry.Moment, from netip.AddrPort, l *link, exchange Exchange, sent ferry.Moment, hasEcho bool) {
	c.isViewDirty = c.isViewDirty || !l.isFollower(now.Monotonic)
	l.heartbeatAt, l.readsStore = now.Monotonic, exchange.ReadsStore
	l.peerViewVersion, l.peerEvidenceVersion = exchange.AckedListVersion, exchange.EvidenceVersion
	l.omitsEvidence = exchange.OmitsEvidence
	if l.members.apply(now.Monotonic, exchange.List) {
		c.isViewDirty = true
	}
	c.receiveLease(l, exchange, sent, hasEcho)
	c.receiveEvidence(now, l, exchange)
	if c.isViewDirty {
		// The reply includes a VM that has just joined.
		c.updateView(now)
	}
	if c.needsReply(now, l) {
		c.send(now, from, l, replyKind)
	} else if c.lacksEvidence(l) {
		// This heartbeat gets no reply now. The next push sends the evidence.
		c.evidencePushRegions[c.options.Regions[l.vm.Place]] = true
	}
}

// pushChanges pushes the view to all followers when fewer VMs serve callers, and
// urgent evidence to the followers of the regions that it concerns. Other changes
// are sent with the next replies.
func (c *Controller) pushChanges(now ferry.Moment) {
	if !c.isViewPushDue && len(c.evidencePushRegions) == 0 || now.Monotonic < c.nextPushAt {
		return
	}
	c.nextPushAt = now.Monotonic + c.urgentInterval()
	for address, l := range c.sortedLinks() {
		lacksView := c.isViewPushDue && l.peerViewVersion != c.viewList.version
		lacksEvidence := c.evidencePushRegions[c.options.Regions[l.vm.Place]] && c.lacksEvidence(l)
		if (lacksView || lacksEvidence) && l.isFollower(now.Monotonic) {
			c.send(now, address, l, replyKind)
		}
	}
	c.isViewPushDue = false
	clear(c.evidencePushRegions)
}

// urgentInterval returns the shortest time between messages with evidence.
func (c *Controller) urgentInterval() time.Duration {
	return urgentInterval * time.Duration(max(baseFleetSize, len(c.view))) / baseFleetSize
}

// needsReply reports whether a heartbeat needs a reply now.
func (c *Controller) needsReply(now ferry.Moment, l *link) bool {
	if l.revision < c.records.Revision() || l.peerViewVersion != c.viewList.version || l.members.version != l.repliedMembersVersion {
		return true
	}
	since := now.Monotonic - l.repliedAt
	return l.repliedAt == 0 || since > replyInterval || c.lacksEvidence(l) && since >= c.urgentInterval()
}

// receiveReply applies a reply as a follower.
func (c *Controller) receiveReply(now ferry.Moment, l *link, exchange Exchange) {
	c.isViewDirty = c.isViewDirty || !l.hasReplied(now.Monotonic) || now.Monotonic < l.excludedUntil
	l.replyAt, l.unansweredSince, l.excludedUntil = now.Monotonic, 0, 0
	l.reader = exchange.Reader
	l.peerMembersVersion = exchange.AckedListVersion
	if l.view.apply(now.Monotonic, exchange.List) {
		c.isViewDirty = true
	}
	if exchange.List.IsPartial {
		c.requestRest(now, l)
	}
	c.receiveRelease(now, l, exchange)
	leader, isSelf := c.Leader()
	if isSelf || leader != l.vm.Peers {
		return
	}
	if len(exchange.Unused) > 0 {
		c.emit(UseTargets{Targets: exchange.Unused})
	}
	c.receiveCredits(l, exchange)
	if !exchange.HasEvidence {
		return
	}
	l.evidenceVersion = exchange.EvidenceVersion
	if c.pool.replace(now.Monotonic, exchange.Evidence) {
		c.evidencePushRegions[c.options.Regions[c.self.Place]] = true
	}
	c.emit(EvidenceChanged{})
}

// requestRest requests the rest of a partial list with a heartbeat.
func (c *Controller) requestRest(now ferry.Moment, l *link) {
	if slices.Contains(c.leaders, l.vm.Peers) {
		l.nextHeartbeat = now.Monotonic
		return
	}
	c.send(now, l.vm.Peers, l, heartbeatKind)
}

// exchangeKind is what an Exchange is sent as.
type exchangeKind int

const (
	heartbeatKind exchangeKind = iota
	replyKind
	// proofKind is a reply between heartbeats that passes on a proof. It leaves to the reply
	// that the next heartbeat gets what is counted by heartbeats: targets to use, credits.
	proofKind
)

func (c *Controller) send(now ferry.Moment, to netip.AddrPort, l *link, kind exchangeKind) {
	isHeartbeat := kind == heartbeatKind
	c.sequence++
	exchange := Exchange{
		Sequence: c.sequence, Echo: l.receivedSequence, Incarnation: c.self.Incarnation, IsHeartbeat: isHeartbeat,
		Revision: c.records.Revision(), DictionaryID: c.records.DictionaryID(),
		FleetSize: c.fleetSizes.largest(), IsFleetSizeKnown: c.knowsFleetSize(now.Monotonic), ReadsStore: c.readsStore(now.Monotonic, to),
	}
	if l.selfAcked != c.self {
		exchange.Self, exchange.HasSelf = c.self, true
		if l.selfSent != c.self {
			l.selfSent, l.selfSentSequence = c.self, c.sequence
		}
	}
	if c.hasProof {
		exchange.HasProof = true
		exchange.ProofAge = max(0, now.LongestSince(c.proof))
		if l.proofAt != 0 {
			l.proofAt = max(l.proofAt, l.provenBy(exchange.ProofAge))
		}
	}
	// A leader gets records from its own leaders. Heartbeats carry them only while
	// this VM or a follower reads the store.
	if l.receivedSequence != 0 && l.revision < c.records.Revision() && (!isHeartbeat || exchange.ReadsStore) {
		c.addDelta(now, l, &exchange)
	}
	if isHeartbeat {
		c.fillHeartbeat(now, to, l, &exchange)
	} else {
		c.fillReply(now, l, &exchange)
	}
	if kind == replyKind {
		c.fillUse(now, l, &exchange)
	}
	l.recordSent(now, c.sequence)
	c.emit(Send{To: to, Exchange: exchange})
}

// addDelta adds the records that the receiver lacks, or requests a copy.
func (c *Controller) addDelta(now ferry.Moment, l *link, exchange *Exchange) {
	packed, dictionary, err := c.packs.pack(now.Monotonic, &c.records, l.revision, l.dictionaryID)
	if err != nil || len(packed) > maxDeltaBytes {
		exchange.Bulk = true
		return
	}
	exchange.Delta, exchange.After, exchange.DeltaDictionary = packed, l.revision, dictionary
}

// fillHeartbeat adds the fields that only leaders receive.
func (c *Controller) fillHeartbeat(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	exchange.AckedListVersion, exchange.EvidenceVersion = l.view.version, l.evidenceVersion
	exchange.List = c.members.since(now.Monotonic, l.peerMembersVersion, nil)
	l.peerMembersVersion = exchange.List.Version
	exchange.FleetSize = c.denominator(now)
	isPrimary := len(c.leaders) > 0 && c.leaders[0] == to
	exchange.OmitsEvidence = !isPrimary
	if isPrimary {
		exchange.Evidence = c.takePendingEvidence()
		c.addLease(now, to, l, exchange)
	}
}

// fillReply adds the fields that only followers receive.
func (c *Controller) fillReply(now ferry.Moment, l *link, exchange *Exchange) {
	exchange.AckedListVersion = l.members.version
	l.repliedMembersVersion = l.members.version
	exchange.List = c.viewList.since(now.Monotonic, l.peerViewVersion, c.lost)
	exchange.Reader = c.read.reader
	exchange.IsReleased = c.release(now, l)
	exchange.EvidenceVersion = c.pool.version
	if c.lacksEvidence(l) {
		exchange.HasEvidence, exchange.Evidence = true, c.pool.since(l.peerEvidenceVersion)
	}
	// View and evidence are sent once. The next heartbeat reports what arrived.
	l.peerViewVersion, l.peerEvidenceVersion = exchange.List.Version, exchange.EvidenceVersion
}

// fillUse makes a message the reply to the last heartbeat: it adds what is counted by them,
// the targets that the follower shall use and its credits.
func (c *Controller) fillUse(now ferry.Moment, l *link, exchange *Exchange) {
	l.repliedAt = now.Monotonic
	if c.leadsPlace && l.vm.Place == c.self.Place {
		exchange.Unused = c.usage.ask(now.Monotonic, c.leadsPlaceAt, c.placeSize())
		exchange.Credits = c.replyCredits(now, l)
	}
}

// lacksEvidence reports whether the peer uses the evidence pooled here and does not
// have all of it.
func (c *Controller) lacksEvidence(l *link) bool {
	return !l.omitsEvidence && l.peerEvidenceVersion != c.pool.version
}
