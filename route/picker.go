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

// Status is what the detection of faults decided about a target.
type Status struct {
	// Ejected targets receive no requests.
	Ejected bool
	// Trial targets receive idempotent requests only, one at a time.
	Trial bool
	// Weight scales the capacity of a target between 0 and 1. Zero stands
	// for 1.
	Weight float64
}

const (
	// loadLifetime is the age at which a reported load no longer counts.
	loadLifetime = time.Second
	// minShedPause and maxShedPause bound the time for which a target that shed
	// load counts as full. Each further shed attempt doubles it.
	minShedPause = 5 * time.Millisecond
	maxShedPause = time.Second
	// latencyShare is the weight of a new sample in the average latency.
	latencyShare = 0.1
)

var distanceReasons = [ferry.DistanceCount]ferry.Reason{ferry.ReasonOwnPlace, ferry.ReasonOwnRegion, ferry.ReasonRemote}

// candidate is the state of one target on this VM. It outlives a change of
// the inventory, so requests in flight are still counted.
type candidate struct {
	target    atomic.Pointer[ferry.Target]
	status    atomic.Pointer[Status]
	inFlight  atomic.Int64
	load      atomic.Int64
	loadAt    atomic.Int64
	fullUntil atomic.Int64
	// sheds counts the attempts that were shed since the last answer.
	sheds atomic.Int64
	// latency is the average time to first byte in nanoseconds.
	latency atomic.Int64
}

// group lists the candidates of one service by distance.
type group [ferry.DistanceCount][]*candidate

// Picker chooses targets. Choose and Release are safe for concurrent use and
// take no lock.
type Picker struct {
	place ferry.PlaceID
	// connectionShare is the number of VMs that share a target's connections.
	connectionShare atomic.Int64

	mu         sync.Mutex
	candidates map[ferry.TargetID]*candidate
	groups     atomic.Pointer[map[ferry.ServiceID]*group]
}

// NewPicker returns a picker for a VM in the given place.
func NewPicker(place ferry.PlaceID) *Picker {
	picker := &Picker{place: place, candidates: map[ferry.TargetID]*candidate{}}
	picker.groups.Store(&map[ferry.ServiceID]*group{})
	picker.connectionShare.Store(1)
	return picker
}

// Apply takes the targets of an inventory into use.
func (p *Picker) Apply(inventory *ferry.Inventory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	regions := ferry.NewRegions(inventory.Places)
	groups := map[ferry.ServiceID]*group{}
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
		g := groups[target.Service]
		if g == nil {
			g = &group{}
			groups[target.Service] = g
		}
		d := regions.Distance(p.place, target.Place)
		g[d] = append(g[d], c)
	}
	p.candidates = listed
	p.connectionShare.Store(int64(max(1, inventory.MaxVMs)))
	p.groups.Store(&groups)
}

// SetStatus publishes the state of a target. Unknown targets are ignored.
func (p *Picker) SetStatus(id ferry.TargetID, status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.candidates[id]; c != nil {
		c.status.Store(&status)
	}
}

// Choose implements ferry.Balancer.
func (p *Picker) Choose(now ferry.Moment, choice ferry.Choice) (ferry.Pick, error) {
	g := (*p.groups.Load())[choice.Service]
	if g == nil {
		return ferry.Pick{}, noTarget("the service has no target")
	}
	// Two rounds suffice: a slot that was lost to another request in the first
	// round is looked for once more.
	for range 2 {
		for d := range g {
			if c := p.best(now, g[d], choice); c != nil && p.reserve(c) {
				return ferry.Pick{Target: c.target.Load(), Reason: reasonFor(c, ferry.Distance(d))}, nil
			}
		}
	}
	if !anyUsable(g, choice) {
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

// best compares two random free candidates. It looks at the others only when
// one of the two is not free.
func (p *Picker) best(now ferry.Moment, candidates []*candidate, choice ferry.Choice) *candidate {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	if trial := p.trial(candidates, start, choice); trial != nil {
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
		if score(now, c) < score(now, first) {
			return c
		}
		return first
	}
	return first
}

// trialShare is the inverse of the share of requests that test a target on
// readmission.
const trialShare = 8

// trial returns an idle target on readmission for a small share of requests.
func (p *Picker) trial(candidates []*candidate, start int, choice ferry.Choice) *candidate {
	if !choice.Trial {
		return nil
	}
	c := candidates[start]
	if !c.status.Load().Trial || c.inFlight.Load() > 0 || !isUsable(c, choice) || rand.IntN(trialShare) != 0 {
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

func anyUsable(g *group, choice ferry.Choice) bool {
	for _, candidates := range g {
		for _, c := range candidates {
			if isUsable(c, choice) && !c.status.Load().Trial {
				return true
			}
		}
	}
	return false
}

// busy returns the number of requests that the target is known to run.
func busy(now ferry.Moment, c *candidate) int64 {
	own := c.inFlight.Load()
	if now.Monotonic-time.Duration(c.loadAt.Load()) < loadLifetime {
		return max(own, c.load.Load())
	}
	return own
}

// capacity returns the number of requests that this VM may send at once.
func (p *Picker) capacity(c *candidate) int64 {
	target := c.target.Load()
	share := int64(target.MaxConnections) / p.connectionShare.Load()
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
	return busy(now, c) >= p.capacity(c)
}

// score is the expected wait on a candidate; lower is better.
func score(now ferry.Moment, c *candidate) float64 {
	status := c.status.Load()
	slots := float64(c.target.Load().Slots)
	if status.Weight > 0 {
		slots *= status.Weight
	}
	return float64(busy(now, c)+1) / slots * float64(c.latency.Load()+int64(time.Millisecond))
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
	c := p.lookup(pick.Target)
	if c == nil {
		return
	}
	c.inFlight.Add(-1)
	switch {
	case result.Verdict == ferry.VerdictShed:
		c.fullUntil.Store(int64(now.Monotonic + shedPause(c)))
		c.sheds.Add(1)
	case result.Outcome == ferry.OutcomeDone:
		c.sheds.Store(0)
	}
	if result.Load >= 0 && result.Outcome == ferry.OutcomeDone {
		// The report counts the request that has just ended.
		c.load.Store(int64(max(0, result.Load-1)))
		c.loadAt.Store(int64(now.Monotonic))
	}
	if result.FirstByte > 0 {
		average := c.latency.Load()
		c.latency.Store(average + int64(latencyShare*float64(int64(result.FirstByte)-average)))
	}
}

// shedPause returns the time until a slot is likely to be free: that of one
// request divided by the slots, and longer after repeated sheds.
func shedPause(c *candidate) time.Duration {
	pause := max(minShedPause, time.Duration(c.latency.Load())/time.Duration(c.target.Load().Slots))
	for range min(c.sheds.Load(), maxDoublings) {
		pause *= 2
	}
	return min(pause, maxShedPause)
}

// maxDoublings bounds the doubling of a pause.
const maxDoublings = 10

func (p *Picker) lookup(target *ferry.Target) *candidate {
	if g := (*p.groups.Load())[target.Service]; g != nil {
		for _, candidates := range g {
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
