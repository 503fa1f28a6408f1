// Package lead distributes published records, proofs of their freshness, the
// view of the fleet and pooled evidence about targets between VMs that find each
// other through seeds.
//
// # Concept
//
// Every VM orders the VMs of its view by preference: established processes
// first, then by processor capacity, age and a hash of the address. It sends
// heartbeats to the first two of its place (data centre), its primary and
// secondary leader. The first VM of a place, the place leader, sends them to the
// first two of the fleet instead. The first VM of the fleet is the fleet leader.
// A VM that receives heartbeats replies to them and pushes changes to all senders
// at once, as unsolicited replies. Leaders are not agreed on: a VM leads because
// it receives heartbeats. So one message between places serves a whole place, and
// a VM has at most as many followers as its place has VMs plus the fleet has
// places.
//
// Heartbeats and replies are both sent as an Exchange. It echoes the last
// sequence number received from the other side, so the receiver has a moment
// of its own clock before which the message can't have been sent. All ages are
// counted from that moment. A message that waited in the socket of a suspended
// VM is therefore never taken for a new one.
//
// The fleet leader reads the platform's store. While its calls fail, it assigns
// the reads to a follower. A VM whose proof of freshness is too old reads the
// store itself and sends the result to its leaders, who pass it on at once to
// followers with old proofs. The age is derived from the operators' bound
// (Options.FreshWithin), so that each VM that reaches the store keeps the bound
// whatever its leaders know: a leader that replies may itself be cut off.
//
// A heartbeat also carries the list of the sender's followers, a reply the
// sender's view, both as changes. Evidence about targets is sent with the
// heartbeats, added up by the leaders, and returned with the replies. So is which
// targets were used: a place leader asks followers for a request to a target of
// their place that gets none, be it by chance at a low rate, as a suspect or
// because it has just started. No VM could tell alone.
//
// A cold target of a service that states a rate for it gets requests by credits only:
// each is the right of one VM to send one request. The place leader grants them with its
// replies, at a part of that rate which is the smaller the fewer VMs of the place lease it
// their share (see below). The follower counts a credit's term from the heartbeat that
// the reply echoes.
//
// With its heartbeats a VM leases its share of every allowance to its primary
// leader. The place leader subleases what it holds to the fleet leader for a
// shorter term. The lease holder counts the term from the message that the
// heartbeat echoes, the lessor from the heartbeat, so the lease expires first at
// the holder and no share is held twice. A leader that leaves releases what it
// holds. One exception is accepted: a VM that was killed leases its share again
// as soon as it has started. Its former leader drops the old lease when it
// receives a message of the new process; while a partition separates the two,
// the share is held twice until the lease expires. If a VM waited for that, a
// fleet that was killed as a whole could not serve for a whole lease term.
//
// The share is one part in the size of the fleet. VMs that left the view without
// having said that they leave go on counting for a limited time, so that the sides of
// a partition keep what they held. They are passed on with the view. A VM that has met
// nobody assumes a size (docs/design/allowance-unknown-fleet.md).
//
// The Controller is pure: it reads no clock and no socket.
//
// # Usage
//
//	c := lead.NewController(now, self, seeds, decoder, options)
//	for _, action := range c.Step(now, lead.Tick{}) {
//		perform(action)
//	}
package lead
