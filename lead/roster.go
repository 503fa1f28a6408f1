package lead

import (
	"net/netip"
	"slices"
	"time"
)

// roster is a list of VMs with a version for each change, so that other VMs
// get only what they lack. The zero roster is ready to use.
type roster struct {
	version uint64
	entries map[netip.AddrPort]rosterEntry
}

// rosterEntry is a VM, or its removal, and the version that brought it.
type rosterEntry struct {
	vm        VM
	version   uint64
	isRemoved bool
}

// update makes list the present state and reports whether that changed it.
func (r *roster) update(list []VM) bool {
	if r.entries == nil {
		r.entries = map[netip.AddrPort]rosterEntry{}
	}
	before := r.version
	present := make(map[netip.AddrPort]bool, len(list))
	for _, vm := range list {
		present[vm.Peers] = true
		if known, found := r.entries[vm.Peers]; !found || known.isRemoved || known.vm != vm {
			r.version++
			r.entries[vm.Peers] = rosterEntry{vm: vm, version: r.version}
		}
	}
	for address, known := range r.entries {
		if !present[address] && !known.isRemoved {
			r.version++
			r.entries[address] = rosterEntry{vm: known.vm, version: r.version, isRemoved: true}
		}
	}
	return r.version != before
}

// since returns what changed after a version.
func (r *roster) since(after uint64) ListChange {
	if after > r.version {
		after = 0
	}
	change := ListChange{After: after, Version: r.version}
	if after == r.version {
		return change
	}
	for address, known := range r.entries {
		switch {
		case known.version <= after:
		case !known.isRemoved:
			change.VMs = append(change.VMs, known.vm)
		case after > 0:
			change.Removed = append(change.Removed, address)
		}
	}
	slices.SortFunc(change.VMs, func(a, b VM) int { return a.Peers.Compare(b.Peers) })
	slices.SortFunc(change.Removed, netip.AddrPort.Compare)
	return change
}

// vmList is a list of VMs that another VM sent. The zero vmList is empty.
type vmList struct {
	vms     map[netip.AddrPort]VM
	version uint64
	// at is the steady time at which the list was last known to be complete, or
	// zero.
	at time.Duration
}

// apply takes a change in and reports whether it changed the list. A change
// that continues a version which is not here is passed over.
func (l *vmList) apply(now time.Duration, change ListChange) bool {
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
	l.at = now
	return isChanged
}

// isFresh reports whether the list was complete a short while ago.
func (l *vmList) isFresh(now time.Duration) bool {
	return l.at != 0 && now-l.at < listTimeout
}
