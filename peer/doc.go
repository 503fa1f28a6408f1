// Package peer carries typed messages between the VMs of a fleet.
//
// # Concept
//
// Each VM dials every other VM and sends on its own sessions only, so that a
// one-way partition shows as silence in one direction. A session is a yamux
// session over TCP, with TLS on both sides unless the settings allow plain
// text. It has one stream for small messages and one for values, so that a
// large value does not delay a grant.
//
// Every queue is bounded. A message that finds its queue full is dropped and
// counted; all protocols above tolerate loss. Frames are protocol buffers
// behind a length; a peer that sends anything else is cut off.
//
// # Usage
//
//	mesh := peer.NewMesh(config)
//	go mesh.Serve(ctx, listener)
//	mesh.SetPeers(ctx, vms)
//	mesh.Send("vm-2", peer.Heartbeat{Sequence: 1})
//	inbound, err := mesh.Next(ctx)
package peer
