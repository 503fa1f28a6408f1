// Package soak stops the VMs of a fleet as planned, again and again, while callers use
// them, and checks what callers and targets saw on their sockets.
//
// # Concept
//
// A round starts a store, targets of two services and four real processes of VMs on
// loopback addresses. Everything that happens then is drawn from one seed. Callers ask
// VMs for addresses and keep the answer, keep connections, send several requests at once,
// send headers and bodies piece by piece, read slowly, and honour a response that closes
// their connection, or don't. Their time budgets are longer than the grace period.
// Targets are quick, or slow, hang, shed requests, fail, break off, send invalid heads, drain
// and leave.
// Meanwhile VMs get SIGTERM one after the other, at the same time, twice, and while they
// start; SIGHUP comes between, settings files and the configuration change. A process
// that outlives its grace period is killed. At the end all VMs stop at once.
//
// After the round, these must hold:
//
//   - A request that a VM passed on to a target has a whole response, and the target's own
//     while the target was at work. On a request sent in the second half of the grace
//     period, the target has the time that the caller allows. Excused are targets that broke off, time budgets that
//     were over, and requests sent in the first half of the grace period on which the
//     target was at work in the last sixth of it.
//   - A request of which the VM got the last byte has a response, unless the end of the
//     connection crossed it.
//   - What was refused as not run has not run and doesn't run later. What may run only
//     once ran at most once.
//   - A success is the whole, signed response to the very request, and a target runs only
//     what a caller sent.
//   - A process ends within the grace period after SIGTERM, and never without it.
//   - Ordinary requests are served: more than nine in ten with at most two further tries,
//     and most that come to a VM in the first quarter of its grace period are served or
//     refused as not run.
//
// No check is about how long something took. A round is not repeatable to the
// millisecond: the same seed draws the same plan, but processes differ in speed.
//
// # Usage
//
// The tests run three fixed seeds, 16 seconds of traffic in each round. To search further,
// with the seeds 100 to 119:
//
//	SOAK_SEED=100 SOAK_ROUNDS=20 go test ./soak -timeout 20m -v
//
// SOAK_SECONDS changes the time of traffic.
//
// SOAK_PROGRAM names another build of the program. A failure prints the seed, the time line
// of the request as its caller and the targets saw it, and the lines of the VMs' logs
// about it. SOAK_KEEP names a directory in which the logs of failed rounds are kept. The
// package has no other code, and none of it runs with the race detector.
package soak
