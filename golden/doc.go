// Package golden runs sessions of complete VMs with a fake clock and compares
// their logs with golden files.
//
// # Concept
//
// The VMs of a session are complete hosts with in-memory pipes as sockets. They
// run in one bubble of testing/synctest, where time advances only while all of
// them are blocked, so a session of a minute takes milliseconds. The tests run in a
// process of their own, because yamux shares timers between all its sessions in
// a process and timers must not leave their bubble.
//
// # Usage
//
// Write a script into testdata/session, let the test write the log and review it
// before the commit:
//
//	go test ./golden -update
package golden
