package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

func fleet(perPlace int) ([]ferry.VM, []ferry.Place) {
	var vms []ferry.VM
	var places []ferry.Place
	for i := range 4 {
		place := ferry.PlaceID(fmt.Sprintf("p%d", i))
		places = append(places, ferry.Place{ID: place, Region: ferry.RegionID(fmt.Sprint(i / 2))})
		for j := range perPlace {
			vms = append(vms, ferry.VM{ID: ferry.VMID(fmt.Sprintf("%s-%d", place, j)), Place: place})
		}
	}
	return vms, places
}

func TestNearestFirstAndLastInOtherPlace(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(6)
	selected := Choose(vms, places, "p0", "caller")
	is.Equal(len(selected), maxAddresses)
	for _, vm := range selected[:maxAddresses-1] {
		is.Equal(vm.Place, ferry.PlaceID("p0"))
	}
	is.Equal(selected[maxAddresses-1].Place, ferry.PlaceID("p1")) // another place of the same region, in case p0 fails
	vms, places = fleet(1)
	selected = Choose(vms, places, "p3", "caller")
	is.Equal(selected[0].Place, ferry.PlaceID("p3"))
	is.Equal(selected[1].Place, ferry.PlaceID("p2"))
}

func TestLeavingVMsAreNotSelected(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(1)
	vms[0].Leaving = true
	for _, vm := range Choose(vms, places, "p0", "caller") {
		is.True(vm.ID != vms[0].ID)
	}
	is.Equal(len(Choose(nil, places, "p0", "caller")), 0)
}

// TestLossMovesFewCallers removes one VM. Only its callers move, and they are
// distributed over the other VMs.
func TestLossMovesFewCallers(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(6)
	newVMs := map[ferry.VMID]int{}
	movedCallers := 0
	for i := range 600 {
		caller := fmt.Sprint(i)
		before := Choose(vms, places, "p0", caller)[0]
		after := Choose(vms[1:], places, "p0", caller)[0]
		if before.ID == vms[0].ID {
			movedCallers++
			newVMs[after.ID]++
		} else {
			is.Equal(before.ID, after.ID)
		}
	}
	is.True(movedCallers > 60 && movedCallers < 140) // one sixth
	is.Equal(len(newVMs), 5)
}
