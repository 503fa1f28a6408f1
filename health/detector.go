package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// reportThreshold is the ratio from which a VM reports a target's increments.
	reportThreshold = 1.0
	// recentPeriod is the time for which a score counts as recent, and for which
	// a target stays reported (see Report).
	recentPeriod = 5 * time.Second
	// baselineMargin scales the error share of most targets to the baseline.
	baselineMargin = 1.5
	// recalibrateFactor is the rise of the baseline from which earlier error
	// ratios are no longer valid.
	recalibrateFactor = 3
	// baselineTargetShare is the share of the targets that determine the baseline.
	baselineTargetShare = 0.7
	// medianFactor scales the ratio of the median target. When all targets fail
	// alike, those with the most attempts exceed the median by less than this.
	medianFactor = 2
	// medianResetShare is the part of the threshold from which the ratio of the
	// median target indicates a change of the whole service.
	medianResetShare = 0.3
	// baselineMaxAge is the age at which the baseline is recomputed.
	baselineMaxAge = 100 * time.Millisecond
)

// service is the detection state of one service.
type service struct {
	rules     ferry.Rules
	threshold float64
	targets   []ferry.TargetID
	latencies map[ferry.Distance]*latency
	// baseline is the error share of a healthy target as of baselineAt.
	baseline   float64
	baselineAt time.Duration
	// calibratedBaseline is the lowest baseline since the last recalibration.
	calibratedBaseline float64
}

type targetState struct {
	target *ferry.Target
	// scores holds the ratios by observing place.
	scores map[ferry.PlaceID]*Score
	// unreported sums the increments of this VM since its last report.
	unreported Increment
	// reportUntil is the monotonic time until which increments are reported.
	reportUntil time.Duration
}

// Detector finds suspected targets. It is not safe for concurrent use.
type Detector struct {
	place    ferry.PlaceID
	services map[ferry.ServiceID]*service
	targets  map[ferry.TargetID]*targetState
}

// NewDetector returns the detector of a VM in the given place.
func NewDetector(place ferry.PlaceID) *Detector {
	return &Detector{
		place:    place,
		services: map[ferry.ServiceID]*service{},
		targets:  map[ferry.TargetID]*targetState{},
	}
}

// Apply replaces the services and targets by those of an inventory. A target
// with the same service and address keeps its scores.
func (d *Detector) Apply(inventory *ferry.Inventory) {
	services := map[ferry.ServiceID]*service{}
	for _, s := range inventory.Services {
		updated := &service{rules: s.Rules, latencies: map[ferry.Distance]*latency{}}
		if old := d.services[s.ID]; old != nil {
			updated.latencies = old.latencies
		}
		services[s.ID] = updated
	}
	targets := map[ferry.TargetID]*targetState{}
	slots := map[ferry.ServiceID]int{}
	for i := range inventory.Targets {
		target := &inventory.Targets[i]
		state := d.targets[target.ID]
		if state == nil || state.target.Service != target.Service || state.target.Address != target.Address {
			state = &targetState{scores: map[ferry.PlaceID]*Score{}}
		}
		state.target = target
		targets[target.ID] = state
		slots[target.Service] += target.Slots
		s := services[target.Service]
		s.targets = append(s.targets, target.ID)
	}
	for id, s := range services {
		s.threshold = Threshold(slots[id], s.rules.WithDefaults().Sensitivity)
	}
	d.services, d.targets = services, targets
}

// Observe records the result of an attempt of this VM. Latencies are compared
// only between targets at the same distance.
func (d *Detector) Observe(now ferry.Moment, id ferry.TargetID, distance ferry.Distance, result ferry.Result) {
	state := d.targets[id]
	if state == nil || result.Verdict == ferry.VerdictNone || result.Verdict == ferry.VerdictShed {
		return
	}
	s := d.services[state.target.Service]
	increment := Increment{Target: id}
	bad, good := errorIncrements(d.baseline(now, s))
	if result.Verdict.IsBad() {
		increment.Errors, increment.Bad = bad, 1
	} else {
		increment.Errors, increment.Good = good, 1
		if result.FirstByte > 0 {
			increment.Slowness = s.latencyFor(distance).ratio(result.FirstByte)
		}
	}
	d.scoreFor(state, d.place).add(now, increment)
	state.unreported.Errors += increment.Errors
	state.unreported.Slowness += increment.Slowness
	state.unreported.Good += increment.Good
	state.unreported.Bad += increment.Bad
}

func (s *service) latencyFor(distance ferry.Distance) *latency {
	l := s.latencies[distance]
	if l == nil {
		l = &latency{}
		s.latencies[distance] = l
	}
	return l
}

func (d *Detector) scoreFor(state *targetState, place ferry.PlaceID) *Score {
	score := state.scores[place]
	if score == nil {
		score = &Score{}
		state.scores[place] = score
	}
	return score
}

// baseline returns the error share of a healthy target: the configured one, or
// that of most targets when the error share of the whole service is higher.
func (d *Detector) baseline(now ferry.Moment, s *service) float64 {
	if s.baseline > 0 && now.Monotonic-s.baselineAt < baselineMaxAge {
		return s.baseline
	}
	var counts []recentCount
	for _, id := range s.targets {
		var c recentCount
		scores := d.targets[id].scores
		for _, place := range sortedKeys(scores) {
			score := scores[place]
			score.decay(now)
			c.bad += score.Bad
			c.total += score.Good + score.Bad
		}
		counts = append(counts, c)
	}
	s.baselineAt = now.Monotonic
	s.baseline = max(s.rules.WithDefaults().BaselineErrors, baselineMargin*trimmedErrorShare(counts))
	d.recalibrate(s)
	return s.baseline
}

// recalibrate resets the error ratios of a service when the error share of all
// its targets has risen, since the ratios were computed from the old baseline.
func (d *Detector) recalibrate(s *service) {
	if s.calibratedBaseline > 0 && s.baseline < recalibrateFactor*s.calibratedBaseline {
		s.calibratedBaseline = min(s.calibratedBaseline, s.baseline)
		return
	}
	if s.calibratedBaseline > 0 {
		for _, id := range s.targets {
			for _, score := range d.targets[id].scores {
				score.Errors = 0
			}
		}
	}
	s.calibratedBaseline = s.baseline
}

// recentCount holds the decayed counts of recent attempts on one target.
type recentCount struct {
	bad, total float64
}

// trimmedErrorShare returns the error share of the targets with fewest errors.
func trimmedErrorShare(counts []recentCount) float64 {
	slices.SortFunc(counts, func(a, b recentCount) int { return cmp.Or(cmp.Compare(a.bad, b.bad), cmp.Compare(a.total, b.total)) })
	var sum recentCount
	for _, c := range counts[:int(math.Ceil(baselineTargetShare*float64(len(counts))))] {
		sum.bad += c.bad
		sum.total += c.total
	}
	if sum.total < 1 {
		return 0
	}
	return sum.bad / sum.total
}

// median returns the lower median, or 0 for an empty list.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Report returns the increments since the last report, in order of target, for
// targets that reached reportThreshold or that another VM reported within
// recentPeriod.
func (d *Detector) Report(now ferry.Moment) []Increment {
	var report []Increment
	for id, state := range d.targets {
		if state.unreported.Good+state.unreported.Bad == 0 {
			continue
		}
		if s := state.scores[d.place]; s.Errors >= reportThreshold || s.Slowness >= reportThreshold {
			state.reportUntil = now.Monotonic + recentPeriod
		}
		if now.Monotonic < state.reportUntil {
			state.unreported.Target = id
			report = append(report, state.unreported)
		}
		state.unreported = Increment{}
	}
	slices.SortFunc(report, func(a, b Increment) int { return cmp.Compare(a.Target, b.Target) })
	return report
}

// Merge adds the report of another VM, which is in the given place.
func (d *Detector) Merge(now ferry.Moment, place ferry.PlaceID, report []Increment) {
	for _, increment := range report {
		state := d.targets[increment.Target]
		if state == nil {
			continue
		}
		d.scoreFor(state, place).add(now, increment)
		state.reportUntil = now.Monotonic + recentPeriod
	}
}

// Score returns the score of a target as observed from one place.
func (d *Detector) Score(id ferry.TargetID, place ferry.PlaceID) Score {
	if state := d.targets[id]; state != nil && state.scores[place] != nil {
		return *state.scores[place]
	}
	return Score{}
}

// Reset discards the scores of a target from all places and the increments
// that this VM has not reported yet.
func (d *Detector) Reset(id ferry.TargetID) {
	if state := d.targets[id]; state != nil {
		clear(state.scores)
		state.unreported = Increment{}
	}
}

// attemptCounts returns the successful and failed attempts on a target since
// the last reset, from all places or, when place is not empty, from one.
func (d *Detector) attemptCounts(id ferry.TargetID, place ferry.PlaceID) (good, bad int) {
	state := d.targets[id]
	if state == nil {
		return 0, 0
	}
	for from, score := range state.scores {
		if place == "" || from == place {
			good += score.GoodSinceReset
			bad += score.BadSinceReset
		}
	}
	return good, bad
}
