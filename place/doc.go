// Package place chooses the target of each attempt.
//
// # Concept
//
// Every target has an expected cost, a time: the wait for a slot, the
// distance, the extra time on a cold target, and the probability that the
// target is unhealthy times what a failure costs the caller. A failure costs
// little where the request may be sent again, and much where it may not. The
// target of lowest cost is chosen; jitter spreads requests over targets of
// equal cost.
//
// The package is made for this load: a few requests per second on each of many
// VMs, which have only the targets' reports about each other's requests;
// targets that are busy in one place (data centre) and idle in others; targets
// that fail for some seconds, for all VMs or for some.
//
// The probability that a target is unhealthy is kept as log odds. Those of this
// VM and those pooled in the fleet (package lead) are kept apart, and the
// higher value is used, so that the good results of other VMs don't hide a path
// that fails for this VM only.
//
// A target that the place leader asks for (package lead) gets the next request that
// can be sent again, or any request if it is sound, once. So healthy targets stay in
// use at low rates, and suspects are found healthy again.
//
// An attempt names its homes, the regions that may serve it; no other target is
// considered, and without one there the request is refused. A place that operators
// evacuate is left evenly over the time that their bound allows: an increasing part of
// the choices adds a cost to its targets, and at the end nobody chooses them. See
// docs/design/homes.md.
//
// A cold target of a service that states a rate for cold targets is a candidate only
// where this VM holds a credit for it (package lead), and the request uses the credit up.
// Whether a target is cold is what its newest entry states, counted from the arrival of
// that entry, or assumed after an evacuation.
//
// Settings (EvenLoad) let the VMs of a place even the load of its targets: each VM owns a
// part of the slots, computed alike by all of them, and uses it first; a target without a
// recent report counts with the average use of its place; a new connection costs
// something. See docs/design/even-load.md.
//
// # Usage
//
//	chooser.Update(now, targets)
//	pick, ok := chooser.Choose(now, place.Attempt{Service: "orders"})
//	// send the request
//	chooser.Release(now, pick, place.Report{...})
package place
