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

// tellers returns the VMs whose lists count here: the first lead, or while its
// list is old the VM with the newest one. Lists of VMs that listen to each other
// would keep a VM that is gone, so the first lead of the fleet listens only to
// VMs that do not follow it, as those of another fleet that it has to join, and
// for some time after it became that to all.
func (c *Controller) tellers(now time.Duration) []*link {
	lead, isSelf := c.Lead()
	if l := c.links[lead]; !isSelf && l != nil && l.list.isFresh(now) {
		return []*link{l}
	}
	var fresh []*link
	var newest *link
	for _, l := range c.links {
		if !l.list.isFresh(now) {
			continue
		}
		if newest == nil || l.list.at > newest.list.at {
			newest = l
		}
		if !l.isFollower(now) || now-c.leadsFleetAt < listTimeout {
			fresh = append(fresh, l)
		}
	}
	if !isSelf && newest != nil {
		return []*link{newest}
	}
	return fresh
}

// updateView joins what a lead lists with the VMs that beat to this one and
// those that they lead.
func (c *Controller) updateView(now ferry.Moment) {
	joined := map[netip.AddrPort]VM{c.self.Peers: c.self}
	knowsPlace := c.leadsPlace && now.Steady-c.leadsPlaceAt > listTimeout
	for _, teller := range c.tellers(now.Steady) {
		for _, vm := range teller.list.vms {
			// The lead of a place knows its VMs at first hand. Others may repeat what
			// it told them before.
			if !knowsPlace || vm.Place != c.self.Place {
				addNewer(joined, vm)
			}
		}
	}
	for _, l := range c.links {
		for vm := range l.seen(now.Steady) {
			addNewer(joined, vm)
		}
	}
	for address, l := range c.links {
		// Of a lead that does not answer this VM, others may not know yet.
		isSilent := now.Steady < l.silentUntil && !l.isFollower(now.Steady)
		if isSilent && joined[address].Incarnation == l.vm.Incarnation {
			delete(joined, address)
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
	if c.members.update(c.followers(now.Steady)) {
		c.urgent = true
	}
	if slices.Equal(view, c.view) && c.viewRoster.version > 0 {
		return
	}
	c.viewDue = c.viewDue || serving(view) < serving(c.view)
	c.view = view
	c.viewRoster.update(view)
	c.emit(ViewChanged{})
}

// serving returns the number of VMs that callers may use.
func serving(view []VM) int {
	count := 0
	for _, vm := range view {
		if vm.Ready && !vm.Leaving {
			count++
		}
	}
	return count
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

// compareCandidates orders VMs by what they know, their power and their start: a
// VM that comes back takes no lead over.
func compareCandidates(a, b VM) int {
	switch {
	case a.Seasoned && !b.Seasoned:
		return -1
	case b.Seasoned && !a.Seasoned:
		return 1
	case a.Power != b.Power:
		return cmp.Compare(b.Power, a.Power)
	case a.Incarnation != b.Incarnation:
		return cmp.Compare(a.Incarnation, b.Incarnation)
	}
	return cmp.Compare(rank(a.Peers), rank(b.Peers))
}

// candidates returns the VMs of the view that may lead, the best first.
func (c *Controller) candidates(now ferry.Moment) []VM {
	list := make([]VM, 0, len(c.view))
	for _, vm := range c.view {
		l := c.links[vm.Peers]
		if l != nil && l.askedAt != 0 && now.Steady-l.askedAt > silentAfter {
			l.silentUntil, l.askedAt = now.Steady+silentFor, 0
			l.lentUntil, l.share = ferry.Moment{}, 0
		}
		if !vm.Leaving && (l == nil || now.Steady >= l.silentUntil) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// season lets this VM be preferred as a lead. The VMs of a fleet that starts as
// a whole get there from the first lead down, so that the leads stay.
func (c *Controller) season(now ferry.Moment) {
	if c.self.Seasoned || now.Steady-c.started < youngFor {
		return
	}
	lead, isSelf := c.Lead()
	if l := c.links[lead]; !isSelf && (l == nil || !l.vm.Seasoned) {
		return
	}
	c.self.Seasoned = true
	c.self.Edition++
	c.urgent, c.isDirty = true, true
}

// chooseLeads takes the first VMs of the place as leads, or, on the first VM of
// a place, the first ones of the fleet.
func (c *Controller) chooseLeads(now ferry.Moment) {
	list := c.candidates(now)
	near := make([]VM, 0, len(list))
	for _, vm := range list {
		if vm.Place == c.self.Place {
			near = append(near, vm)
		}
	}
	leadsPlace := len(near) == 0 || near[0].Peers == c.self.Peers
	if leadsPlace && !c.leadsPlace {
		c.leadsPlaceAt = now.Steady
	}
	c.leadsPlace = leadsPlace
	if !leadsPlace {
		list = near
	}
	before, _ := c.Lead()
	former := slices.Clone(c.leads)
	c.leads = c.leads[:0]
	for _, vm := range list[:min(leadCount, len(list))] {
		c.leads = append(c.leads, vm.Peers)
	}
	for _, address := range former {
		if l := c.links[address]; l != nil && !slices.Contains(c.leads, address) {
			// No further beat would get the answer that a former lead owes.
			l.askedAt = 0
		}
	}
	after, isSelf := c.Lead()
	if after == before {
		return
	}
	if isSelf {
		c.leadsFleetAt = now.Steady
	}
	c.emit(Followed{Lead: after})
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
