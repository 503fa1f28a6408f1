package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// sendHeartbeats sends the heartbeats that are due.
func (c *Controller) sendHeartbeats(now ferry.Moment) {
	for i, leader := range c.leaders {
		if leader == c.self.Peers {
			if i == 0 {
				c.poolOwnEvidence(now)
			}
			continue
		}
		interval := primaryInterval
		switch {
		case i > 0:
			interval = secondaryInterval
		case c.leadsPlace:
			interval = fleetLeaderInterval
		}
		c.sendHeartbeat(now, leader, interval, c.isUrgent && i == 0)
	}
	c.isUrgent = false
	c.contactSeeds(now)
}

// sendHeartbeat sends a heartbeat when it is due, or earlier when it is urgent.
func (c *Controller) sendHeartbeat(now ferry.Moment, to netip.AddrPort, interval time.Duration, isUrgent bool) {
	l := c.linkTo(to)
	if isUrgent {
		l.nextHeartbeat = min(l.nextHeartbeat, now.Monotonic)
		if len(l.sent) > 0 {
			l.nextHeartbeat = max(l.nextHeartbeat, l.sent[len(l.sent)-1].at.Monotonic+c.urgentInterval())
		}
	}
	if now.Monotonic < l.nextHeartbeat {
		return
	}
	l.nextHeartbeat = now.Monotonic + interval
	c.send(now, to, l, heartbeatKind)
	if l.unansweredSince == 0 && l.expectsReply(now.Monotonic) {
		l.unansweredSince = now.Monotonic
	}
}

// contactSeeds sends a heartbeat to a seed or recently seen VM outside the view.
func (c *Controller) contactSeeds(now ferry.Moment) {
	interval := seedInterval
	if len(c.view) == 1 {
		interval = joinInterval
	}
	if now.Monotonic < c.nextSeedAt && c.nextSeedAt != 0 {
		return
	}
	c.nextSeedAt = now.Monotonic + interval
	others := c.outsideView()
	if len(others) == 0 {
		return
	}
	c.seedIndex++
	to := others[c.seedIndex%len(others)]
	c.send(now, to, c.linkTo(to), heartbeatKind)
	if len(c.view) == 1 {
		// The view holds no other VM yet: contact all seeds.
		for _, seed := range c.seeds {
			if seed != to {
				c.send(now, seed, c.linkTo(seed), heartbeatKind)
			}
		}
	}
}

// outsideView returns the seeds and recently seen VMs outside the view.
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
	for address := range c.lastSeen {
		if !inView(address) && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	slices.SortFunc(others, netip.AddrPort.Compare)
	return others
}
