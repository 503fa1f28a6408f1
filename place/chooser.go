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
	// maxJitter is the largest random part of a cost.
	maxJitter = 6 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.1
	// thresholdInterval is how long a computed threshold is used.
	thresholdInterval = 100 * time.Millisecond
	// averageUseWeight is the weight of a new report in the average use.
	averageUseWeight = 0.05
)

// Attempt describes the attempt for which a target is chosen.
type Attempt struct {
	Service ferry.ServiceID
	// Tried lists targets that are not chosen again.
	Tried []ferry.TargetID
	// IsRetryable reports that the request may be sent again after a failure.
	IsRetryable bool
	// Bytes is the size of the request plus the average size of a response.
	Bytes int64
	// Homes are the regions that may serve the request.
	Homes Homes
	// Wall is the wall clock at the choice, by which credits expire too, or zero.
	Wall time.Duration
}

// Pick is a chosen target.
type Pick struct {
	Target *ferry.Target
	// Cost is the expected cost, including Wait, the expected wait for a slot.
	Cost time.Duration
	Wait time.Duration
	// Distance is the distance to the target's place.
	Distance ferry.Distance
	// LogOdds are the log odds, at the choice, that the target is unhealthy.
	LogOdds float64
	// Slot tells whose slot the request uses.
	Slot  SlotKind
	state *targetState
	// credit is the credit taken for the request, or nil.
	credit *coldCredit
}

// Report is the result of an attempt.
type Report struct {
	Verdict ferry.Verdict
	// Took is the time from sending to the end of the attempt, or zero.
	Took time.Duration
	Load ferry.TargetLoad
	// Retracted is evidence added during the attempt that the response refuted.
	Retracted float64
}

// targetState is this VM's state of a target.
type targetState struct {
	target ferry.Target
	// region is the bit of the region of the target's place, or empty if it is unknown.
	region regionSet
	// evacuation is that of the target's place, or nil.
	evacuation atomic.Pointer[Evacuation]
	warmth
	ownRequests atomic.Int32
	// chosenAt is when this VM last chose the target.
	chosenAt atomic.Int64
	// use is the average use in the target's place.
	use *placeUse
	// idleUntil is until when this VM has an idle connection.
	idleUntil atomic.Int64
	// ownedSlots is the number of slots that this VM owns.
	ownedSlots atomic.Int32
	// isUsed reports that usedTargets lists the target.
	isUsed atomic.Bool
	// isLeaving and closedUntil are the standing of the target's process.
	isLeaving   atomic.Bool
	closedUntil atomic.Int64
	// reportedSlots is the number of slots that the target reports, or zero.
	reportedSlots atomic.Int32
	// otherRequests are the other VMs' requests as reported at reportedAt, as the
	// bits of a float64.
	otherRequests atomic.Uint64
	reportedAt    atomic.Int64

	mu           sync.Mutex
	ownLogOdds   float64
	ownLogOddsAt time.Duration
	fleetLogOdds float64
}

// service holds the targets of one service.
type service struct {
	states []*targetState
	// serviceTime and averageUse are bits of float64: the average time of a
	// request in seconds, and the average fraction of slots that other VMs use.
	serviceTime atomic.Uint64
	averageUse  atomic.Uint64
	// safeThreshold is for retryable requests, unsafeThreshold for all others.
	safeThreshold   threshold
	unsafeThreshold threshold
	// lastSafeAt is the time of the last retryable request.
	lastSafeAt atomic.Int64
	// coldRate are the bits of the rate, a float64, that a cold target tolerates.
	coldRate atomic.Uint64
	// asked is the target that the place leader asked for last, or nil.
	asked atomic.Pointer[askedTarget]
}

// threshold holds, as bits, the log odds above which requests avoid targets.
type threshold struct {
	logOdds atomic.Uint64
	// isRanked reports that the targets below the threshold are not used alike.
	isRanked   atomic.Bool
	computedAt atomic.Int64
}

// serviceTable is the set of services that Choose reads. It is immutable.
type serviceTable struct {
	services map[ferry.ServiceID]*service
}

// Chooser chooses targets. Update, SetFleetLogOdds, SetEvacuated and List must be called from
// one goroutine. The other methods are safe for concurrent use.
type Chooser struct {
	place   ferry.PlaceID
	regions ferry.Regions
	// regionBits identifies each region by a bit. It is immutable.
	regionBits map[ferry.RegionID]regionSet
	table      atomic.Pointer[serviceTable]
	states     map[ferry.TargetID]*targetState
	// placeVMs is the number of VMs that serve in this VM's place.
	placeVMs atomic.Int32
	// floorBits are the bits of the float64 that SetFloor sets.
	floorBits atomic.Uint64
	standings standings
	// evacuated holds the evacuations in force, ordered by place, or nil.
	evacuated atomic.Pointer[[]*Evacuation]
	// seed and choices determine the random part of the costs.
	seed    uint64
	choices atomic.Uint64
	used    usedTargets
	slots   slotState
	even    atomic.Pointer[EvenLoad]
	// uses holds the average use by place. Update adds to it.
	uses map[placeService]*placeUse
	cold coldState
}

// NewChooser returns the chooser of a VM in the place.
func NewChooser(place ferry.PlaceID, regions ferry.Regions) *Chooser {
	c := &Chooser{place: place, regions: regions, regionBits: regionBits(regions), states: map[ferry.TargetID]*targetState{}, uses: map[placeService]*placeUse{}}
	c.table.Store(&serviceTable{services: map[ferry.ServiceID]*service{}})
	c.even.Store(&EvenLoad{})
	return c
}

// Update replaces the list of targets. The state of a target is kept while its
// entry describes the same process.
func (c *Chooser) Update(now time.Duration, targets []ferry.Target) {
	before := c.table.Load()
	next := &serviceTable{services: map[ferry.ServiceID]*service{}}
	present := map[ferry.TargetID]bool{}
	for i := range targets {
		target := targets[i]
		present[target.ID] = true
		state := c.states[target.ID]
		if state == nil || !isSameProcess(state.target, target) {
			state = &targetState{target: target, region: c.regionBits[c.regions[target.Place]], ownLogOdds: priorLogOdds, fleetLogOdds: priorLogOdds, ownLogOddsAt: now, use: c.useOf(target)}
			state.apply(c.standings.get(target.Process()))
			state.evacuation.Store(findEvacuation(c.evacuations(), target.Place))
			c.states[target.ID] = state
		}
		c.updateWarmth(now, state, target)
		if target.Leaving {
			continue
		}
		s := next.services[target.Service]
		if s == nil {
			s = &service{}
			if old := before.services[target.Service]; old != nil {
				s.serviceTime.Store(old.serviceTime.Load())
				s.averageUse.Store(old.averageUse.Load())
				s.asked.Store(old.asked.Load())
			}
			s.coldRate.Store(math.Float64bits(c.cold.rules[target.Service].rate))
			next.services[target.Service] = s
		}
		s.states = append(s.states, state)
	}
	for id := range c.states {
		if !present[id] {
			delete(c.states, id)
		}
	}
	c.table.Store(next)
	c.slots.isDue = true
	c.standings.expire(now, func(process ferry.TargetProcess) bool {
		state := c.states[process.ID]
		return state != nil && state.target.Process() == process
	})
}

// SetSeed sets the seed of the random part of the costs. VMs need different seeds,
// so that they do not choose the same of many equal targets.
func (c *Chooser) SetSeed(seed uint64) { c.seed = seed }

// SetPlaceVMs sets the number of VMs that serve in this VM's place.
func (c *Chooser) SetPlaceVMs(vms int) { c.placeVMs.Store(int32(vms)) }

// SetFloor sets the fraction of each service's targets that stay in full use.
func (c *Chooser) SetFloor(floor float64) { c.floorBits.Store(math.Float64bits(floor)) }

func (c *Chooser) floor() float64 {
	if floor := math.Float64frombits(c.floorBits.Load()); floor > 0 {
		return floor
	}
	return ferry.DefaultFloor
}

// isSameProcess reports whether two entries describe one process.
func isSameProcess(a, b ferry.Target) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service && a.Slots == b.Slots && a.Place == b.Place
}

// SetFleetLogOdds sets the pooled log odds of the fleet.
func (c *Chooser) SetFleetLogOdds(pooled map[ferry.TargetID]float64) {
	for id, s := range c.states {
		logOdds, found := pooled[id]
		if !found {
			logOdds = priorLogOdds
		}
		s.mu.Lock()
		s.fleetLogOdds = logOdds
		s.mu.Unlock()
	}
}

// TargetView is the chooser's state of a target.
type TargetView struct {
	Target ferry.Target
	// OwnedSlots is the number of its slots that this VM owns.
	OwnedSlots int
	// LogOdds are the log odds that the target is unhealthy.
	LogOdds float64
	// OwnRequests is the number of this VM's requests on the target.
	OwnRequests int
	// SaidLeaving reports that a response of the target said that it is leaving.
	SaidLeaving bool
	// Backoff is how long the target gets no request because it asked for a pause.
	Backoff time.Duration
	// ColdFor is the rest of the warm-up.
	ColdFor time.Duration
}

// List returns all targets, ordered by ID.
func (c *Chooser) List(now time.Duration) []TargetView {
	list := make([]TargetView, 0, len(c.states))
	for _, s := range c.states {
		list = append(list, TargetView{
			Target: s.target, LogOdds: s.logOdds(now), OwnRequests: int(s.ownRequests.Load()),
			SaidLeaving: s.isLeaving.Load(), Backoff: max(0, time.Duration(s.closedUntil.Load())-now),
			OwnedSlots: int(s.ownedSlots.Load()),
			ColdFor:    max(0, time.Duration(s.coldUntil.Load())-now),
		})
	}
	slices.SortFunc(list, func(a, b TargetView) int { return strings.Compare(string(a.Target.ID), string(b.Target.ID)) })
	return list
}

// Choose returns the target of lowest cost and counts a request on it until
// Release. ok is false when the service has no target left that takes requests.
func (c *Chooser) Choose(now time.Duration, attempt Attempt) (pick Pick, ok bool) {
	s := c.table.Load().services[attempt.Service]
	if s == nil {
		return Pick{}, false
	}
	avoidAbove := s.avoidThreshold(now, attempt.IsRetryable, c.floor())
	serviceTime := time.Duration(math.Float64frombits(s.serviceTime.Load()) * float64(time.Second))
	averageUse := math.Float64frombits(s.averageUse.Load())
	asked, hasSafe := s.askedFor(now, attempt), s.hasRetryable(now)
	lowest := time.Duration(math.MaxInt64)
	var random rand.PCG
	random.Seed(c.seed, c.choices.Add(1))
	even := c.even.Load()
	reach, departure := c.reachOf(attempt.Homes), c.newDeparture(&random)
	isSpread := attempt.IsRetryable || !s.unsafeThreshold.isRanked.Load() || random.Uint64()%spreadInterval == 0
	for _, candidate := range s.states {
		if candidate.isClosed(now) || !reach.includes(candidate) || slices.Contains(attempt.Tried, candidate.target.ID) || candidate.lacksCredit(now, &attempt) {
			continue
		}
		input := c.costInput(now, candidate, serviceTime, even.averageUse(now, candidate, averageUse))
		input.IsRetryable, input.Bytes = attempt.IsRetryable, attempt.Bytes
		input.tolerate(avoidAbove, isSpread)
		cost := Cost(input) + even.cost(now, candidate, &input)
		if IsTrialDue(input, now-time.Duration(candidate.chosenAt.Load()), int(c.placeVMs.Load())) {
			cost = -maxJitter
		}
		if candidate.target.ID == asked && mayUseAsked(input, hasSafe) {
			cost = -2 * maxJitter
		}
		cost += departure.cost(now, candidate)
		if jittered := cost + time.Duration(random.Uint64()%uint64(maxJitter)); jittered < lowest {
			lowest = jittered
			pick = Pick{Target: &candidate.target, Cost: cost, Wait: Wait(input), Distance: input.Distance, LogOdds: input.LogOdds, Slot: slotKind(candidate, &input), state: candidate}
		}
	}
	if pick.state == nil {
		return Pick{}, false
	}
	if pick.credit, ok = pick.state.takeCredit(now, &attempt); !ok {
		return c.Choose(now, attempt) // another request took the credit meanwhile
	}
	if pick.credit != nil {
		c.cold.used.Add(1)
	}
	pick.state.ownRequests.Add(1)
	pick.state.chosenAt.Store(int64(now))
	c.used.add(pick.state)
	if pick.Target.ID == asked {
		s.asked.Store(nil)
	}
	return pick, true
}

// avoidThreshold returns the log odds above which a request avoids targets.
// While retryable requests keep the floor in use, the others may avoid more.
func (s *service) avoidThreshold(now time.Duration, isRetryable bool, floor float64) float64 {
	if isRetryable {
		s.lastSafeAt.Store(int64(max(1, now)))
		return s.safeThreshold.current(now, s, floor)
	}
	if s.hasRetryable(now) {
		floor = min(floor, unsafeFloor)
	}
	return s.unsafeThreshold.current(now, s, floor)
}

// hasRetryable reports whether this VM had a retryable request of the service within
// safeWindow. Such requests keep suspects in use.
func (s *service) hasRetryable(now time.Duration) bool {
	at := time.Duration(s.lastSafeAt.Load())
	return at != 0 && now-at < safeWindow
}

// current returns the threshold of s, recomputed after thresholdInterval.
func (t *threshold) current(now time.Duration, s *service, floor float64) float64 {
	if at := time.Duration(t.computedAt.Load()); at != 0 && now-at < thresholdInterval {
		return math.Float64frombits(t.logOdds.Load())
	}
	logOdds := make([]float64, 0, len(s.states))
	for _, state := range s.states {
		// A target that takes no request now is neither used nor avoided.
		if !state.isClosed(now) {
			logOdds = append(logOdds, state.logOdds(now))
		}
	}
	value := min(certainLogOdds, AvoidThreshold(logOdds, floor))
	t.logOdds.Store(math.Float64bits(value))
	t.isRanked.Store(len(logOdds) >= minRankedTargets && AvoidThreshold(logOdds, maxSuspectShare) <= recoveredLogOdds)
	t.computedAt.Store(int64(max(1, now)))
	return value
}

// costInput returns the values that decide the cost of a target.
func (c *Chooser) costInput(now time.Duration, s *targetState, serviceTime time.Duration, averageUse float64) CostInput {
	age := now - time.Duration(s.reportedAt.Load())
	slots := s.slots()
	others, spread := estimateOtherRequests(math.Float64frombits(s.otherRequests.Load()), age, averageUse, s.slotsOfOthers(slots))
	return CostInput{
		Distance:      c.regions.Distance(c.place, s.target.Place),
		Slots:         slots,
		OwnRequests:   int(s.ownRequests.Load()),
		OtherRequests: others,
		Spread:        spread,
		ServiceTime:   serviceTime,
		Cold:          s.isCold(now),
		LogOdds:       s.logOdds(now),
	}
}

// slots returns the number of slots of the target. A report of the target itself
// goes before a higher number in its entry, which another writer may have made.
func (s *targetState) slots() int {
	if reported := int(s.reportedSlots.Load()); reported > 0 {
		return min(reported, s.target.Slots)
	}
	return s.target.Slots
}

// logOdds returns the higher of this VM's and the fleet's log odds.
func (s *targetState) logOdds(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(decayLogOdds(s.ownLogOdds, now-s.ownLogOddsAt), s.fleetLogOdds)
}

// Observe adds evidence, a change of log odds, about the picked target.
func (c *Chooser) Observe(now time.Duration, pick Pick, evidence float64) {
	if evidence == 0 {
		return
	}
	s := pick.state
	s.mu.Lock()
	s.ownLogOdds = clampLogOdds(decayLogOdds(s.ownLogOdds, now-s.ownLogOddsAt) + evidence)
	s.ownLogOddsAt = now
	s.mu.Unlock()
}

// Release ends an attempt. It returns the evidence to be pooled in the fleet.
func (c *Chooser) Release(now time.Duration, pick Pick, report Report) float64 {
	own := pick.state.ownRequests.Add(-1)
	evidence := EvidenceOf(report.Verdict) - report.Retracted
	c.Observe(now, pick, evidence)
	if report.Load.Known {
		others := max(0, float64(report.Load.Running+report.Load.Waiting)-1-float64(own))
		pick.state.otherRequests.Store(math.Float64bits(others))
		pick.state.reportedAt.Store(int64(now))
		pick.state.reportedSlots.Store(int32(min(math.MaxInt32, max(0, report.Load.Slots))))
		c.updateAverages(now, pick, report, others)
	}
	return evidence
}

// updateAverages updates the service's averages. Concurrent calls may lose an
// update, which does no harm.
func (c *Chooser) updateAverages(now time.Duration, pick Pick, report Report, others float64) {
	s := c.table.Load().services[pick.Target.Service]
	if s == nil {
		return
	}
	averageUse := math.Float64frombits(s.averageUse.Load())
	if slots := pick.state.slotsOfOthers(max(1, pick.state.slots())); slots > 0 {
		s.averageUse.Store(math.Float64bits(averageUse + averageUseWeight*(others/float64(slots)-averageUse)))
		pick.state.use.add(now, others/float64(slots))
	}
	if report.Took <= 0 || report.Verdict != ferry.VerdictGood {
		return
	}
	serviceTime := math.Float64frombits(s.serviceTime.Load())
	if serviceTime == 0 {
		serviceTime = report.Took.Seconds()
	}
	s.serviceTime.Store(math.Float64bits(serviceTime + serviceTimeWeight*(report.Took.Seconds()-serviceTime)))
}
