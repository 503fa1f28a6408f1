// Package entry selects the VMs whose addresses a caller should use.
//
// # Concept
//
// There is no load balancer in front of the fleet. Callers request addresses
// from any VM, keep the response for its lifetime and connect to the addresses
// themselves. A response lists VMs that are up, ready and not leaving, the
// nearest first: those in the place (data centre) of the responding VM, then in
// its region, then the others. The order inside a group follows rendezvous
// hashing of the caller, so that the loss of a VM moves only the callers of that
// VM, and callers are distributed evenly.
//
// # Usage
//
//	vms := entry.Choose(view.Serving(), places, ownPlace, caller)
package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

const (
	// Lifetime is the time for which callers keep a response.
	Lifetime = 5 * time.Second
	// maxAddresses is the maximum number of addresses in one response.
	maxAddresses = 4
)

// ranked is a VM with its sort keys: lower distance first, then higher weight.
type ranked struct {
	vm       ferry.VM
	distance ferry.Distance
	weight   uint64
}

// Choose returns the VMs that a caller should use, in order of preference, at
// most maxAddresses. ownPlace is the place of the responding VM.
func Choose(vms []ferry.VM, places []ferry.Place, ownPlace ferry.PlaceID, caller string) []ferry.VM {
	regions := ferry.NewRegions(places)
	var candidates []ranked
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		r := ranked{vm: vm, distance: regions.Distance(ownPlace, vm.Place)}
		r.weight = xxhash.Sum64String(caller + "|" + string(vm.ID))
		candidates = append(candidates, r)
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight))
	})
	selected := make([]ferry.VM, 0, maxAddresses)
	for i, r := range candidates {
		isLast := len(selected) == maxAddresses-1
		// The last address is in another place, in case the first place fails.
		if isLast && r.vm.Place == selected[0].Place && hasOtherPlace(candidates[i:], r.vm.Place) {
			continue
		}
		if selected = append(selected, r.vm); len(selected) == maxAddresses {
			break
		}
	}
	return selected
}

// hasOtherPlace reports whether any of the candidates is in another place.
func hasOtherPlace(candidates []ranked, place ferry.PlaceID) bool {
	return slices.ContainsFunc(candidates, func(r ranked) bool { return r.vm.Place != place })
}
