package lead

import (
	"slices"
	"strings"

	"monsoonferry.org/ferry"
)

// compareTargets orders evidence by target.
func compareTargets(a, b Evidence) int { return strings.Compare(string(a.Target), string(b.Target)) }

// poolOwnEvidence adds the pending evidence of the fleet leader to its pool.
func (c *Controller) poolOwnEvidence(now ferry.Moment) {
	if len(c.pendingEvidence) > 0 {
		c.poolEvidence(now, c.self.Place, c.takePendingEvidence())
	}
}

// takePendingEvidence returns the evidence that no leader has received.
func (c *Controller) takePendingEvidence() []Evidence {
	evidence := make([]Evidence, 0, len(c.pendingEvidence))
	for _, e := range c.pendingEvidence {
		evidence = append(evidence, e)
	}
	slices.SortFunc(evidence, compareTargets)
	clear(c.pendingEvidence)
	return evidence
}

// poolEvidence adds evidence from a place to the pool of this VM as a leader.
func (c *Controller) poolEvidence(now ferry.Moment, from ferry.PlaceID, evidence []Evidence) {
	if c.pool.add(now.Monotonic, evidence) {
		c.emit(EvidenceChanged{})
		c.evidencePushRegions[c.options.Regions[from]] = true
	}
}

// forwardEvidence queues a follower's evidence for the leader of this VM. Which
// targets are used matters within a place only.
func (c *Controller) forwardEvidence(evidence []Evidence) {
	if _, isSelf := c.Leader(); isSelf {
		return
	}
	for _, e := range evidence {
		if e.LogOdds != 0 {
			c.queueEvidence(Evidence{Target: e.Target, LogOdds: e.LogOdds})
		}
	}
}

// queueEvidence adds evidence to the next heartbeat to the primary leader.
func (c *Controller) queueEvidence(e Evidence) {
	pending := c.pendingEvidence[e.Target]
	c.pendingEvidence[e.Target] = Evidence{Target: e.Target, LogOdds: pending.LogOdds + e.LogOdds, IsUsed: pending.IsUsed || e.IsUsed}
	if e.LogOdds > 0 {
		c.isUrgent = true
	}
}

// receiveEvidence pools and forwards the evidence of a follower.
func (c *Controller) receiveEvidence(now ferry.Moment, l *link, exchange Exchange) {
	if l.vm.Place == c.self.Place {
		c.usage.record(now.Monotonic, exchange.Evidence)
	}
	c.poolEvidence(now, l.vm.Place, exchange.Evidence)
	c.forwardEvidence(exchange.Evidence)
}

// observeEvidence weighs and queues the evidence of this VM.
func (c *Controller) observeEvidence(now ferry.Moment, evidence []Evidence) {
	c.usage.record(now.Monotonic, evidence)
	for _, e := range c.reporter.weigh(now.Monotonic, evidence) {
		if c.leadsPlace {
			e.IsUsed = false
		}
		if e.LogOdds != 0 || e.IsUsed {
			c.queueEvidence(e)
		}
	}
}
