package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"monsoonferry.org/ferry"
)

// BenchmarkAllowance measures refusals, waits and messages, and compares the
// refusals with two baselines: a single token bucket and a static split of the
// allowance. Client requests are spread evenly over some VMs of a fleet of 36.
func BenchmarkAllowance(b *testing.B) {
	for _, size := range []struct{ rate, burst float64 }{{20, 10}, {200, 40}, {2000, 400}} {
		for _, entryVMs := range []int{2, 6, 36} {
			for _, load := range []float64{0.8, 0.97, 3} {
				for _, isPartitioned := range []bool{false, true} {
					name := fmt.Sprintf("rate=%v/vms=%d/load=%v/cut=%v", size.rate, entryVMs, load, isPartitioned)
					b.Run(name, func(b *testing.B) {
						for range b.N {
							account := ferry.Account{ID: "account", Rate: size.rate, Burst: size.burst}
							measureAllowance(b, account, entryVMs, load, isPartitioned)
						}
					})
				}
			}
		}
	}
}

// Durations of one measurement.
const (
	measureWarmUp = 7 * time.Second
	measureTime   = 20 * time.Second
)

func measureAllowance(b *testing.B, account ferry.Account, entryVMs int, load float64, isPartitioned bool) {
	sim := newSimulation(1, 36, account)
	vms := sim.nodes[:entryVMs]
	if isPartitioned {
		// One of three regions is partitioned off; each side has its own view.
		connectedDelay := sim.delay
		sim.delay = func(from, to *node) (time.Duration, bool) {
			if (from.region == 0) != (to.region == 0) {
				return 0, false
			}
			return connectedDelay(from, to)
		}
		for _, n := range sim.nodes {
			var ids []ferry.VMID
			for _, other := range sim.nodes {
				if (other.region == 0) == (n.region == 0) {
					ids = append(ids, other.id)
				}
			}
			n.setView(ids)
		}
	}
	sim.runUntil(measureWarmUp)
	var times []time.Duration
	byVM := make([][]time.Duration, entryVMs)
	random := rand.New(rand.NewPCG(2, 2))
	for at := measureWarmUp; ; {
		at += time.Duration(random.ExpFloat64() / (account.Rate * load) * float64(time.Second))
		if at > measureWarmUp+measureTime {
			break
		}
		vm := random.IntN(entryVMs)
		times = append(times, at)
		byVM[vm] = append(byVM[vm], at)
		sim.schedule(at, func() { vms[vm].request(account.ID) })
	}
	before := sim.messageCount
	sim.runUntil(measureWarmUp + measureTime + 2*time.Second)
	o := sim.outcomes[account.ID]
	total := float64(len(times))
	split := 0
	for _, vmTimes := range byVM {
		split += countAdmitted(vmTimes, account.Rate/36, account.Burst/36)
	}
	holder := sim.node(sim.nodes[0].placement[ShardOf(account.ID)])
	var sameRegion []time.Duration
	for _, wait := range o.waits {
		if wait.region == holder.region {
			sameRegion = append(sameRegion, wait.time)
		}
	}
	slices.Sort(sameRegion)
	b.ReportMetric(100*float64(o.refused+o.unknown)/total, "refused%")
	b.ReportMetric(100*(1-float64(countAdmitted(times, account.Rate, account.Burst))/total), "ideal%")
	b.ReportMetric(100*(1-float64(split)/total), "split%")
	if len(sameRegion) > 0 {
		b.ReportMetric(float64(sameRegion[len(sameRegion)*99/100].Microseconds())/1000, "near99ms")
	}
	b.ReportMetric(float64(sim.messageCount-before)/total, "msgs/req")
	b.ReportMetric(maxOverrun(sim.admitted[account.ID], account), "excess")
}

// countAdmitted returns how many requests a single token bucket admits.
func countAdmitted(times []time.Duration, rate, burst float64) int {
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

// discardSender drops requests.
type discardSender struct{}

func (discardSender) SendRequest(ferry.VMID, TokenRequest) {}

// BenchmarkWarmAdmit measures a request that a held grant admits.
func BenchmarkWarmAdmit(b *testing.B) {
	clock := ferry.NewSystemClock()
	pools := NewPools(holderA, clock, discardSender{})
	account := ferry.Account{ID: "account", Rate: 1, Burst: 10}
	p := pools.pool(account.ID)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			p.grants = []*receivedGrant{{sequence: 1, requestedAt: clock.Now(), tokens: 1 << 20, available: 1 << 20}}
		}
		taken, err := pools.Admit(b.Context(), &account)
		if err != nil || !taken.Spend(clock.Now()) {
			b.Fatal("the pool granted no permit from its grant")
		}
	}
}

// BenchmarkHolderState measures time and memory per bucket for different
// numbers of accounts in use.
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
				request := h.RequestLeases(moment(0), AccountMask)
				h.Renew(moment(0), readyLessor(1).Lease(moment(0), request, singleHolder("a")))
				for i := range accounts {
					h.Grant(moment(time.Second), TokenRequest{From: holderB, Sequence: uint64(i), Account: accounts[i].ID, Needed: 1})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/account")
		})
	}
}
