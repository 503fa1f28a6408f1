// Package proxy carries requests from callers to targets.
//
// # Concept
//
// A Server turns each incoming request into a ferry.Exchange and passes it
// through a chain of filters: route, key, body limit, deadline, allowance and
// at the end the Forwarder. The Forwarder sends attempts to targets until one
// answers, the retry rules forbid another attempt, or the deadline passes.
//
// A request that is not idempotent is sent again only when it certainly did
// not run. Answers are streamed. An answer that is cut short by its target
// aborts the caller's connection, so that it never looks complete.
//
// # Usage
//
//	forwarder := proxy.NewForwarder(config)
//	chain := ferry.Chain(forwarder, proxy.RouteFilter{}, auth.Filter{}, proxy.BodyFilter{}, limits)
//	http.Serve(listener, proxy.NewServer(chain, snapshots, clock, ids, log, metrics))
package proxy
