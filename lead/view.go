package lead

import (
	"net/netip"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// sizeSample is the size of the view at a monotonic time.
type sizeSample struct {
	size int
	at   time.Duration
}

// sizeWindow holds the largest samples of the last fleetSizeWindow, in
// decreasing size.
type sizeWindow []sizeSample

// add adds a sample and drops expired ones.
func (w *sizeWindow) add(now time.Duration, size int) {
	for len(*w) > 0 && (*w)[len(*w)-1].size <= size {
		*w = (*w)[:len(*w)-1]
	}
	*w = append(*w, sizeSample{size: size, at: now})
	for now-(*w)[0].at > fleetSizeWindow {
		*w = (*w)[1:]
	}
}

// largest returns the largest size in the window.
func (w sizeWindow) largest() int {
	if len(w) == 0 {
		return 0
	}
	return w[0].size
}

// followers returns the VMs whose heartbeats this VM receives.
func (c *Controller) followers(now time.Duration) []VM {
	var list []VM
	for _, l := range c.sortedLinks() {
		if l.isFollower(now) {
			list = append(list, l.vm)
		}
	}
	return list
}

// viewSources returns the links whose views are merged here: that of the primary
// leader or, if its view has expired, the newest one. The fleet leader merges all
// views for listTimeout after it became that, then only those of VMs that do not
// follow it, such as those of another fleet that it has to join: VMs that merged
// each other's views would never remove a lost VM.
func (c *Controller) viewSources(now time.Duration) []*link {
	leader, isSelf := c.Leader()
	if l := c.links[leader]; !isSelf && l != nil && l.view.isFresh(now) {
		return []*link{l}
	}
	var fresh []*link
	var newest *link
	for _, l := range c.sortedLinks() {
		if !l.view.isFresh(now) {
			continue
		}
		if newest == nil || l.view.completeAt > newest.view.completeAt {
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

// updateView merges the views of the sources, the followers and their followers.
func (c *Controller) updateView(now ferry.Moment) {
	merged := map[netip.AddrPort]VM{c.self.Peers: c.self}
	hasOwnPlaceView := c.leadsPlace && now.Monotonic-c.leadsPlaceAt > listTimeout
	sources := c.viewSources(now.Monotonic)
	for _, source := range sources {
		for _, vm := range source.view.vms {
			// A place leader has the VMs of its place from their heartbeats. Other
			// views may repeat what it sent before.
			if !hasOwnPlaceView || vm.Place != c.self.Place {
				addNewer(merged, vm)
			}
		}
	}
	for _, l := range c.sortedLinks() {
		for vm := range l.reported(now.Monotonic) {
			addNewer(merged, vm)
		}
	}
	for address, l := range c.sortedLinks() {
		// Other VMs may still list a leader that does not reply to this VM.
		isExcluded := now.Monotonic < l.excludedUntil && !l.isFollower(now.Monotonic)
		if isExcluded && merged[address].Incarnation == l.vm.Incarnation {
			delete(merged, address)
		}
	}
	merged[c.self.Peers] = c.self
	view := make([]VM, 0, len(merged))
	for _, vm := range merged {
		view = append(view, vm)
		c.lastSeen[vm.Peers] = now.Monotonic
	}
	slices.SortFunc(view, func(a, b VM) int { return a.Peers.Compare(b.Peers) })
	c.expireLastSeen(now.Monotonic)
	isChanged := !slices.Equal(view, c.view)
	isLostLearned := c.updateLost(now.Monotonic, sources, merged, isChanged)
	c.fleetSizes.add(now.Monotonic, len(view)+len(c.lost))
	if c.members.update(c.followers(now.Monotonic), nil) {
		c.isUrgent = true
	}
	if !isChanged && !isLostLearned && c.viewList.version > 0 {
		return
	}
	c.isViewPushDue = c.isViewPushDue || servingCount(view) < servingCount(c.view)
	c.view = view
	c.viewList.update(view, c.lost)
	c.emit(ViewChanged{})
}

// servingCount returns the number of VMs that callers may use.
func servingCount(view []VM) int {
	count := 0
	for _, vm := range view {
		if vm.Ready && !vm.Leaving {
			count++
		}
	}
	return count
}

// addNewer adds vm unless merged holds a later record of it.
func addNewer(merged map[netip.AddrPort]VM, vm VM) {
	if other, found := merged[vm.Peers]; !found || vm.isNewer(other) {
		merged[vm.Peers] = vm
	}
}

// expireLastSeen drops VMs that left the view more than contactRetention ago.
func (c *Controller) expireLastSeen(now time.Duration) {
	for address, at := range c.lastSeen {
		if now-at > contactRetention {
			delete(c.lastSeen, address)
			c.removeLink(address)
		}
	}
}
