package node

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead"
)

// While the region of a caller has one ready VM, no answer names a VM of another
// region, also when the caller states only its place. Whether the targets of a place
// are evacuated makes no difference: the directory knows VMs only.
func TestNearestStaysInRegion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	regions := ferry.Regions{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	var view []lead.VM
	places := map[netip.AddrPort]ferry.PlaceID{}
	for i := range 200 {
		place := []ferry.PlaceID{"a1", "a2", "b1", "c1"}[i%4]
		callers := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		places[callers] = place
		view = append(view, lead.VM{Callers: callers, Place: place, Ready: true})
	}
	for ready := 50; ready >= 0; ready-- {
		inRegion := 0
		for i := range view {
			if isInRegion := regions[view[i].Place] == "a"; isInRegion {
				view[i].Ready = inRegion < ready
				inRegion++
			}
		}
		for _, caller := range []struct {
			place  ferry.PlaceID
			region ferry.RegionID
		}{{"a1", "a"}, {"a2", "a"}, {"", "a"}, {"a2", ""}, {"unknown", "a"}} {
			addresses := Nearest(view, regions, caller.place, caller.region)
			is.True(len(addresses) > 0)
			for _, address := range addresses {
				is.Equal(regions[places[address]] == "a", ready > 0)
			}
		}
	}
}
