package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	machines = 12
	rate     = 400.0
	burst    = 2400.0
	overage  = 0.25
	slack    = 20.0
	windowS  = 5.0
	freezeAt = 16 * time.Second
)

// envSeconds returns a time of the environment, to try others.
func envSeconds(name string, otherwise float64) time.Duration {
	if value, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		otherwise = value
	}
	return time.Duration(otherwise * float64(time.Second))
}

// playBurstAfterFreeze: the VM that grants the allowances stands still and wakes. A tenant
// sends two short floods, one before and one after it wakes.
func playBurstAfterFreeze(l *lab) (isBroken bool, err error) {
	var mu sync.Mutex
	type execution struct{ sent, ran time.Duration }
	sentAt, hasRun, ran := map[string]time.Duration{}, map[string]bool{}, []execution{}
	onRun := func(b *backend, r *http.Request) {
		now := l.now()
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		if !hasRun[id] {
			hasRun[id] = true
			ran = append(ran, execution{sent: sentAt[id], ran: now})
		}
		l.note("%s ran %s tenant %s", b.id, id, r.Header.Get("Tenant-Id"))
	}
	for i := range 6 {
		if err = l.addBackend(&backend{id: fmt.Sprintf("i-7f3a91c%d", i), service: "savjet", zone: "osijek-a", slots: 64, work: 2 * time.Millisecond, onRun: onRun}); err != nil {
			return false, err
		}
	}
	l.store.Put("op/config", fmt.Sprintf(`{"version":"r4","routes":[{"name":"orders","host":"ficu95.example","prefix":"/lohu930/","kind":"unsafe","service":"savjet","timeoutMs":4000,"targetLatencyMs":800,"maxAttempts":2,"priority":1}],`+
		`"services":[{"name":"savjet","maxConnections":1000}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},`+
		`"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"ratePerS":%v,"burst":%v}]}`, rate, burst))
	l.putBackends(1)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	group.Add(1)
	go func() {
		defer group.Done()
		for sequence := 2; ; sequence++ {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
				l.putBackends(sequence)
			}
		}
	}()
	zones := map[string]string{"osijek-a": "slavonija"}
	for i := range machines {
		l.addVM(fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%200, i+1), "osijek-a")
	}
	for i, v := range l.vms {
		if err = l.start(v, zones, true); err != nil {
			return false, err
		}
		if i == 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	var number atomic.Int64
	send := func(c *caller, v *vm) int {
		id := fmt.Sprintf("9c41d07b%08x", number.Add(1))
		now := l.now()
		mu.Lock()
		sentAt[id] = now
		mu.Unlock()
		l.note("%s sent to %s", id, v.host)
		status := c.send(v.address(frontPort), id, "2b9wu3fexd9dnn2ctnfz", http.MethodPost, "/lohu930/2f", 2*time.Second)
		l.note("%s answered %d", id, status)
		return status
	}
	// flood sends requests from 16 callers at each VM but the first, each as many as most.
	flood := func(length time.Duration, most int) {
		l.say("flood begins")
		until := time.Now().Add(length)
		var counts [600]atomic.Int64
		var callers sync.WaitGroup
		for _, v := range l.vms[1:] {
			for range 16 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					var c caller
					defer c.close()
					for range most {
						if time.Now().After(until) {
							return
						}
						status := send(&c, v)
						counts[status].Add(1)
						if status != http.StatusOK {
							time.Sleep(100 * time.Millisecond)
						}
					}
				}()
			}
		}
		callers.Wait()
		l.say("flood ends: %d answered 200, %d answered 429, %d answered 503, %d others", counts[200].Load(), counts[429].Load(), counts[503].Load(), counts[0].Load()+counts[502].Load()+counts[504].Load())
	}
	at := func(moment time.Duration) { time.Sleep(moment - l.now()) }
	report := func(vms []*vm) {
		for _, v := range vms {
			if s, statusErr := v.status(); statusErr == nil {
				l.note("%s: lead %s fleet %d holds %.3f", v.host, s.Lead, s.FleetSize, s.HeldShare)
			}
		}
	}
	// The usual traffic of the tenant: a few requests a second, spread over the VMs.
	group.Add(1)
	go func() {
		defer group.Done()
		callers := make([]caller, len(l.vms))
		at(8 * time.Second)
		for i := 0; l.now() < freezeAt-500*time.Millisecond; i++ {
			send(&callers[i%len(callers)], l.vms[i%len(callers)])
			time.Sleep(100 * time.Millisecond)
		}
		for i := range callers {
			callers[i].close()
		}
	}()
	at(freezeAt - 300*time.Millisecond)
	report(l.vms)
	lead, err := l.vms[0].status()
	if err != nil {
		return false, err
	}
	if lead.HeldShare < 0.99 {
		return false, errors.New("the first VM does not hold the whole allowance")
	}
	frozen := envSeconds("FREEZE", 8)
	at(freezeAt)
	if hasTrouble() {
		l.say("SIGSTOP to %s", l.vms[0].host)
		if err = l.vms[0].process.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	first, second := freezeAt+frozen-envSeconds("BEFORE", 0.6), freezeAt+frozen+envSeconds("AFTER", 1.1)
	at(first - 300*time.Millisecond)
	report(l.vms[1:])
	at(first)
	flood(500*time.Millisecond, 12)
	at(freezeAt + frozen)
	if hasTrouble() {
		l.say("SIGCONT to %s", l.vms[0].host)
		if err = l.vms[0].process.Process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	for l.now() < second-100*time.Millisecond {
		report(l.vms[:1])
		time.Sleep(50 * time.Millisecond)
	}
	at(second)
	flood(first+time.Duration(windowS*float64(time.Second))+300*time.Millisecond-l.now(), 1000)
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(ran, func(a, b execution) int { return int(a.ran - b.ran) })
	most, from := 0, time.Duration(0)
	for _, begin := range ran {
		count := 0
		for _, other := range ran {
			if other.sent >= begin.sent && other.ran <= begin.sent+time.Duration(windowS*float64(time.Second)) {
				count++
			}
		}
		if count > most {
			most, from = count, begin.sent
		}
	}
	allowed := (rate*windowS+burst)*(1+overage) + slack
	l.say("QUOTA: at most %d requests were sent and ran within %v s, from %.3f s on; %.0f are allowed", most, windowS, from.Seconds(), allowed)
	return float64(most) > allowed, nil
}
