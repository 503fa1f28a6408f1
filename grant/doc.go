// Package grant keeps client accounts within their rate and burst across a
// fleet that has no list of VMs.
//
// # Concept
//
// Each VM owns a share of every allowance and lends it through the lead of its
// place to the first lead of the fleet (package lead). An Issuer is the part of
// the first lead: its buckets accrue at the shares held times the rate and hold
// at most the shares times the burst. It answers asks for tokens at once, with a
// short delay when a token is due soon, or with a refusal and a time to return.
//
// A TokenCache is the part of every VM. It asks for tokens on demand, and ahead for
// what its account used of late, which the holder gives only while it has plenty.
// A PlaceCache is the part of the lead of a place: it answers the asks of its VMs out
// of a TokenCache of its own, so that most asks stay in the place. Tokens end after a
// second; those that are kept count inside the burst until the next ask tells
// that they were spent. A request is refused only on the holder's word.
//
// The load that this answers: accounts within their rate whose callers are
// spread over all VMs (each VM sees a request a second or less, so a static
// split would refuse most), and one account at several times its rate.
//
// # Usage
//
//	answer := issuer.Grant(now, request, account, share)
//	waiter := cache.Take(now)
package grant
