package limit

import (
	"maps"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// requestHistorySize is the number of lease requests kept to match replies.
const requestHistorySize = 64

// Holder keeps the buckets of the shards that this VM holds. It is not safe
// for concurrent use.
type Holder struct {
	self     Process
	accounts map[ferry.AccountID]*ferry.Account
	shards   [Shards]heldShard
	buckets  map[ferry.AccountID]*bucket
	// requests holds the latest lease requests and their times.
	requests [requestHistorySize]sentRequest
	sequence uint64
	// handOvers are received hand-overs whose shares may yet be leased to this VM.
	handOvers []pendingHandOver
}

type pendingHandOver struct {
	handOver   HandOver
	receivedAt ferry.Moment
}

type sentRequest struct {
	sequence uint64
	sentAt   ferry.Moment
}

// NewHolder returns a holder without shares.
func NewHolder(self Process) *Holder {
	return &Holder{
		self:    self,
		buckets: map[ferry.AccountID]*bucket{},
	}
}

// SetAccounts applies the accounts of an inventory. It deletes the buckets of
// removed accounts; changed rates and bursts apply from now on.
func (h *Holder) SetAccounts(now ferry.Moment, accounts []ferry.Account) {
	h.accounts = make(map[ferry.AccountID]*ferry.Account, len(accounts))
	for i := range accounts {
		h.accounts[accounts[i].ID] = &accounts[i]
	}
	for id, b := range h.buckets {
		account := h.accounts[id]
		if account == nil {
			delete(h.buckets, id)
			continue
		}
		s := &h.shards[ShardOf(id)]
		s.expire(now)
		b.advance(s, now.Monotonic)
		b.rate, b.burst = account.Rate, account.Burst
		b.truncate(s.share())
	}
}

// RequestLeases returns the next request for shares of the given shards. The
// same request may be sent to every VM.
func (h *Holder) RequestLeases(now ferry.Moment, mask Mask) LeaseRequest {
	h.sequence++
	h.requests[h.sequence%requestHistorySize] = sentRequest{sequence: h.sequence, sentAt: now}
	return LeaseRequest{Holder: h.self, Sequence: h.sequence, Mask: mask}
}

// Renew starts or extends the leases of a reply. Replies to unknown requests
// and to other processes are ignored.
func (h *Holder) Renew(now ferry.Moment, reply LeaseReply) {
	request := h.requests[reply.Sequence%requestHistorySize]
	if reply.Holder != h.self || request.sequence != reply.Sequence || reply.Sequence == 0 || reply.Parts <= 0 {
		return
	}
	for i := range h.shards {
		if reply.Mask.Has(i) && reply.Sequence > h.shards[i].releaseSequence {
			h.shards[i].renew(now, heldLease{lessor: reply.Lessor, parts: reply.Parts, requestedAt: request.sentAt, term: leaseTermOf(i)})
		}
	}
	for _, released := range reply.Released {
		for i := range h.shards {
			if released.Mask.Has(i) {
				h.shards[i].addCreditable(reply.Lessor, released.Release)
			}
		}
	}
	if len(reply.Released) > 0 {
		h.creditHandOvers(now)
	}
}

// MissingLessors returns those of the VMs that have not leased their share of
// every shard in the mask to this holder.
func (h *Holder) MissingLessors(now ferry.Moment, mask Mask, vms []ferry.VMID) []ferry.VMID {
	leased := map[ferry.VMID]Mask{}
	for i := range h.shards {
		if !mask.Has(i) {
			continue
		}
		h.shards[i].expire(now)
		for lessor := range h.shards[i].leases {
			leased[lessor.VM] = leased[lessor.VM].With(i)
		}
	}
	var missing []ferry.VMID
	for _, vm := range vms {
		if leased[vm] != mask {
			missing = append(missing, vm)
		}
	}
	return missing
}

// Share returns the held share of a shard, between 0 and 1.
func (h *Holder) Share(now ferry.Moment, index int) float64 {
	s := &h.shards[index]
	s.expire(now)
	return s.share()
}

// ShareHeldFor returns the part of a shard's held share whose leases last for
// at least the given duration.
func (h *Holder) ShareHeldFor(now ferry.Moment, index int, duration time.Duration) float64 {
	total := 0.0
	for _, l := range h.shards[index].leases {
		if now.LongestSince(l.requestedAt)+duration <= l.term-MaxClockDrift {
			total += 1 / float64(l.parts)
		}
	}
	return min(1, total)
}

// Grant replies to a request for tokens.
func (h *Holder) Grant(now ferry.Moment, request TokenRequest) TokenReply {
	reply := TokenReply{Sequence: request.Sequence, Account: request.Account}
	account := h.accounts[request.Account]
	if account == nil {
		reply.Status = StatusNoAccount
		return reply
	}
	s := &h.shards[ShardOf(request.Account)]
	s.expire(now)
	share := s.share()
	b := h.bucket(s, account)
	b.advance(s, now.Monotonic)
	for _, report := range request.Reports {
		b.applyReport(request.From, report, share)
	}
	if share == 0 {
		reply.Status = StatusNoShare
		return reply
	}
	reply.Granted = b.take(share, request.Needed, request.Prefetch)
	if reply.Granted > 0 {
		b.grants = append(b.grants, issuedGrant{
			recipient: request.From, sequence: request.Sequence, tokens: reply.Granted,
			expiresAt: now.Monotonic + GrantLifetime + MaxClockDrift,
		})
	}
	if missing := request.Needed - reply.Granted; missing > 0 {
		if b.excuse(missing) {
			reply.Status = StatusNoShare
			return reply
		}
		reply.Status = StatusEmpty
		reply.RetryAfter = b.untilNextToken(share)
	}
	return reply
}

func (h *Holder) bucket(s *heldShard, account *ferry.Account) *bucket {
	b := h.buckets[account.ID]
	if b == nil {
		b = newBucket(s, account.Rate, account.Burst)
		h.buckets[account.ID] = b
	}
	return b
}

// EvictIdle deletes the buckets of idle accounts and returns the number of
// remaining buckets.
func (h *Holder) EvictIdle(now ferry.Moment) int {
	for id, b := range h.buckets {
		s := &h.shards[ShardOf(id)]
		s.expire(now)
		b.advance(s, now.Monotonic)
		if b.isIdle(s.share()) {
			delete(h.buckets, id)
		}
	}
	return len(h.buckets)
}

// Release ends the leases of shards of client accounts, at a planned stop or
// when another VM becomes their holder. It returns the message for every lessor
// and the unspent tokens for each next holder.
func (h *Holder) Release(now ferry.Moment, mask Mask, next Placement) (LeaseRelease, map[ferry.VMID]HandOver) {
	mask &= AccountMask
	h.sequence++
	release := LeaseRelease{Holder: h.self, Sequence: h.sequence}
	handOvers := map[ferry.VMID]HandOver{}
	for _, id := range slices.Sorted(maps.Keys(h.buckets)) {
		b, index := h.buckets[id], ShardOf(id)
		if !mask.Has(index) {
			continue
		}
		s := &h.shards[index]
		s.expire(now)
		b.advance(s, now.Monotonic)
		to, share := next[index], s.share()
		if b.level > 0 && share > 0 && to != "" && to != h.self.VM {
			handOver := handOvers[to]
			handOver.Release = ReleaseID{Holder: h.self, Sequence: release.Sequence}
			handOver.Balances = append(handOver.Balances, Balance{Account: id, Fill: b.level / share})
			handOvers[to] = handOver
		}
		b.level = 0
	}
	for i := range h.shards {
		if mask.Has(i) && len(h.shards[i].leases) > 0 {
			release.Mask = release.Mask.With(i)
		}
		if mask.Has(i) {
			h.shards[i].releaseAll(now, release.Sequence)
		}
	}
	return release, handOvers
}

// Accept takes over the tokens of shares that another holder released. They
// become usable when those shares are leased to this holder.
func (h *Holder) Accept(now ferry.Moment, handOver HandOver) {
	h.handOvers = append(h.handOvers, pendingHandOver{handOver: handOver, receivedAt: now})
	h.creditHandOvers(now)
}

// creditHandOvers adds the tokens of handed-over shares that are leased now.
func (h *Holder) creditHandOvers(now ferry.Moment) {
	kept := h.handOvers[:0]
	for _, pending := range h.handOvers {
		if now.LongestSince(pending.receivedAt) < 2*LeaseTerm {
			kept = append(kept, pending)
		}
	}
	h.handOvers = kept
	for _, pending := range h.handOvers {
		for _, balance := range pending.handOver.Balances {
			h.creditBalance(now, pending.handOver.Release, balance)
		}
	}
	for i := range h.shards {
		for _, pending := range h.handOvers {
			delete(h.shards[i].creditable, pending.handOver.Release)
		}
	}
}

func (h *Holder) creditBalance(now ferry.Moment, release ReleaseID, balance Balance) {
	s := &h.shards[ShardOf(balance.Account)]
	s.expire(now)
	account, share := h.accounts[balance.Account], s.creditable[release]
	if account == nil || share <= 0 || balance.Fill <= 0 {
		return
	}
	b := h.bucket(s, account)
	b.advance(s, now.Monotonic)
	b.level += share * min(balance.Fill, account.Burst)
	b.truncate(s.share())
}

// LostLeases counts the leases that expired without a renewal or a release.
func (h *Holder) LostLeases() uint64 {
	total := uint64(0)
	for i := range h.shards {
		total += h.shards[i].lostLeases
	}
	return total
}

// Buckets returns the number of client accounts with a bucket.
func (h *Holder) Buckets() int { return len(h.buckets) }
