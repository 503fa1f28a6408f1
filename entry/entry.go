// Package entry tells callers which addresses of the fleet to use.
//
// # Concept
//
// No balancer stands in front of the fleet. Callers ask any VM for addresses,
// keep the answer for its lifetime and connect there themselves. An answer
// lists live VMs that are neither leaving nor suspected, the nearest first:
// the VM's own place, then its region, then the others. The order inside a
// group follows rendezvous hashing of the caller, so that the loss of a VM
// moves only the callers of that VM, and callers spread evenly.
//
// # Usage
//
//	answer := entry.Choose(view, places, ownPlace, caller)
package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

const (
	// Lifetime is the time for which callers keep an answer.
	Lifetime = 5 * time.Second
	// answerSize is the most addresses in one answer.
	answerSize = 4
)

// ranked is a VM with its place in the order of preference.
type ranked struct {
	vm       ferry.VM
	distance ferry.Distance
	weight   uint64
}

// Choose returns the VMs that a caller should use, in order of preference. It
// returns at most four.
func Choose(vms []ferry.VM, places []ferry.Place, own ferry.PlaceID, caller string) []ferry.VM {
	regions := ferry.NewRegions(places)
	var order []ranked
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		r := ranked{vm: vm, distance: regions.Distance(own, vm.Place)}
		r.weight = xxhash.Sum64String(caller + "|" + string(vm.ID))
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
	})
	chosen := make([]ferry.VM, 0, answerSize)
	for i, r := range order {
		isLast := len(chosen) == answerSize-1
		// The last address is in another place, in case the own place is lost.
		if isLast && r.vm.Place == chosen[0].Place && isOtherPlaceAfter(order[i:], r.vm.Place) {
			continue
		}
		if chosen = append(chosen, r.vm); len(chosen) == answerSize {
			break
		}
	}
	return chosen
}

// isOtherPlaceAfter reports whether any of the VMs is in another place.
func isOtherPlaceAfter(order []ranked, place ferry.PlaceID) bool {
	return slices.ContainsFunc(order, func(r ranked) bool { return r.vm.Place != place })
}
