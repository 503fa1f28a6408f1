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

func TestNearestFirstAndOneElsewhere(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(6)
	chosen := Choose(vms, places, "p0", "caller")
	is.Equal(len(chosen), answerSize)
	for _, vm := range chosen[:answerSize-1] {
		is.Equal(vm.Place, ferry.PlaceID("p0"))
	}
	is.Equal(chosen[answerSize-1].Place, ferry.PlaceID("p1")) // the same region, in case the place is lost
	vms, places = fleet(1)
	chosen = Choose(vms, places, "p3", "caller")
	is.Equal(chosen[0].Place, ferry.PlaceID("p3"))
	is.Equal(chosen[1].Place, ferry.PlaceID("p2"))
}

func TestLeavingVMsAreNotNamed(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(1)
	vms[0].Leaving = true
	for _, vm := range Choose(vms, places, "p0", "caller") {
		is.True(vm.ID != vms[0].ID)
	}
	is.Equal(len(Choose(nil, places, "p0", "caller")), 0)
}

// TestLossMovesFewCallers takes one VM away. Only its callers move, and they
// spread over the others.
func TestLossMovesFewCallers(t *testing.T) {
	is := is.New(t)
	vms, places := fleet(6)
	moved := map[ferry.VMID]int{}
	count := 0
	for i := range 600 {
		caller := fmt.Sprint(i)
		before := Choose(vms, places, "p0", caller)[0]
		after := Choose(vms[1:], places, "p0", caller)[0]
		if before.ID == vms[0].ID {
			count++
			moved[after.ID]++
		} else {
			is.Equal(before.ID, after.ID)
		}
	}
	is.True(count > 60 && count < 140) // one sixth
	is.Equal(len(moved), 5)
}
