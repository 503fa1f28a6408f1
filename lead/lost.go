package lead

import (
	"net/netip"
	"time"
)

// lostRetention is how long a lost VM counts in the fleet size: much longer than the
// operators' partitions, which last minutes. docs/design/allowance-unknown-fleet.md has
// what it costs.
const lostRetention = 30 * time.Minute

// lostVMs holds the VMs that left the view without having said that they leave, and
// the monotonic time of that. Beyond a partition such a VM keeps its share of every
// allowance, so it goes on counting in the fleet size.
type lostVMs map[netip.AddrPort]time.Duration

// updateLost adds the VMs that are in the view, but not in the next one, and those that
// the sources of the view lost, and drops those that are back or have expired. It
// reports whether a VM was learned from a source.
func (c *Controller) updateLost(now time.Duration, sources []*link, next map[netip.AddrPort]VM, isChanged bool) bool {
	if isChanged {
		for _, vm := range c.view {
			if _, found := next[vm.Peers]; !found && !vm.Leaving && !haveLeft(sources, vm.Peers) {
				c.lost[vm.Peers] = now
			}
		}
	}
	isLearned := false
	for _, source := range sources {
		for address, at := range source.view.lost {
			_, isInView := next[address]
			_, isKnown := c.lost[address]
			if !isInView && !isKnown && now-at < lostRetention {
				// The earliest time is kept, so that VMs never prolong each other's.
				c.lost[address], isLearned = at, true
			}
		}
	}
	for address, at := range c.lost {
		if _, found := next[address]; found || now-at >= lostRetention {
			delete(c.lost, address)
		}
	}
	return isLearned
}

// haveLeft reports whether a source knows that a VM said that it leaves.
func haveLeft(sources []*link, address netip.AddrPort) bool {
	for _, source := range sources {
		if source.view.left[address] {
			return true
		}
	}
	return false
}
