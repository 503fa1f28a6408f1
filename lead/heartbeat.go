package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// beat sends the beats that are due.
func (c *Controller) sendHeartbeats(now ferry.Moment) {
	for i, leader := range c.leaders {
		if leader == c.self.Peers {
			if i == 0 {
				c.poolOwnEvidence(now)
			}
			continue
		}
		gap := primaryInterval
		switch {
		case i > 0:
			gap = secondaryInterval
		case c.leadsPlace:
			gap = fleetLeaderInterval
		}
		c.sendHeartbeat(now, leader, gap, c.isUrgent && i == 0)
	}
	c.isUrgent = false
	c.contactSeeds(now)
}

// sendHeartbeat sends a beat when it is due, or sooner when it is urgent.
func (c *Controller) sendHeartbeat(now ferry.Moment, to netip.AddrPort, gap time.Duration, isUrgent bool) {
	l := c.linkTo(to)
	if isUrgent {
		l.nextHeartbeat = min(l.nextHeartbeat, now.Steady)
		if len(l.sent) > 0 {
			l.nextHeartbeat = max(l.nextHeartbeat, l.sent[len(l.sent)-1].at.Steady+c.urgentInterval())
		}
	}
	if now.Steady < l.nextHeartbeat {
		return
	}
	l.nextHeartbeat = now.Steady + gap
	c.send(now, to, l, true)
	if l.unansweredSince == 0 {
		l.unansweredSince = now.Steady
	}
}

// contactSeeds asks seeds, and VMs known from before, that are outside the view.
func (c *Controller) contactSeeds(now ferry.Moment) {
	gap := seedInterval
	if len(c.view) == 1 {
		gap = joinInterval
	}
	if now.Steady < c.nextSeedAt && c.nextSeedAt != 0 {
		return
	}
	c.nextSeedAt = now.Steady + gap
	others := c.outsideView()
	if len(others) == 0 {
		return
	}
	c.seedIndex++
	to := others[c.seedIndex%len(others)]
	c.send(now, to, c.linkTo(to), true)
	if len(c.view) == 1 {
		// Nothing is known yet: ask all seeds.
		for _, seed := range c.seeds {
			if seed != to {
				c.send(now, seed, c.linkTo(seed), true)
			}
		}
	}
}

// outsiders returns seeds and known VMs outside the view.
func (c *Controller) outsideView() []netip.AddrPort {
	var others []netip.AddrPort
	inView := func(address netip.AddrPort) bool {
		return slices.ContainsFunc(c.view, func(vm VM) bool { return vm.Peers == address })
	}
	for _, seed := range c.seeds {
		if !inView(seed) {
			others = append(others, seed)
		}
	}
	for address := range c.known {
		if !inView(address) && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	slices.SortFunc(others, netip.AddrPort.Compare)
	return others
}
