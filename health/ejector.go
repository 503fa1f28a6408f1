package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// Stage is the state of a target between its ejection and full use.
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

// Durations and counts of an ejection.
const (
	// EjectionLifetime is the time for which a VM applies an ejection. It counts
	// from the VM's own heartbeat that the coordinator echoed.
	EjectionLifetime = 3 * time.Second
	// firstEjectionTime is the duration of the first ejection; each repeated
	// ejection doubles it.
	firstEjectionTime = 3 * time.Second
	// trialTimeout is the time after which a target enters the slow start even
	// with fewer than trialSuccesses, as long as no trial request failed.
	trialTimeout = 10 * time.Second
	// SlowStartDuration is the time in which a target returns to full use.
	SlowStartDuration = 10 * time.Second
	// repeatWindow is the time after readmission in which a new ejection counts
	// as repeated.
	repeatWindow = time.Minute
	// trialSuccesses is the number of successful requests that ends a trial.
	trialSuccesses = 10
	// maxPriorEjections bounds the doubling of the duration of an ejection.
	maxPriorEjections = 10
)

// Ejection is the decision of an ejection coordinator about one target.
type Ejection struct {
	Target ferry.TargetID
	// Place is the only place that applies the decision, or empty for all.
	Place ferry.PlaceID
	Stage Stage
	// PriorEjections is the number of earlier ejections that this one repeats.
	PriorEjections int
	// Age is the time since the target entered the stage.
	Age time.Duration
}

// decision is the coordinator's state of one ejection.
type decision struct {
	ejection   Ejection
	target     *ferry.Target
	stageStart time.Duration
	excess     float64
}

// readmission keeps the number of prior ejections of a readmitted target.
type readmission struct {
	priorEjections int
	until          time.Duration
}

// Ejector decides which targets of one service are ejected. It is not safe for
// concurrent use.
type Ejector struct {
	service      ferry.Service
	targets      []*ferry.Target
	decisions    map[ferry.TargetID]*decision
	readmissions map[ferry.TargetID]readmission
}

// NewEjector returns the ejector of a service without ejections.
func NewEjector() *Ejector {
	return &Ejector{decisions: map[ferry.TargetID]*decision{}, readmissions: map[ferry.TargetID]readmission{}}
}

// Apply replaces the service and its targets.
func (e *Ejector) Apply(service ferry.Service, targets []*ferry.Target) {
	e.service, e.targets = service, targets
	for id := range e.decisions {
		if !slices.ContainsFunc(targets, func(t *ferry.Target) bool { return t.ID == id && !t.Leaving }) {
			delete(e.decisions, id)
		}
	}
}

// Adopt continues the ejections of the previous coordinator.
func (e *Ejector) Adopt(now ferry.Moment, ejections []Ejection) {
	for _, ejection := range ejections {
		for _, target := range e.targets {
			if target.ID == ejection.Target && e.decisions[target.ID] == nil {
				e.decisions[target.ID] = &decision{ejection: ejection, target: target, stageStart: now.Monotonic - ejection.Age}
			}
		}
	}
}

// Decide updates and returns the ejections. The share, from 0 to 1, is the part
// of the ejection budget that this VM holds for at least EjectionLifetime.
func (e *Ejector) Decide(now ferry.Moment, detector *Detector, share float64) []Ejection {
	for _, d := range e.decisions {
		e.advance(now, d, detector)
	}
	budget := e.budget(share)
	e.enforceBudget(budget)
	for _, suspect := range detector.Suspects(now, e.service.ID) {
		e.ejectIfAllowed(now, suspect, budget, detector)
	}
	return e.sortedEjections(now)
}

// budget returns the number of slots that may be out of full use.
func (e *Ejector) budget(share float64) int {
	total := 0
	for _, target := range e.targets {
		if !target.Leaving {
			total += target.Slots
		}
	}
	floor := e.service.Rules.WithDefaults().Floor
	return int(math.Floor((1-floor)*float64(total)*share + roundingTolerance))
}

// roundingTolerance compensates for rounded products of decimal fractions.
const roundingTolerance = 1e-9

// slotsOutOfUse returns the slots of all targets that are not in full use.
func (e *Ejector) slotsOutOfUse() int {
	slots := 0
	for _, d := range e.decisions {
		slots += d.target.Slots
	}
	return slots
}

// enforceBudget readmits targets until the budget is kept: the latest stage
// first and, within a stage, the lowest excess first.
func (e *Ejector) enforceBudget(budget int) {
	if e.slotsOutOfUse() <= budget {
		return
	}
	candidates := make([]*decision, 0, len(e.decisions))
	for _, d := range e.decisions {
		candidates = append(candidates, d)
	}
	slices.SortFunc(candidates, func(a, b *decision) int {
		return cmp.Or(cmp.Compare(b.ejection.Stage, a.ejection.Stage), cmp.Compare(a.excess, b.excess),
			cmp.Compare(a.ejection.Target, b.ejection.Target))
	})
	for _, d := range candidates {
		if e.slotsOutOfUse() <= budget {
			return
		}
		delete(e.decisions, d.ejection.Target)
	}
}

// ejectIfAllowed ejects a suspect when the budget allows it.
func (e *Ejector) ejectIfAllowed(now ferry.Moment, suspect Suspect, budget int, detector *Detector) {
	id := suspect.Target.ID
	d := e.decisions[id]
	if d != nil && d.ejection.Stage != StageSlowStart {
		return
	}
	priorEjections := 0
	if d != nil {
		priorEjections = d.ejection.PriorEjections + 1
	} else {
		if earlier, ok := e.readmissions[id]; ok && now.Monotonic < earlier.until {
			priorEjections = earlier.priorEjections + 1
		}
		if suspect.Target.Leaving || e.slotsOutOfUse()+suspect.Target.Slots > budget {
			return
		}
	}
	e.decisions[id] = &decision{
		ejection: Ejection{Target: id, Place: suspect.Place, PriorEjections: min(priorEjections, maxPriorEjections)},
		target:   suspect.Target, stageStart: now.Monotonic, excess: suspect.Excess,
	}
	detector.Reset(id)
}

// advance moves a decision to its next stage when that is due.
func (e *Ejector) advance(now ferry.Moment, d *decision, detector *Detector) {
	age := now.Monotonic - d.stageStart
	switch d.ejection.Stage {
	case StageEjected:
		if age >= e.ejectionTime(d.ejection.PriorEjections) {
			detector.Reset(d.ejection.Target)
			d.enter(now, StageTrial)
		}
	case StageTrial:
		good, bad := detector.attemptCounts(d.ejection.Target, d.ejection.Place)
		switch {
		case bad > 0:
			d.ejection.PriorEjections = min(d.ejection.PriorEjections+1, maxPriorEjections)
			detector.Reset(d.ejection.Target)
			d.enter(now, StageEjected)
		case good >= trialSuccesses, age >= trialTimeout:
			detector.Reset(d.ejection.Target)
			d.enter(now, StageSlowStart)
		}
	case StageSlowStart:
		if age >= SlowStartDuration {
			e.readmissions[d.ejection.Target] = readmission{priorEjections: d.ejection.PriorEjections, until: now.Monotonic + repeatWindow}
			delete(e.decisions, d.ejection.Target)
		}
	}
}

// ejectionTime returns the duration of an ejection, given the earlier ones.
func (e *Ejector) ejectionTime(priorEjections int) time.Duration {
	longest := e.service.Rules.WithDefaults().MaxEjection
	return min(longest, firstEjectionTime<<priorEjections)
}

func (d *decision) enter(now ferry.Moment, stage Stage) {
	d.ejection.Stage, d.stageStart = stage, now.Monotonic
}

// sortedEjections returns the ejections in order of target.
func (e *Ejector) sortedEjections(now ferry.Moment) []Ejection {
	ejections := make([]Ejection, 0, len(e.decisions))
	for _, d := range e.decisions {
		ejection := d.ejection
		ejection.Age = now.Monotonic - d.stageStart
		ejections = append(ejections, ejection)
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Compare(a.Target, b.Target) })
	return ejections
}
