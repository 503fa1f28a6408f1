package limit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"monsoonferry.org/ferry"
)

// Sender carries asks to the holder of a client account.
type Sender interface {
	// SendRequest sends the ask to the VM, which may be this one. It does not wait
	// for the answer.
	SendRequest(to ferry.VMID, ask TokenRequest)
}

// Pools implements ferry.Limiter with grants from the holders. It is safe for
// concurrent use; requests of different client accounts share no lock.
type Pools struct {
	self      Process
	clock     ferry.Clock
	sender    Sender
	placement atomic.Pointer[Placement]
	sequence  atomic.Uint64
	pools     sync.Map
	// started signals that an account has come into use.
	started chan struct{}
}

// NewPools returns pools without grants.
func NewPools(self Process, clock ferry.Clock, sender Sender) *Pools {
	p := &Pools{self: self, clock: clock, sender: sender, started: make(chan struct{}, 1)}
	p.placement.Store(&Placement{})
	return p
}

// SetPlacement publishes the holders of the shards.
func (p *Pools) SetPlacement(placement Placement) {
	p.placement.Store(&placement)
}

// Admit implements ferry.Limiter.
func (p *Pools) Admit(ctx context.Context, account *ferry.Account) (ferry.Permit, error) {
	pool := p.pool(account.ID)
	taken, w, ask := pool.admit(p.clock.Now(), p.next)
	if taken == nil && w == nil {
		p.pools.CompareAndDelete(account.ID, pool)
		return p.Admit(ctx, account)
	}
	p.send(ask)
	if taken != nil {
		return taken, nil
	}
	select {
	case result := <-w.result:
		return result.unpack()
	case <-ctx.Done():
	}
	if !pool.abandon(w) {
		if result := <-w.result; result.permit != nil {
			result.permit.Return(p.clock.Now())
		}
	}
	return nil, &ferry.RefusalError{
		Status: http.StatusGatewayTimeout, Reason: ferry.ReasonDeadline, Outcome: ferry.OutcomeNotRun,
		Detail: "the request ended while it waited for its allowance",
	}
}

func (r waitResult) unpack() (ferry.Permit, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.permit, nil
}

// HandleReply takes the answer of a holder.
func (p *Pools) HandleReply(now ferry.Moment, answer TokenReply) {
	if found, ok := p.pools.Load(answer.Account); ok {
		p.send(found.(*pool).answer(now, answer, p.next))
	}
}

// Activated returns a channel that receives when an account comes into use, so
// that the owner can call Tick more often.
func (p *Pools) Activated() <-chan struct{} { return p.started }

// Tick lets time pass. It should be called about every 20 ms while accounts are
// in use.
func (p *Pools) Tick(now ferry.Moment) {
	p.pools.Range(func(key, value any) bool {
		ask, isIdle := value.(*pool).tick(now, p.next)
		p.send(ask)
		if isIdle {
			p.pools.Delete(key)
		}
		return true
	})
}

// Count returns the number of accounts with a pool.
func (p *Pools) Count() int {
	count := 0
	p.pools.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

func (p *Pools) pool(id ferry.AccountID) *pool {
	if found, ok := p.pools.Load(id); ok {
		return found.(*pool)
	}
	found, isOld := p.pools.LoadOrStore(id, &pool{account: id, pending: map[uint64]pendingAsk{}})
	if !isOld {
		select {
		case p.started <- struct{}{}:
		default:
		}
	}
	return found.(*pool)
}

func (p *Pools) next() uint64 { return p.sequence.Add(1) }

func (p *Pools) send(ask TokenRequest) {
	if ask.Sequence == 0 {
		return
	}
	ask.From = p.self
	p.sender.SendRequest(p.placement.Load()[ShardOf(ask.Account)], ask)
}
