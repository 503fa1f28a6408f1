package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// jitter is the largest random part of a cost.
	jitter = 6 * time.Millisecond
	// workWeight is the weight of a new measurement of the work.
	workWeight = 0.1
	// cutEvery is the time between two looks at which targets are avoided.
	cutEvery = 100 * time.Millisecond
	// usualWeight is the weight of a new report in the usual use by others.
	usualWeight = 0.05
)

// Wish describes the attempt for which a target is chosen.
type Wish struct {
	Service ferry.ServiceID
	// Tried are targets that are not chosen again.
	Tried []ferry.TargetID
	// MayRepeat reports that a failed attempt can be repeated.
	MayRepeat bool
	// Bytes is the size of the request and of its usual answer.
	Bytes int64
}

// Pick is a chosen target.
type Pick struct {
	Target *ferry.Target
	// Cost is the expected cost of the choice, and Wait the part that is the
	// wait for a slot.
	Cost time.Duration
	Wait time.Duration
	// Distance is that of the target.
	Distance ferry.Distance
	// LogOdds are those of a bad spell at the choice.
	LogOdds float64
	state   *state
}

// Report is what an attempt showed.
type Report struct {
	Verdict ferry.Verdict
	// Took is the time from sending to the end of the answer, or zero.
	Took time.Duration
	Load ferry.TargetLoad
	// Retracted is evidence that was given during the attempt and that the
	// answer disproved.
	Retracted float64
}

// state is what this VM knows about a target.
type state struct {
	target    ferry.Target
	coldUntil time.Duration
	own       atomic.Int32
	// sentAt is when this VM last chose the target.
	sentAt atomic.Int64
	// others and othersAt are the other VMs' requests as last reported.
	others   atomic.Uint64
	othersAt atomic.Int64

	mu     sync.Mutex
	odds   float64
	oddsAt time.Duration
	pooled float64
}

// service is the targets of one service.
type service struct {
	states []*state
	// work and usual are bits of float64: the usual time of a request in
	// seconds, and the usual part of the slots that other VMs use.
	work  atomic.Uint64
	usual atomic.Uint64
	// safe and unsafe are the log odds above which targets are avoided by requests
	// that may be repeated, and by those that may not.
	safe   cut
	unsafe cut
	// safeAt is when a request that may be repeated came last.
	safeAt atomic.Int64
}

// cut is the bits of log odds above which targets are avoided, as of at.
type cut struct {
	odds atomic.Uint64
	at   atomic.Int64
}

// table is what requests read.
type table struct {
	services map[ferry.ServiceID]*service
}

// Chooser chooses targets. Choose and Release are safe for concurrent use;
// Update, Pool and List have one caller.
type Chooser struct {
	place   ferry.PlaceID
	regions ferry.Regions
	table   atomic.Pointer[table]
	states  map[ferry.TargetID]*state
	// peers is the number of VMs that serve in the own place.
	peers atomic.Int32
	// floorBits hold the part of each service that stays in full use.
	floorBits atomic.Uint64
}

// NewChooser returns the chooser of a VM at the place.
func NewChooser(place ferry.PlaceID, regions ferry.Regions) *Chooser {
	c := &Chooser{place: place, regions: regions, states: map[ferry.TargetID]*state{}}
	c.table.Store(&table{services: map[ferry.ServiceID]*service{}})
	return c
}

// Update replaces the targets. What is known about a target is kept while its
// incarnation is the same.
func (c *Chooser) Update(now time.Duration, targets []ferry.Target) {
	before := c.table.Load()
	next := &table{services: map[ferry.ServiceID]*service{}}
	present := map[ferry.TargetID]bool{}
	for i := range targets {
		target := targets[i]
		present[target.ID] = true
		known := c.states[target.ID]
		if known == nil || !isSame(known.target, target) {
			known = &state{target: target, coldUntil: now + target.ColdFor, odds: priorOdds, pooled: priorOdds, oddsAt: now}
			c.states[target.ID] = known
		}
		if target.Leaving {
			continue
		}
		s := next.services[target.Service]
		if s == nil {
			s = &service{}
			if old := before.services[target.Service]; old != nil {
				s.work.Store(old.work.Load())
				s.usual.Store(old.usual.Load())
			}
			next.services[target.Service] = s
		}
		s.states = append(s.states, known)
	}
	for id := range c.states {
		if !present[id] {
			delete(c.states, id)
		}
	}
	c.table.Store(next)
}

// SetPeers states how many VMs serve in the own place.
func (c *Chooser) SetPeers(vms int) { c.peers.Store(int32(vms)) }

// SetFloor states the part of each service that stays in full use, from 0 to 1.
func (c *Chooser) SetFloor(floor float64) { c.floorBits.Store(math.Float64bits(floor)) }

func (c *Chooser) floor() float64 {
	if floor := math.Float64frombits(c.floorBits.Load()); floor > 0 {
		return floor
	}
	return ferry.DefaultFloor
}

// isSame reports whether two entries describe one process.
func isSame(a, b ferry.Target) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service && a.Slots == b.Slots && a.Place == b.Place
}

// Pool takes the pooled log odds of the fleet over.
func (c *Chooser) Pool(pooled map[ferry.TargetID]float64) {
	for id, s := range c.states {
		odds, found := pooled[id]
		if !found {
			odds = priorOdds
		}
		s.mu.Lock()
		s.pooled = odds
		s.mu.Unlock()
	}
}

// TargetView is what the chooser knows of a target.
type TargetView struct {
	Target  ferry.Target
	LogOdds float64
	// Own is the number of this VM's requests on the target.
	Own int
}

// List returns every target, in the order of the names.
func (c *Chooser) List(now time.Duration) []TargetView {
	list := make([]TargetView, 0, len(c.states))
	for _, s := range c.states {
		list = append(list, TargetView{Target: s.target, LogOdds: s.logOdds(now), Own: int(s.own.Load())})
	}
	slices.SortFunc(list, func(a, b TargetView) int { return strings.Compare(string(a.Target.ID), string(b.Target.ID)) })
	return list
}

// Choose returns the target of least cost and counts a request on it until
// Release. ok is false when the service has no target left.
func (c *Chooser) Choose(now time.Duration, wish Wish) (pick Pick, ok bool) {
	s := c.table.Load().services[wish.Service]
	if s == nil {
		return Pick{}, false
	}
	avoided := s.avoided(now, wish.MayRepeat, c.floor())
	work := time.Duration(math.Float64frombits(s.work.Load()) * float64(time.Second))
	usual := math.Float64frombits(s.usual.Load())
	least := time.Duration(math.MaxInt64)
	for _, candidate := range s.states {
		if slices.Contains(wish.Tried, candidate.target.ID) {
			continue
		}
		facts := c.facts(now, candidate, work, usual)
		if facts.LogOdds <= avoided {
			facts.LogOdds = min(facts.LogOdds, soundOdds)
		}
		facts.MayRepeat, facts.Bytes = wish.MayRepeat, wish.Bytes
		cost := Cost(facts)
		if IsTrialDue(facts, now-time.Duration(candidate.sentAt.Load()), int(c.peers.Load())) {
			cost = -jitter
		}
		if noisy := cost + rand.N(jitter); noisy < least {
			least = noisy
			pick = Pick{Target: &candidate.target, Cost: cost, Wait: Wait(facts), Distance: facts.Distance, LogOdds: facts.LogOdds, state: candidate}
		}
	}
	if pick.state == nil {
		return Pick{}, false
	}
	pick.state.own.Add(1)
	pick.state.sentAt.Store(int64(now))
	return pick, true
}

// avoided returns the log odds above which a request avoids targets of the
// service. While requests that may be repeated keep the floor in use, the others
// may avoid more.
func (s *service) avoided(now time.Duration, mayRepeat bool, floor float64) float64 {
	if mayRepeat {
		s.safeAt.Store(int64(max(1, now)))
		return s.safe.now(now, s, floor)
	}
	if at := time.Duration(s.safeAt.Load()); at != 0 && now-at < safeRecent {
		floor = min(floor, unsafeFloor)
	}
	return s.unsafe.now(now, s, floor)
}

// now returns the cut of a service, made anew after cutEvery.
func (c *cut) now(now time.Duration, s *service, floor float64) float64 {
	if at := time.Duration(c.at.Load()); at != 0 && now-at < cutEvery {
		return math.Float64frombits(c.odds.Load())
	}
	odds := make([]float64, 0, len(s.states))
	for _, known := range s.states {
		odds = append(odds, known.logOdds(now))
	}
	above := Cut(odds, floor)
	c.odds.Store(math.Float64bits(above))
	c.at.Store(int64(max(1, now)))
	return above
}

// facts gathers what decides the cost of a target.
func (c *Chooser) facts(now time.Duration, s *state, work time.Duration, usual float64) Facts {
	age := now - time.Duration(s.othersAt.Load())
	return Facts{
		Distance: c.regions.Distance(c.place, s.target.Place),
		Slots:    s.target.Slots,
		Own:      int(s.own.Load()),
		Others:   othersNow(math.Float64frombits(s.others.Load()), age, usual, s.target.Slots),
		Work:     work,
		Cold:     now < s.coldUntil,
		LogOdds:  s.logOdds(now),
	}
}

// logOdds returns the worse of this VM's and the pooled log odds.
func (s *state) logOdds(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(decayed(s.odds, now-s.oddsAt), s.pooled)
}

// Observe adds evidence about the target of a pick.
func (c *Chooser) Observe(now time.Duration, pick Pick, logOdds float64) {
	if logOdds == 0 {
		return
	}
	s := pick.state
	s.mu.Lock()
	s.odds = bounded(decayed(s.odds, now-s.oddsAt) + logOdds)
	s.oddsAt = now
	s.mu.Unlock()
}

// Release ends an attempt and returns the evidence for the fleet.
func (c *Chooser) Release(now time.Duration, pick Pick, report Report) float64 {
	own := pick.state.own.Add(-1)
	evidence := LogOdds(report.Verdict) - report.Retracted
	c.Observe(now, pick, evidence)
	if report.Load.Known {
		others := max(0, float64(report.Load.Running+report.Load.Waiting)-1-float64(own))
		pick.state.others.Store(math.Float64bits(others))
		pick.state.othersAt.Store(int64(now))
		c.learn(pick, report, others)
	}
	return evidence
}

// learn updates the service's usual figures. Lost updates between VMs' threads
// do no harm.
func (c *Chooser) learn(pick Pick, report Report, others float64) {
	s := c.table.Load().services[pick.Target.Service]
	if s == nil {
		return
	}
	usual := math.Float64frombits(s.usual.Load())
	s.usual.Store(math.Float64bits(usual + usualWeight*(others/float64(max(1, pick.Target.Slots))-usual)))
	if report.Took <= 0 || report.Verdict != ferry.VerdictGood {
		return
	}
	work := math.Float64frombits(s.work.Load())
	if work == 0 {
		work = report.Took.Seconds()
	}
	s.work.Store(math.Float64bits(work + workWeight*(report.Took.Seconds()-work)))
}
