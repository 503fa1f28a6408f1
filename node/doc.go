// Package node runs one VM of a fleet that finds its VMs through seeds.
//
// # Concept
//
// One goroutine owns the lead.Controller and the grant.Issuer and feeds them
// events: datagrams, ends of calls to the store, evidence, ticks. It publishes
// what requests read: the configuration, the targets, the view and the proof of
// freshness. Requests never wait for it but when they ask for a token.
//
// # Usage
//
//	n := node.New(node.Dependencies{...})
//	err := n.Run(ctx)   // until Drain has ended
package node
