package lead

import (
	"math"
	"slices"
	"strings"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// poolLeast and poolMost bound pooled log odds.
	poolLeast = -4.5
	poolMost  = 6.0
	// poolDecay is the time in which log odds return to the prior by the factor
	// e. Bad spells of targets last some seconds.
	poolDecay = 4 * time.Second
	// PriorLogOdds are the log odds that a target is in a bad spell when
	// nothing is known of it: about one in sixty.
	PriorLogOdds = -4.0
	// suspectAt is the log odds from which placing avoids a target: a chance of
	// one in ten of a bad spell. VMs hear of it at once.
	suspectAt = -2.2
	// pushStep is the change of a suspect's log odds of which VMs hear at once.
	pushStep = 1.0
	// negligible is the distance from the prior at which evidence is forgotten.
	negligible = 0.05
)

// pooledOdds are the log odds of one target, the version that brought them, and
// the log odds that were pushed last.
type pooledOdds struct {
	odds    float64
	version uint64
	pushed  float64
}

const (
	// reporterMemory is how long a suspicion of a VM counts against its weight.
	reporterMemory = 2 * time.Second
	// reporterTrust is the number of targets that a VM may suspect at full
	// weight. One that suspects many has bad paths itself.
	reporterTrust = 4
)

// reporter is what a VM remembers of its own evidence: when it last spoke
// against each target.
type reporter struct {
	suspected map[ferry.TargetID]time.Duration
}

// weigh scales the evidence down by the number of targets that the VM suspects.
func (r *reporter) weigh(now time.Duration, evidence []Evidence) []Evidence {
	if r.suspected == nil {
		r.suspected = map[ferry.TargetID]time.Duration{}
	}
	for _, e := range evidence {
		if e.LogOdds > 0 {
			r.suspected[e.Target] = now
		}
	}
	for target, at := range r.suspected {
		if now-at > reporterMemory {
			delete(r.suspected, target)
		}
	}
	weight := min(1, reporterTrust/float64(max(1, len(r.suspected))))
	weighed := make([]Evidence, len(evidence))
	for i, e := range evidence {
		weighed[i] = Evidence{Target: e.Target, LogOdds: e.LogOdds * weight}
	}
	return weighed
}

// Pool adds up the evidence of many VMs. The zero Pool is ready to use.
type Pool struct {
	entries map[ferry.TargetID]pooledOdds
	decayed time.Duration
	// version counts the changes that followers should hear of. They let the
	// evidence decay by themselves.
	version uint64
}

// add adds changes and reports whether VMs should hear of them at once.
func (p *Pool) add(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	crossed := false
	for _, e := range evidence {
		after := min(poolMost, max(poolLeast, p.of(e.Target)+e.LogOdds))
		crossed = p.change(e.Target, after) || crossed
	}
	return crossed
}

// take takes what a lead pooled over and reports whether VMs should
// hear of that at once.
func (p *Pool) take(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	crossed := false
	for _, e := range evidence {
		crossed = p.change(e.Target, e.LogOdds) || crossed
	}
	return crossed
}

// change sets the log odds of a target and reports whether VMs should hear of
// that at once: it became suspect, ceased to be, or changed much.
func (p *Pool) change(target ferry.TargetID, after float64) bool {
	known, found := p.entries[target]
	if !found {
		known = pooledOdds{odds: PriorLogOdds, pushed: PriorLogOdds}
	}
	if max(known.odds, after) > evidenceSent && known.odds != after {
		p.version++
		known.version = p.version
	}
	hasCrossed := (known.odds < suspectAt) != (after < suspectAt)
	hasMoved := after >= suspectAt && math.Abs(after-known.pushed) >= pushStep
	if hasCrossed || hasMoved {
		known.pushed = after
	}
	known.odds = after
	p.set(target, known)
	return hasCrossed || hasMoved
}

func (p *Pool) of(target ferry.TargetID) float64 {
	if known, found := p.entries[target]; found {
		return known.odds
	}
	return PriorLogOdds
}

func (p *Pool) set(target ferry.TargetID, known pooledOdds) {
	if p.entries == nil {
		p.entries = map[ferry.TargetID]pooledOdds{}
	}
	p.entries[target] = known
}

// decay moves all log odds towards the prior.
func (p *Pool) decay(now time.Duration) {
	elapsed := now - p.decayed
	p.decayed = now
	if len(p.entries) == 0 || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / poolDecay.Seconds())
	for target, known := range p.entries {
		known.odds = PriorLogOdds + (known.odds-PriorLogOdds)*factor
		if math.Abs(known.odds-PriorLogOdds) < negligible {
			delete(p.entries, target)
			continue
		}
		p.entries[target] = known
	}
}

// since returns what changed after a version, in the order of the names. A
// version that is not known stands for none.
func (p *Pool) since(after uint64) []Evidence {
	if after > p.version {
		after = 0
	}
	var list []Evidence
	for target, known := range p.entries {
		if known.version > after {
			list = append(list, Evidence{Target: target, LogOdds: known.odds})
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return list
}

// all returns the log odds of every target with evidence.
func (p *Pool) all() map[ferry.TargetID]float64 {
	odds := make(map[ferry.TargetID]float64, len(p.entries))
	for target, known := range p.entries {
		odds[target] = known.odds
	}
	return odds
}
