package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// beat sends the beats that are due.
func (c *Controller) beat(now ferry.Moment) {
	for i, lead := range c.leads {
		if lead == c.self.Peers {
			if i == 0 {
				c.poolOwn(now)
			}
			continue
		}
		gap := firstBeat
		switch {
		case i > 0:
			gap = secondBeat
		case c.leadsPlace:
			gap = upperBeat
		}
		c.beatTo(now, lead, gap, c.urgent && i == 0)
	}
	c.urgent = false
	c.beatSeeds(now)
}

// beatTo sends a beat when it is due, or sooner when it is urgent.
func (c *Controller) beatTo(now ferry.Moment, to netip.AddrPort, gap time.Duration, urgent bool) {
	l := c.linkTo(to)
	if urgent {
		l.nextBeat = min(l.nextBeat, now.Monotonic)
		if len(l.sent) > 0 {
			l.nextBeat = max(l.nextBeat, l.sent[len(l.sent)-1].at.Monotonic+c.urgentGap())
		}
	}
	if now.Monotonic < l.nextBeat {
		return
	}
	l.nextBeat = now.Monotonic + gap
	c.send(now, to, l, true)
	if l.askedAt == 0 {
		l.askedAt = now.Monotonic
	}
}

// beatSeeds asks seeds, and VMs known from before, that are outside the view.
func (c *Controller) beatSeeds(now ferry.Moment) {
	gap := seedBeat
	if len(c.view) == 1 {
		gap = joinBeat
	}
	if now.Monotonic < c.seedAt && c.seedAt != 0 {
		return
	}
	c.seedAt = now.Monotonic + gap
	others := c.outsiders()
	if len(others) == 0 {
		return
	}
	c.nextSeed++
	to := others[c.nextSeed%len(others)]
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
func (c *Controller) outsiders() []netip.AddrPort {
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
