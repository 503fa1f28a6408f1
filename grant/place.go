package grant

import (
	"net/netip"
	"time"
)

// MaxHops is the number of VMs that pass an ask on. Two VMs that take each
// other for the lead would pass it for ever.
const MaxHops = 3

// PlaceCache answers the asks of one account from VMs of a place with the tokens
// that the lead of the place gets from the first lead of the fleet. It asks
// ahead for what the place uses, so that most asks cross no link between places.
// Create it with NewBranch. It is not safe for concurrent use.
type PlaceCache struct {
	purse  TokenCache
	claims []*claim
	hops   int
}

// claim is an ask that is not answered yet.
type claim struct {
	from    netip.AddrPort
	ask     TokenRequest
	at      time.Duration
	tickets []*Waiter
	// granted is the number of tokens that the VM was not told of.
	granted    int
	retryAfter time.Duration
}

// AddressedReply is a TokenReply and the VM that it goes to. An invalid To stands for the
// VM of the PlaceCache.
type AddressedReply struct {
	To    netip.AddrPort
	Reply TokenReply
}

// NewPlaceCache returns the PlaceCache of the account in ask.
func NewPlaceCache(ask TokenRequest) *PlaceCache {
	return &PlaceCache{purse: TokenCache{Account: ask.Account}}
}

// AddRequest takes an ask of a VM in. Tokens are given for waiting requests only.
func (b *PlaceCache) AddRequest(now time.Duration, from netip.AddrPort, ask TokenRequest) {
	c := &claim{from: from, ask: ask, at: now}
	for range ask.Waiting {
		if ticket := b.purse.Take(now); ticket != nil {
			c.tickets = append(c.tickets, ticket)
		} else {
			c.granted++
		}
	}
	b.claims = append(b.claims, c)
	b.hops = ask.Hops + 1
}

// NextRequest returns the ask to the lead above that has to be sent at now, if any.
func (b *PlaceCache) NextRequest(now time.Duration, sequence uint64) (TokenRequest, bool) {
	ask, isDue := b.purse.NextRequest(now, sequence)
	ask.Hops = b.hops
	return ask, isDue
}

// HandleReply takes an answer of the lead above in.
func (b *PlaceCache) HandleReply(now time.Duration, answer TokenReply) {
	b.purse.HandleReply(now, answer)
}

// TakeReplies returns what is known at now of the asks under way. A claim that is
// older than the time after which its VM asks again ends without an answer.
func (b *PlaceCache) TakeReplies(now time.Duration) []AddressedReply {
	var replies []AddressedReply
	open := b.claims[:0]
	for _, c := range b.claims {
		c.collect()
		isWhole := len(c.tickets) == 0
		if isWhole || c.granted > 0 {
			replies = append(replies, AddressedReply{To: c.from, Reply: TokenReply{
				Sequence: c.ask.Sequence, Account: c.ask.Account, Count: c.granted, RetryAfter: c.retryAfter,
				Hops: c.ask.Hops, Partial: !isWhole,
			}})
			c.granted = 0
		}
		if !isWhole && now-c.at <= askTimeout {
			open = append(open, c)
			continue
		}
		for _, ticket := range c.tickets {
			b.purse.Cancel(ticket)
		}
	}
	b.claims = open
	return replies
}

// collect takes the results of the tickets of a claim.
func (c *claim) collect() {
	waiting := c.tickets[:0]
	for _, ticket := range c.tickets {
		select {
		case verdict := <-ticket.Result:
			if verdict.Granted {
				c.granted++
			} else {
				c.retryAfter = verdict.RetryAfter
			}
		default:
			waiting = append(waiting, ticket)
		}
	}
	c.tickets = waiting
}

// IsIdle reports whether the PlaceCache can be forgotten.
func (b *PlaceCache) IsIdle(now time.Duration) bool { return len(b.claims) == 0 && b.purse.IsIdle(now) }
