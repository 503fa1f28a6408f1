package grant

import (
	"net/netip"
	"time"
)

// MaxHops is the number of VMs that pass an ask on. Two VMs that take each
// other for the lead would pass it for ever.
const MaxHops = 3

// Branch answers the asks of one account from VMs of a place with the tokens
// that the lead of the place gets from the first lead of the fleet. It asks
// ahead for what the place uses, so that most asks cross no link between places.
// Create it with NewBranch. It is not safe for concurrent use.
type Branch struct {
	purse  Purse
	claims []*claim
	hops   int
}

// claim is an ask that is not answered yet.
type claim struct {
	from    netip.AddrPort
	ask     Ask
	at      time.Duration
	tickets []*Ticket
	// granted is the number of tokens that the VM was not told of.
	granted    int
	retryAfter time.Duration
}

// Reply is an Answer and the VM that it goes to. An invalid To stands for the
// VM of the Branch.
type Reply struct {
	To     netip.AddrPort
	Answer Answer
}

// NewBranch returns the Branch of the account in ask.
func NewBranch(ask Ask) *Branch { return &Branch{purse: Purse{Account: ask.Account}} }

// Claim takes an ask of a VM in. Tokens are given for waiting requests only.
func (b *Branch) Claim(now time.Duration, from netip.AddrPort, ask Ask) {
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

// Due returns the ask to the lead above that has to be sent at now, if any.
func (b *Branch) Due(now time.Duration, sequence uint64) (Ask, bool) {
	ask, isDue := b.purse.Due(now, sequence)
	ask.Hops = b.hops
	return ask, isDue
}

// Receive takes an answer of the lead above in.
func (b *Branch) Receive(now time.Duration, answer Answer) { b.purse.Receive(now, answer) }

// Replies returns what is known at now of the asks under way. A claim that is
// older than the time after which its VM asks again ends without an answer.
func (b *Branch) Replies(now time.Duration) []Reply {
	var replies []Reply
	open := b.claims[:0]
	for _, c := range b.claims {
		c.collect()
		isWhole := len(c.tickets) == 0
		if isWhole || c.granted > 0 {
			replies = append(replies, Reply{To: c.from, Answer: Answer{
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
			b.purse.Leave(ticket)
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

// IsIdle reports whether the Branch can be forgotten.
func (b *Branch) IsIdle(now time.Duration) bool { return len(b.claims) == 0 && b.purse.IsIdle(now) }
