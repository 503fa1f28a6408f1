package lead

import (
	"net/netip"
	"slices"
	"time"

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
	knowsPlace := c.leadsPlace && now.Monotonic-c.leadsPlaceAt > listTimeout
	for _, teller := range c.tellers(now.Monotonic) {
		for _, vm := range teller.list.vms {
			// The lead of a place knows its VMs at first hand. Others may repeat what
			// it told them before.
			if !knowsPlace || vm.Place != c.self.Place {
				addNewer(joined, vm)
			}
		}
	}
	for _, l := range c.links {
		for vm := range l.seen(now.Monotonic) {
			addNewer(joined, vm)
		}
	}
	for address, l := range c.links {
		// Of a lead that does not answer this VM, others may not know yet.
		isSilent := now.Monotonic < l.silentUntil && !l.isFollower(now.Monotonic)
		if isSilent && joined[address].Incarnation == l.vm.Incarnation {
			delete(joined, address)
		}
	}
	joined[c.self.Peers] = c.self
	view := make([]VM, 0, len(joined))
	for _, vm := range joined {
		view = append(view, vm)
		c.known[vm.Peers] = now.Monotonic
	}
	slices.SortFunc(view, func(a, b VM) int { return a.Peers.Compare(b.Peers) })
	c.forgetKnown(now.Monotonic)
	c.peaks.add(now.Monotonic, len(view))
	if c.members.update(c.followers(now.Monotonic)) {
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
