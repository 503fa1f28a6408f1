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
	// poolTickInterval is the time between two ticks of the pools, and
	// idleTickInterval that while no client account has a pool.
	poolTickInterval = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// leaseRequestInterval is the time between two requests for share leases.
	leaseRequestInterval = 500 * time.Millisecond
	// missingLeaseInterval is the time between two requests for missing leases.
	missingLeaseInterval = 100 * time.Millisecond
	// evictionInterval is the time between two evictions of idle buckets.
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
	// HeldShards is the number of shards that this VM should hold, and HeldShare
	// the average share that it holds of them, from 0 to 1.
	HeldShards int
	HeldShare  float64
	// Parts is the number of parts in force, or 0 while the VM owns no share.
	Parts int
	// LeasedShards is the number of shards whose own share is leased, and
	// LostLeases the number of leases that expired without a renewal or a release.
	LeasedShards int
	LostLeases   uint64
}

// allowanceLoop owns the lessor and the holder of this VM.
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
	// droppedRequests counts this VM's requests to itself that found the queue full.
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

// currentRequest returns the request for leases that the next heartbeats carry.
func (l *allowanceLoop) currentRequest() limit.LeaseRequest { return *l.leaseRequest.Load() }

// ejectionBudget returns the part of a shard's ejection budget that this VM holds.
func (l *allowanceLoop) ejectionBudget(shard int) float64 { return (*l.ejectionBudgets.Load())[shard] }

// post queues an event for the loop. It waits while the queue is full.
func (l *allowanceLoop) post(ctx context.Context, event allowanceEvent) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// SendRequest implements limit.Sender. A request that finds the queue full is
// dropped; its pool retries it.
func (l *allowanceLoop) SendRequest(to ferry.VMID, request limit.TokenRequest) {
	if to != l.self.VM {
		l.mesh.Send(to, request)
		return
	}
	select {
	case l.events <- allowanceEvent{tokenRequest: &request}:
	default:
		l.droppedRequests.Add(1)
	}
}

// run owns the lessor and the holder until ctx ends.
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
		l.applyPlacement(now)
	case event.tokenRequest != nil:
		l.pools.HandleReply(now, l.grant(now, *event.tokenRequest))
	case event.inbound != nil:
		l.receive(now, *event.inbound)
	}
}

func (l *allowanceLoop) setShare(now ferry.Moment) {
	l.lessor.SetShare(now, l.parts, l.view.Rank < l.parts)
}

// applyPlacement assigns the shards to the VMs of the current view. Shards that
// another VM should hold are released, and their tokens are handed over.
func (l *allowanceLoop) applyPlacement(now ferry.Moment) {
	placement := limit.NewPlacement(l.view.Holders())
	released := l.placement.HeldBy(l.self.VM) &^ placement.HeldBy(l.self.VM) & limit.AccountMask
	gained := placement.HeldBy(l.self.VM) &^ l.placement.HeldBy(l.self.VM)
	l.placement = placement
	l.pools.SetPlacement(placement)
	if released != 0 {
		l.releaseLeases(now, released)
	}
	l.renewLeases(now)
	if gained != 0 {
		l.requestMissing(now)
	}
}

func (l *allowanceLoop) releaseLeases(now ferry.Moment, released limit.Mask) {
	release, handOvers := l.holder.Release(now, released, l.placement)
	l.lessor.Release(now, release)
	for _, m := range l.view.Members {
		if m.VM.ID != l.self.VM {
			l.mesh.Send(m.VM.ID, release)
		}
	}
	for to, handOver := range handOvers {
		l.mesh.Send(to, handOver)
		l.log.Info("tokens handed over", slog.String("to", string(to)), slog.Int("accounts", len(handOver.Balances)))
	}
	if release.Mask != 0 {
		l.log.Info("shards released", slog.Int("shards", release.Mask.Count()), slog.Int("holders", len(handOvers)))
	}
}

// renewLeases requests the shares of the held shards from all VMs, including
// this one. The next heartbeats carry the request to the other VMs.
func (l *allowanceLoop) renewLeases(now ferry.Moment) {
	l.requestedAt = now
	request := l.holder.RequestLeases(now, l.placement.HeldBy(l.self.VM))
	l.leaseRequest.Store(&request)
	l.holder.Renew(now, l.lessor.Lease(now, request, l.placement))
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

// requestMissing sends the request for leases to the VMs that are up and have not
// leased their share, without waiting for the next heartbeat.
func (l *allowanceLoop) requestMissing(now ferry.Moment) {
	var up []ferry.VMID
	for _, m := range l.view.Members {
		if m.Up {
			up = append(up, m.VM.ID)
		}
	}
	missing := l.holder.MissingLessors(now, l.placement.HeldBy(l.self.VM), up)
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

// publish stores the state of the loop for other goroutines.
func (l *allowanceLoop) publish(now ferry.Moment) {
	usage := AllowanceUsage{Buckets: l.holder.Buckets(), Pools: l.pools.Count(), Parts: l.lessor.Parts(), LeasedShards: l.lessor.ActiveLeases(now), LostLeases: l.holder.LostLeases()}
	budgets := map[int]float64{}
	held := l.placement.HeldBy(l.self.VM)
	total := 0.0
	for shard := range limit.Shards {
		if !held.Has(shard) {
			continue
		}
		usage.HeldShards++
		total += l.holder.Share(now, shard)
		if !limit.AccountMask.Has(shard) {
			budgets[shard] = l.holder.ShareHeldFor(now, shard, requiredLeaseTime)
		}
	}
	if usage.HeldShards > 0 {
		usage.HeldShare = total / float64(usage.HeldShards)
	}
	l.usage.Store(&usage)
	l.ejectionBudgets.Store(&budgets)
}

func (l *allowanceLoop) grant(now ferry.Moment, request limit.TokenRequest) limit.TokenReply {
	reply := l.holder.Grant(now, request)
	if reply.Status != limit.StatusGranted {
		l.log.Info("tokens not granted", slog.String("account", string(request.Account)), slog.String("to", string(request.From.VM)),
			slog.Int("need", request.Needed), slog.Int("granted", reply.Granted), slog.String("reason", reply.Status.String()))
	}
	return reply
}

// receive handles a message of another VM.
func (l *allowanceLoop) receive(now ferry.Moment, inbound peer.Inbound) {
	switch message := inbound.Message.(type) {
	case peer.Heartbeat:
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

func (l *allowanceLoop) lease(now ferry.Moment, request limit.LeaseRequest) {
	l.mesh.Send(request.Holder.VM, l.lessor.Lease(now, request, l.placement))
}
