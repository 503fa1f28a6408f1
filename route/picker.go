package route

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

// Status is the state of a target as decided by fault detection.
type Status struct {
	// Ejected targets receive no requests.
	Ejected bool
	// Trial targets receive idempotent requests only, one at a time.
	Trial bool
	// Weight scales the capacity of a target between 0 and 1. Zero means 1.
	Weight float64
}

const (
	// loadLifetime is the age from which a reported load is ignored.
	loadLifetime = time.Second
	// minShedPause and maxShedPause bound the time for which a target that shed
	// load counts as full. Each consecutive shed attempt doubles it.
	minShedPause = 5 * time.Millisecond
	maxShedPause = time.Second
	// latencySampleWeight is the weight of a new sample in the average latency.
	latencySampleWeight = 0.1
)

var distanceReasons = [ferry.DistanceCount]ferry.Reason{ferry.ReasonOwnPlace, ferry.ReasonOwnRegion, ferry.ReasonRemote}

// candidate is the state of one target on this VM. It is kept when the
// inventory changes, so that requests in flight are still counted.
type candidate struct {
	target         atomic.Pointer[ferry.Target]
	status         atomic.Pointer[Status]
	inFlight       atomic.Int64
	load           atomic.Int64
	loadReportedAt atomic.Int64
	fullUntil      atomic.Int64
	// consecutiveSheds counts the shed attempts since the last served one.
	consecutiveSheds atomic.Int64
	// latency is the average time to first byte in nanoseconds.
	latency atomic.Int64
}

// serviceTargets lists the candidates of one service by distance.
type serviceTargets [ferry.DistanceCount][]*candidate

// Picker chooses targets. Choose and Release are safe for concurrent use and
// take no lock.
type Picker struct {
	place ferry.PlaceID
	// maxVMs is the number of VMs that share a target's connections.
	maxVMs atomic.Int64

	mu         sync.Mutex
	candidates map[ferry.TargetID]*candidate
	services   atomic.Pointer[map[ferry.ServiceID]*serviceTargets]
}

// NewPicker returns a picker for a VM in the given place.
func NewPicker(place ferry.PlaceID) *Picker {
	picker := &Picker{place: place, candidates: map[ferry.TargetID]*candidate{}}
	picker.services.Store(&map[ferry.ServiceID]*serviceTargets{})
	picker.maxVMs.Store(1)
	return picker
}

// Apply replaces the targets with those of an inventory.
func (p *Picker) Apply(inventory *ferry.Inventory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	regions := ferry.NewRegions(inventory.Places)
	services := map[ferry.ServiceID]*serviceTargets{}
	listed := map[ferry.TargetID]*candidate{}
	for i := range inventory.Targets {
		target := &inventory.Targets[i]
		c := p.candidates[target.ID]
		if c == nil {
			c = &candidate{}
			c.status.Store(&Status{})
		}
		c.target.Store(target)
		listed[target.ID] = c
		if target.Leaving {
			continue
		}
		targets := services[target.Service]
		if targets == nil {
			targets = &serviceTargets{}
			services[target.Service] = targets
		}
		distance := regions.Distance(p.place, target.Place)
		targets[distance] = append(targets[distance], c)
	}
	p.candidates = listed
	p.maxVMs.Store(int64(max(1, inventory.MaxVMs)))
	p.services.Store(&services)
}

// SetStatus sets the status of a target. Unknown targets are ignored.
func (p *Picker) SetStatus(id ferry.TargetID, status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.candidates[id]; c != nil {
		c.status.Store(&status)
	}
}

// Choose implements ferry.Balancer.
func (p *Picker) Choose(now ferry.Moment, choice ferry.Choice) (ferry.Pick, error) {
	targets := (*p.services.Load())[choice.Service]
	if targets == nil {
		return ferry.Pick{}, noTarget("the service has no target")
	}
	// The second round retries after a concurrent request took the slot of a
	// target that was chosen in the first round.
	for range 2 {
		for distance := range targets {
			if c := p.pickOfTwo(now, targets[distance], choice); c != nil && p.reserve(c) {
				return ferry.Pick{Target: c.target.Load(), Reason: reasonFor(c, ferry.Distance(distance))}, nil
			}
		}
	}
	if !hasUsable(targets, choice) {
		return ferry.Pick{}, noTarget("every target is ejected, leaving or already tried")
	}
	return ferry.Pick{}, &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonOverload, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: "every target of the service is busy",
	}
}

func reasonFor(c *candidate, d ferry.Distance) ferry.Reason {
	if c.status.Load().Trial {
		return ferry.ReasonTrial
	}
	return distanceReasons[d]
}

func noTarget(detail string) *ferry.RefusalError {
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonNoTarget, Outcome: ferry.OutcomeNotRun,
		RetryAfter: time.Second, Detail: detail,
	}
}

// pickOfTwo returns the better of two random free candidates. It checks other
// candidates only when one of the two is not free.
func (p *Picker) pickOfTwo(now ferry.Moment, candidates []*candidate, choice ferry.Choice) *candidate {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	if trial := p.pickTrial(candidates, start, choice); trial != nil {
		return trial
	}
	var first *candidate
	for i := range n {
		c := candidates[(start+i)%n]
		if !isUsable(c, choice) || c.status.Load().Trial || p.isFull(now, c) {
			continue
		}
		if first == nil {
			first = c
			// The second choice is independent of the first.
			start += rand.IntN(n)
			continue
		}
		if c == first {
			continue
		}
		if expectedWait(now, c) < expectedWait(now, first) {
			return c
		}
		return first
	}
	return first
}

// requestsPerTrial is the inverse of the share of requests that test a target
// on trial.
const requestsPerTrial = 8

// pickTrial returns the candidate at start for a small share of requests, if it
// is on trial and idle.
func (p *Picker) pickTrial(candidates []*candidate, start int, choice ferry.Choice) *candidate {
	if !choice.Trial {
		return nil
	}
	c := candidates[start]
	if !c.status.Load().Trial || c.inFlight.Load() > 0 || !isUsable(c, choice) || rand.IntN(requestsPerTrial) != 0 {
		return nil
	}
	return c
}

func isUsable(c *candidate, choice ferry.Choice) bool {
	status := c.status.Load()
	if status.Ejected || (status.Trial && !choice.Trial) {
		return false
	}
	return !slices.Contains(choice.Tried, c.target.Load().ID)
}

func hasUsable(targets *serviceTargets, choice ferry.Choice) bool {
	for _, candidates := range targets {
		for _, c := range candidates {
			if isUsable(c, choice) && !c.status.Load().Trial {
				return true
			}
		}
	}
	return false
}

// runningRequests returns how many requests the target is known to run.
func runningRequests(now ferry.Moment, c *candidate) int64 {
	own := c.inFlight.Load()
	if now.Monotonic-time.Duration(c.loadReportedAt.Load()) < loadLifetime {
		return max(own, c.load.Load())
	}
	return own
}

// capacity returns the number of requests that this VM may have on a target.
func (p *Picker) capacity(c *candidate) int64 {
	target := c.target.Load()
	share := int64(target.MaxConnections) / p.maxVMs.Load()
	slots := float64(target.Slots)
	if weight := c.status.Load().Weight; weight > 0 {
		slots *= weight
	}
	return max(1, min(int64(slots), max(1, share)))
}

func (p *Picker) isFull(now ferry.Moment, c *candidate) bool {
	if int64(now.Monotonic) < c.fullUntil.Load() {
		return true
	}
	return runningRequests(now, c) >= p.capacity(c)
}

// expectedWait estimates the wait on a candidate in nanoseconds.
func expectedWait(now ferry.Moment, c *candidate) float64 {
	status := c.status.Load()
	slots := float64(c.target.Load().Slots)
	if status.Weight > 0 {
		slots *= status.Weight
	}
	return float64(runningRequests(now, c)+1) / slots * float64(c.latency.Load()+int64(time.Millisecond))
}

func (p *Picker) reserve(c *candidate) bool {
	if c.inFlight.Add(1) <= p.capacity(c) {
		return true
	}
	c.inFlight.Add(-1)
	return false
}

// Release implements ferry.Balancer.
func (p *Picker) Release(now ferry.Moment, pick ferry.Pick, result ferry.Result) {
	c := p.findCandidate(pick.Target)
	if c == nil {
		return
	}
	c.inFlight.Add(-1)
	switch {
	case result.Verdict == ferry.VerdictShed:
		c.fullUntil.Store(int64(now.Monotonic + shedPause(c)))
		c.consecutiveSheds.Add(1)
	case result.Outcome == ferry.OutcomeDone:
		c.consecutiveSheds.Store(0)
	}
	if result.Load >= 0 && result.Outcome == ferry.OutcomeDone {
		// The reported load includes the request that has just ended.
		c.load.Store(int64(max(0, result.Load-1)))
		c.loadReportedAt.Store(int64(now.Monotonic))
	}
	if result.FirstByte > 0 {
		average := c.latency.Load()
		c.latency.Store(average + int64(latencySampleWeight*float64(int64(result.FirstByte)-average)))
	}
}

// shedPause returns the time until a slot is likely to be free: the average
// latency divided by the slots, doubled for each consecutive shed.
func shedPause(c *candidate) time.Duration {
	pause := max(minShedPause, time.Duration(c.latency.Load())/time.Duration(c.target.Load().Slots))
	for range min(c.consecutiveSheds.Load(), maxDoublings) {
		pause *= 2
	}
	return min(pause, maxShedPause)
}

// maxDoublings bounds the doublings of a shed pause.
const maxDoublings = 10

func (p *Picker) findCandidate(target *ferry.Target) *candidate {
	if targets := (*p.services.Load())[target.Service]; targets != nil {
		for _, candidates := range targets {
			for _, c := range candidates {
				if c.target.Load().ID == target.ID {
					return c
				}
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.candidates[target.ID]
}
