// Package member keeps this VM's view of the other VMs.
//
// # Concept
//
// The platform's list says which VMs should exist, late. Heartbeats say which
// of them can be reached now. A VM is up only while it is heard and while it
// confirms that it hears this VM, because network partitions are often
// one-way: each heartbeat echoes the last sequence number received from the
// other side.
//
// A view is never agreed upon. No right depends on it: it decides only where
// to look for a holder and which VMs callers are told about.
//
// # Usage
//
//	controller := member.NewController(self, incarnation)
//	for _, action := range controller.Step(now, member.TickEvent{}) {
//		switch action := action.(type) {
//		case member.BeatAction:
//			// send a heartbeat to action.To
//		case member.ViewAction:
//			// use action.View
//		}
//	}
package member
