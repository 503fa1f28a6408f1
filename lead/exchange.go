package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// linkTo returns the link to an address, which it creates.
func (c *Controller) linkTo(address netip.AddrPort) *link {
	l := c.links[address]
	if l == nil {
		l = &link{vm: VM{Peers: address}}
		c.links[address] = l
	}
	return l
}

// receive takes a beat or a pulse in.
func (c *Controller) receive(now ferry.Moment, from netip.AddrPort, exchange Exchange) {
	if from == c.self.Peers || exchange.HasSelf && exchange.Self.Peers != from {
		return
	}
	l := c.linkTo(from)
	if l.vm.Incarnation != exchange.Incarnation {
		if !exchange.HasSelf {
			// The sender takes this VM for the process before it. Once it hears of
			// the new one, it tells about itself again.
			if exchange.Beat {
				c.send(now, from, l, false)
			}
			return
		}
		// A new process knows nothing of the old one.
		*l = link{sent: l.sent, nextBeat: l.nextBeat}
		c.isDirty = true
	}
	if exchange.Sequence <= l.heard {
		if exchange.Beat && exchange.Sequence < l.heard {
			// Evidence counts although a later message came first.
			c.takeEvidence(now, l, exchange)
		}
		return
	}
	l.heard = exchange.Sequence
	c.isDirty = c.isDirty || !c.hasHeard
	c.hasHeard = true
	if exchange.IsSettled && !c.isSettled {
		c.isSettled = true
		c.peaks.add(now.Monotonic, max(exchange.FleetSize, c.peaks.largest()))
	}
	if exchange.HasSelf && !l.vm.isNewer(exchange.Self) {
		c.isDirty = c.isDirty || l.vm != exchange.Self
		l.vm = exchange.Self
	}
	l.revision, l.configRevision = exchange.Revision, exchange.ConfigRevision
	l.fleetSize, l.reads = exchange.FleetSize, exchange.Reads
	c.known[from] = now.Monotonic
	c.takeRecords(now, l, exchange)
	sent, isEcho := l.sentAt(exchange.Echo)
	if exchange.Echo >= l.selfSequence && l.selfSent == c.self {
		l.selfKnown = c.self
	}
	if isEcho && exchange.HasProof && c.records.Revision() >= exchange.Revision {
		c.takeProof(ferry.Moment{Monotonic: sent.Monotonic - exchange.ProofAge, Wall: sent.Wall - exchange.ProofAge})
	}
	if exchange.Beat {
		c.receiveBeat(now, from, l, exchange, sent, isEcho)
		return
	}
	c.receivePulse(now, l, exchange)
}

// takeRecords merges a delta or starts a copy.
func (c *Controller) takeRecords(now ferry.Moment, l *link, exchange Exchange) {
	if c.records.Revision() >= exchange.Revision {
		return
	}
	if len(exchange.Delta) > 0 {
		update, err := c.Unpack(exchange.Delta, exchange.DeltaConfig)
		if err == nil && c.merge(now, update) {
			return
		}
	}
	// A copy from any VM but a lead would cross regions for nothing.
	isLead := slices.Contains(c.leads, l.vm.Peers) || len(c.view) == 1
	if exchange.Bulk && isLead && now.Monotonic >= c.copying {
		c.copying = now.Monotonic + copyTimeout
		c.emit(StartCopy{From: l.vm.Control(), After: c.records.Revision()})
	}
}

// copyTimeout is the time after which a copy is started anew.
const copyTimeout = 700 * time.Millisecond

// takeProof keeps the newer proof. The clock that runs while the VM is
// suspended decides.
func (c *Controller) takeProof(proof ferry.Moment) {
	if !c.hasProof || proof.Wall > c.proof.Wall {
		c.proof, c.hasProof = proof, true
	}
}

// receiveBeat handles the part of a lead.
func (c *Controller) receiveBeat(now ferry.Moment, from netip.AddrPort, l *link, exchange Exchange, sent ferry.Moment, isEcho bool) {
	c.isDirty = c.isDirty || !l.isFollower(now.Monotonic)
	l.beatAt = now.Monotonic
	l.viewHas, l.evidenceHas = exchange.ListHas, exchange.EvidenceVersion
	if l.members.apply(now.Monotonic, exchange.List) {
		c.isDirty = true
	}
	c.takeLoan(l, exchange, sent, isEcho)
	c.takeEvidence(now, l, exchange)
	if c.isDirty {
		// The answer names a VM that has just come.
		c.updateView(now)
	}
	if c.needsReply(now, l) {
		c.send(now, from, l, false)
	} else if l.evidenceHas != c.pool.version {
		// The next push brings what this beat was not answered with.
		c.pushDue[c.options.Regions[l.vm.Place]] = true
	}
}

// pushChanges tells the followers at once of VMs that callers should no longer
// use, and those of the regions from which a new suspect came of that. They hear
// of other changes with their next beats.
func (c *Controller) pushChanges(now ferry.Moment) {
	if !c.viewDue && len(c.pushDue) == 0 || now.Monotonic < c.pushAt {
		return
	}
	c.pushAt = now.Monotonic + c.urgentGap()
	for address, l := range c.links {
		lacksView := c.viewDue && l.viewHas != c.viewRoster.version
		lacksEvidence := c.pushDue[c.options.Regions[l.vm.Place]] && l.evidenceHas != c.pool.version
		if (lacksView || lacksEvidence) && l.isFollower(now.Monotonic) {
			c.send(now, address, l, false)
		}
	}
	c.viewDue = false
	clear(c.pushDue)
}

// urgentGap returns the least gap between messages with evidence.
func (c *Controller) urgentGap() time.Duration {
	return urgentGap * time.Duration(max(urgentFleet, len(c.view))) / urgentFleet
}

// needsReply reports whether a beat has to be answered now.
func (c *Controller) needsReply(now ferry.Moment, l *link) bool {
	if l.revision < c.records.Revision() || l.viewHas != c.viewRoster.version || l.members.version != l.toldMembers {
		return true
	}
	since := now.Monotonic - l.toldAt
	return l.toldAt == 0 || since > replyGap || l.evidenceHas != c.pool.version && since >= c.urgentGap()
}

// receivePulse handles the part of a follower.
func (c *Controller) receivePulse(now ferry.Moment, l *link, exchange Exchange) {
	c.isDirty = c.isDirty || !l.answers(now.Monotonic) || now.Monotonic < l.silentUntil
	l.pulseAt, l.askedAt, l.silentUntil = now.Monotonic, 0, 0
	l.reader = exchange.Reader
	l.membersHas = exchange.ListHas
	if l.list.apply(now.Monotonic, exchange.List) {
		c.isDirty = true
	}
	if exchange.List.IsPartial {
		c.askForRest(now, l)
	}
	c.takeBack(now, l, exchange)
	lead, isSelf := c.Lead()
	if isSelf || lead != l.vm.Peers || !exchange.HasEvidence {
		return
	}
	l.evidenceVersion = exchange.EvidenceVersion
	if c.pool.take(now.Monotonic, exchange.Evidence) {
		c.pushDue[c.options.Regions[c.self.Place]] = true
	}
	c.emit(EvidenceChanged{})
}

// askForRest sends a beat that fetches the rest of a list.
func (c *Controller) askForRest(now ferry.Moment, l *link) {
	if slices.Contains(c.leads, l.vm.Peers) {
		l.nextBeat = now.Monotonic
		return
	}
	c.send(now, l.vm.Peers, l, true)
}

// send sends a beat or a pulse.
func (c *Controller) send(now ferry.Moment, to netip.AddrPort, l *link, beat bool) {
	c.sequence++
	exchange := Exchange{
		Sequence: c.sequence, Echo: l.heard, Incarnation: c.self.Incarnation, Beat: beat,
		Revision: c.records.Revision(), ConfigRevision: c.records.ConfigRevision(),
		FleetSize: c.peaks.largest(), IsSettled: c.isSettled || now.Monotonic-c.started > settleAfter, Reads: c.hasReads(now.Monotonic),
	}
	if l.selfKnown != c.self {
		exchange.Self, exchange.HasSelf = c.self, true
		if l.selfSent != c.self {
			l.selfSent, l.selfSequence = c.self, c.sequence
		}
	}
	if c.hasProof {
		exchange.HasProof = true
		exchange.ProofAge = max(0, now.LongestSince(c.proof))
	}
	// Leads learn from each other; a follower tells what it or a VM that it leads
	// read by itself.
	if l.heard != 0 && l.revision < c.records.Revision() && (!beat || exchange.Reads) {
		c.addDelta(now, l, &exchange)
	}
	if beat {
		c.fillBeat(now, to, l, &exchange)
	} else {
		c.fillPulse(now, l, &exchange)
	}
	l.mark(now, c.sequence)
	c.emit(Send{To: to, Exchange: exchange})
}

// addDelta adds what the receiver lacks.
func (c *Controller) addDelta(now ferry.Moment, l *link, exchange *Exchange) {
	packed, dictionary, err := c.packs.pack(now.Monotonic, &c.records, l.revision, l.configRevision)
	if err != nil || len(packed) > maxDelta {
		exchange.Bulk = true
		return
	}
	exchange.Delta, exchange.After, exchange.DeltaConfig = packed, l.revision, dictionary
}

// fillBeat adds what only leads get.
func (c *Controller) fillBeat(now ferry.Moment, to netip.AddrPort, l *link, exchange *Exchange) {
	exchange.ListHas, exchange.EvidenceVersion = l.list.version, l.evidenceVersion
	exchange.List = c.members.since(l.membersHas)
	l.membersHas = exchange.List.Version
	exchange.FleetSize = c.denominator(now)
	if len(c.leads) > 0 && c.leads[0] == to {
		exchange.Evidence = c.takePending()
		c.lend(now, to, l, exchange)
	}
}

// fillPulse adds what only followers get.
func (c *Controller) fillPulse(now ferry.Moment, l *link, exchange *Exchange) {
	exchange.ListHas = l.members.version
	l.toldAt, l.toldMembers = now.Monotonic, l.members.version
	exchange.List = c.viewRoster.since(l.viewHas)
	exchange.Reader = c.read.reader
	exchange.Returns = c.returns(now, l)
	exchange.EvidenceVersion = c.pool.version
	if l.evidenceHas != c.pool.version {
		exchange.HasEvidence, exchange.Evidence = true, c.pool.since(l.evidenceHas)
	}
	// Both are sent once; the next beat tells whether they came.
	l.viewHas, l.evidenceHas = exchange.List.Version, exchange.EvidenceVersion
}
