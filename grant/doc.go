// Package grant keeps client accounts within their rate and burst across a
// fleet that has no list of VMs.
//
// # Concept
//
// Each VM owns a share of every allowance and leases it, through the leader of
// its place (data centre), to the fleet leader (package lead). The fleet leader
// runs an Issuer: a token bucket for each account, which accrues at its share of
// the rate, owned and leased, and holds at most that share of the burst. The
// Issuer replies to a token request at once. It also grants tokens that are due
// soon, before their accrual; for the rest it refuses and returns the time after
// which to retry.
//
// Every VM has a TokenCache for each account in use. It requests tokens on
// demand, and prefetches tokens for the recent use of the account, which the
// Issuer grants only while the bucket is well filled. The place leader has a
// PlaceCache for each account: it replies to the token requests of its VMs out of
// a TokenCache of its own, so that most token requests stay in the place.
// Tokens expire after a second. Prefetched tokens count against the burst until
// the next token request reports them as spent. A client request is refused for
// its rate only after a reply of the Issuer.
//
// The design is made for two kinds of load: accounts within their rate whose
// callers are spread over all VMs (each VM sees a request a second or less, so a
// static split would refuse most), and one account at several times its rate.
//
// # Usage
//
//	reply := issuer.Grant(now, request, account, share)
//	waiter := cache.Take(now) // nil if a token was cached
//	request, isDue := cache.NextRequest(now, sequence)
package grant
