// Package grant keeps client accounts within their rate and burst across a
// fleet that has no list of VMs.
//
// # Concept
//
// Each VM owns a share of every allowance and leases it, through the leader of
// its place (data centre), to the fleet leader (package lead). There an Issuer
// has a bucket for each account, which accrues at the held share of the rate and
// holds at most that share of the burst. It replies to token requests at once:
// it grants tokens, including those due soon, or refuses with a time to retry.
//
// Every VM has a TokenCache for each account in use. It requests tokens on demand
// and prefetches some in proportion to the recent use, which the Issuer grants
// only while the bucket is well filled. A place leader has a PlaceCache for each
// account: it replies to its VMs out of a TokenCache of its own, so that most
// token requests stay in the place. Tokens expire after a second. Prefetched
// tokens count inside the burst until the next token request reports them as
// spent. A client request is refused as over its rate only if the Issuer refused
// its token.
//
// The design is for accounts within their rate whose callers are spread over all
// VMs (each VM sees a request a second or less, so a static split would refuse
// most), and for one account at several times its rate.
//
// # Usage
//
//	reply := issuer.Grant(now, request, account, share)
//	waiter := cache.Take(now) // nil if a token was cached
package grant
