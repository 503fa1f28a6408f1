// Package route matches requests to routes and chooses targets for them.
//
// # Concept
//
// A Table finds the route with the longest matching path prefix. Prefixes match
// whole path segments: the prefix /a matches /a and /a/b, not /ab.
//
// A Picker chooses among the targets of a service. It prefers the VM's own
// place (data centre), then its region, then other regions, because links
// between places are slow and paid by volume. Within each distance it compares
// two random targets and chooses the less loaded one. It continues with the
// next distance only when every target of the nearer one is full.
//
// # Usage
//
//	picker := route.NewPicker(place)
//	picker.Apply(inventory)
//	pick, err := picker.Choose(now, ferry.Choice{Service: "advice"})
//	// send the request
//	picker.Release(now, pick, result)
package route
