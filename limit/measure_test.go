package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonferry.org/ferry"
)

// BenchmarkAllowance measures refusals, admitted requests and waits against a
// single counter and a static split, the two baselines of the design. Callers
// are spread evenly over some VMs of a fleet of 36.
func BenchmarkAllowance(b *testing.B) {
	for _, size := range []struct{ rate, burst float64 }{{20, 10}, {200, 40}, {2000, 400}} {
		for _, entries := range []int{2, 6, 36} {
			for _, load := range []float64{0.8, 0.97, 3} {
				for _, isCut := range []bool{false, true} {
					name := fmt.Sprintf("rate=%v/vms=%d/load=%v/cut=%v", size.rate, entries, load, isCut)
					b.Run(name, func(b *testing.B) {
						for range b.N {
							account := ferry.Account{ID: "account", Rate: size.rate, Burst: size.burst}
							measureAllowance(b, account, entries, load, isCut)
						}
					})
				}
			}
		}
	}
}

// Times of one measurement.
const (
	measureWarm = 7 * time.Second
	measureTime = 20 * time.Second
)

func measureAllowance(b *testing.B, account ferry.Account, entries int, load float64, isCut bool) {
	w := newWorld(1, 36, account)
	vms := w.nodes[:entries]
	if isCut {
		// One of three regions is cut off; each side has its own view.
		open := w.delay
		w.delay = func(from, to *node) (time.Duration, bool) {
			if (from.region == 0) != (to.region == 0) {
				return 0, false
			}
			return open(from, to)
		}
		for _, n := range w.nodes {
			var ids []ferry.VMID
			for _, other := range w.nodes {
				if (other.region == 0) == (n.region == 0) {
					ids = append(ids, other.id)
				}
			}
			n.setView(ids)
		}
	}
	w.runUntil(measureWarm)
	var times []time.Duration
	byVM := make([][]time.Duration, entries)
	random := rand.New(rand.NewPCG(2, 2))
	for at := measureWarm; ; {
		at += time.Duration(random.ExpFloat64() / (account.Rate * load) * float64(time.Second))
		if at > measureWarm+measureTime {
			break
		}
		vm := random.IntN(entries)
		times = append(times, at)
		byVM[vm] = append(byVM[vm], at)
		w.at(at, func() { vms[vm].request(account.ID) })
	}
	before := w.messages
	w.runUntil(measureWarm + measureTime + 2*time.Second)
	o := w.outcomes[account.ID]
	total := float64(len(times))
	split := 0
	for _, own := range byVM {
		split += admits(own, account.Rate/36, account.Burst/36)
	}
	holder := w.node(w.nodes[0].placement[ShardOf(account.ID)])
	var near []time.Duration
	for _, wait := range o.waits {
		if wait.region == holder.region {
			near = append(near, wait.time)
		}
	}
	slices.Sort(near)
	b.ReportMetric(100*float64(o.refused+o.unknown)/total, "refused%")
	b.ReportMetric(100*(1-float64(admits(times, account.Rate, account.Burst))/total), "ideal%")
	b.ReportMetric(100*(1-float64(split)/total), "split%")
	if len(near) > 0 {
		b.ReportMetric(float64(near[len(near)*99/100].Microseconds())/1000, "near99ms")
	}
	b.ReportMetric(float64(w.messages-before)/total, "msgs/req")
	b.ReportMetric(excess(w.admitted[account.ID], account), "excess")
}

// admits returns how many requests a single token bucket admits.
func admits(times []time.Duration, rate, burst float64) int {
	level, last, count := burst, time.Duration(0), 0
	for _, at := range times {
		level = min(burst, level+rate*(at-last).Seconds())
		last = at
		if level >= 1 {
			level--
			count++
		}
	}
	return count
}

// nullSender drops asks.
type nullSender struct{}

func (nullSender) SendRequest(ferry.VMID, TokenRequest) {}

// BenchmarkWarmAdmit measures a request on a warm grant.
func BenchmarkWarmAdmit(b *testing.B) {
	clock := ferry.NewSystemClock()
	pools := NewPools(holderA, clock, nullSender{})
	account := ferry.Account{ID: "account", Rate: 1, Burst: 10}
	p := pools.pool(account.ID)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			p.batches = []*batch{{sequence: 1, asked: clock.Now(), tokens: 1 << 20, free: 1 << 20}}
		}
		taken, err := pools.Admit(b.Context(), &account)
		if err != nil || !taken.Spend(clock.Now()) {
			b.Fatal("no warm grant")
		}
	}
}

// BenchmarkHolderState measures the memory of buckets against the number of
// accounts in use.
func BenchmarkHolderState(b *testing.B) {
	for _, count := range []int{1000, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			accounts := make([]ferry.Account, count)
			for i := range accounts {
				accounts[i] = ferry.Account{ID: ferry.AccountID(fmt.Sprintf("account-%05d", i)), Rate: 20, Burst: 10}
			}
			b.ReportAllocs()
			for b.Loop() {
				h := NewHolder(holderA)
				h.SetAccounts(moment(0), accounts)
				a := h.RequestLeases(moment(0), AccountMask)
				h.Renew(moment(0), lentAt(1).Lease(moment(0), a, namesAll("a")))
				for i := range accounts {
					h.Grant(moment(time.Second), TokenRequest{From: holderB, Sequence: uint64(i), Account: accounts[i].ID, Needed: 1})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/account")
		})
	}
}
