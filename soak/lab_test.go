//go:build !race

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/spawn"
)

const (
	vmCount     = 4
	callerCount = 120
	// maxStopping is the number of VMs that are stopped or start at a time.
	maxStopping = 2
	// readyLimit ends the wait for readiness; it is only for what hangs.
	readyLimit = time.Minute
	// dumpLimit ends the wait for the goroutines of a process that is killed.
	dumpLimit = 2 * time.Second
	// drainTime is the time after which a target that drains gets no requests any more.
	drainTime = 2 * time.Second
	// applyTime is the time within which VMs apply a configuration.
	applyTime = 2 * time.Second

	hostName, accountName = "shop.example", "clinic"
	// maxHeaderTime and maxBodyBytes are limits of the callers, and shortestTimeout the
	// shortest timeout of a route.
	maxHeaderTime   = 5 * time.Second
	maxBodyBytes    = 1 << 20
	shortestTimeout = 8 * time.Second
)

// process is a process of a VM.
type process struct {
	*spawn.Process
	name      string
	startedAt time.Time

	mu        sync.Mutex
	stoppedAt time.Time
	exitedAt  time.Time
	isKilled  bool
}

// String returns the name of the VM and the number of its process.
func (p *process) String() string { return p.name }

// stopTime returns when the process got SIGTERM, if it did.
func (p *process) stopTime() (at time.Time, isStopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stoppedAt, !p.stoppedAt.IsZero()
}

func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isKilled
}

// vm is a VM of the fleet.
type vm struct {
	spawn.VM
	lab *lab

	mu      sync.Mutex
	process *process
	starts  int
}

// current returns the process of the VM, or nil between two of them.
func (v *vm) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// start starts a process.
func (v *vm) start() {
	v.lab.t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	started, err := v.Start()
	if err != nil {
		v.lab.t.Errorf("%s: %v", v.ID, err)
		return
	}
	v.starts++
	v.process = &process{Process: started, name: fmt.Sprintf("%s/%d", v.ID, v.starts), startedAt: time.Now()}
	go v.watch(v.process)
}

// watch notes the end of a process.
func (v *vm) watch(p *process) {
	<-p.Exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitedAt = time.Now()
	status, isUnix := p.ProcessState.Sys().(syscall.WaitStatus)
	isStopped := !p.stoppedAt.IsZero()
	// A process that has not yet set up its signal handler is ended by the signal.
	isEndedBySignal := isUnix && status.Signaled() && status.Signal() == syscall.SIGTERM
	if !p.isKilled && (!isStopped || !p.ProcessState.Success() && !isEndedBySignal) {
		v.lab.journal.fail("", "EXIT: %s ended by itself: %v, stopped %v", p, p.ProcessState, isStopped)
	}
}

// signal sends a signal to a process.
func (v *vm) signal(p *process, signal syscall.Signal) {
	// It may have ended.
	_ = p.Process.Process.Signal(signal)
	v.lab.log("%v to %s", signal, p)
}

// stop stops the process as planned, and kills it when its grace period is over.
// duringStop runs meanwhile.
func (v *vm) stop(duringStop func(p *process)) {
	p := v.current()
	p.mu.Lock()
	v.signal(p, syscall.SIGTERM)
	p.stoppedAt = time.Now()
	p.mu.Unlock()
	end := time.After(v.lab.grace)
	if duringStop != nil {
		go duringStop(p)
	}
	select {
	case <-p.Exited:
	case <-end:
		if states := threadStates(p.Process.Process.Pid); states != "" && !hasCalledExit(states) {
			p.mu.Lock()
			p.isKilled = true
			p.mu.Unlock()
			v.lab.journal.fail("", "EXIT: %s still runs at the end of its grace period and is killed, states of its threads %s, its log has its goroutines", p, states)
			v.signal(p, syscall.SIGQUIT)
			select {
			case <-p.Exited:
			case <-time.After(dumpLimit):
			}
		}
		v.signal(p, syscall.SIGKILL)
		<-p.Exited
	}
	v.lab.log("%s has ended", p)
}

// awaitReady waits until the VM says that it is ready, or has no process.
func (v *vm) awaitReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p := v.current()
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.Exited:
			return false
		default:
		}
		response, err := client.Get("http://" + v.Address(spawn.ReadyPort) + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	v.lab.journal.fail("", "%s isn't ready after %v", p, readyLimit)
	return false
}

// rewriteSettings changes the settings file.
func (v *vm) rewriteSettings(lifetime int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.Bounds = bounds(v.lab.grace, lifetime)
	if err := v.WriteSettings(); err != nil {
		v.lab.t.Error(err)
	}
}

func bounds(grace time.Duration, lifetime int) map[string]any {
	return map[string]any{
		"configApplyMs": applyTime.Milliseconds(), "revokeMs": 5000, "graceS": grace.Seconds(), "ttl_max_s": lifetime,
		"retryBudgetRatio": 0.2, "retryBudgetSlack": 60, "floorShare": 0.7,
	}
}

// lab is one round: a fleet, its callers and targets.
type lab struct {
	t       *testing.T
	seed    uint64
	grace   time.Duration
	started time.Time
	// endsAt is when callers stop to send and all VMs stop.
	endsAt  time.Time
	store   *fake.Store
	journal *journal
	pool    pool
	vms     []*vm

	configuration configuration

	mu         sync.Mutex
	keys       []string
	extra      string
	operations []*operation
	plan       []string

	dialFailures, unreachable atomic.Int64
	// stopDialFailures counts connections that a VM refused in the first time of its stop.
	stopDialFailures atomic.Int64
}

// log notes an event of the plan.
func (l *lab) log(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan = append(l.plan, fmt.Sprintf("\t%9.3f s %s", time.Since(l.started).Seconds(), fmt.Sprintf(format, arguments...)))
}

func (l *lab) isOver() bool { return !time.Now().Before(l.endsAt) }

// random returns the source of one actor.
func (l *lab) random(actor int) *rand.Rand { return rand.New(rand.NewPCG(l.seed, uint64(actor))) }

// key returns a key that is in force.
func (l *lab) key(random *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[random.IntN(len(l.keys))]
}

// extraRoute returns the prefix of the route that was added last, or an empty one.
func (l *lab) extraRoute() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extra
}

func (l *lab) addOperation(o *operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, o)
}

func (l *lab) countUnreachable() { l.unreachable.Add(1) }

// countDialFailure notes that the VM whose process is p refused a connection.
func (l *lab) countDialFailure(p *process) {
	l.dialFailures.Add(1)
	if p == nil {
		return
	}
	if at, isStopped := p.stopTime(); isStopped && time.Since(at) < share(l.grace, firstShare) {
		l.stopDialFailures.Add(1)
	}
}

func (l *lab) vmAt(address string) *vm {
	for _, v := range l.vms {
		if v.Address(spawn.CallerPort) == address {
			return v
		}
	}
	l.t.Fatalf("no VM has the address %s", address)
	return nil
}

// services holds the service of each target.
var services = []string{"orders", "orders", "orders", "files", "files", "files"}

// nextNetwork numbers the networks of rounds.
var nextNetwork atomic.Int64

// startLab starts a fleet.
func startLab(t *testing.T, seed uint64, traffic time.Duration) *lab {
	t.Helper()
	l := &lab{t: t, seed: seed, store: fake.NewStore(), journal: newJournal(), started: time.Now(), keys: []string{"key-0"}}
	random := l.random(0)
	l.grace = []time.Duration{4 * time.Second, 6 * time.Second}[random.IntN(2)]
	for _, service := range services {
		started := startTarget(t, l.journal, service)
		l.pool.targets = append(l.pool.targets, started)
		l.store.Put("servers/"+started.id, started.entry())
	}
	l.configuration = newConfiguration()
	l.store.Put("op/config", l.configuration.text())
	store := spawn.Serve(t, l.store)
	network := nextNetwork.Add(1)
	host := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 40+network%100, 1+os.Getpid()%250, i+1) }
	for i := range vmCount {
		l.vms = append(l.vms, &vm{lab: l, VM: spawn.VM{
			Program: program, ID: fmt.Sprintf("vm-%d", i), Place: "place-1", Places: map[string]string{"place-1": "region-1"},
			Host: host(i), Seeds: []string{host(0), host(1)}, Store: store, MemoryMegabytes: 256, MaxDescriptors: 2000,
			ProcessorShare: 0.5, First: true, Bounds: bounds(l.grace, 4), Directory: l.directory(i),
		}})
	}
	t.Cleanup(l.kill)
	for _, v := range l.vms {
		if err := v.WriteSettings(); err != nil {
			t.Fatal(err)
		}
		v.start()
	}
	for _, v := range l.vms {
		if !v.awaitReady() {
			t.Fatalf("seed %d: %s isn't ready", seed, v.ID)
		}
		v.First = false
	}
	l.endsAt = time.Now().Add(traffic)
	return l
}

// directory returns the directory of VM i. One that SOAK_KEEP names stays.
func (l *lab) directory(i int) string {
	kept := os.Getenv("SOAK_KEEP")
	if kept == "" {
		return l.t.TempDir()
	}
	path := fmt.Sprintf("%s/%d/vm-%d", kept, l.seed, i)
	if err := os.RemoveAll(path); err != nil {
		l.t.Fatal(err)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		l.t.Fatal(err)
	}
	return path
}

// kill ends the processes that are left.
func (l *lab) kill() {
	for _, v := range l.vms {
		p := v.current()
		if p == nil {
			continue
		}
		p.mu.Lock()
		p.isKilled = true
		p.mu.Unlock()
		_ = p.Process.Process.Kill()
		<-p.Exited
	}
}

// play runs the round.
func (l *lab) play() {
	var callers, drivers sync.WaitGroup
	const firstCaller = 100
	for i := range callerCount {
		random := l.random(firstCaller + i)
		c := &caller{lab: l, random: random, keepsLonger: i%3 == 0, isStubborn: i%7 == 3, readsSlow: i%7 == 5}
		callers.Go(c.run)
	}
	drivers.Go(func() { l.stopVMs(l.random(1)) })
	drivers.Go(func() { l.changeTargets(l.random(2)) })
	drivers.Wait()
	// Everything stops at once.
	var stops sync.WaitGroup
	for _, v := range l.vms {
		stops.Go(func() { v.stop(nil) })
	}
	stops.Wait()
	callers.Wait()
	l.pool.awaitIdle()
}

func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)+1))
}

// stopVMs stops and starts VMs until the end of the round.
func (l *lab) stopVMs(random *rand.Rand) {
	var stops sync.WaitGroup
	busy := make(chan struct{}, maxStopping)
	isBusy := make([]atomic.Bool, vmCount)
	for n := 0; !l.isOver(); n++ {
		i := random.IntN(vmCount)
		v, ownRandom := l.vms[i], l.random(1000+n)
		switch action := random.IntN(10); {
		case action < 6:
			select {
			case busy <- struct{}{}:
			default:
				// Enough VMs are away.
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if isBusy[i].Swap(true) {
				<-busy
				continue
			}
			stops.Go(func() {
				v.restart(ownRandom)
				isBusy[i].Store(false)
				<-busy
			})
		case action < 8:
			if isBusy[i].Swap(true) {
				continue
			}
			v.rewriteSettings(2 + random.IntN(4))
			if random.IntN(2) == 0 {
				v.signal(v.current(), syscall.SIGHUP)
			}
			isBusy[i].Store(false)
		default:
			l.changeConfiguration(random)
		}
		time.Sleep(between(random, 100*time.Millisecond, 1500*time.Millisecond))
	}
	stops.Wait()
}

// restart stops the VM and starts it again, now and then with one more stop meanwhile.
func (v *vm) restart(random *rand.Rand) {
	lifetime := 2 + random.IntN(4)
	isSecond, hasSettings := random.IntN(10) < 4, random.IntN(10) < 4
	pause := between(random, 0, v.lab.grace*2/3)
	v.stop(func(p *process) {
		time.Sleep(pause)
		select {
		case <-p.Exited:
			return
		default:
		}
		if hasSettings {
			v.rewriteSettings(lifetime)
			v.signal(p, syscall.SIGHUP)
		}
		if isSecond {
			v.signal(p, syscall.SIGTERM)
		}
	})
	if random.IntN(2) == 0 {
		time.Sleep(between(random, 0, time.Second))
	}
	v.start()
	if random.IntN(10) < 4 {
		// One more stop while it starts, or just after that.
		time.Sleep(between(random, 0, 900*time.Millisecond))
		v.stop(nil)
		v.start()
	}
	v.awaitReady()
}

// changeTargets changes the states of targets until the end of the round.
func (l *lab) changeTargets(random *rand.Rand) {
	var changes sync.WaitGroup
	isBusy := map[string]*atomic.Bool{"orders": {}, "files": {}}
	for !l.isOver() {
		i := random.IntN(len(services))
		busy := isBusy[services[i]]
		isDraining, state := random.IntN(10) < 3, spell(1+random.IntN(int(spellCount)-1))
		lasts := between(random, 500*time.Millisecond, 3*time.Second)
		if !busy.Swap(true) {
			changes.Go(func() {
				defer busy.Store(false)
				s := l.pool.list()[i]
				if isDraining {
					l.drainTarget(i, s, lasts)
					return
				}
				l.log("%s: spell %d for %v", s.id, state, lasts)
				s.spell.Store(int32(state))
				time.Sleep(min(lasts, time.Until(l.endsAt)))
				s.spell.Store(int32(spellNone))
			})
		}
		time.Sleep(between(random, 200*time.Millisecond, time.Second))
	}
	changes.Wait()
}

// drainTarget replaces a target. It serves for a time after that, and longer than what
// VMs are told.
func (l *lab) drainTarget(i int, s *target, longer time.Duration) {
	next := startTarget(l.t, l.journal, s.service)
	l.pool.replace(i, next)
	l.store.Put("servers/"+next.id, next.entry())
	s.isLeaving.Store(true)
	l.store.Put("servers/"+s.id, s.entry())
	l.pool.setDraining(s.id, time.Now())
	l.log("%s drains, %s takes its place", s.id, next.id)
	time.Sleep(drainTime + longer)
	l.store.Remove("servers/" + s.id)
	s.close()
	l.log("%s is gone", s.id)
}

// configuration is what the operators write.
type configuration struct {
	version  int
	timeouts map[string]time.Duration
	extra    string
	keys     []string
}

// baseRoutes maps prefixes to kinds and services.
var baseRoutes = []struct{ prefix, kind, service string }{
	{"/status/", "safe", "orders"},
	{"/report/", "safe", "files"},
	{"/orders/", "unsafe", "orders"},
	{"/work/", "unsafe", "files"},
	{"/files/", "upload", "files"},
}

func newConfiguration() configuration {
	c := configuration{version: 2, timeouts: map[string]time.Duration{}, keys: []string{"key-0"}}
	for _, route := range baseRoutes {
		c.timeouts[route.prefix] = maxBudget
	}
	return c
}

func (c configuration) text() string {
	route := func(prefix, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": strings.Trim(prefix, "/"), "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": 2, "public": false,
		}
	}
	routes := []any{}
	for _, base := range baseRoutes {
		routes = append(routes, route(base.prefix, base.kind, base.service, c.timeouts[base.prefix]))
	}
	if c.extra != "" {
		routes = append(routes, route(c.extra, "unsafe", "orders", maxBudget))
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", c.version), "baseVersion": "r1", "routes": routes,
		"services": []any{
			map[string]any{"name": "orders", "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false},
			map[string]any{"name": "files", "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": maxHeaderTime.Milliseconds(), "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": accountName, "apiKeys": c.keys, "priority": 1, "ratePerS": 100000, "burst": 100000}},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// changeConfiguration writes a new version of the configuration. Callers use what it
// adds once all VMs have to know it, and no longer what it drops.
func (l *lab) changeConfiguration(random *rand.Rand) {
	c := &l.configuration
	c.version += 1 + random.IntN(3)
	switch random.IntN(3) {
	case 0:
		c.timeouts[baseRoutes[random.IntN(len(baseRoutes))].prefix] = between(random, shortestTimeout, maxBudget)
	case 1:
		key := fmt.Sprintf("key-%d", c.version)
		c.keys = append(c.keys, key)
		time.AfterFunc(2*applyTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.keys = append(l.keys, key)
		})
	default:
		l.mu.Lock()
		l.extra = ""
		l.mu.Unlock()
		c.extra = fmt.Sprintf("/extra-%d/", c.version)
		added := c.extra
		time.AfterFunc(2*applyTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.extra = added
		})
	}
	l.log("configuration r%d", c.version)
	l.store.Put("op/config", c.text())
}

// logLines returns the lines of the VMs' logs about a request.
func (l *lab) logLines(id string) string {
	var lines strings.Builder
	for _, v := range l.vms {
		text, err := os.ReadFile(v.LogPath())
		if err != nil {
			fmt.Fprintf(&lines, "\t%v\n", err)
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if slices.ContainsFunc(strings.FieldsFunc(line, func(r rune) bool { return strings.ContainsRune(` "{},:=`, r) }), func(word string) bool { return word == id }) {
				fmt.Fprintf(&lines, "\t%s\n", line)
			}
		}
	}
	return lines.String()
}
