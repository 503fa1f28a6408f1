package limit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"monsoonferry.org/ferry"
)

// Sender sends token requests to the holder of a client account.
type Sender interface {
	// SendRequest sends the request to the VM, which may be this one. It does
	// not wait for the reply.
	SendRequest(to ferry.VMID, request TokenRequest)
}

// Pools implements ferry.Limiter with grants from the holders. It is safe for
// concurrent use; client requests of different accounts share no lock.
type Pools struct {
	self      Process
	clock     ferry.Clock
	sender    Sender
	placement atomic.Pointer[Placement]
	sequence  atomic.Uint64
	pools     sync.Map
	// activated signals the first request of an account without a pool.
	activated chan struct{}
}

// NewPools returns pools without grants.
func NewPools(self Process, clock ferry.Clock, sender Sender) *Pools {
	p := &Pools{self: self, clock: clock, sender: sender, activated: make(chan struct{}, 1)}
	p.placement.Store(&Placement{})
	return p
}

// SetPlacement sets the holders to which requests are sent.
func (p *Pools) SetPlacement(placement Placement) {
	p.placement.Store(&placement)
}

// Admit implements ferry.Limiter.
func (p *Pools) Admit(ctx context.Context, account *ferry.Account) (ferry.Permit, error) {
	pool := p.pool(account.ID)
	taken, w, request := pool.admit(p.clock.Now(), p.nextSequence)
	if taken == nil && w == nil {
		p.pools.CompareAndDelete(account.ID, pool)
		return p.Admit(ctx, account)
	}
	p.send(request)
	if taken != nil {
		return taken, nil
	}
	select {
	case result := <-w.result:
		return result.unpack()
	case <-ctx.Done():
	}
	if !pool.removeWaiter(w) {
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

// HandleReply applies the reply of a holder.
func (p *Pools) HandleReply(now ferry.Moment, reply TokenReply) {
	if found, ok := p.pools.Load(reply.Account); ok {
		p.send(found.(*pool).handleReply(now, reply, p.nextSequence))
	}
}

// Activated returns a channel that receives a value when an account gets a
// pool, so that the owner can call Tick more often.
func (p *Pools) Activated() <-chan struct{} { return p.activated }

// Tick advances all pools to now. It should be called about every 20 ms while
// Count is not zero.
func (p *Pools) Tick(now ferry.Moment) {
	p.pools.Range(func(key, value any) bool {
		request, isIdle := value.(*pool).tick(now, p.nextSequence)
		p.send(request)
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
	found, isExisting := p.pools.LoadOrStore(id, &pool{account: id, pendingRequests: map[uint64]pendingRequest{}})
	if !isExisting {
		select {
		case p.activated <- struct{}{}:
		default:
		}
	}
	return found.(*pool)
}

func (p *Pools) nextSequence() uint64 { return p.sequence.Add(1) }

func (p *Pools) send(request TokenRequest) {
	if request.Sequence == 0 {
		return
	}
	request.From = p.self
	p.sender.SendRequest(p.placement.Load()[ShardOf(request.Account)], request)
}
