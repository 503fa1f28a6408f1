package host

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/member"
	"monsoonferry.org/ferry/peer"
)

const (
	// poolTickInterval is the time between two ticks of the pools, and idleTick that
	// while no client account is in use.
	poolTickInterval = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// leaseRequestInterval is the time between two asks for shares.
	leaseRequestInterval = 500 * time.Millisecond
	// missingLeaseInterval is the time after which VMs that have not lent are asked again.
	missingLeaseInterval = 100 * time.Millisecond
	// evictionInterval is the time between two searches for idle buckets.
	evictionInterval = 10 * time.Second
)

// allowanceEvent is an input of the allowance loop.
type allowanceEvent struct {
	inventory    *ferry.Inventory
	view         *member.View
	inbound      *peer.Inbound
	tokenRequest *limit.TokenRequest
}

// AllowanceUsage is the published state of the allowance loop.
type AllowanceUsage struct {
	Buckets int
	Pools   int
	// HeldShards is the number of shards that this VM should hold, and Share the
	// average share held of them.
	HeldShards int
	HeldShare  float64
	// Parts is the number of parts in force, or 0 while the VM lends none.
	Parts int
	// LeasedShards is the number of shards whose own share is lent, and Lost the number
	// of leases that ended without a renewal so far.
	LeasedShards int
	LostLeases   uint64
}

// allowanceLoop owns lender and holder.
type allowanceLoop struct {
	self   limit.Process
	clock  ferry.Clock
	log    *slog.Logger
	mesh   *peer.Mesh
	pools  *limit.Pools
	events chan allowanceEvent

	lessor      *limit.Lessor
	holder      *limit.Holder
	view        member.View
	placement   limit.Placement
	parts       int
	requestedAt ferry.Moment
	evictedAt   ferry.Moment

	leaseRequest    atomic.Pointer[limit.LeaseRequest]
	usage           atomic.Pointer[AllowanceUsage]
	ejectionBudgets atomic.Pointer[map[int]float64]
	// droppedRequests counts own asks that found the queue full.
	droppedRequests atomic.Uint64
}

func newAllowanceLoop(self limit.Process, clock ferry.Clock, log *slog.Logger, mesh *peer.Mesh) *allowanceLoop {
	loop := &allowanceLoop{
		self: self, clock: clock, log: log, mesh: mesh,
		events: make(chan allowanceEvent, loopQueueSize),
		lessor: limit.NewLessor(self, clock.Now()),
		holder: limit.NewHolder(self),
	}
	loop.pools = limit.NewPools(self, clock, loop)
	loop.leaseRequest.Store(&limit.LeaseRequest{})
	loop.usage.Store(&AllowanceUsage{})
	loop.ejectionBudgets.Store(&map[int]float64{})
	return loop
}

// currentRequest returns the ask for shares that the next heartbeats carry.
func (l *allowanceLoop) currentRequest() limit.LeaseRequest { return *l.leaseRequest.Load() }

// ejectionBudget returns the part of the ejectionBudget to eject that this VM holds.
func (l *allowanceLoop) ejectionBudget(shard int) float64 { return (*l.ejectionBudgets.Load())[shard] }

// post hands an event to the loop. It waits while the queue is full.
func (l *allowanceLoop) post(ctx context.Context, event allowanceEvent) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// SendRequest implements limit.Sender. An ask that finds the queue full is lost
// and repeated by its pool.
func (l *allowanceLoop) SendRequest(to ferry.VMID, ask limit.TokenRequest) {
	if to != l.self.VM {
		l.mesh.Send(to, ask)
		return
	}
	select {
	case l.events <- allowanceEvent{tokenRequest: &ask}:
	default:
		l.droppedRequests.Add(1)
	}
}

// run owns lender and holder until ctx ends.
func (l *allowanceLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(idleTickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.events:
			l.handle(event)
		case <-l.pools.Activated():
			ticker.Reset(poolTickInterval)
		case <-ticker.C:
			l.tick()
			if l.pools.Count() == 0 {
				ticker.Reset(idleTickInterval)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *allowanceLoop) handle(event allowanceEvent) {
	now := l.clock.Now()
	switch {
	case event.inventory != nil:
		l.parts = event.inventory.MaxVMs
		l.holder.SetAccounts(now, event.inventory.Accounts)
		l.setShare(now)
	case event.view != nil:
		l.view = *event.view
		l.setShare(now)
		l.applyView(now)
	case event.tokenRequest != nil:
		l.pools.HandleReply(now, l.grant(now, *event.tokenRequest))
	case event.inbound != nil:
		l.receive(now, *event.inbound)
	}
}

func (l *allowanceLoop) setShare(now ferry.Moment) {
	l.lessor.SetShare(now, l.parts, l.view.Rank < l.parts)
}

// applyView follows a changed view. Shards that another VM should hold are given
// back with their tokens.
func (l *allowanceLoop) applyView(now ferry.Moment) {
	placement := limit.NewPlacement(l.view.Holders())
	lost := l.placement.HeldBy(l.self.VM) &^ placement.HeldBy(l.self.VM) & limit.AccountMask
	gained := placement.HeldBy(l.self.VM) &^ l.placement.HeldBy(l.self.VM)
	l.placement = placement
	l.pools.SetPlacement(placement)
	if lost != 0 {
		l.releaseLeases(now, lost)
	}
	l.renewLeases(now)
	if gained != 0 {
		l.requestMissing(now)
	}
}

func (l *allowanceLoop) releaseLeases(now ferry.Moment, lost limit.Mask) {
	back, handOvers := l.holder.Release(now, lost, l.placement)
	l.lessor.Release(now, back)
	for _, m := range l.view.Members {
		if m.VM.ID != l.self.VM {
			l.mesh.Send(m.VM.ID, back)
		}
	}
	for to, handOver := range handOvers {
		l.mesh.Send(to, handOver)
		l.log.Info("tokens handed over", slog.String("to", string(to)), slog.Int("accounts", len(handOver.Balances)))
	}
	if back.Mask != 0 {
		l.log.Info("shards released", slog.Int("shards", back.Mask.Count()), slog.Int("holders", len(handOvers)))
	}
}

// renewLeases asks every VM, this one included, for the shares of the held shards.
func (l *allowanceLoop) renewLeases(now ferry.Moment) {
	l.requestedAt = now
	ask := l.holder.RequestLeases(now, l.placement.HeldBy(l.self.VM))
	l.leaseRequest.Store(&ask)
	l.holder.Renew(now, l.lessor.Lease(now, ask, l.placement))
	l.publish(now)
}

func (l *allowanceLoop) tick() {
	now := l.clock.Now()
	l.pools.Tick(now)
	switch age := now.Since(l.requestedAt); {
	case age >= leaseRequestInterval:
		l.renewLeases(now)
	case age >= missingLeaseInterval:
		l.requestMissing(now)
	}
	if now.Since(l.evictedAt) >= evictionInterval {
		l.evictedAt = now
		l.holder.EvictIdle(now)
	}
}

// requestMissing asks the VMs that are up and have not lent their share, without
// waiting for the next heartbeat.
func (l *allowanceLoop) requestMissing(now ferry.Moment) {
	var others []ferry.VMID
	for _, m := range l.view.Members {
		if m.Up {
			others = append(others, m.VM.ID)
		}
	}
	missing := l.holder.MissingLessors(now, l.placement.HeldBy(l.self.VM), others)
	if len(missing) == 0 {
		return
	}
	if now.Since(l.requestedAt) > 0 {
		l.renewLeases(now)
	}
	for _, id := range missing {
		if id != l.self.VM {
			l.mesh.Send(id, l.currentRequest())
		}
	}
}

// publish makes the state of the loop visible to others.
func (l *allowanceLoop) publish(now ferry.Moment) {
	usage := AllowanceUsage{Buckets: l.holder.Buckets(), Pools: l.pools.Count(), Parts: l.lessor.Parts(), LeasedShards: l.lessor.ActiveLeases(now), LostLeases: l.holder.LostLeases()}
	rights := map[int]float64{}
	held := l.placement.HeldBy(l.self.VM)
	total := 0.0
	for shard := range limit.Shards {
		if !held.Has(shard) {
			continue
		}
		usage.HeldShards++
		total += l.holder.Share(now, shard)
		if !limit.AccountMask.Has(shard) {
			rights[shard] = l.holder.ShareHeldFor(now, shard, requiredLeaseTime)
		}
	}
	if usage.HeldShards > 0 {
		usage.HeldShare = total / float64(usage.HeldShards)
	}
	l.usage.Store(&usage)
	l.ejectionBudgets.Store(&rights)
}

func (l *allowanceLoop) grant(now ferry.Moment, ask limit.TokenRequest) limit.TokenReply {
	answer := l.holder.Grant(now, ask)
	if answer.Status != limit.StatusGranted {
		l.log.Info("tokens not granted", slog.String("account", string(ask.Account)), slog.String("to", string(ask.From.VM)),
			slog.Int("need", ask.Needed), slog.Int("granted", answer.Granted), slog.String("reason", answer.Status.String()))
	}
	return answer
}

// receive handles the messages of other VMs.
func (l *allowanceLoop) receive(now ferry.Moment, inbound peer.Inbound) {
	switch message := inbound.Message.(type) {
	case peer.Beat:
		if message.LeaseMask != 0 {
			l.lease(now, limit.LeaseRequest{Holder: inbound.From, Sequence: message.LeaseSequence, Mask: message.LeaseMask})
		}
	case limit.LeaseRequest:
		l.lease(now, message)
	case limit.LeaseReply:
		l.holder.Renew(now, message)
	case limit.LeaseRelease:
		l.lessor.Release(now, message)
	case limit.HandOver:
		l.holder.Accept(now, message)
	case limit.TokenRequest:
		l.mesh.Send(inbound.From.VM, l.grant(now, message))
	case limit.TokenReply:
		l.pools.HandleReply(now, message)
	}
}

func (l *allowanceLoop) lease(now ferry.Moment, ask limit.LeaseRequest) {
	l.mesh.Send(ask.Holder.VM, l.lessor.Lease(now, ask, l.placement))
}
