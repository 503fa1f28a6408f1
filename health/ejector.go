package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// Stage is the state of a target on its way out of use and back.
type Stage int

// Stages of an ejection.
const (
	// StageEjected targets receive no requests.
	StageEjected Stage = iota
	// StageTrial targets receive few idempotent requests.
	StageTrial
	// StageSlowStart targets receive a rising share of requests.
	StageSlowStart
)

// String returns the name of the stage as it appears in logs.
func (s Stage) String() string {
	switch s {
	case StageEjected:
		return "Ejected"
	case StageTrial:
		return "Trial"
	case StageSlowStart:
		return "SlowStart"
	}
	return "Invalid"
}

// Times of an ejection.
const (
	// EjectionLife is the time for which a VM obeys an ejection, counted from
	// the heartbeat that it had sent to the decider.
	EjectionLife = 3 * time.Second
	// firstEjection is the length of the first ejection; each relapse doubles
	// it.
	firstEjection = 3 * time.Second
	// trialPatience is the time after which a target without trial requests is
	// readmitted.
	trialPatience = 10 * time.Second
	// SlowStart is the time in which a target comes back to its full share.
	SlowStart = 10 * time.Second
	// relapseMemory is the time after readmission in which a new fault counts
	// as a relapse.
	relapseMemory = time.Minute
	// trialAnswers is the number of good answers that ends a trial.
	trialAnswers = 10
	// maxRelapses bounds the doubling of the length of an ejection.
	maxRelapses = 10
)

// Ejection is the decision about one target.
type Ejection struct {
	Target ferry.TargetID
	// Place is the only place that the decision concerns, or empty for all.
	Place    ferry.PlaceID
	Stage    Stage
	Relapses int
	// Age is the time spent in the stage.
	Age time.Duration
}

// decision is an ejection at its decider.
type decision struct {
	ejection Ejection
	target   *ferry.Target
	since    time.Duration
	excess   float64
}

// memory remembers a readmitted target.
type memory struct {
	relapses int
	until    time.Duration
}

// Ejector decides about the targets of one service. It is not safe for
// concurrent use.
type Ejector struct {
	service   ferry.Service
	targets   []*ferry.Target
	decisions map[ferry.TargetID]*decision
	readmits  map[ferry.TargetID]memory
}

// NewEjector returns the ejector of a service without ejections.
func NewEjector() *Ejector {
	return &Ejector{decisions: map[ferry.TargetID]*decision{}, readmits: map[ferry.TargetID]memory{}}
}

// Apply takes the service and its targets into use.
func (e *Ejector) Apply(service ferry.Service, targets []*ferry.Target) {
	e.service, e.targets = service, targets
	for id := range e.decisions {
		if !slices.ContainsFunc(targets, func(t *ferry.Target) bool { return t.ID == id && !t.Leaving }) {
			delete(e.decisions, id)
		}
	}
}

// Adopt continues the ejections of an earlier decider.
func (e *Ejector) Adopt(now ferry.Moment, ejections []Ejection) {
	for _, ejection := range ejections {
		for _, target := range e.targets {
			if target.ID == ejection.Target && e.decisions[target.ID] == nil {
				e.decisions[target.ID] = &decision{ejection: ejection, target: target, since: now.Monotonic - ejection.Age}
			}
		}
	}
}

// Decide returns the ejections in force. The share, from 0 to 1, is the part
// of the right to eject that this VM holds for EjectionLife.
func (e *Ejector) Decide(now ferry.Moment, detector *Detector, share float64) []Ejection {
	for _, d := range e.decisions {
		e.advance(now, d, detector)
	}
	budget := e.budget(share)
	e.shrink(budget)
	for _, suspect := range detector.Suspects(now, e.service.ID) {
		e.consider(now, suspect, budget, detector)
	}
	return e.list(now)
}

// budget returns the slots that may be out of use.
func (e *Ejector) budget(share float64) int {
	total := 0
	for _, target := range e.targets {
		if !target.Leaving {
			total += target.Slots
		}
	}
	floor := e.service.Rules.WithDefaults().Floor
	return int(math.Floor((1-floor)*float64(total)*share + roundingSlack))
}

// roundingSlack makes up for the rounding of products of decimal fractions.
const roundingSlack = 1e-9

// used returns the slots of all targets that are not in full use.
func (e *Ejector) used() int {
	used := 0
	for _, d := range e.decisions {
		used += d.target.Slots
	}
	return used
}

// shrink readmits the least suspected targets until the budget is kept.
func (e *Ejector) shrink(budget int) {
	if e.used() <= budget {
		return
	}
	order := make([]*decision, 0, len(e.decisions))
	for _, d := range e.decisions {
		order = append(order, d)
	}
	slices.SortFunc(order, func(a, b *decision) int {
		return cmp.Or(cmp.Compare(b.ejection.Stage, a.ejection.Stage), cmp.Compare(a.excess, b.excess),
			cmp.Compare(a.ejection.Target, b.ejection.Target))
	})
	for _, d := range order {
		if e.used() <= budget {
			return
		}
		delete(e.decisions, d.ejection.Target)
	}
}

// consider ejects a suspect when the budget allows it.
func (e *Ejector) consider(now ferry.Moment, suspect Suspect, budget int, detector *Detector) {
	id := suspect.Target.ID
	d := e.decisions[id]
	if d != nil && d.ejection.Stage != StageSlowStart {
		return
	}
	relapses := 0
	if d != nil {
		relapses = d.ejection.Relapses + 1
	} else {
		if m, ok := e.readmits[id]; ok && now.Monotonic < m.until {
			relapses = m.relapses + 1
		}
		if suspect.Target.Leaving || e.used()+suspect.Target.Slots > budget {
			return
		}
	}
	e.decisions[id] = &decision{
		ejection: Ejection{Target: id, Place: suspect.Place, Relapses: min(relapses, maxRelapses)},
		target:   suspect.Target, since: now.Monotonic, excess: suspect.Excess,
	}
	detector.Reset(id)
}

// advance moves a decision to its next stage when that is due.
func (e *Ejector) advance(now ferry.Moment, d *decision, detector *Detector) {
	age := now.Monotonic - d.since
	switch d.ejection.Stage {
	case StageEjected:
		if age >= e.length(d.ejection.Relapses) {
			detector.Reset(d.ejection.Target)
			d.enter(now, StageTrial)
		}
	case StageTrial:
		good, bad := detector.counts(d.ejection.Target, d.ejection.Place)
		switch {
		case bad > 0:
			d.ejection.Relapses = min(d.ejection.Relapses+1, maxRelapses)
			detector.Reset(d.ejection.Target)
			d.enter(now, StageEjected)
		case good >= trialAnswers, age >= trialPatience:
			detector.Reset(d.ejection.Target)
			d.enter(now, StageSlowStart)
		}
	case StageSlowStart:
		if age >= SlowStart {
			e.readmits[d.ejection.Target] = memory{relapses: d.ejection.Relapses, until: now.Monotonic + relapseMemory}
			delete(e.decisions, d.ejection.Target)
		}
	}
}

// length returns the length of an ejection after the given relapses.
func (e *Ejector) length(relapses int) time.Duration {
	longest := e.service.Rules.WithDefaults().MaxEjection
	return min(longest, firstEjection<<relapses)
}

func (d *decision) enter(now ferry.Moment, stage Stage) {
	d.ejection.Stage, d.since = stage, now.Monotonic
}

// list returns the decisions in order of target.
func (e *Ejector) list(now ferry.Moment) []Ejection {
	ejections := make([]Ejection, 0, len(e.decisions))
	for _, d := range e.decisions {
		ejection := d.ejection
		ejection.Age = now.Monotonic - d.since
		ejections = append(ejections, ejection)
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Compare(a.Target, b.Target) })
	return ejections
}
