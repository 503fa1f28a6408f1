package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// hotScore is the ratio from which a VM reports what it sees of a target.
	hotScore = 1.0
	// recentTime is the age at which a score no longer counts as observed.
	recentTime = 5 * time.Second
	// baselineMargin scales the error share of most targets of a service.
	baselineMargin = 1.5
	// recalibrateFactor is the rise of the baseline that makes earlier ratios
	// meaningless.
	recalibrateFactor = 3
	// keptShare is the part of the targets that the baseline is taken from.
	keptShare = 0.7
	// commonFactor scales the ratio of the median target. When all targets fail
	// alike, those with the most attempts lead the median by less than this.
	commonFactor = 2
	// resetShare is the part of the threshold at which the ratio of the median
	// target shows a change of the whole service.
	resetShare = 0.3
	// baselineAge is the age at which the baseline is computed anew.
	baselineAge = 100 * time.Millisecond
)

// service is the state of one service.
type service struct {
	rules     ferry.Rules
	threshold float64
	targets   []ferry.TargetID
	latencies map[ferry.Distance]*latency
	// baseline is the error share of a healthy target as of baselineAt.
	baseline   float64
	baselineAt time.Duration
	// calibrated is the baseline from which the error ratios were computed.
	calibrated float64
}

// observed is the state of one target.
type observed struct {
	target *ferry.Target
	// scores holds the ratios by observing place.
	scores map[ferry.PlaceID]*Score
	// unsent is what this VM has not reported yet.
	unsent Increment
	// hotUntil is the steady time until which increments are reported.
	hotUntil time.Duration
}

// Detector finds suspected targets. It is not safe for concurrent use.
type Detector struct {
	place    ferry.PlaceID
	services map[ferry.ServiceID]*service
	targets  map[ferry.TargetID]*observed
}

// NewDetector returns the detector of a VM in the given place.
func NewDetector(place ferry.PlaceID) *Detector {
	return &Detector{
		place:    place,
		services: map[ferry.ServiceID]*service{},
		targets:  map[ferry.TargetID]*observed{},
	}
}

// Apply takes the services and targets of an inventory into use. Scores of
// targets that stay are kept.
func (d *Detector) Apply(inventory *ferry.Inventory) {
	services := map[ferry.ServiceID]*service{}
	for _, s := range inventory.Services {
		kept := &service{rules: s.Rules, latencies: map[ferry.Distance]*latency{}}
		if old := d.services[s.ID]; old != nil {
			kept.latencies = old.latencies
		}
		services[s.ID] = kept
	}
	targets := map[ferry.TargetID]*observed{}
	slots := map[ferry.ServiceID]int{}
	for i := range inventory.Targets {
		target := &inventory.Targets[i]
		o := d.targets[target.ID]
		if o == nil || o.target.Service != target.Service || o.target.Address != target.Address {
			o = &observed{scores: map[ferry.PlaceID]*Score{}}
		}
		o.target = target
		targets[target.ID] = o
		slots[target.Service] += target.Slots
		s := services[target.Service]
		s.targets = append(s.targets, target.ID)
	}
	for id, s := range services {
		s.threshold = Threshold(slots[id], s.rules.WithDefaults().Sensitivity)
	}
	d.services, d.targets = services, targets
}

// Observe counts the result of an attempt of this VM. Latencies are compared only
// between targets of the same distance.
func (d *Detector) Observe(now ferry.Moment, id ferry.TargetID, distance ferry.Distance, result ferry.Result) {
	o := d.targets[id]
	if o == nil || result.Verdict == ferry.VerdictNone || result.Verdict == ferry.VerdictShed {
		return
	}
	s := d.services[o.target.Service]
	increment := Increment{Target: id}
	bad, good := errorRatios(d.baseline(now, s))
	if result.Verdict.IsBad() {
		increment.Errors, increment.Bad = bad, 1
	} else {
		increment.Errors, increment.Good = good, 1
		if result.FirstByte > 0 {
			increment.Slowness = s.latency(distance).ratio(result.FirstByte)
		}
	}
	d.score(o, d.place).add(now, increment)
	o.unsent.Errors += increment.Errors
	o.unsent.Slowness += increment.Slowness
	o.unsent.Good += increment.Good
	o.unsent.Bad += increment.Bad
}

func (s *service) latency(distance ferry.Distance) *latency {
	l := s.latencies[distance]
	if l == nil {
		l = &latency{}
		s.latencies[distance] = l
	}
	return l
}

func (d *Detector) score(o *observed, place ferry.PlaceID) *Score {
	score := o.scores[place]
	if score == nil {
		score = &Score{}
		o.scores[place] = score
	}
	return score
}

// baseline returns the error share of a healthy target: the configured one, or
// that of most targets when the whole service errs more.
func (d *Detector) baseline(now ferry.Moment, s *service) float64 {
	if s.baseline > 0 && now.Monotonic-s.baselineAt < baselineAge {
		return s.baseline
	}
	var counts []recentCount
	for _, id := range s.targets {
		var c recentCount
		for _, score := range d.targets[id].scores {
			score.fade(now)
			c.bad += score.Bad
			c.total += score.Good + score.Bad
		}
		counts = append(counts, c)
	}
	s.baselineAt = now.Monotonic
	s.baseline = max(s.rules.WithDefaults().BaselineErrors, baselineMargin*trimmedShare(counts))
	d.recalibrate(s)
	return s.baseline
}

// recalibrate drops the error ratios of a service whose targets all began to
// err more, since they were computed from the old baseline.
func (d *Detector) recalibrate(s *service) {
	if s.calibrated > 0 && s.baseline < recalibrateFactor*s.calibrated {
		s.calibrated = min(s.calibrated, s.baseline)
		return
	}
	if s.calibrated > 0 {
		for _, id := range s.targets {
			for _, score := range d.targets[id].scores {
				score.Errors = 0
			}
		}
	}
	s.calibrated = s.baseline
}

// recentCount is the number of recent attempts on one target.
type recentCount struct {
	bad, total float64
}

// trimmedShare returns the error share without the targets with most errors.
func trimmedShare(counts []recentCount) float64 {
	slices.SortFunc(counts, func(a, b recentCount) int { return cmp.Compare(a.bad, b.bad) })
	var sum recentCount
	for _, c := range counts[:int(math.Ceil(keptShare*float64(len(counts))))] {
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

// Report returns the increments since the last report that other VMs need to
// know, in order of target.
func (d *Detector) Report(now ferry.Moment) []Increment {
	var report []Increment
	for id, o := range d.targets {
		if o.unsent.Good+o.unsent.Bad == 0 {
			continue
		}
		if s := o.scores[d.place]; s.Errors >= hotScore || s.Slowness >= hotScore {
			o.hotUntil = now.Monotonic + recentTime
		}
		if now.Monotonic < o.hotUntil {
			o.unsent.Target = id
			report = append(report, o.unsent)
		}
		o.unsent = Increment{}
	}
	slices.SortFunc(report, func(a, b Increment) int { return cmp.Compare(a.Target, b.Target) })
	return report
}

// Merge adds the report of another VM in the given place.
func (d *Detector) Merge(now ferry.Moment, place ferry.PlaceID, report []Increment) {
	for _, increment := range report {
		o := d.targets[increment.Target]
		if o == nil {
			continue
		}
		d.score(o, place).add(now, increment)
		o.hotUntil = now.Monotonic + recentTime
	}
}

// Score returns the score of a target in one place.
func (d *Detector) Score(id ferry.TargetID, place ferry.PlaceID) Score {
	if o := d.targets[id]; o != nil && o.scores[place] != nil {
		return *o.scores[place]
	}
	return Score{}
}

// Reset forgets what all places saw of a target, and what this VM has not
// reported yet.
func (d *Detector) Reset(id ferry.TargetID) {
	if o := d.targets[id]; o != nil {
		clear(o.scores)
		o.unsent = Increment{}
	}
}

// counts returns the attempts on a target since the last reset, from all places
// or, when place is not empty, from one.
func (d *Detector) counts(id ferry.TargetID, place ferry.PlaceID) (good, bad int) {
	o := d.targets[id]
	if o == nil {
		return 0, 0
	}
	for from, score := range o.scores {
		if place == "" || from == place {
			good += score.AllGood
			bad += score.AllBad
		}
	}
	return good, bad
}
