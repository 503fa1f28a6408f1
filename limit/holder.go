package limit

import (
	"time"

	"monsoonferry.org/ferry"
)

// askMemory is the number of own asks whose time is remembered.
const askMemory = 64

// Holder keeps the buckets of the shards that this VM holds. It is not safe
// for concurrent use.
type Holder struct {
	self     Process
	accounts map[ferry.AccountID]*ferry.Account
	shards   [Shards]shard
	buckets  map[ferry.AccountID]*bucket
	// asks remembers when the last leases were asked for.
	asks     [askMemory]askTime
	sequence uint64
	// handed are hand-overs whose shares may still arrive.
	handed []received
}

// received is a hand-over with the time of its arrival.
type received struct {
	message HandOver
	at      ferry.Moment
}

type askTime struct {
	sequence uint64
	at       ferry.Moment
}

// NewHolder returns a holder without shares.
func NewHolder(self Process) *Holder {
	return &Holder{
		self:    self,
		buckets: map[ferry.AccountID]*bucket{},
	}
}

// SetAccounts takes the accounts of an inventory into use. Buckets of removed
// accounts are forgotten; changed rates hold from now on.
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
		b.advance(s, now.Steady)
		b.rate, b.burst = account.Rate, account.Burst
		b.truncate(s.share())
	}
}

// RequestLeases returns the next ask for the shares of the given shards. The same ask
// may be sent to every VM.
func (h *Holder) RequestLeases(now ferry.Moment, mask Mask) LeaseRequest {
	h.sequence++
	h.asks[h.sequence%askMemory] = askTime{sequence: h.sequence, at: now}
	return LeaseRequest{Holder: h.self, Sequence: h.sequence, Mask: mask}
}

// Renew takes the shares of an answer. Answers to unknown asks and to other
// processes are ignored.
func (h *Holder) Renew(now ferry.Moment, answer LeaseReply) {
	ask := h.asks[answer.Sequence%askMemory]
	if answer.Holder != h.self || ask.sequence != answer.Sequence || answer.Sequence == 0 || answer.Parts <= 0 {
		return
	}
	for i := range h.shards {
		if answer.Mask.Has(i) && answer.Sequence > h.shards[i].returned {
			h.shards[i].renew(now, lease{lender: answer.Lessor, parts: answer.Parts, asked: ask.at, term: termOf(i)})
		}
	}
	for _, origin := range answer.Released {
		for i := range h.shards {
			if origin.Mask.Has(i) {
				h.shards[i].arrive(answer.Lessor, origin.Release)
			}
		}
	}
	if len(answer.Released) > 0 {
		h.settle(now)
	}
}

// MissingLessors returns those of the VMs that have not lent their share of every
// shard in the mask.
func (h *Holder) MissingLessors(now ferry.Moment, mask Mask, vms []ferry.VMID) []ferry.VMID {
	lent := map[ferry.VMID]Mask{}
	for i := range h.shards {
		if !mask.Has(i) {
			continue
		}
		h.shards[i].expire(now)
		for lender := range h.shards[i].leases {
			lent[lender.VM] = lent[lender.VM].With(i)
		}
	}
	var missing []ferry.VMID
	for _, vm := range vms {
		if lent[vm] != mask {
			missing = append(missing, vm)
		}
	}
	return missing
}

// Share returns the share that is held of a shard.
func (h *Holder) Share(now ferry.Moment, index int) float64 {
	s := &h.shards[index]
	s.expire(now)
	return s.share()
}

// ShareHeldFor returns the share of a shard that stays held for at least life.
func (h *Holder) ShareHeldFor(now ferry.Moment, index int, life time.Duration) float64 {
	total := 0.0
	for _, l := range h.shards[index].leases {
		if now.LongestSince(l.asked)+life <= l.term-MaxClockDrift {
			total += 1 / float64(l.parts)
		}
	}
	return min(1, total)
}

// Grant answers an ask for tokens.
func (h *Holder) Grant(now ferry.Moment, ask TokenRequest) TokenReply {
	answer := TokenReply{Sequence: ask.Sequence, Account: ask.Account}
	account := h.accounts[ask.Account]
	if account == nil {
		answer.Status = StatusNoAccount
		return answer
	}
	s := &h.shards[ShardOf(ask.Account)]
	s.expire(now)
	share := s.share()
	b := h.bucket(s, account)
	b.advance(s, now.Steady)
	for _, report := range ask.Reports {
		b.report(ask.From, report, share)
	}
	if share == 0 {
		answer.Status = StatusNoShare
		return answer
	}
	answer.Granted = b.take(share, ask.Needed, ask.Prefetch)
	if answer.Granted > 0 {
		b.grants = append(b.grants, grant{
			to: ask.From, sequence: ask.Sequence, tokens: answer.Granted,
			expires: now.Steady + GrantLifetime + MaxClockDrift,
		})
	}
	if answer.Granted < ask.Needed {
		answer.Status = StatusEmpty
		answer.RetryAfter = b.untilNext(share)
	}
	return answer
}

func (h *Holder) bucket(s *shard, account *ferry.Account) *bucket {
	b := h.buckets[account.ID]
	if b == nil {
		b = newBucket(s, account.Rate, account.Burst)
		h.buckets[account.ID] = b
	}
	return b
}

// EvictIdle forgets the buckets of idle accounts and returns the number of buckets
// that are left.
func (h *Holder) EvictIdle(now ferry.Moment) int {
	for id, b := range h.buckets {
		s := &h.shards[ShardOf(id)]
		s.expire(now)
		b.advance(s, now.Steady)
		if b.isIdle(s.share()) {
			delete(h.buckets, id)
		}
	}
	return len(h.buckets)
}

// Release gives shards of client accounts back, at a planned stop or when
// another VM is to hold them. It returns the message for every lender and, for
// each next holder, the unspent tokens.
func (h *Holder) Release(now ferry.Moment, mask Mask, next Placement) (LeaseRelease, map[ferry.VMID]HandOver) {
	mask &= AccountMask
	h.sequence++
	back := LeaseRelease{Holder: h.self, Sequence: h.sequence}
	messages := map[ferry.VMID]HandOver{}
	for id, b := range h.buckets {
		index := ShardOf(id)
		if !mask.Has(index) {
			continue
		}
		s := &h.shards[index]
		s.expire(now)
		b.advance(s, now.Steady)
		to, share := next[index], s.share()
		if b.level > 0 && share > 0 && to != "" && to != h.self.VM {
			message := messages[to]
			message.Release = ReleaseID{Holder: h.self, Sequence: back.Sequence}
			message.Balances = append(message.Balances, Balance{Account: id, Fill: b.level / share})
			messages[to] = message
		}
		b.level = 0
	}
	for i := range h.shards {
		if mask.Has(i) && len(h.shards[i].leases) > 0 {
			back.Mask = back.Mask.With(i)
		}
		if mask.Has(i) {
			h.shards[i].drop(now, back.Sequence)
		}
	}
	return back, messages
}

// Accept takes over the tokens of shares that another holder returned. They
// become usable as those shares arrive.
func (h *Holder) Accept(now ferry.Moment, message HandOver) {
	h.handed = append(h.handed, received{message: message, at: now})
	h.settle(now)
}

// settle adds the tokens that belong to shares which have arrived.
func (h *Holder) settle(now ferry.Moment) {
	kept := h.handed[:0]
	for _, r := range h.handed {
		if now.LongestSince(r.at) < 2*LeaseTerm {
			kept = append(kept, r)
		}
	}
	h.handed = kept
	for _, r := range h.handed {
		for _, balance := range r.message.Balances {
			h.settleBalance(now, r.message.Release, balance)
		}
	}
	for i := range h.shards {
		for _, r := range h.handed {
			delete(h.shards[i].arrived, r.message.Release)
		}
	}
}

func (h *Holder) settleBalance(now ferry.Moment, origin ReleaseID, balance Balance) {
	s := &h.shards[ShardOf(balance.Account)]
	s.expire(now)
	account, due := h.accounts[balance.Account], s.arrived[origin]
	if account == nil || due <= 0 || balance.Fill <= 0 {
		return
	}
	b := h.bucket(s, account)
	b.advance(s, now.Steady)
	b.level += due * min(balance.Fill, account.Burst)
	b.truncate(s.share())
}

// LostLeases returns the number of leases that ended without a renewal or a return.
func (h *Holder) LostLeases() uint64 {
	total := uint64(0)
	for i := range h.shards {
		total += h.shards[i].lost
	}
	return total
}

// Buckets returns the number of client accounts with a bucket.
func (h *Holder) Buckets() int { return len(h.buckets) }
