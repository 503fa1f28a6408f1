// Package peer carries typed messages between the VMs of a fleet.
//
// # Concept
//
// Each VM dials every other VM and sends only on the sessions that it dialed, so
// that a one-way partition stops the messages of one direction only. A session
// is a yamux session over TCP, with TLS on both sides unless the settings allow
// plain text. It has one stream for small messages and one for values, so that
// a large value does not delay a grant.
//
// Every queue is bounded. A message for a full send queue is dropped and
// counted; all protocols above tolerate loss. Frames are protocol buffers with
// a length prefix; a session that carries anything else is closed.
//
// # Usage
//
//	mesh := peer.NewMesh(config)
//	go mesh.Serve(ctx, listener)
//	mesh.SetPeers(ctx, vms)
//	mesh.Send("vm-2", peer.Heartbeat{Sequence: 1})
//	inbound, err := mesh.Next(ctx)
package peer
