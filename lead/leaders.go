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
func addressHash(address netip.AddrPort) uint64 {
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
	return cmp.Compare(addressHash(a.Peers), addressHash(b.Peers))
}

// candidates returns the VMs of the view that may lead, the best first.
func (c *Controller) candidates(now ferry.Moment) []VM {
	list := make([]VM, 0, len(c.view))
	for _, vm := range c.view {
		l := c.links[vm.Peers]
		if l != nil && l.unansweredSince != 0 && now.Steady-l.unansweredSince > leaderTimeout {
			l.excludedUntil, l.unansweredSince = now.Steady+leaderBackoff, 0
			l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
		}
		if !vm.Leaving && (l == nil || now.Steady >= l.excludedUntil) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// season lets this VM be preferred as a lead. The VMs of a fleet that starts as
// a whole get there from the first lead down, so that the leads stay.
func (c *Controller) updateEstablished(now ferry.Moment) {
	if c.self.Seasoned || now.Steady-c.started < establishedAfter {
		return
	}
	leader, isSelf := c.Lead()
	if l := c.links[leader]; !isSelf && (l == nil || !l.vm.Seasoned) {
		return
	}
	c.self.Seasoned = true
	c.self.Edition++
	c.isUrgent, c.isViewDirty = true, true
}

// chooseLeaders takes the first VMs of the place as leads, or, on the first VM of
// a place, the first ones of the fleet.
func (c *Controller) chooseLeaders(now ferry.Moment) {
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
	former := slices.Clone(c.leaders)
	c.leaders = c.leaders[:0]
	for _, vm := range list[:min(leaderCount, len(list))] {
		c.leaders = append(c.leaders, vm.Peers)
	}
	for _, address := range former {
		if l := c.links[address]; l != nil && !slices.Contains(c.leaders, address) {
			// No further beat would get the answer that a former lead owes.
			l.unansweredSince = 0
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
