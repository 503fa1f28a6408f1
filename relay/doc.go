// Package relay forwards requests to the targets of a fleet whose VMs find each
// other through seeds.
//
// # Concept
//
// A request passes a chain of filters: the route, the client account, the body,
// the allowance. Forwarder, the end of the chain, sends attempts while the
// configuration is fresh enough. Each attempt ends with what is known about the
// execution of the request (ferry.Outcome) and with evidence about its target
// (ferry.Verdict).
//
// Idempotent requests are sent again after any failure, and when no response
// comes in time, within the retry budget of the service. All others are sent
// again only when the last attempt certainly did not run. Request bodies up to
// a bound are read before the first attempt, and responses up to a bound before
// the caller gets the first byte, so that a truncated response can be replaced.
//
// Before its first attempt, and after a target shed it because all slots were taken, a
// request passes the room of its service (package room): while targets are full it may
// wait or be refused.
//
// The package keeps its own connections to targets, because package http may
// retry a request by itself and does not report whether a byte was sent. A
// connection carries each request ID once, so that a response with that ID is of
// the last sending, whatever responses the target repeats.
//
// # Usage
//
//	chain := ferry.Chain(relay.NewForwarder(...), filters...)
//	http.Serve(listener, relay.NewServer(chain, ...))
package relay
