package lead

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// roster is a list of VMs with a version for each change, so that other VMs
// get only what they lack. The zero roster is ready to use.
type versionedList struct {
	version uint64
	entries map[netip.AddrPort]listEntry
}

// listEntry is a VM, or its removal, and the version that brought it.
type listEntry struct {
	vm        VM
	version   uint64
	isRemoved bool
}

// update makes list the present state and reports whether that changed it.
func (r *versionedList) update(list []VM) bool {
	if r.entries == nil {
		r.entries = map[netip.AddrPort]listEntry{}
	}
	before := r.version
	present := make(map[netip.AddrPort]bool, len(list))
	for _, vm := range list {
		present[vm.Peers] = true
		if known, found := r.entries[vm.Peers]; !found || known.isRemoved || known.vm != vm {
			r.version++
			r.entries[vm.Peers] = listEntry{vm: vm, version: r.version}
		}
	}
	for address, known := range r.entries {
		if !present[address] && !known.isRemoved {
			r.version++
			r.entries[address] = listEntry{vm: known.vm, version: r.version, isRemoved: true}
		}
	}
	return r.version != before
}

// maxListedVMs is the number of VMs that one message names at most: about 4 KB, so
// that a lost fragment is rare and no datagram is too long.
const maxListedVMs = 64

// since returns what changed after a version, the oldest changes first and
// maxListedVMs of them at most.
func (r *versionedList) since(after uint64) ListChange {
	if after > r.version {
		after = 0
	}
	change := ListChange{After: after, Version: r.version}
	if after == r.version {
		return change
	}
	var changed []listEntry
	for _, known := range r.entries {
		if known.version > after && (after > 0 || !known.isRemoved) {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b listEntry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) > maxListedVMs {
		changed = changed[:maxListedVMs]
		change.Version, change.IsPartial = changed[maxListedVMs-1].version, true
	}
	for _, known := range changed {
		if known.isRemoved {
			change.Removed = append(change.Removed, known.vm.Peers)
		} else {
			change.VMs = append(change.VMs, known.vm)
		}
	}
	return change
}

// receivedList is a list of VMs that another VM sent. The zero receivedList is empty.
type receivedList struct {
	vms     map[netip.AddrPort]VM
	version uint64
	// at is the steady time at which the list was last known to be complete, or
	// zero.
	at time.Duration
}

// apply takes a change in and reports whether it changed the list. A change
// that continues a version which is not here is passed over.
func (l *receivedList) apply(now time.Duration, change ListChange) bool {
	isChanged := len(change.VMs)+len(change.Removed) > 0
	switch {
	case change.After == 0:
		isChanged = isChanged || len(l.vms) > 0
		l.vms = make(map[netip.AddrPort]VM, len(change.VMs))
	case change.After != l.version:
		return false
	}
	for _, vm := range change.VMs {
		l.vms[vm.Peers] = vm
	}
	for _, address := range change.Removed {
		delete(l.vms, address)
	}
	l.version = change.Version
	if !change.IsPartial {
		l.at = now
	}
	return isChanged
}

// isFresh reports whether the list was complete a short while ago.
func (l *receivedList) isFresh(now time.Duration) bool {
	return l.at != 0 && now-l.at < listTimeout
}
