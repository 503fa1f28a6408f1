package lead

import (
	"math"
	"slices"
	"strings"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// minPooledLogOdds and maxPooledLogOdds bound pooled log odds.
	minPooledLogOdds = -4.5
	maxPooledLogOdds = 6.0
	// poolDecay is the time in which log odds return to the prior by the factor
	// e. Bad spells of targets last some seconds.
	poolDecay = 4 * time.Second
	// PriorLogOdds are the log odds that a target is in a bad spell when
	// nothing is known of it: about one in sixty.
	PriorLogOdds = -4.0
	// suspectLogOdds is the log odds from which placing avoids a target: a chance of
	// one in ten of a bad spell. VMs hear of it at once.
	suspectLogOdds = -2.2
	// pushThreshold is the change of a suspect's log odds of which VMs hear at once.
	pushThreshold = 1.0
	// negligible is the distance from the prior at which evidence is forgotten.
	negligibleLogOdds = 0.05
)

// poolEntry are the log odds of one target, the version that brought them, and
// the log odds that were pushed last.
type poolEntry struct {
	odds    float64
	version uint64
	pushed  float64
}

const (
	// suspicionWindow is how long a suspicion of a VM counts against its weight.
	suspicionWindow = 2 * time.Second
	// maxFullWeightSuspects is the number of targets that a VM may suspect at full
	// weight. One that suspects many has bad paths itself.
	maxFullWeightSuspects = 4
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
		if now-at > suspicionWindow {
			delete(r.suspected, target)
		}
	}
	weight := min(1, maxFullWeightSuspects/float64(max(1, len(r.suspected))))
	weighed := make([]Evidence, len(evidence))
	for i, e := range evidence {
		weighed[i] = Evidence{Target: e.Target, LogOdds: e.LogOdds * weight}
	}
	return weighed
}

// Pool adds up the evidence of many VMs. The zero Pool is ready to use.
type Pool struct {
	entries   map[ferry.TargetID]poolEntry
	decayedAt time.Duration
	// version counts the changes that followers should hear of. They let the
	// evidence decay by themselves.
	version uint64
}

// add adds changes and reports whether VMs should hear of them at once.
func (p *Pool) add(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	needsPush := false
	for _, e := range evidence {
		after := min(maxPooledLogOdds, max(minPooledLogOdds, p.logOdds(e.Target)+e.LogOdds))
		needsPush = p.change(e.Target, after) || needsPush
	}
	return needsPush
}

// take takes what a lead pooled over and reports whether VMs should
// hear of that at once.
func (p *Pool) replace(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	needsPush := false
	for _, e := range evidence {
		needsPush = p.change(e.Target, e.LogOdds) || needsPush
	}
	return needsPush
}

// change sets the log odds of a target and reports whether VMs should hear of
// that at once: it became suspect, ceased to be, or changed much.
func (p *Pool) change(target ferry.TargetID, after float64) bool {
	known, found := p.entries[target]
	if !found {
		known = poolEntry{odds: PriorLogOdds, pushed: PriorLogOdds}
	}
	if max(known.odds, after) > minSentLogOdds && known.odds != after {
		p.version++
		known.version = p.version
	}
	hasCrossed := (known.odds < suspectLogOdds) != (after < suspectLogOdds)
	hasMoved := after >= suspectLogOdds && math.Abs(after-known.pushed) >= pushThreshold
	if hasCrossed || hasMoved {
		known.pushed = after
	}
	known.odds = after
	p.set(target, known)
	return hasCrossed || hasMoved
}

func (p *Pool) logOdds(target ferry.TargetID) float64 {
	if known, found := p.entries[target]; found {
		return known.odds
	}
	return PriorLogOdds
}

func (p *Pool) set(target ferry.TargetID, known poolEntry) {
	if p.entries == nil {
		p.entries = map[ferry.TargetID]poolEntry{}
	}
	p.entries[target] = known
}

// decay moves all log odds towards the prior.
func (p *Pool) decay(now time.Duration) {
	elapsed := now - p.decayedAt
	p.decayedAt = now
	if len(p.entries) == 0 || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / poolDecay.Seconds())
	for target, known := range p.entries {
		known.odds = PriorLogOdds + (known.odds-PriorLogOdds)*factor
		if math.Abs(known.odds-PriorLogOdds) < negligibleLogOdds {
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
func (p *Pool) snapshot() map[ferry.TargetID]float64 {
	odds := make(map[ferry.TargetID]float64, len(p.entries))
	for target, known := range p.entries {
		odds[target] = known.odds
	}
	return odds
}
