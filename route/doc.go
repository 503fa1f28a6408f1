// Package route matches requests to routes and chooses targets for them.
//
// # Concept
//
// A Table finds the route with the longest matching path prefix. Prefixes end
// at segment borders: the prefix /a matches /a and /a/b, not /ab.
//
// A Picker chooses among the targets of a service. It prefers the VM's own
// place, then its region, then other regions, because links between places
// are slow and paid by volume. Inside one of these groups it compares two
// random targets and takes the less loaded one. It goes on to the next group
// only when every target of the group is saturated.
//
// # Usage
//
//	picker := route.NewPicker(place)
//	picker.Apply(inventory)
//	pick, err := picker.Choose(now, ferry.Choice{Service: "advice"})
//	// send the request
//	picker.Release(now, pick, result)
package route
