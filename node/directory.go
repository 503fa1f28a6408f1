package node

import (
	"cmp"
	"net/netip"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead"
)

const (
	// maxAddresses bounds the addresses returned to a caller: callers use no more.
	maxAddresses = 64
	// minPlaceAddresses is the number of addresses in the caller's place that suffices.
	minPlaceAddresses = 3
)

// Directory chooses addresses for callers from the view of the fleet.
type Directory struct {
	regions  ferry.Regions
	lifetime time.Duration
	view     atomic.Pointer[[]lead.VM]
}

// SetView replaces the view with a copy of the given one.
func (d *Directory) SetView(view []lead.VM) {
	copied := append([]lead.VM(nil), view...)
	d.view.Store(&copied)
}

// Addresses implements platform.Directory.
func (d *Directory) Addresses(place ferry.PlaceID, region ferry.RegionID) ([]netip.AddrPort, time.Duration) {
	view := d.view.Load()
	if view == nil {
		return nil, 0
	}
	return Nearest(*view, d.regions, place, region), d.lifetime
}

// Nearest returns the addresses of ready VMs near the caller: those of its place,
// with those of its region if its place has too few, or all others if there is
// none of either. It never returns a VM that is leaving. A place whose targets are
// evacuated keeps its VMs: they connect to the targets of other places.
func Nearest(view []lead.VM, regions ferry.Regions, place ferry.PlaceID, region ferry.RegionID) []netip.AddrPort {
	region = cmp.Or(region, regions[place])
	var inPlace, inRegion, others []netip.AddrPort
	for _, vm := range view {
		if !vm.Ready || vm.Leaving {
			continue
		}
		switch {
		case vm.Place == place:
			inPlace = append(inPlace, vm.Callers)
		case regions[vm.Place] == region && region != "":
			inRegion = append(inRegion, vm.Callers)
		default:
			others = append(others, vm.Callers)
		}
	}
	addresses := inPlace
	if len(addresses) < minPlaceAddresses {
		addresses = append(addresses, inRegion...)
	}
	if len(addresses) == 0 {
		addresses = others
	}
	return addresses[:min(maxAddresses, len(addresses))]
}
