package lead

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

// peak is the size of the view at a time.
type peak struct {
	size int
	at   time.Duration
}

// peaks remembers the largest sizes of the view, falling in size.
type peaks []peak

// add counts a size and forgets old ones.
func (p *peaks) add(now time.Duration, size int) {
	for len(*p) > 0 && (*p)[len(*p)-1].size <= size {
		*p = (*p)[:len(*p)-1]
	}
	*p = append(*p, peak{size: size, at: now})
	for now-(*p)[0].at > peakKept {
		*p = (*p)[1:]
	}
}

// largest returns the largest remembered size.
func (p peaks) largest() int {
	if len(p) == 0 {
		return 0
	}
	return p[0].size
}

// followers returns the VMs that ask this one to lead.
func (c *Controller) followers(now time.Duration) []VM {
	var list []VM
	for _, l := range c.links {
		if l.isFollower(now) {
			list = append(list, l.vm)
		}
	}
	return list
}

// sighting is when a process was first seen, and the order of its VM.
type sighting struct {
	incarnation uint64
	at          time.Duration
	rank        uint64
}

// sight returns when a process was first seen.
func (c *Controller) sight(now time.Duration, vm VM) sighting {
	seen, found := c.firstSeen[vm.Peers]
	if !found || seen.incarnation != vm.Incarnation {
		seen = sighting{incarnation: vm.Incarnation, at: now, rank: rank(vm.Peers)}
		c.firstSeen[vm.Peers] = seen
	}
	return seen
}

// updateView joins what the leads list with the VMs that beat to this one and
// those that they lead.
func (c *Controller) updateView(now ferry.Moment) {
	joined := map[netip.AddrPort]VM{c.self.Peers: c.self}
	knowsPlace := c.leadsPlace && now.Steady-c.leadsPlaceAt > listTimeout
	for _, l := range c.links {
		for vm := range l.told(now.Steady) {
			// The lead of a place knows its VMs at first hand. The lists of others
			// may hold what it told them before.
			if !knowsPlace || vm.Place != c.self.Place {
				addNewer(joined, vm)
			}
		}
		for vm := range l.seen(now.Steady) {
			addNewer(joined, vm)
		}
	}
	joined[c.self.Peers] = c.self
	view := make([]VM, 0, len(joined))
	for _, vm := range joined {
		view = append(view, vm)
		c.known[vm.Peers] = now.Steady
	}
	slices.SortFunc(view, func(a, b VM) int { return a.Peers.Compare(b.Peers) })
	c.forgetKnown(now.Steady)
	c.peaks.add(now.Steady, len(view))
	if c.members.update(c.followers(now.Steady)) && c.leadsPlace {
		c.urgent = true
	}
	if slices.Equal(view, c.view) && c.viewRoster.version > 0 {
		return
	}
	c.view = view
	c.viewRoster.update(view)
	c.emit(ViewChanged{})
}

// addNewer keeps the later record of a VM.
func addNewer(joined map[netip.AddrPort]VM, vm VM) {
	if known, found := joined[vm.Peers]; !found || vm.isNewer(known) {
		joined[vm.Peers] = vm
	}
}

// forgetKnown drops VMs that were not seen for long.
func (c *Controller) forgetKnown(now time.Duration) {
	for address, at := range c.known {
		if now-at > knownKept {
			delete(c.known, address)
			delete(c.links, address)
			delete(c.firstSeen, address)
		}
	}
}

// rank orders VMs the same way on every VM.
func rank(address netip.AddrPort) uint64 {
	encoded := address.Addr().As16()
	var key [18]byte
	copy(key[:], encoded[:])
	binary.LittleEndian.PutUint16(key[16:], address.Port())
	return xxhash.Sum64(key[:])
}

// candidate is a VM that may lead.
type candidate struct {
	vm VM
	sighting
	// isYoung reports that the process was first seen a short while ago. Young
	// processes are not preferred as leads: they know nothing yet.
	isYoung bool
}

// compareCandidates orders VMs by age, power and rank.
func compareCandidates(a, b candidate) int {
	switch {
	case a.isYoung && !b.isYoung:
		return 1
	case b.isYoung && !a.isYoung:
		return -1
	case a.vm.Power != b.vm.Power:
		return cmp.Compare(b.vm.Power, a.vm.Power)
	}
	return cmp.Compare(a.rank, b.rank)
}

// candidates returns the VMs of the view that may lead, the best first.
func (c *Controller) candidates(now ferry.Moment) []candidate {
	list := make([]candidate, 0, len(c.view))
	for _, vm := range c.view {
		l := c.links[vm.Peers]
		if l != nil && l.askedAt != 0 && now.Steady-l.askedAt > silentAfter {
			l.silentUntil, l.askedAt = now.Steady+silentFor, 0
			l.lentUntil, l.share = ferry.Moment{}, 0
		}
		seen := c.sight(now.Steady, vm)
		if vm.Leaving || (l != nil && now.Steady < l.silentUntil) {
			continue
		}
		list = append(list, candidate{vm: vm, sighting: seen, isYoung: now.Steady-seen.at < youngFor})
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// chooseLeads takes the first VMs of the place as leads, or, on the first VM of
// a place, the first ones of the fleet.
func (c *Controller) chooseLeads(now ferry.Moment) {
	list := c.candidates(now)
	near := make([]candidate, 0, len(list))
	for _, known := range list {
		if known.vm.Place == c.self.Place {
			near = append(near, known)
		}
	}
	leadsPlace := len(near) == 0 || near[0].vm.Peers == c.self.Peers
	if leadsPlace && !c.leadsPlace {
		c.leadsPlaceAt = now.Steady
	}
	c.leadsPlace = leadsPlace
	if !leadsPlace {
		list = near
	}
	before, _ := c.Lead()
	c.leads = c.leads[:0]
	for _, known := range list[:min(leadCount, len(list))] {
		c.leads = append(c.leads, known.vm.Peers)
	}
	if after, _ := c.Lead(); after != before {
		c.emit(Followed{Lead: after})
	}
}

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
	if c.pool.add(now.Steady, evidence) {
		c.emit(EvidenceChanged{})
		c.pushDue[c.options.Regions[from]] = true
	}
}

// passUp adds evidence of a VM that this one leads to what its own lead gets.
func (c *Controller) passUp(evidence []Evidence) {
	if _, isSelf := c.Lead(); isSelf {
		return
	}
	for _, e := range evidence {
		c.pending[e.Target] += e.LogOdds
		if e.LogOdds > 0 {
			c.urgent = true
		}
	}
}

// beatTo sends a beat when it is due, or sooner when it is urgent.
func (c *Controller) beatTo(now ferry.Moment, to netip.AddrPort, gap time.Duration, urgent bool) {
	l := c.linkTo(to)
	if urgent {
		l.nextBeat = min(l.nextBeat, now.Steady)
		if len(l.sent) > 0 {
			l.nextBeat = max(l.nextBeat, l.sent[len(l.sent)-1].at.Steady+c.urgentGap())
		}
	}
	if now.Steady < l.nextBeat {
		return
	}
	l.nextBeat = now.Steady + gap
	c.send(now, to, l, true)
	if l.askedAt == 0 {
		l.askedAt = now.Steady
	}
}

// beatSeeds asks seeds, and VMs known from before, that are outside the view.
func (c *Controller) beatSeeds(now ferry.Moment) {
	gap := seedBeat
	if len(c.view) == 1 {
		gap = joinBeat
	}
	if now.Steady < c.seedAt && c.seedAt != 0 {
		return
	}
	c.seedAt = now.Steady + gap
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
