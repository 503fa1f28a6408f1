package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// small is an account whose burst is as large as the rate of a second, so that
// burst and rate both matter.
var small = ferry.Account{ID: "small", Rate: 20, Burst: 20}

// vms is the number of VMs. Each share is then large enough for a doubled one
// to show.
const vms = 5

// warm is the time after which every share is lent.
const warm = 5 * time.Second

// TestNeverOverAllowance brings about each failure that the promise names,
// under several times the allowed traffic, and checks every sliding window.
func TestNeverOverAllowance(t *testing.T) {
	holderOf := func(w *world) *node { return w.node(w.nodes[0].placement[ShardOf(small.ID)]) }
	cut := func(w *world, blocked func(from, to *node) bool) {
		open := w.delay
		w.delay = func(from, to *node) (time.Duration, bool) {
			if blocked(from, to) {
				return 0, false
			}
			return open(from, to)
		}
	}
	idsOf := func(w *world, keep func(*node) bool) []ferry.VMID {
		var ids []ferry.VMID
		for _, n := range w.nodes {
			if keep(n) {
				ids = append(ids, n.id)
			}
		}
		return ids
	}
	scenarios := []struct {
		name string
		at   func(w *world)
	}{
		{"no fault", func(*world) {}},
		{"views differ", func(w *world) {
			for i, n := range w.nodes {
				n.setView(idsOf(w, func(other *node) bool { return other == n || other.id != w.nodes[(i+1)%len(w.nodes)].id }))
			}
		}},
		{"region cut", func(w *world) {
			cut(w, func(from, to *node) bool { return (from.region == 0) != (to.region == 0) })
			for _, n := range w.nodes {
				n.setView(idsOf(w, func(other *node) bool { return (other.region == 0) == (n.region == 0) }))
			}
		}},
		{"one-way region cut", func(w *world) {
			cut(w, func(from, to *node) bool { return from.region == 0 && to.region != 0 })
			for _, n := range w.nodes {
				n.setView(idsOf(w, func(other *node) bool { return (other.region == 0) == (n.region == 0) }))
			}
		}},
		{"holder killed", func(w *world) {
			holderOf(w).alive = false
			w.setViews(w.ids())
		}},
		{"holder frozen and woken late", func(w *world) {
			holder := holderOf(w)
			holder.frozen = true
			w.at(w.now+time.Second, func() {
				for _, n := range w.nodes {
					if n != holder {
						n.setView(idsOf(w, func(other *node) bool { return other != holder }))
					}
				}
			})
			w.at(w.now+8*time.Second, func() { holder.wake() })
		}},
		{"holder suspended with its steady clock", func(w *world) {
			holder := holderOf(w)
			holder.frozen = true
			w.at(w.now+time.Second, func() {
				for _, n := range w.nodes {
					if n != holder {
						n.setView(idsOf(w, func(other *node) bool { return other != holder }))
					}
				}
			})
			w.at(w.now+8*time.Second, func() {
				holder.paused += 8 * time.Second
				holder.wake()
			})
		}},
		{"entry VMs suspended between grant and use", func(w *world) {
			for _, n := range w.nodes[:3] {
				n.frozen = true
			}
			w.at(w.now+5*time.Second, func() {
				for _, n := range w.nodes[:3] {
					n.paused += 5 * time.Second
					n.wake()
				}
			})
		}},
		{"entry VMs frozen while requests wait with their permits", func(w *world) {
			for _, n := range w.nodes {
				n.useDelay = GrantLifetime / 2
			}
			for pause := range 4 {
				start := w.now + time.Duration(pause)*2*time.Second
				w.at(start+GrantLifetime, func() { setFrozen(w.nodes[:3], true) })
				w.at(start+4*GrantLifetime, func() { setFrozen(w.nodes[:3], false) })
			}
		}},
		{"wall clocks stepped both ways", func(w *world) {
			for i, n := range w.nodes {
				n.wall = time.Duration(i%3-1) * time.Hour
			}
			w.at(w.now+2*time.Second, func() {
				for _, n := range w.nodes {
					n.wall = -n.wall
				}
			})
		}},
		{"messages doubled, late and crossed", func(w *world) {
			w.doubled = 0.5
			w.delay = func(*node, *node) (time.Duration, bool) {
				return time.Duration(w.random.ExpFloat64() * float64(150*time.Millisecond)), true
			}
		}},
		{"VM replaced at the same address", func(w *world) {
			holder := holderOf(w)
			holder.alive = false
			w.at(w.now+50*time.Millisecond, func() {
				holder.start()
				w.setViews(w.ids())
			})
		}},
		{"lenders restarted within a term that they had lent", func(w *world) {
			holder := holderOf(w)
			for _, n := range w.nodes {
				if n != holder {
					n.start()
					n.setView(w.ids())
				}
			}
			w.at(w.now+500*time.Millisecond, func() {
				for _, n := range w.nodes {
					if n != holder {
						n.setView(idsOf(w, func(other *node) bool { return other != holder }))
					}
				}
			})
		}},
		{"holder moves back and forth", func(w *world) {
			holder := holderOf(w)
			for i := range 10 {
				w.at(w.now+time.Duration(i)*700*time.Millisecond, func() {
					w.setViews(idsOf(w, func(n *node) bool { return i%2 == 1 || n != holder }))
				})
			}
		}},
		{"MaxVMs raised on one VM after the other", func(w *world) {
			for i, n := range w.nodes {
				w.at(w.now+time.Duration(i)*300*time.Millisecond, func() { n.lender.SetShare(n.clock(), w.parts+4, true) })
			}
		}},
		{"MaxVMs lowered on one VM after the other", func(w *world) {
			// The register lists fewer VMs; the others have stopped before.
			for _, n := range w.nodes[4:] {
				n.alive = false
			}
			for i, n := range w.nodes[:4] {
				w.at(w.now+time.Duration(i)*300*time.Millisecond, func() {
					n.lender.SetShare(n.clock(), 4, true)
					n.setView(w.ids())
				})
			}
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				w := newWorld(seed, vms, small)
				end := warm + 12*time.Second
				var worst audit
				w.surges(small, end)
				w.audit(small, end, &worst)
				w.at(warm+time.Duration(w.random.Int64N(int64(2*time.Second))), func() { scenario.at(w) })
				w.runUntil(end)
				is.True(w.outcomes[small.ID].admitted > 50) // the traffic reaches the limit
				is.True(excess(w.admitted[small.ID], small) <= slack)
				is.True(worst.share <= 1+slack)
				is.True(worst.tokens <= small.Burst+slack)
			}
		})
	}
}

// TestMoreVMsThanMaxVMs lists one VM too many. The VM with the highest rank
// owns no share.
func TestMoreVMsThanMaxVMs(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, vms, small)
	w.parts = vms - 1
	for i, n := range w.nodes {
		n.lender = NewLessor(n.self, n.clock())
		n.lender.SetShare(n.clock(), w.parts, i < w.parts)
	}
	end := 15 * time.Second
	var worst audit
	w.surges(small, end)
	w.audit(small, end, &worst)
	w.runUntil(end)
	is.True(excess(w.admitted[small.ID], small) <= slack)
	is.True(worst.share <= 1+slack)
	is.Equal(w.nodes[vms-1].lender.Parts(), 0)
}

// TestHandOverKeepsTokens moves a holder with a full bucket. The next holder
// can admit the burst at once.
func TestHandOverKeepsTokens(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, small)
	w.runUntil(warm)
	old := w.node(w.nodes[0].placement[ShardOf(small.ID)])
	old.request(small.ID) // creates the bucket
	w.runUntil(warm + time.Second)
	var others []ferry.VMID
	for _, n := range w.nodes {
		if n != old {
			others = append(others, n.id)
		}
	}
	w.setViews(others)
	w.runUntil(warm + time.Second + GrantLifetime + MaxClockDrift + askEvery + 20*time.Millisecond)
	next := w.node(w.nodes[0].placement[ShardOf(small.ID)])
	is.True(next != old)
	s := &next.holder.shards[ShardOf(small.ID)]
	b := next.holder.buckets[small.ID]
	is.True(b != nil) // the hand-over created the bucket
	b.advance(s, next.clock().Steady)
	accrued := small.Rate * (askEvery + 20*time.Millisecond).Seconds()
	is.True(b.level > accrued || b.level >= 0.9*s.share()*small.Burst) // more than could have accrued
}

// TestIdleAccountsCostNothing checks that memory and messages follow the used
// accounts, not the published ones.
func TestIdleAccountsCostNothing(t *testing.T) {
	is := is.New(t)
	accounts := make([]ferry.Account, 27000)
	for i := range accounts {
		accounts[i] = ferry.Account{ID: ferry.AccountID(string(rune('a'+i%26)) + time.Duration(i).String()), Rate: 20, Burst: 10}
	}
	accounts[0] = small
	w := newWorld(1, 3, small)
	for _, n := range w.nodes {
		n.holder.SetAccounts(n.clock(), accounts)
	}
	w.runUntil(warm)
	before := w.messages
	w.runUntil(warm + 5*time.Second)
	idle := w.messages - before
	is.True(idle <= 3*2*2*11) // asks for shares and their answers only
	w.nodes[0].request(small.ID)
	w.runUntil(warm + 6*time.Second)
	total := 0
	for _, n := range w.nodes {
		total += n.holder.EvictIdle(n.clock())
	}
	is.Equal(total, 0) // a full bucket is forgotten
}

// TestRemovedAccount refuses the word about an account that is not published.
func TestRemovedAccount(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, small)
	w.runUntil(warm)
	holder := w.node(w.nodes[0].placement[ShardOf(small.ID)])
	holder.request(small.ID)
	holder.holder.SetAccounts(holder.clock(), nil)
	answer := holder.holder.Grant(holder.clock(), TokenRequest{From: holder.self, Sequence: 99, Account: small.ID, Needed: 1})
	is.Equal(answer.Status, StatusNoAccount)
	is.Equal(len(holder.holder.buckets), 0)
}

// setFrozen freezes VMs or wakes them.
func setFrozen(nodes []*node, isFrozen bool) {
	for _, n := range nodes {
		if n.frozen = isFrozen; !isFrozen {
			n.wake()
		}
	}
}
