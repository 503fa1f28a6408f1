// Package node runs one VM of a fleet whose VMs find each other through seeds.
//
// # Concept
//
// One goroutine, the loop, owns the lead.Controller and the grant.Issuer and
// passes events to them: datagrams, results of calls to the store, evidence and
// ticks. It publishes the state that requests read: the configuration, the
// targets, the view of the fleet and the proof of freshness. A request waits for
// the loop only when it needs a token that is not cached.
//
// # Usage
//
//	n := node.New(node.Dependencies{...})
//	err := n.Run(ctx) // returns when ctx ends or a drain is complete
package node
