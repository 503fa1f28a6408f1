// Package crowd tests a VM against callers that nobody controls, and against targets, a
// store and other VMs that send without end.
//
// # Concept
//
// Each test starts the real process of a VM with little memory and few descriptors,
// a store and targets on loopback addresses, and a small crowd of callers. One of them
// sends one form of hostile traffic. The tests check only what doesn't depend on the speed
// of the machine: that the process lives, that its peak resident memory and its
// descriptors stay within the VM's limits, and that one ordinary request is answered
// while the crowd's connections are still open. The package has no other code.
package crowd
