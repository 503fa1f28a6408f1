// Package proxy forwards requests from callers to targets.
//
// # Concept
//
// A Server turns each incoming request into a ferry.Exchange and passes it
// through a chain of filters: route and deadline, key, body limit, allowance and
// finally the Forwarder. The Forwarder sends attempts to targets until one
// responds, the retry rules forbid another attempt, or the deadline passes.
//
// A request that is not idempotent is retried only when it certainly did not
// run: its target says so in a response that names the request, or in the first
// one on a connection. Responses are streamed. When a target truncates a
// response, the caller's connection is aborted, so that the response never looks
// complete.
//
// # Usage
//
//	forwarder := proxy.NewForwarder(config)
//	chain := ferry.Chain(forwarder, proxy.RouteFilter{}, auth.Filter{}, proxy.BodyFilter{}, limits)
//	http.Serve(listener, proxy.NewServer(chain, snapshots, clock, newID, log, metrics))
package proxy
