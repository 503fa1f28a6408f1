package lead

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// versionedList is a list of VMs with a version for each change, so that other
// VMs receive only the changes that they lack. The zero versionedList is ready
// to use.
type versionedList struct {
	version uint64
	entries map[netip.AddrPort]listEntry
}

// listEntry is a VM, or its removal, and the version of that change.
type listEntry struct {
	vm        VM
	version   uint64
	isRemoved bool
}

// update replaces the list and reports whether that changed it. It adds the removal of
// lost VMs that the list never had.
func (l *versionedList) update(list []VM, lost lostVMs) bool {
	if l.entries == nil {
		l.entries = map[netip.AddrPort]listEntry{}
	}
	before := l.version
	isPresent := make(map[netip.AddrPort]bool, len(list))
	for _, vm := range list {
		isPresent[vm.Peers] = true
		if entry, found := l.entries[vm.Peers]; !found || entry.isRemoved || entry.vm != vm {
			l.version++
			l.entries[vm.Peers] = listEntry{vm: vm, version: l.version}
		}
	}
	var removed []netip.AddrPort
	for address, entry := range l.entries {
		if !isPresent[address] && !entry.isRemoved {
			removed = append(removed, address)
		}
	}
	for address := range lost {
		if _, found := l.entries[address]; !found {
			removed = append(removed, address)
		}
	}
	slices.SortFunc(removed, netip.AddrPort.Compare)
	for _, address := range removed {
		l.version++
		l.entries[address] = listEntry{vm: VM{Peers: address}, version: l.version, isRemoved: true}
	}
	return l.version != before
}

// maxListedVMs is the largest number of VMs in one message, about 4 KB, so that
// a lost fragment is rare and no datagram is too long.
const maxListedVMs = 64

// since returns the changes after a version, the oldest first and at most
// maxListedVMs of them. An unknown version stands for zero, after which only the
// removals of lost VMs matter.
func (l *versionedList) since(now time.Duration, after uint64, lost lostVMs) ListChange {
	if after > l.version {
		after = 0
	}
	change := ListChange{After: after, Version: l.version}
	if after == l.version {
		return change
	}
	var changed []listEntry
	for address, entry := range l.entries {
		_, isLost := lost[address]
		if entry.version > after && (after > 0 || !entry.isRemoved || isLost) {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b listEntry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) > maxListedVMs {
		changed = changed[:maxListedVMs]
		change.Version, change.IsPartial = changed[maxListedVMs-1].version, true
	}
	for _, entry := range changed {
		if entry.isRemoved {
			at, isLost := lost[entry.vm.Peers]
			removal := Removal{Peers: entry.vm.Peers, IsLost: isLost}
			if isLost {
				removal.LostFor = now - at
			}
			change.Removed = append(change.Removed, removal)
		} else {
			change.VMs = append(change.VMs, entry.vm)
		}
	}
	return change
}

// receivedList is a list of VMs that another VM sent. The zero receivedList is
// empty.
type receivedList struct {
	vms map[netip.AddrPort]VM
	// lost holds the removed VMs that may still run, and left the others.
	lost    lostVMs
	left    map[netip.AddrPort]bool
	version uint64
	// completeAt is the monotonic time at which the list was last complete, or zero.
	completeAt time.Duration
}

// apply applies a change and reports whether it changed the list. A change that
// continues another version than the present one is ignored.
func (l *receivedList) apply(now time.Duration, change ListChange) bool {
	isChanged := len(change.VMs)+len(change.Removed) > 0
	switch {
	case change.After == 0:
		isChanged = isChanged || len(l.vms) > 0
		l.vms = make(map[netip.AddrPort]VM, len(change.VMs))
		l.lost, l.left = lostVMs{}, map[netip.AddrPort]bool{}
	case change.After != l.version:
		return false
	}
	for _, vm := range change.VMs {
		l.vms[vm.Peers] = vm
		delete(l.lost, vm.Peers)
		delete(l.left, vm.Peers)
	}
	for _, removal := range change.Removed {
		delete(l.vms, removal.Peers)
		delete(l.lost, removal.Peers)
		delete(l.left, removal.Peers)
		if removal.IsLost {
			l.lost[removal.Peers] = now - removal.LostFor
		} else {
			l.left[removal.Peers] = true
		}
	}
	l.version = change.Version
	if !change.IsPartial {
		l.completeAt = now
	}
	return isChanged
}

// isFresh reports whether the list was complete within listTimeout.
func (l *receivedList) isFresh(now time.Duration) bool {
	return l.completeAt != 0 && now-l.completeAt < listTimeout
}
