package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// simulation connects the controllers of this package by a simulated network.
// It is single-threaded and has a virtual clock; runs with the same seed are
// identical.
type simulation struct {
	now       time.Duration
	random    *rand.Rand
	events    eventQueue
	nextOrder int
	nodes     []*node
	accounts  []ferry.Account
	parts     int
	// delay returns the network delay of a message, or false for a loss.
	delay func(from, to *node) (time.Duration, bool)
	// duplicateShare is the share of messages that are delivered twice.
	duplicateShare float64
	// admitted lists the simulation times at which requests were admitted.
	admitted     map[ferry.AccountID][]time.Duration
	outcomes     map[ferry.AccountID]*outcomes
	messageCount int
}

// outcomes counts the results of the requests of an account.
type outcomes struct {
	sent, admitted, refused, unknown int
	waits                            []regionWait
}

// regionWait is the time that an admitted request waited on a VM of a region.
type regionWait struct {
	region int
	time   time.Duration
}

// node is one VM.
type node struct {
	sim    *simulation
	id     ferry.VMID
	self   Process
	region int
	// startedAt is the simulation time at which the process started.
	startedAt time.Duration
	// suspended is the time that the monotonic clock has lost to suspensions.
	suspended time.Duration
	// wallOffset is the error of the wall clock.
	wallOffset time.Duration
	frozen     bool
	// targetWait is the time that a request with a permit waits for a target.
	targetWait time.Duration
	alive      bool
	inbox      []func()

	lessor    *Lessor
	holder    *Holder
	placement Placement
	pools     map[ferry.AccountID]*pool
	waiting   []waitingRequest
	sequence  uint64
}

// waitingRequest is a client request that waits for its permit.
type waitingRequest struct {
	account      ferry.AccountID
	waiter       *waiter
	waitingSince time.Duration
}

// event is a function to run at a simulation time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, vms int, accounts ...ferry.Account) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), accounts: accounts, parts: vms,
		admitted: map[ferry.AccountID][]time.Duration{}, outcomes: map[ferry.AccountID]*outcomes{},
	}
	sim.delay = func(from, to *node) (time.Duration, bool) {
		if from.region == to.region {
			return 500 * time.Microsecond, true
		}
		return 4 * time.Millisecond, true
	}
	for _, account := range accounts {
		sim.outcomes[account.ID] = &outcomes{}
	}
	for i := range vms {
		n := &node{sim: sim, id: ferry.VMID(fmt.Sprintf("vm-%02d", i)), region: i % 3}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	sim.setViews(sim.liveIDs())
	return sim
}

func (sim *simulation) liveIDs() []ferry.VMID {
	var ids []ferry.VMID
	for _, n := range sim.nodes {
		if n.alive {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// setViews sets the same membership view on every VM.
func (sim *simulation) setViews(ids []ferry.VMID) {
	for _, n := range sim.nodes {
		n.setView(ids)
	}
}

func (sim *simulation) node(id ferry.VMID) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.nextOrder++
	heap.Push(&sim.events, event{at: at, order: sim.nextOrder, run: run})
}

// runUntil runs the events up to the given time.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// start starts a new process on the VM.
func (n *node) start() {
	n.alive, n.frozen, n.suspended, n.inbox = true, false, 0, nil
	n.startedAt = n.sim.now
	n.self = Process{VM: n.id, Incarnation: n.sim.random.Uint64()}
	n.lessor = NewLessor(n.self, n.clock())
	n.lessor.SetShare(n.clock(), n.sim.parts, true)
	n.holder = NewHolder(n.self)
	n.holder.SetAccounts(n.clock(), n.sim.accounts)
	n.pools = map[ferry.AccountID]*pool{}
	n.waiting = nil
	process := n.self
	offset := time.Duration(n.sim.random.Int64N(int64(leaseInterval)))
	n.sim.schedule(n.sim.now+offset, func() { n.leaseLoop(process) })
	n.sim.schedule(n.sim.now+offset, func() { n.tickLoop(process) })
}

// leaseInterval is the time between two lease requests.
const leaseInterval = 500 * time.Millisecond

// wallEpoch is the wall clock at the start of a test.
const wallEpoch = 1000 * time.Hour

// clock reads the two clocks of the VM.
func (n *node) clock() ferry.Moment {
	monotonic := n.sim.now - n.startedAt - n.suspended
	return ferry.Moment{Monotonic: monotonic, Wall: wallEpoch + n.sim.now + n.wallOffset}
}

// runWhenAwake runs a function on the VM now, or at the end of a freeze.
func (n *node) runWhenAwake(process Process, run func()) {
	if !n.alive || n.self != process {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, run)
		return
	}
	run()
}

// resume ends a freeze and runs the functions that were deferred meanwhile.
func (n *node) resume() {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// send runs a function on another VM after the network delay.
func (n *node) send(to ferry.VMID, run func(*node)) {
	sim := n.sim
	recipient := sim.node(to)
	if recipient == nil {
		return
	}
	copies := 1
	if sim.random.Float64() < sim.duplicateShare {
		copies = 2
	}
	for range copies {
		delay, ok := sim.delay(n, recipient)
		if !ok {
			continue
		}
		sim.messageCount++
		sim.schedule(sim.now+delay, func() {
			if recipient.alive {
				recipient.runWhenAwake(recipient.self, func() { run(recipient) })
			}
		})
	}
}

func (n *node) leaseLoop(process Process) {
	n.runWhenAwake(process, n.requestLeases)
	if n.alive && n.self == process {
		n.sim.schedule(n.sim.now+leaseInterval, func() { n.leaseLoop(process) })
	}
}

func (n *node) requestLeases() {
	request := n.holder.RequestLeases(n.clock(), n.placement.HeldBy(n.id))
	n.holder.Renew(n.clock(), n.lessor.Lease(n.clock(), request, n.placement))
	if request.Mask == 0 {
		return
	}
	for _, other := range n.sim.nodes {
		if other == n {
			continue
		}
		n.send(other.id, func(lessor *node) {
			reply := lessor.lessor.Lease(lessor.clock(), request, lessor.placement)
			lessor.send(n.id, func(holder *node) { holder.holder.Renew(holder.clock(), reply) })
		})
	}
}

// tickInterval is the time between two ticks of the pools.
const tickInterval = 20 * time.Millisecond

func (n *node) tickLoop(process Process) {
	n.runWhenAwake(process, n.tick)
	if n.alive && n.self == process {
		n.sim.schedule(n.sim.now+tickInterval, func() { n.tickLoop(process) })
	}
}

func (n *node) tick() {
	for _, account := range n.sim.accounts {
		p := n.pools[account.ID]
		if p == nil {
			continue
		}
		request, isIdle := p.tick(n.clock(), n.nextSequence)
		n.sendRequest(request)
		if isIdle {
			delete(n.pools, account.ID)
		}
	}
	n.collectResults()
}

func (n *node) nextSequence() uint64 {
	n.sequence++
	return n.sequence
}

func (n *node) sendRequest(request TokenRequest) {
	if request.Sequence == 0 {
		return
	}
	request.From = n.self
	to := n.placement[ShardOf(request.Account)]
	if to == n.id {
		n.receiveReply(n.holder.Grant(n.clock(), request))
		return
	}
	n.send(to, func(holder *node) {
		reply := holder.holder.Grant(holder.clock(), request)
		holder.send(n.id, func(requester *node) { requester.receiveReply(reply) })
	})
}

func (n *node) receiveReply(reply TokenReply) {
	if p := n.pools[reply.Account]; p != nil {
		n.sendRequest(p.handleReply(n.clock(), reply, n.nextSequence))
	}
	n.collectResults()
}

// setView sets the VM's membership view. It releases and hands over shards as
// package host does.
func (n *node) setView(ids []ferry.VMID) {
	if !n.alive {
		return
	}
	placement := NewPlacement(ids)
	lost := n.placement.HeldBy(n.id) &^ placement.HeldBy(n.id) & AccountMask
	n.placement = placement
	if lost != 0 {
		n.release(lost)
	}
	n.requestLeases()
}

func (n *node) release(lost Mask) {
	release, handOvers := n.holder.Release(n.clock(), lost, n.placement)
	for _, other := range n.sim.nodes {
		if other == n {
			n.lessor.Release(n.clock(), release)
			continue
		}
		n.send(other.id, func(lessor *node) { lessor.lessor.Release(lessor.clock(), release) })
	}
	for to, handOver := range handOvers {
		n.send(to, func(holder *node) { holder.holder.Accept(holder.clock(), handOver) })
	}
}

// request sends one client request of an account to this VM.
func (n *node) request(id ferry.AccountID) {
	o := n.sim.outcomes[id]
	o.sent++
	if !n.alive || n.frozen {
		o.unknown++
		return
	}
	p := n.pools[id]
	if p == nil {
		p = &pool{account: id, pendingRequests: map[uint64]pendingRequest{}}
		n.pools[id] = p
	}
	taken, w, request := p.admit(n.clock(), n.nextSequence)
	if taken != nil {
		n.spendAfterWait(id, taken, 0)
	} else {
		n.waiting = append(n.waiting, waitingRequest{account: id, waiter: w, waitingSince: n.sim.now})
	}
	n.sendRequest(request)
	n.collectResults()
}

// collectResults ends the waiting requests that have their result.
func (n *node) collectResults() {
	var kept []waitingRequest
	for _, r := range n.waiting {
		select {
		case result := <-r.waiter.result:
			switch {
			case result.permit != nil:
				n.spendAfterWait(r.account, result.permit, n.sim.now-r.waitingSince)
			case result.refusal.Reason == ferry.ReasonOverAllowance:
				n.sim.outcomes[r.account].refused++
			default:
				n.sim.outcomes[r.account].unknown++
			}
		default:
			kept = append(kept, r)
		}
	}
	n.waiting = kept
}

// spendAfterWait spends a permit after targetWait.
func (n *node) spendAfterWait(id ferry.AccountID, taken *permit, wait time.Duration) {
	if n.targetWait == 0 {
		n.spend(id, taken, wait)
		return
	}
	process := n.self
	n.sim.schedule(n.sim.now+n.targetWait, func() { n.runWhenAwake(process, func() { n.spend(id, taken, wait) }) })
}

func (n *node) spend(id ferry.AccountID, taken *permit, wait time.Duration) {
	o := n.sim.outcomes[id]
	if !taken.Spend(n.clock()) {
		o.unknown++
		return
	}
	o.admitted++
	o.waits = append(o.waits, regionWait{region: n.region, time: wait})
	n.sim.admitted[id] = append(n.sim.admitted[id], n.sim.now)
}

// scheduleSurges lets an account's bucket fill and then sends far more
// requests, so that a token that exists twice is also spent twice.
func (sim *simulation) scheduleSurges(account ferry.Account, until time.Duration) {
	const pause, surge = 1300 * time.Millisecond, 500 * time.Millisecond
	for start := sim.now; start < until; start += pause + surge {
		for range int(2 * account.Burst) {
			at := start + time.Duration(sim.random.Int64N(int64(surge)))
			sim.schedule(at, func() { sim.nodes[sim.random.IntN(len(sim.nodes))].request(account.ID) })
		}
	}
}

// totals returns the sums of the held shares and of the tokens in the buckets
// and pools of an account. It skips frozen VMs, which cannot use theirs.
func (sim *simulation) totals(account ferry.Account) (share, tokens float64) {
	shard := ShardOf(account.ID)
	for _, n := range sim.nodes {
		if !n.alive || n.frozen {
			continue
		}
		now := n.clock()
		share += n.holder.Share(now, shard)
		if b := n.holder.buckets[account.ID]; b != nil {
			b.advance(&n.holder.shards[shard], now.Monotonic)
			tokens += b.level
		}
		if p := n.pools[account.ID]; p != nil {
			for _, grant := range p.grants {
				if grant.isValid(now) {
					tokens += float64(grant.available + grant.reserved)
				}
			}
		}
	}
	return share, tokens
}

// scheduleAudit evaluates totals every few milliseconds and keeps the maxima.
func (sim *simulation) scheduleAudit(account ferry.Account, until time.Duration, worst *auditResult) {
	const every = 7 * time.Millisecond
	share, tokens := sim.totals(account)
	worst.share, worst.tokens = max(worst.share, share), max(worst.tokens, tokens)
	if sim.now+every <= until {
		sim.schedule(sim.now+every, func() { sim.scheduleAudit(account, until, worst) })
	}
}

// auditResult holds the largest totals that were seen at one time.
type auditResult struct {
	share, tokens float64
}

// maxOverrun returns the largest number of requests by which any sliding window
// exceeds burst + rate * window. It evaluates the limit directly.
func maxOverrun(times []time.Duration, account ferry.Account) float64 {
	slices.Sort(times)
	worst := 0.0
	level := account.Burst
	for i, at := range times {
		if i > 0 {
			level = min(account.Burst, level+account.Rate*(at-times[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// roundingTolerance allows for rounding in sums of floating-point numbers.
const roundingTolerance = 1e-6
