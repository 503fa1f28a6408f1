package lead

import (
	"monsoonferry.org/ferry"
)

// poolOwn adds the evidence of this VM to its own pool.
func (c *Controller) poolOwn(now ferry.Moment) {
	if len(c.pending) > 0 {
		c.poolEvidence(now, c.self.Place, c.takePending())
	}
}

// takePending returns the evidence that no lead has got.
func (c *Controller) takePending() []Evidence {
	evidence := make([]Evidence, 0, len(c.pending))
	for target, odds := range c.pending {
		evidence = append(evidence, Evidence{Target: target, LogOdds: odds})
	}
	clear(c.pending)
	return evidence
}

// poolEvidence adds evidence from a place to the pool of this lead.
func (c *Controller) poolEvidence(now ferry.Moment, from ferry.PlaceID, evidence []Evidence) {
	if c.pool.add(now.Monotonic, evidence) {
		c.emit(EvidenceChanged{})
		c.pushDue[c.options.Regions[from]] = true
	}
}

// passUp adds evidence of a VM that this one leads to what its own lead gets.
func (c *Controller) passUp(evidence []Evidence) {
	if _, isSelf := c.Lead(); isSelf {
		return
	}
	c.collect(evidence)
}

// collect adds evidence to what the lead of this VM gets with the next beat.
func (c *Controller) collect(evidence []Evidence) {
	for _, e := range evidence {
		c.pending[e.Target] += e.LogOdds
		if e.LogOdds > 0 {
			c.urgent = true
		}
	}
}

// takeEvidence takes the evidence of a VM that this one leads.
func (c *Controller) takeEvidence(now ferry.Moment, l *link, exchange Exchange) {
	c.poolEvidence(now, l.vm.Place, exchange.Evidence)
	c.passUp(exchange.Evidence)
}

// observe collects evidence of this VM.
func (c *Controller) observe(now ferry.Moment, evidence []Evidence) {
	c.collect(c.own.weigh(now.Monotonic, evidence))
}
