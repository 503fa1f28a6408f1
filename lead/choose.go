package lead

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

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
		if l != nil && l.askedAt != 0 && now.Monotonic-l.askedAt > silentAfter {
			l.silentUntil, l.askedAt = now.Monotonic+silentFor, 0
			l.lentUntil, l.share = ferry.Moment{}, 0
		}
		if !vm.Leaving && (l == nil || now.Monotonic >= l.silentUntil) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// season lets this VM be preferred as a lead. The VMs of a fleet that starts as
// a whole get there from the first lead down, so that the leads stay.
func (c *Controller) season(now ferry.Moment) {
	if c.self.Seasoned || now.Monotonic-c.started < youngFor {
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
		c.leadsPlaceAt = now.Monotonic
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
		c.leadsFleetAt = now.Monotonic
	}
	c.emit(Followed{Lead: after})
}
