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

// addressHash orders VMs in the same way on every VM.
func addressHash(address netip.AddrPort) uint64 {
	encoded := address.Addr().As16()
	var key [18]byte
	copy(key[:], encoded[:])
	binary.LittleEndian.PutUint16(key[16:], address.Port())
	return xxhash.Sum64(key[:])
}

// compareCandidates orders VMs by Established, Millicores and age. A VM that
// restarts does not take leadership from an equal one.
func compareCandidates(a, b VM) int {
	switch {
	case a.Established && !b.Established:
		return -1
	case b.Established && !a.Established:
		return 1
	case a.Millicores != b.Millicores:
		return cmp.Compare(b.Millicores, a.Millicores)
	case a.Incarnation != b.Incarnation:
		return cmp.Compare(a.Incarnation, b.Incarnation)
	}
	return cmp.Compare(addressHash(a.Peers), addressHash(b.Peers))
}

// candidates returns the VMs of the view that may lead, the preferred first. It
// drops the leases of VMs that do not reply.
func (c *Controller) candidates(now ferry.Moment) []VM {
	list := make([]VM, 0, len(c.view))
	for _, vm := range c.view {
		l := c.links[vm.Peers]
		if l != nil && l.unansweredSince != 0 && now.Monotonic-l.unansweredSince > c.replyTimeout(vm.Peers) {
			l.excludedUntil, l.unansweredSince = now.Monotonic+leaderBackoff, 0
			l.leasedUntil, l.leasedShare = ferry.Moment{}, 0
		}
		if !vm.Leaving && (l == nil || now.Monotonic >= l.excludedUntil) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// replyTimeout returns the wait for a reply after which a leader is replaced. It
// covers one lost message to a secondary leader too, whose heartbeats are rarer.
func (c *Controller) replyTimeout(leader netip.AddrPort) time.Duration {
	if len(c.leaders) > 1 && c.leaders[0] != leader {
		return leaderTimeout + secondaryInterval - primaryInterval
	}
	return leaderTimeout
}

// updateEstablished marks this VM as established when it is due. When a whole
// fleet starts, followers become established after their leaders, so that the
// leaders stay.
func (c *Controller) updateEstablished(now ferry.Moment) {
	if c.self.Established || now.Monotonic-c.started < establishedAfter {
		return
	}
	leader, isSelf := c.Leader()
	if l := c.links[leader]; !isSelf && (l == nil || !l.vm.Established) {
		return
	}
	c.self.Established = true
	c.self.StatusVersion++
	c.isUrgent, c.isViewDirty = true, true
}

// chooseLeaders selects the first candidates of the place or, on the place
// leader, of the fleet.
func (c *Controller) chooseLeaders(now ferry.Moment) {
	list := c.candidates(now)
	samePlace := make([]VM, 0, len(list))
	for _, vm := range list {
		if vm.Place == c.self.Place {
			samePlace = append(samePlace, vm)
		}
	}
	leadsPlace := len(samePlace) == 0 || samePlace[0].Peers == c.self.Peers
	if leadsPlace && !c.leadsPlace {
		c.leadsPlaceAt = now.Monotonic
	}
	c.leadsPlace = leadsPlace
	if !leadsPlace {
		list = samePlace
	}
	previous, _ := c.Leader()
	former := slices.Clone(c.leaders)
	c.leaders = c.leaders[:0]
	for _, vm := range list[:min(leaderCount, len(list))] {
		c.leaders = append(c.leaders, vm.Peers)
	}
	for _, address := range former {
		if l := c.links[address]; l != nil && !slices.Contains(c.leaders, address) {
			// A former leader gets no heartbeat, so its missing reply does not count.
			l.unansweredSince = 0
		}
	}
	current, isSelf := c.Leader()
	if current == previous {
		return
	}
	if isSelf {
		c.leadsFleetAt = now.Monotonic
	} else {
		// Only a heartbeat leases this VM's share to the new leader and makes it send
		// evidence.
		c.linkTo(current).nextHeartbeat = now.Monotonic
	}
	c.emit(LeaderChanged{Leader: current})
}
