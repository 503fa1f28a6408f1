package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// world is a small fake of the network between the controllers of this
// package. It has one thread and a virtual clock; every run with the same seed
// is the same.
type world struct {
	now      time.Duration
	random   *rand.Rand
	queue    delivery
	order    int
	nodes    []*node
	accounts []ferry.Account
	parts    int
	// delay returns the time of a message on its way, or false for a loss.
	delay func(from, to *node) (time.Duration, bool)
	// doubled is the share of messages that arrive twice.
	doubled float64
	// admitted lists the true times at which requests were admitted.
	admitted map[ferry.AccountID][]time.Duration
	outcomes map[ferry.AccountID]*outcomes
	messages int
}

// outcomes counts what became of the requests of an account.
type outcomes struct {
	sent, admitted, refused, unknown int
	waits                            []regionWait
}

// regionWait is the wait of an admitted request on a VM of a region.
type regionWait struct {
	region int
	time   time.Duration
}

// node is one VM.
type node struct {
	world  *world
	id     ferry.VMID
	self   Process
	region int
	// started is the true time at which the process started.
	started time.Duration
	// paused is the time that the steady clock has lost to suspensions.
	paused time.Duration
	// wall is the offset of the wall clock.
	wall   time.Duration
	frozen bool
	// useDelay is the time that a request waits for a target with its permit.
	useDelay time.Duration
	alive    bool
	inbox    []func()

	lender    *Lessor
	holder    *Holder
	placement Placement
	pools     map[ferry.AccountID]*pool
	waiting   []request
	sequence  uint64
}

// request is a waiting request.
type request struct {
	account ferry.AccountID
	waiter  *waiter
	since   time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type delivery []event

func (d delivery) Len() int { return len(d) }
func (d delivery) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d delivery) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *delivery) Push(x any)   { *d = append(*d, x.(event)) }
func (d *delivery) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, vms int, accounts ...ferry.Account) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), accounts: accounts, parts: vms,
		admitted: map[ferry.AccountID][]time.Duration{}, outcomes: map[ferry.AccountID]*outcomes{},
	}
	w.delay = func(from, to *node) (time.Duration, bool) {
		if from.region == to.region {
			return 500 * time.Microsecond, true
		}
		return 4 * time.Millisecond, true
	}
	for _, account := range accounts {
		w.outcomes[account.ID] = &outcomes{}
	}
	for i := range vms {
		n := &node{world: w, id: ferry.VMID(fmt.Sprintf("vm-%02d", i)), region: i % 3}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	w.setViews(w.ids())
	return w
}

func (w *world) ids() []ferry.VMID {
	var ids []ferry.VMID
	for _, n := range w.nodes {
		if n.alive {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// setViews gives every VM the same view.
func (w *world) setViews(ids []ferry.VMID) {
	for _, n := range w.nodes {
		n.setView(ids)
	}
}

func (w *world) node(id ferry.VMID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: t, order: w.order, run: run})
}

// runUntil lets events happen until the given time.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// start starts a new process on the VM.
func (n *node) start() {
	n.alive, n.frozen, n.paused, n.inbox = true, false, 0, nil
	n.started = n.world.now
	n.self = Process{VM: n.id, Incarnation: n.world.random.Uint64()}
	n.lender = NewLessor(n.self, n.clock())
	n.lender.SetShare(n.clock(), n.world.parts, true)
	n.holder = NewHolder(n.self)
	n.holder.SetAccounts(n.clock(), n.world.accounts)
	n.pools = map[ferry.AccountID]*pool{}
	n.waiting = nil
	process := n.self
	offset := time.Duration(n.world.random.Int64N(int64(askEvery)))
	n.world.at(n.world.now+offset, func() { n.askLoop(process) })
	n.world.at(n.world.now+offset, func() { n.tickLoop(process) })
}

// askEvery is the time between two asks for shares.
const askEvery = 500 * time.Millisecond

// epoch is the wall clock at the start of a test.
const epoch = 1000 * time.Hour

// clock reads the two clocks of the VM.
func (n *node) clock() ferry.Moment {
	steady := n.world.now - n.started - n.paused
	return ferry.Moment{Steady: steady, Wall: epoch + n.world.now + n.wall}
}

// do runs something on the VM now, or when it wakes up.
func (n *node) do(process Process, run func()) {
	if !n.alive || n.self != process {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, run)
		return
	}
	run()
}

// wake ends a freeze. What arrived meanwhile is handled now.
func (n *node) wake() {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// send delivers something to another VM.
func (n *node) send(to ferry.VMID, run func(*node)) {
	w := n.world
	target := w.node(to)
	if target == nil {
		return
	}
	copies := 1
	if w.random.Float64() < w.doubled {
		copies = 2
	}
	for range copies {
		delay, ok := w.delay(n, target)
		if !ok {
			continue
		}
		w.messages++
		w.at(w.now+delay, func() {
			if target.alive {
				target.do(target.self, func() { run(target) })
			}
		})
	}
}

func (n *node) askLoop(process Process) {
	n.do(process, n.ask)
	if n.alive && n.self == process {
		n.world.at(n.world.now+askEvery, func() { n.askLoop(process) })
	}
}

func (n *node) ask() {
	ask := n.holder.RequestLeases(n.clock(), n.placement.HeldBy(n.id))
	n.holder.Renew(n.clock(), n.lender.Lease(n.clock(), ask, n.placement))
	if ask.Mask == 0 {
		return
	}
	for _, other := range n.world.nodes {
		if other == n {
			continue
		}
		n.send(other.id, func(lender *node) {
			answer := lender.lender.Lease(lender.clock(), ask, lender.placement)
			lender.send(n.id, func(holder *node) { holder.holder.Renew(holder.clock(), answer) })
		})
	}
}

// tickEvery is the time between two ticks of the pools.
const tickEvery = 20 * time.Millisecond

func (n *node) tickLoop(process Process) {
	n.do(process, n.tick)
	if n.alive && n.self == process {
		n.world.at(n.world.now+tickEvery, func() { n.tickLoop(process) })
	}
}

func (n *node) tick() {
	for _, account := range n.world.accounts {
		p := n.pools[account.ID]
		if p == nil {
			continue
		}
		ask, isIdle := p.tick(n.clock(), n.next)
		n.sendAsk(ask)
		if isIdle {
			delete(n.pools, account.ID)
		}
	}
	n.collect()
}

func (n *node) next() uint64 {
	n.sequence++
	return n.sequence
}

func (n *node) sendAsk(ask TokenRequest) {
	if ask.Sequence == 0 {
		return
	}
	ask.From = n.self
	to := n.placement[ShardOf(ask.Account)]
	if to == n.id {
		n.receiveAnswer(n.holder.Grant(n.clock(), ask))
		return
	}
	n.send(to, func(holder *node) {
		answer := holder.holder.Grant(holder.clock(), ask)
		holder.send(n.id, func(asker *node) { asker.receiveAnswer(answer) })
	})
}

func (n *node) receiveAnswer(answer TokenReply) {
	if p := n.pools[answer.Account]; p != nil {
		n.sendAsk(p.answer(n.clock(), answer, n.next))
	}
	n.collect()
}

// setView gives the VM a view. It hands shards over as the host does.
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
	n.ask()
}

func (n *node) release(lost Mask) {
	back, handOvers := n.holder.Release(n.clock(), lost, n.placement)
	for _, other := range n.world.nodes {
		if other == n {
			n.lender.Release(n.clock(), back)
			continue
		}
		n.send(other.id, func(lender *node) { lender.lender.Release(lender.clock(), back) })
	}
	for to, message := range handOvers {
		n.send(to, func(holder *node) { holder.holder.Accept(holder.clock(), message) })
	}
}

// request sends one request of an account to this VM.
func (n *node) request(id ferry.AccountID) {
	o := n.world.outcomes[id]
	o.sent++
	if !n.alive || n.frozen {
		o.unknown++
		return
	}
	p := n.pools[id]
	if p == nil {
		p = &pool{account: id, pending: map[uint64]pendingAsk{}}
		n.pools[id] = p
	}
	taken, w, ask := p.admit(n.clock(), n.next)
	if taken != nil {
		n.spend(id, taken, 0)
	} else {
		n.waiting = append(n.waiting, request{account: id, waiter: w, since: n.world.now})
	}
	n.sendAsk(ask)
	n.collect()
}

// collect ends the requests that have their result.
func (n *node) collect() {
	var kept []request
	for _, r := range n.waiting {
		select {
		case result := <-r.waiter.result:
			switch {
			case result.permit != nil:
				n.spend(r.account, result.permit, n.world.now-r.since)
			case result.refusal.Reason == ferry.ReasonOverAllowance:
				n.world.outcomes[r.account].refused++
			default:
				n.world.outcomes[r.account].unknown++
			}
		default:
			kept = append(kept, r)
		}
	}
	n.waiting = kept
}

// spend uses a permit once the request has waited for a target.
func (n *node) spend(id ferry.AccountID, taken *permit, wait time.Duration) {
	if n.useDelay == 0 {
		n.use(id, taken, wait)
		return
	}
	process := n.self
	n.world.at(n.world.now+n.useDelay, func() { n.do(process, func() { n.use(id, taken, wait) }) })
}

func (n *node) use(id ferry.AccountID, taken *permit, wait time.Duration) {
	o := n.world.outcomes[id]
	if !taken.Spend(n.clock()) {
		o.unknown++
		return
	}
	o.admitted++
	o.waits = append(o.waits, regionWait{region: n.region, time: wait})
	n.world.admitted[id] = append(n.world.admitted[id], n.world.now)
}

// surges lets an account fill its bucket and then asks for far more, so that a
// token which exists twice is also used twice.
func (w *world) surges(account ferry.Account, until time.Duration) {
	const pause, surge = 1300 * time.Millisecond, 500 * time.Millisecond
	for start := w.now; start < until; start += pause + surge {
		for range int(2 * account.Burst) {
			at := start + time.Duration(w.random.Int64N(int64(surge)))
			w.at(at, func() { w.nodes[w.random.IntN(len(w.nodes))].request(account.ID) })
		}
	}
}

// ledger sums up the rights that exist for an account: the shares held and the
// tokens in buckets and pools. Frozen VMs cannot use theirs.
func (w *world) ledger(account ferry.Account) (share, tokens float64) {
	shard := ShardOf(account.ID)
	for _, n := range w.nodes {
		if !n.alive || n.frozen {
			continue
		}
		now := n.clock()
		share += n.holder.Share(now, shard)
		if b := n.holder.buckets[account.ID]; b != nil {
			b.advance(&n.holder.shards[shard], now.Steady)
			tokens += b.level
		}
		if p := n.pools[account.ID]; p != nil {
			for _, batch := range p.batches {
				if batch.isValid(now) {
					tokens += float64(batch.free + batch.taken)
				}
			}
		}
	}
	return share, tokens
}

// audit evaluates the ledger every few milliseconds and keeps the worst.
func (w *world) audit(account ferry.Account, until time.Duration, worst *audit) {
	const every = 7 * time.Millisecond
	share, tokens := w.ledger(account)
	worst.share, worst.tokens = max(worst.share, share), max(worst.tokens, tokens)
	if w.now+every <= until {
		w.at(w.now+every, func() { w.audit(account, until, worst) })
	}
}

// audit is the largest sum of rights that existed at one time.
type audit struct {
	share, tokens float64
}

// excess returns by how many requests the worst sliding window exceeds burst +
// rate * window. It is a direct evaluation of the promise.
func excess(times []time.Duration, account ferry.Account) float64 {
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

// slack allows for the rounding of sums of floating-point numbers.
const slack = 1e-6
