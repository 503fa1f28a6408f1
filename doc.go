// Package ferry holds the domain types of monsoonferry and the interfaces that
// its other packages implement.
//
// # Concept
//
// A fleet is a set of equal VMs. Each VM runs one process, accepts requests
// from callers and forwards each request to a target. The types here describe
// what operators publish (Inventory), where the processes run (VM, Place) and
// what happens to one request (Exchange, RefusalError, Outcome).
//
// Behaviour that varies is described by a small interface: a Filter is one
// step of the request path, a Controller is one state machine of the control
// path, a Store reads what the platform publishes, a Limiter enforces
// allowances and a Balancer chooses targets.
//
// A Controller reads no clock, no socket and no package variable. The host
// process passes the current Moment and a typed event, and carries out the
// typed actions that Step returns. A test can therefore replay any failure as
// an ordered list of events.
//
// # Usage
//
// A host process owns each controller and feeds it:
//
//	now := clock.Now()
//	for _, action := range controller.Step(now, event) {
//		perform(action)
//	}
//
// The request path reads immutable snapshots that controllers publish, and
// never takes a lock that a controller holds.
package ferry
