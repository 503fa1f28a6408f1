package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonferry.org/ferry"
)

// A play sends requests through the choosers of a fleet to targets that exist only here.
// The choosers know only the reports in the responses, which are as old as the way back.
const (
	playSlots = 4
	// playQueue is the number of requests that a target lets wait before it sheds.
	playQueue = 4
	// playWork is the mean time of a request on a slot.
	playWork = 330 * time.Millisecond
	// playIdle is how long a connection stays open without a request.
	playIdle = 4 * time.Second
	// playWave is the period of the demand of a place, and playSwing its amplitude.
	playWave  = 20 * time.Second
	playSwing = 0.55
	// playShare is the interval in which callers divide anew over the VMs of a place.
	playShare = 5 * time.Second
)

// playOptions describe a play.
type playOptions struct {
	vms, targets int
	// load is the mean part of the slots in use.
	load float64
	even EvenLoad
	// isExact lets the VMs know the load of every target, as no fleet can.
	isExact bool
	// isChanging lets a sixth of the VMs and of the targets leave and return.
	isChanging bool
	length     time.Duration
	seed       uint64
}

// playResult is what a play measured.
type playResult struct {
	requests, sheds, failed, opened int
	// busiest is that of the requests of the busiest target over the mean, and random
	// the same if each request took a random target of the caller's place.
	busiest, random float64
	// queued is the part of the targets' time in which one has a queue while another of
	// its service has a free slot, and queuedInPlace while another of its place has.
	queued, queuedInPlace float64
	// wait is the mean wait for a slot.
	wait time.Duration
	// away is the part of the requests that went to another place.
	away float64
}

func (r playResult) String() string {
	per := func(count int) float64 { return 100 * float64(count) / float64(r.requests) }
	return fmt.Sprintf("%.2f | %.2f | %.2f%% | %.2f%% | %.1f | %.2f%% | %.2f%% | %.1f%% | %.1f%%",
		r.busiest, r.random, 100*r.queued, 100*r.queuedInPlace, float64(r.wait)/1e6, per(r.sheds), per(r.failed), per(r.opened), 100*r.away)
}

type playEvent struct {
	at time.Duration
	do func()
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type playTarget struct {
	place           ferry.PlaceID
	running, served int
	sent            int // requests on the way, waiting or running
	drawn           int // requests that a random choice would have sent
	waiting         []func()
	isGone          bool
}

type playVM struct {
	place   ferry.PlaceID
	peer    netip.AddrPort
	chooser *Chooser
	share   float64
	isGone  bool
	idle    map[ferry.TargetID][]time.Duration
}

type play struct {
	playOptions
	playResult
	now      time.Duration
	events   playEvents
	random   *rand.Rand
	places   []ferry.PlaceID
	vms      []*playVM
	targets  map[ferry.TargetID]*playTarget
	list     []ferry.Target
	sampled  int
	observed int
	inPlace  int
	waited   time.Duration
	away     int
}

func (p *play) after(delay time.Duration, do func()) {
	heap.Push(&p.events, playEvent{at: p.now + delay, do: do})
}

func playFleet(options playOptions) playResult {
	p := &play{playOptions: options, random: rand.New(rand.NewPCG(options.seed, 7)), targets: map[ferry.TargetID]*playTarget{}}
	p.places = []ferry.PlaceID{"a1", "a2", "b1", "b2", "c1", "c2"}
	for i := range options.targets {
		place := p.places[i%len(p.places)]
		target := ferry.Target{ID: ferry.TargetID(fmt.Sprintf("t%d", i)), Service: "s", Place: place, Slots: playSlots, Incarnation: 1}
		p.list = append(p.list, target)
		p.targets[target.ID] = &playTarget{place: place}
	}
	for i := range options.vms {
		place := p.places[i%len(p.places)]
		vm := &playVM{place: place, peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), chooser: NewChooser(place, regions), idle: map[ferry.TargetID][]time.Duration{}}
		vm.chooser.SetSeed(uint64(i))
		vm.chooser.SetEvenLoad(options.even)
		p.vms = append(p.vms, vm)
	}
	for i, vm := range p.vms {
		p.learn(vm)
		p.after(time.Duration(i)*dealInterval/time.Duration(len(p.vms)), func() { p.tick(vm) })
	}
	for _, place := range p.places {
		p.shareOut(place)
		p.arrive(place)
	}
	p.sample()
	if options.isChanging {
		p.after(options.length/4, func() { p.change(true) })
		p.after(options.length/2, func() { p.change(false) })
	}
	for len(p.events) > 0 {
		event := heap.Pop(&p.events).(playEvent)
		p.now = event.at
		event.do()
	}
	return p.result()
}

// learn brings what a VM knows of VMs and targets up to date.
func (p *play) learn(vm *playVM) {
	var peers []netip.AddrPort
	for _, other := range p.vms {
		if other.place == vm.place && !other.isGone {
			peers = append(peers, other.peer)
		}
	}
	vm.chooser.SetPeers(vm.peer, peers)
	vm.chooser.SetPlaceVMs(len(peers))
	var listed []ferry.Target
	for _, target := range p.list {
		if !p.targets[target.ID].isGone {
			listed = append(listed, target)
		}
	}
	vm.chooser.Update(p.now, listed)
}

// tick lets a VM learn and deal once a second, each at its own moment.
func (p *play) tick(vm *playVM) {
	if p.now > p.length {
		return
	}
	if p.isChanging {
		p.learn(vm)
	}
	vm.chooser.DealSlots(p.now)
	p.after(dealInterval, func() { p.tick(vm) })
}

// change lets a sixth of the VMs and targets leave, or return.
func (p *play) change(isGone bool) {
	for i, vm := range p.vms {
		if i/len(p.places)%6 == 0 {
			vm.isGone = isGone
		}
	}
	for i, target := range p.list {
		if i/len(p.places)%6 == 1 {
			p.targets[target.ID].isGone = isGone
		}
	}
}

// shareOut divides the callers of a place over its VMs, from 0.7 to 1.3 of the mean each.
func (p *play) shareOut(place ferry.PlaceID) {
	for _, vm := range p.vms {
		if vm.place == place {
			vm.share = 0.7 + 0.6*p.random.Float64()
		}
	}
	if p.now < p.length {
		p.after(playShare, func() { p.shareOut(place) })
	}
}

// arrive sends one request from a caller in a place and plans the next.
func (p *play) arrive(place ferry.PlaceID) {
	if p.now > p.length {
		return
	}
	if p.now > 0 {
		p.requests++
		p.drawRandom(place)
		p.send(p.pickVM(place), nil)
	}
	phase := 2 * math.Pi * (p.now.Seconds()/playWave.Seconds() + float64(slices.Index(p.places, place))/float64(len(p.places)))
	perSecond := p.load * float64(len(p.list)*playSlots) / float64(len(p.places)) / playWork.Seconds() * (1 + playSwing*math.Sin(phase))
	p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(place) })
}

func (p *play) pickVM(place ferry.PlaceID) *playVM {
	total := 0.0
	for _, vm := range p.vms {
		if vm.place == place && !vm.isGone {
			total += vm.share
		}
	}
	drawn := p.random.Float64() * total
	var last *playVM
	for _, vm := range p.vms {
		if vm.place == place && !vm.isGone {
			last = vm
			if drawn -= vm.share; drawn < 0 {
				break
			}
		}
	}
	return last
}

// drawRandom counts the request at a random target of the place.
func (p *play) drawRandom(place ferry.PlaceID) {
	var inPlace []*playTarget
	for _, target := range p.list {
		if t := p.targets[target.ID]; t.place == place && !t.isGone {
			inPlace = append(inPlace, t)
		}
	}
	inPlace[p.random.IntN(len(inPlace))].drawn++
}

// playDelay is the time from a VM to a target, one way.
func playDelay(vm *playVM, target *playTarget) time.Duration {
	switch regions.Distance(vm.place, target.place) {
	case ferry.SamePlace:
		return 300 * time.Microsecond
	case ferry.SameRegion:
		return 900 * time.Microsecond
	default:
		return 8 * time.Millisecond
	}
}

// send makes an attempt; a request that is shed three times has failed.
func (p *play) send(vm *playVM, tried []ferry.TargetID) {
	if p.isExact {
		for id, state := range vm.chooser.states {
			target := p.targets[id]
			state.otherRequests.Store(math.Float64bits(float64(target.sent) - float64(state.ownRequests.Load())))
			state.reportedAt.Store(int64(p.now))
		}
	}
	pick, ok := vm.chooser.Choose(p.now, Attempt{Service: "s", Tried: tried, Bytes: 2000})
	if !ok || len(tried) == 3 {
		if ok {
			vm.chooser.Release(p.now, pick, Report{})
		}
		p.failed++
		return
	}
	sentAt, target := p.now, p.targets[pick.Target.ID]
	if target.place != vm.place {
		p.away++
	}
	p.connect(vm, pick)
	target.sent++
	delay := playDelay(vm, target)
	end := func(verdict ferry.Verdict) {
		target.sent--
		load := ferry.TargetLoad{Known: true, Running: target.running, Waiting: len(target.waiting), Slots: playSlots}
		if verdict == ferry.VerdictGood {
			load.Running++ // the request itself, which has just ended
		}
		p.after(delay, func() {
			vm.keep(pick, append(vm.idle[pick.Target.ID], p.now+playIdle))
			vm.chooser.Release(p.now, pick, Report{Verdict: verdict, Took: p.now - sentAt, Load: load})
			if verdict == ferry.VerdictShed {
				p.sheds++
				p.send(vm, append(tried, pick.Target.ID))
			}
		})
	}
	p.after(delay, func() { p.serve(target, end) })
}

// connect takes the idle connection that was used last, or opens one.
func (p *play) connect(vm *playVM, pick Pick) {
	list := vm.idle[pick.Target.ID]
	switch {
	case len(list) > 0 && list[len(list)-1] > p.now:
		list = list[:len(list)-1]
	default:
		list = list[:0]
		p.opened++
	}
	vm.keep(pick, list)
}

// keep sets until when the idle connections to a target stay open.
func (vm *playVM) keep(pick Pick, idle []time.Duration) {
	vm.idle[pick.Target.ID] = idle
	until := time.Duration(0)
	if len(idle) > 0 {
		until = idle[len(idle)-1]
	}
	vm.chooser.SetIdleUntil(pick, until)
}

// serve runs a request on a slot, lets it wait for one, or sheds it.
func (p *play) serve(target *playTarget, end func(ferry.Verdict)) {
	arrived := p.now
	run := func() {
		target.running++
		p.waited += p.now - arrived
		p.after(time.Duration(p.random.ExpFloat64()*float64(playWork)), func() {
			target.running--
			target.served++
			end(ferry.VerdictGood)
			if len(target.waiting) > 0 {
				next := target.waiting[0]
				target.waiting = target.waiting[1:]
				next()
			}
		})
	}
	switch {
	case target.running < playSlots:
		run()
	case len(target.waiting) < playQueue:
		target.waiting = append(target.waiting, run)
	default:
		end(ferry.VerdictShed)
	}
}

// sample measures queues beside free slots every 5 ms.
func (p *play) sample() {
	hasFree := map[ferry.PlaceID]bool{}
	for _, target := range p.targets {
		if target.running < playSlots && !target.isGone {
			hasFree[target.place] = true
		}
	}
	for _, target := range p.targets {
		p.sampled++
		if len(target.waiting) > 0 && len(hasFree) > 0 {
			p.observed++
		}
		if len(target.waiting) > 0 && hasFree[target.place] {
			p.inPlace++
		}
	}
	if p.now < p.length {
		p.after(5*time.Millisecond, p.sample)
	}
}

func (p *play) result() playResult {
	served, drawn, most, mostDrawn := 0, 0, 0, 0
	for _, target := range p.targets {
		served += target.served
		drawn += target.drawn
		most, mostDrawn = max(most, target.served), max(mostDrawn, target.drawn)
	}
	count := float64(len(p.targets))
	r := p.playResult
	r.busiest, r.random = float64(most)*count/float64(served), float64(mostDrawn)*count/float64(drawn)
	r.queued = float64(p.observed) / float64(p.sampled)
	r.queuedInPlace = float64(p.inPlace) / float64(p.sampled)
	r.wait = p.waited / time.Duration(max(1, served))
	r.away = float64(p.away) / float64(p.requests)
	return r
}

// playLength is the length of a play, of four waves.
const playLength = 20 * time.Second

// playWays are today's way, each setting after the other, and what exact knowledge gives.
var playWays = []struct {
	name    string
	even    EvenLoad
	isExact bool
}{
	{name: "today"},
	{name: "slots", even: EvenLoad{SlotPreference: 0.2}},
	{name: "slots, use by place", even: EvenLoad{SlotPreference: 0.2, UseByPlace: true}},
	{name: "slots, use by place, connections", even: EvenLoad{SlotPreference: 0.2, UseByPlace: true, NewConnection: 6 * time.Millisecond}},
	{name: "exact knowledge", isExact: true},
}

// BenchmarkEvenLoad prints the table of docs/MEASURES.md.
func BenchmarkEvenLoad(b *testing.B) {
	for b.Loop() {
		for _, size := range []struct{ vms, targets int }{{36, 48}, {107, 180}, {293, 492}} {
			for _, load := range []float64{0.3, 0.65, 0.8} {
				for _, isChanging := range []bool{false, true} {
					for i, way := range playWays {
						if size.vms != 107 && (i == 1 || i == 2) {
							continue // each setting alone at one size only
						}
						r := playFleet(playOptions{vms: size.vms, targets: size.targets, load: load, even: way.even, isExact: way.isExact, isChanging: isChanging, length: playLength, seed: 1})
						b.Logf("| %d | %.2f | %v | %s | %v |", size.vms, load, isChanging, way.name, r)
					}
				}
			}
		}
	}
}
