package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// smallAccount is an account whose burst equals its rate for one second, so
// that both burst and rate limit its requests.
var smallAccount = ferry.Account{ID: "small", Rate: 20, Burst: 20}

// vmCount is the number of VMs. It is small, so that a share that is held twice
// exceeds the allowance noticeably.
const vmCount = 5

// warmUpTime is the time after which every share is leased.
const warmUpTime = 5 * time.Second

// TestNeverOverAllowance injects each failure that the limit must withstand,
// under several times the allowed traffic, and checks every sliding window.
func TestNeverOverAllowance(t *testing.T) {
	holderOf := func(sim *simulation) *node { return sim.node(sim.nodes[0].placement[ShardOf(smallAccount.ID)]) }
	partition := func(sim *simulation, blocked func(from, to *node) bool) {
		connectedDelay := sim.delay
		sim.delay = func(from, to *node) (time.Duration, bool) {
			if blocked(from, to) {
				return 0, false
			}
			return connectedDelay(from, to)
		}
	}
	idsOf := func(sim *simulation, keep func(*node) bool) []ferry.VMID {
		var ids []ferry.VMID
		for _, n := range sim.nodes {
			if keep(n) {
				ids = append(ids, n.id)
			}
		}
		return ids
	}
	scenarios := []struct {
		name   string
		inject func(sim *simulation)
	}{
		{"no fault", func(*simulation) {}},
		{"views differ", func(sim *simulation) {
			for i, n := range sim.nodes {
				n.setView(idsOf(sim, func(other *node) bool { return other == n || other.id != sim.nodes[(i+1)%len(sim.nodes)].id }))
			}
		}},
		{"region partitioned", func(sim *simulation) {
			partition(sim, func(from, to *node) bool { return (from.region == 0) != (to.region == 0) })
			for _, n := range sim.nodes {
				n.setView(idsOf(sim, func(other *node) bool { return (other.region == 0) == (n.region == 0) }))
			}
		}},
		{"region partitioned one way", func(sim *simulation) {
			partition(sim, func(from, to *node) bool { return from.region == 0 && to.region != 0 })
			for _, n := range sim.nodes {
				n.setView(idsOf(sim, func(other *node) bool { return (other.region == 0) == (n.region == 0) }))
			}
		}},
		{"holder killed", func(sim *simulation) {
			holderOf(sim).alive = false
			sim.setViews(sim.liveIDs())
		}},
		{"holder frozen and resumed late", func(sim *simulation) {
			holder := holderOf(sim)
			holder.frozen = true
			sim.schedule(sim.now+time.Second, func() {
				for _, n := range sim.nodes {
					if n != holder {
						n.setView(idsOf(sim, func(other *node) bool { return other != holder }))
					}
				}
			})
			sim.schedule(sim.now+8*time.Second, func() { holder.resume() })
		}},
		{"holder suspended with its monotonic clock", func(sim *simulation) {
			holder := holderOf(sim)
			holder.frozen = true
			sim.schedule(sim.now+time.Second, func() {
				for _, n := range sim.nodes {
					if n != holder {
						n.setView(idsOf(sim, func(other *node) bool { return other != holder }))
					}
				}
			})
			sim.schedule(sim.now+8*time.Second, func() {
				holder.suspended += 8 * time.Second
				holder.resume()
			})
		}},
		{"entry VMs suspended between grant and use", func(sim *simulation) {
			for _, n := range sim.nodes[:3] {
				n.frozen = true
			}
			sim.schedule(sim.now+5*time.Second, func() {
				for _, n := range sim.nodes[:3] {
					n.suspended += 5 * time.Second
					n.resume()
				}
			})
		}},
		{"entry VMs frozen while requests with permits wait", func(sim *simulation) {
			for _, n := range sim.nodes {
				n.targetWait = GrantLifetime / 2
			}
			for pause := range 4 {
				start := sim.now + time.Duration(pause)*2*time.Second
				sim.schedule(start+GrantLifetime, func() { setFrozen(sim.nodes[:3], true) })
				sim.schedule(start+4*GrantLifetime, func() { setFrozen(sim.nodes[:3], false) })
			}
		}},
		{"wall clocks stepped both ways", func(sim *simulation) {
			for i, n := range sim.nodes {
				n.wallOffset = time.Duration(i%3-1) * time.Hour
			}
			sim.schedule(sim.now+2*time.Second, func() {
				for _, n := range sim.nodes {
					n.wallOffset = -n.wallOffset
				}
			})
		}},
		{"messages duplicated, delayed and reordered", func(sim *simulation) {
			sim.duplicateShare = 0.5
			sim.delay = func(*node, *node) (time.Duration, bool) {
				return time.Duration(sim.random.ExpFloat64() * float64(150*time.Millisecond)), true
			}
		}},
		{"VM replaced at the same address", func(sim *simulation) {
			holder := holderOf(sim)
			holder.alive = false
			sim.schedule(sim.now+50*time.Millisecond, func() {
				holder.start()
				sim.setViews(sim.liveIDs())
			})
		}},
		{"lessors restarted before their leases expired", func(sim *simulation) {
			holder := holderOf(sim)
			for _, n := range sim.nodes {
				if n != holder {
					n.start()
					n.setView(sim.liveIDs())
				}
			}
			sim.schedule(sim.now+500*time.Millisecond, func() {
				for _, n := range sim.nodes {
					if n != holder {
						n.setView(idsOf(sim, func(other *node) bool { return other != holder }))
					}
				}
			})
		}},
		{"holder moves back and forth", func(sim *simulation) {
			holder := holderOf(sim)
			for i := range 10 {
				sim.schedule(sim.now+time.Duration(i)*700*time.Millisecond, func() {
					sim.setViews(idsOf(sim, func(n *node) bool { return i%2 == 1 || n != holder }))
				})
			}
		}},
		{"MaxVMs raised on one VM at a time", func(sim *simulation) {
			for i, n := range sim.nodes {
				sim.schedule(sim.now+time.Duration(i)*300*time.Millisecond, func() { n.lessor.SetShare(n.clock(), sim.parts+4, true) })
			}
		}},
		{"MaxVMs lowered on one VM at a time", func(sim *simulation) {
			// The inventory lists fewer VMs; the other VMs have stopped before.
			for _, n := range sim.nodes[4:] {
				n.alive = false
			}
			for i, n := range sim.nodes[:4] {
				sim.schedule(sim.now+time.Duration(i)*300*time.Millisecond, func() {
					n.lessor.SetShare(n.clock(), 4, true)
					n.setView(sim.liveIDs())
				})
			}
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				sim := newSimulation(seed, vmCount, smallAccount)
				end := warmUpTime + 12*time.Second
				var worst auditResult
				sim.scheduleSurges(smallAccount, end)
				sim.scheduleAudit(smallAccount, end, &worst)
				sim.schedule(warmUpTime+time.Duration(sim.random.Int64N(int64(2*time.Second))), func() { scenario.inject(sim) })
				sim.runUntil(end)
				is.True(sim.outcomes[smallAccount.ID].admitted > 50) // the traffic reaches the limit
				is.True(maxOverrun(sim.admitted[smallAccount.ID], smallAccount) <= roundingTolerance)
				is.True(worst.share <= 1+roundingTolerance)
				is.True(worst.tokens <= smallAccount.Burst+roundingTolerance)
			}
		})
	}
}

// TestMoreVMsThanMaxVMs runs one VM more than MaxVMs. The last VM owns no
// share.
func TestMoreVMsThanMaxVMs(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, vmCount, smallAccount)
	sim.parts = vmCount - 1
	for i, n := range sim.nodes {
		n.lessor = NewLessor(n.self, n.clock())
		n.lessor.SetShare(n.clock(), sim.parts, i < sim.parts)
	}
	end := 15 * time.Second
	var worst auditResult
	sim.scheduleSurges(smallAccount, end)
	sim.scheduleAudit(smallAccount, end, &worst)
	sim.runUntil(end)
	is.True(maxOverrun(sim.admitted[smallAccount.ID], smallAccount) <= roundingTolerance)
	is.True(worst.share <= 1+roundingTolerance)
	is.Equal(sim.nodes[vmCount-1].lessor.Parts(), 0)
}

// TestHandOverKeepsTokens moves a shard from a holder with a full bucket. The
// next holder receives its tokens, more than it could have accrued.
func TestHandOverKeepsTokens(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, smallAccount)
	sim.runUntil(warmUpTime)
	old := sim.node(sim.nodes[0].placement[ShardOf(smallAccount.ID)])
	old.request(smallAccount.ID) // creates the bucket
	sim.runUntil(warmUpTime + time.Second)
	var others []ferry.VMID
	for _, n := range sim.nodes {
		if n != old {
			others = append(others, n.id)
		}
	}
	sim.setViews(others)
	sim.runUntil(warmUpTime + time.Second + GrantLifetime + MaxClockDrift + leaseInterval + 20*time.Millisecond)
	next := sim.node(sim.nodes[0].placement[ShardOf(smallAccount.ID)])
	is.True(next != old)
	s := &next.holder.shards[ShardOf(smallAccount.ID)]
	b := next.holder.buckets[smallAccount.ID]
	is.True(b != nil) // the hand-over created the bucket
	b.advance(s, next.clock().Monotonic)
	accrued := smallAccount.Rate * (leaseInterval + 20*time.Millisecond).Seconds()
	is.True(b.level > accrued || b.level >= 0.9*s.share()*smallAccount.Burst) // more than could have accrued
}

// TestIdleAccountsCostNothing checks that memory and messages depend on the
// accounts in use, not on those in the inventory.
func TestIdleAccountsCostNothing(t *testing.T) {
	is := is.New(t)
	accounts := make([]ferry.Account, 27000)
	for i := range accounts {
		accounts[i] = ferry.Account{ID: ferry.AccountID(string(rune('a'+i%26)) + time.Duration(i).String()), Rate: 20, Burst: 10}
	}
	accounts[0] = smallAccount
	sim := newSimulation(1, 3, smallAccount)
	for _, n := range sim.nodes {
		n.holder.SetAccounts(n.clock(), accounts)
	}
	sim.runUntil(warmUpTime)
	before := sim.messageCount
	sim.runUntil(warmUpTime + 5*time.Second)
	idle := sim.messageCount - before
	is.True(idle <= 3*2*2*11) // lease requests and their replies only
	sim.nodes[0].request(smallAccount.ID)
	sim.runUntil(warmUpTime + 6*time.Second)
	total := 0
	for _, n := range sim.nodes {
		total += n.holder.EvictIdle(n.clock())
	}
	is.Equal(total, 0) // a full bucket is evicted
}

// TestRemovedAccount checks the reply for an account that is not listed.
func TestRemovedAccount(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, smallAccount)
	sim.runUntil(warmUpTime)
	holder := sim.node(sim.nodes[0].placement[ShardOf(smallAccount.ID)])
	holder.request(smallAccount.ID)
	holder.holder.SetAccounts(holder.clock(), nil)
	reply := holder.holder.Grant(holder.clock(), TokenRequest{From: holder.self, Sequence: 99, Account: smallAccount.ID, Needed: 1})
	is.Equal(reply.Status, StatusNoAccount)
	is.Equal(len(holder.holder.buckets), 0)
}

func setFrozen(nodes []*node, isFrozen bool) {
	for _, n := range nodes {
		if n.frozen = isFrozen; !isFrozen {
			n.resume()
		}
	}
}
