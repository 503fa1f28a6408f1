// Package lead spreads published records, proofs of their freshness, the view
// of the fleet and pooled evidence between VMs that know no list of VMs.
//
// # Concept
//
// Every VM orders the VMs that it believes alive by age, power and a hash, and
// sends beats to the first two of its place, its leads. The first VM of a place
// sends them to the first two of the fleet instead. A VM that receives beats
// answers each with a pulse and pushes changes to all senders at once. Nobody
// has to agree on who leads: a VM leads because it is asked. So a message
// between places is sent for a place, not for a VM, and no VM has more followers
// than its place has VMs and the fleet has places.
//
// Both messages are the same Exchange. It echoes the last sequence that came
// from the other side, so the receiver knows a moment by its own clock before
// which the message can't have been sent. All ages are counted from that
// moment. A message that waited in the socket of a frozen VM is therefore never
// taken for a new one.
//
// The first lead of the fleet reads the platform's store. While its calls fail it
// names a follower that reads for it; a VM whose proof of freshness grows old
// reads by itself and passes what it read to its leads.
//
// A beat also names the VMs that its sender leads, a pulse those that its sender
// knows; both as changes. Evidence about targets goes up with the beats, is added
// up, and comes back with the pulses.
//
// A VM lends its share of every allowance with its beats to its first lead, for
// a term, and the lead of a place lends on what it holds for a shorter one. The
// lead counts the term from the message that the beat echoes, the lender from
// the beat, so the lead ends first and no share is held twice. A lead that
// leaves gives back what it holds. One exception is accepted: a VM that was
// killed lends again as soon as it has started. Its former lead drops the old
// loan when it hears the new process; if that lead lives behind a cut, the share
// is held twice until the term ends. To wait for the term would keep a fleet
// that was killed as a whole from serving for the time of a term.
//
// The Controller is pure: it reads no clock and no socket.
//
// # Usage
//
//	c := lead.NewController(self, seeds, catalog, options)
//	for _, action := range c.Step(now, lead.Tick{}) {
//		perform(action)
//	}
package lead
