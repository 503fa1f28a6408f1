// Package golden plays sessions of whole VMs with a fake clock and compares
// their logs with golden files.
//
// # Concept
//
// The VMs of a session are complete hosts whose sockets are pipes in memory.
// They run in one bubble of testing/synctest, so that time passes only while
// all of them wait, and a session of a minute takes milliseconds. The tests
// have a process of their own, because yamux shares timers between all
// sessions of a process and timers must not leave their bubble.
//
// # Usage
//
// Write a script into testdata/session, then let the log be written and read
// it before it is committed:
//
//	go test ./golden -update
package golden
