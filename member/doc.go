// Package member keeps this VM's view of the other VMs.
//
// # Concept
//
// The platform's list contains the VMs that should exist, with a delay.
// Heartbeats show which of them can be reached now. A VM is up only while its
// heartbeats arrive and confirm that it receives those of this VM, because
// network partitions are often one-way: each heartbeat echoes the last sequence
// number received from the other side.
//
// VMs don't agree on a common view. No lease depends on a view: it decides only
// which VMs are asked for shards and which addresses callers receive.
//
// # Usage
//
//	controller := member.NewController(self, incarnation)
//	for _, action := range controller.Step(now, member.TickEvent{}) {
//		switch action := action.(type) {
//		case member.HeartbeatAction:
//			// send a heartbeat to action.To
//		case member.ViewAction:
//			// use action.View
//		}
//	}
package member
