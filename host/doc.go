// Package host runs the controllers of one VM and performs their input and output.
//
// # Concept
//
// Three loops own the state of a VM, each in one goroutine with a bounded
// queue of typed events: the control loop (membership and configuration), the
// allowance loop (share leases and grants) and the detection loop (health scores
// and ejections). The loops publish immutable snapshots that the request path
// reads. Messages from other VMs are routed to the loops by their type.
//
// # Usage
//
//	h, err := host.New(settings, clock, logger, store, dialer, metrics)
//	err = h.Run(ctx)
package host
