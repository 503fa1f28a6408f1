package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// fleets play at the same time, in each batch.
	fleets       = 8
	batches      = 2
	drainBatches = 4
	applyMS      = 2000
	drainMS      = 2000
	// leaving is the number of backends that are replaced, of five of their service.
	leaving = 2
	// changeAt is when the first change is made, cutAt when the disruption and the second come.
	changeAt = cutAt - 900*time.Millisecond
	cutAt    = 12 * time.Second
	darkFor  = 2 * time.Second
)

// lateFleet is one small deployment: a leader and a follower in one zone, and the other
// machines in another.
type lateFleet struct {
	*lab
	name     string
	leader   *vm
	follower *vm
	// others are the machines of the other zone.
	others []*vm
	path   *proxy
	zones  map[string]string

	mu sync.Mutex
	// sent holds when each request was sent, ranOld those that ran at the old service.
	sent   map[string]time.Duration
	ranOld map[string]bool
	// isDrain reports that backends leave instead of a route that moves, and arrived
	// holds when requests reached them after that.
	isDrain bool
	arrived []time.Duration
}

const (
	lateConfig = `{"version":"r%d","routes":[{"name":"readings","host":"ficu95.example","prefix":"/lohu930/","kind":"safe","service":"%s","timeoutMs":2000,"targetLatencyMs":300,"maxAttempts":2,"priority":1}%s],` +
		`"services":[{"name":"savjet","healthPath":"/health","maxConnections":330},{"name":"sonda","healthPath":"/health","maxConnections":330}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},` +
		`"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"ratePerS":0,"burst":0}]}`
	lateAdded = `,{"name":"orders","host":"ficu95.example","prefix":"/te8bk2c2/","kind":"unsafe","service":"savjet","timeoutMs":2500,"targetLatencyMs":800,"maxAttempts":2,"priority":1}`
)

func newLateFleet(l *lab, number int, isDrain bool) (f *lateFleet, err error) {
	f = &lateFleet{name: fmt.Sprintf("fleet %d", number), isDrain: isDrain, sent: map[string]time.Duration{}, ranOld: map[string]bool{}, zones: map[string]string{"osijek-a": "slavonija", "split-a": "dalmacija"}}
	if f.lab, err = l.another(); err != nil {
		return nil, err
	}
	onRun := func(b *backend, r *http.Request) {
		id := r.Header.Get("Request-Id")
		f.note("%s: %s of %s ran %s", f.name, b.id, b.service, id)
		f.mu.Lock()
		defer f.mu.Unlock()
		if b.service == "savjet" {
			f.ranOld[id] = true
		}
		if b.isLeaving.Load() {
			f.arrived = append(f.arrived, f.now())
		}
	}
	for i, service := range []string{"savjet", "savjet", "savjet", "sonda", "sonda", "sonda"} {
		if err = f.addBackend(&backend{id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: "split-a", slots: 4, work: 5 * time.Millisecond, onRun: onRun}); err != nil {
			return f, err
		}
	}
	for i := range 2 * leaving {
		if !isDrain {
			break
		}
		b := &backend{id: fmt.Sprintf("i-48aa677%d", i), service: "savjet", zone: "split-a", slots: 4, work: 5 * time.Millisecond, onRun: onRun}
		if i >= leaving {
			// It replaces one that leaves.
			b.from = changeAt - 2*time.Second
		}
		if err = f.addBackend(b); err != nil {
			return f, err
		}
	}
	f.store.Put("op/config", fmt.Sprintf(lateConfig, 4, "savjet", ""))
	f.putBackends(1)
	if f.path, err = newProxy(f.storeAddress); err != nil {
		return f, err
	}
	host := func(i int) string {
		return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%200, 5*number+i+1)
	}
	for i := range 3 {
		f.others = append(f.others, f.addVM(host(i), "osijek-a"))
	}
	f.leader, f.follower = f.addVM(host(3), "split-a"), f.addVM(host(4), "split-a")
	f.leader.store = f.path.address
	return f, nil
}

// run plays one deployment and returns how many requests were sent later than allowed after
// the ack and ran by the old configuration.
func (f *lateFleet) run() (count int, err error) {
	for _, v := range f.vms {
		if err = f.start(v, f.zones, true); err != nil {
			return 0, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	every := func(interval time.Duration, do func(i int)) {
		group.Add(1)
		go func() {
			defer group.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
					do(i)
				}
			}
		}()
	}
	every(1500*time.Millisecond, func(i int) { f.putBackends(i + 2) })
	at := func(moment time.Duration) { time.Sleep(moment - f.now()) }
	at(8 * time.Second)
	var number atomic.Int64
	callers := 8
	if f.isDrain {
		callers = 16
	}
	for range callers {
		var c caller
		every(100*time.Millisecond, func(int) {
			id := fmt.Sprintf("9c41d07b%08x", number.Add(1))
			f.note("%s: %s sent to %s", f.name, id, f.follower.host)
			f.mu.Lock()
			f.sent[id] = f.now()
			f.mu.Unlock()
			status := c.send(f.follower.address(frontPort), id, "2b9wu3fexd9dnn2ctnfz", http.MethodGet, "/lohu930/2f", 2*time.Second)
			f.note("%s: %s answered %d", f.name, id, status)
		})
		time.Sleep(100 * time.Millisecond / time.Duration(callers))
	}
	at(changeAt)
	f.store.Put("op/config", fmt.Sprintf(lateConfig, 5, "savjet", lateAdded))
	f.note("%s: r5 acked", f.name)
	at(cutAt - 300*time.Millisecond)
	for _, v := range f.vms {
		if s, statusErr := v.status(); statusErr == nil {
			f.note("%s: %s: lead %s fleet %d", f.name, v.host, s.Lead, s.FleetSize)
		}
	}
	at(cutAt)
	isKilled, isCut := hasTrouble() && os.Getenv("KILL") != "0", hasTrouble() && os.Getenv("CUT") != "0"
	if isKilled {
		for _, v := range f.others {
			if err = v.process.Process.Signal(syscall.SIGKILL); err != nil {
				return 0, err
			}
		}
		f.note("%s: the machines of the other zone are killed", f.name)
	}
	if isCut {
		f.path.cut()
		f.note("%s: %s is cut off from the store", f.name, f.leader.host)
	}
	if f.isDrain {
		for _, b := range f.backends[:leaving] {
			b.isLeaving.Store(true)
		}
		f.putBackends(1000)
	} else {
		f.store.Put("op/config", fmt.Sprintf(lateConfig, 6, "sonda", lateAdded))
	}
	acked := f.now()
	f.note("%s: the change is acked", f.name)
	if isKilled {
		at(cutAt + darkFor)
		for _, v := range f.others {
			<-v.exited
			if err = f.start(v, f.zones, false); err != nil {
				return 0, err
			}
		}
	}
	at(cutAt + 3500*time.Millisecond)
	if isCut {
		f.path.heal()
	}
	at(cutAt + 4*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	var late time.Duration
	if f.isDrain {
		for _, at := range f.arrived {
			late = max(late, at-acked)
			if at-acked > drainMS*time.Millisecond {
				count++
			}
		}
		f.say("%s: the last request reached a leaving backend %.3f s after the ack, %d later than %d ms", f.name, late.Seconds(), count, drainMS)
		return count, nil
	}
	for id := range f.ranOld {
		if sent, found := f.sent[id]; found {
			late = max(late, sent-acked)
			if sent-acked > applyMS*time.Millisecond {
				count++
			}
		}
	}
	f.say("%s: the last request that ran by the old configuration was sent %.3f s after the ack, %d later than %d ms", f.name, late.Seconds(), count, applyMS)
	return count, nil
}

// playLateFollower: the leader of a zone loses the store and all machines of other zones
// at once. Its follower, which is in touch, gets a change of the configuration late.
func playLateFollower(l *lab) (isBroken bool, err error) {
	total, err := playLateBatches(l, batches, false)
	l.say("CONFIG: %d requests sent later than %d ms after the ack ran by the older version", total, applyMS)
	return total > 0, err
}

// playLateDrain is the same with backends that leave.
func playLateDrain(l *lab) (isBroken bool, err error) {
	total, err := playLateBatches(l, drainBatches, true)
	l.say("DRAIN: %d requests reached leaving backends later than %d ms after the ack", total, drainMS)
	return total > 0, err
}

func playLateBatches(l *lab, count int, isDrain bool) (total int, err error) {
	for batch := range count {
		broken, err := playLateFleets(l, batch*fleets, isDrain)
		if err != nil {
			return total, err
		}
		total += broken
	}
	return total, nil
}

// playLateFleets plays a batch of deployments and returns how many requests broke the rule.
func playLateFleets(l *lab, first int, isDrain bool) (total int, err error) {
	var group sync.WaitGroup
	var broken atomic.Int64
	failures := make(chan error, fleets)
	began := l.now()
	for i := range fleets {
		f, err := newLateFleet(l, first+i, isDrain)
		if f != nil {
			defer f.close()
		}
		if err != nil {
			return 0, err
		}
		f.started = l.started.Add(began)
		group.Add(1)
		go func() {
			defer group.Done()
			count, err := f.run()
			if err != nil {
				failures <- err
			}
			broken.Add(int64(count))
		}()
	}
	group.Wait()
	close(failures)
	return int(broken.Load()), <-failures
}
