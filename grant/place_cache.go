package grant

import (
	"net/netip"
	"time"
)

// MaxHops is the largest number of VMs that forward a TokenRequest. Without this
// limit, two VMs that follow each other as leader would forward it for ever.
const MaxHops = 3

// PlaceCache is the token cache of one account on a place leader. It replies to
// the requests of the place's VMs with tokens from the fleet leader. It prefetches
// for the use of the place, so that most requests cross no link between places.
// Create it with NewPlaceCache. It is not safe for concurrent use.
type PlaceCache struct {
	cache   TokenCache
	pending []*vmRequest
	hops    int
}

// vmRequest is a TokenRequest of a VM whose last reply has not been sent.
type vmRequest struct {
	from       netip.AddrPort
	request    TokenRequest
	receivedAt time.Duration
	waiters    []*Waiter
	// unreported is the number of granted tokens that no reply has reported yet.
	unreported int
	retryAfter time.Duration
}

// AddressedReply is a TokenReply and the address of its receiver. An invalid To
// stands for the VM of the PlaceCache.
type AddressedReply struct {
	To    netip.AddrPort
	Reply TokenReply
}

// NewPlaceCache returns an empty PlaceCache for the account of the request.
func NewPlaceCache(request TokenRequest) *PlaceCache {
	return &PlaceCache{cache: TokenCache{Account: request.Account}}
}

// AddRequest adds a TokenRequest of a VM. Its Prefetch is not granted.
func (c *PlaceCache) AddRequest(now time.Duration, from netip.AddrPort, request TokenRequest) {
	r := &vmRequest{from: from, request: request, receivedAt: now}
	for range request.Waiting {
		if waiter := c.cache.Take(now); waiter != nil {
			r.waiters = append(r.waiters, waiter)
		} else {
			r.unreported++
		}
	}
	c.pending = append(c.pending, r)
	c.hops = request.Hops + 1
}

// NextRequest returns the request to the fleet leader that is due at now, if any.
func (c *PlaceCache) NextRequest(now time.Duration, sequence uint64) (TokenRequest, bool) {
	request, isDue := c.cache.NextRequest(now, sequence)
	request.Hops = c.hops
	return request, isDue
}

// HandleReply handles a reply of the fleet leader.
func (c *PlaceCache) HandleReply(now time.Duration, reply TokenReply) {
	c.cache.HandleReply(now, reply)
}

// TakeReplies returns the replies due at now and removes completed requests. A
// request older than requestTimeout gets no final reply: its VM has retried it.
func (c *PlaceCache) TakeReplies(now time.Duration) []AddressedReply {
	var replies []AddressedReply
	remaining := c.pending[:0]
	for _, r := range c.pending {
		r.collectResults()
		isComplete := len(r.waiters) == 0
		if isComplete || r.unreported > 0 {
			replies = append(replies, AddressedReply{To: r.from, Reply: TokenReply{
				Sequence: r.request.Sequence, Account: r.request.Account, Count: r.unreported, RetryAfter: r.retryAfter,
				Hops: r.request.Hops, Partial: !isComplete,
			}})
			r.unreported = 0
		}
		if !isComplete && now-r.receivedAt <= requestTimeout {
			remaining = append(remaining, r)
			continue
		}
		for _, waiter := range r.waiters {
			c.cache.Cancel(waiter)
		}
	}
	c.pending = remaining
	return replies
}

// collectResults receives the results of the request's waiters.
func (r *vmRequest) collectResults() {
	waiting := r.waiters[:0]
	for _, waiter := range r.waiters {
		select {
		case result := <-waiter.Result:
			if result.Granted {
				r.unreported++
			} else {
				r.retryAfter = result.RetryAfter
			}
		default:
			waiting = append(waiting, waiter)
		}
	}
	r.waiters = waiting
}

// IsIdle reports whether the PlaceCache can be evicted.
func (c *PlaceCache) IsIdle(now time.Duration) bool {
	return len(c.pending) == 0 && c.cache.IsIdle(now)
}
