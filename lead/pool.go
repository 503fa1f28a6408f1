package lead

import (
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// minPooledLogOdds and maxPooledLogOdds bound pooled log odds.
	minPooledLogOdds = -4.5
	maxPooledLogOdds = 6.0
	// poolDecay is the time in which log odds approach the prior by the factor e.
	// Targets are unhealthy for some seconds at a time.
	poolDecay = 8 * time.Second
	// PriorLogOdds are the log odds that a target without evidence is unhealthy:
	// about one in sixty.
	PriorLogOdds = -4.0
	// suspectLogOdds is the threshold from which placing avoids a target as a
	// suspect: a chance of one in ten that it is unhealthy. Crossing it is pushed
	// at once.
	suspectLogOdds = -2.2
	// pushThreshold is the change of a suspect's log odds that is pushed at once.
	pushThreshold = 1.0
	// negligibleLogOdds is the distance from the prior below which evidence is
	// dropped.
	negligibleLogOdds = 0.05
)

// poolEntry holds the log odds of one target, their version, and those pushed
// last.
type poolEntry struct {
	odds    float64
	version uint64
	pushed  float64
}

const (
	// suspicionWindow is how long a suspicion counts against its reporter's
	// weight.
	suspicionWindow = 2 * time.Second
	// maxFullWeightSuspects is the number of targets that a VM may suspect at full
	// weight. A VM that suspects more has bad paths itself.
	maxFullWeightSuspects = 4
)

// reporter holds the time of this VM's last evidence against each target.
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
		weighed[i] = Evidence{Target: e.Target, LogOdds: e.LogOdds * weight, IsUsed: e.IsUsed}
	}
	return weighed
}

// Pool adds up the evidence of many VMs. The zero Pool is ready to use.
type Pool struct {
	entries   map[ferry.TargetID]poolEntry
	decayedAt time.Duration
	// version counts the changes that followers receive. Every VM applies decay
	// itself.
	version uint64
}

// add adds changes of log odds and reports whether one has to be pushed at once.
func (p *Pool) add(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	needsPush := false
	for _, e := range evidence {
		if e.LogOdds == 0 {
			continue
		}
		odds := min(maxPooledLogOdds, max(minPooledLogOdds, p.logOdds(e.Target)+e.LogOdds))
		needsPush = p.change(e.Target, odds) || needsPush
	}
	return needsPush
}

// replace sets log odds from a leader and reports whether one has to be pushed
// at once.
func (p *Pool) replace(now time.Duration, evidence []Evidence) bool {
	p.decay(now)
	needsPush := false
	for _, e := range evidence {
		needsPush = p.change(e.Target, e.LogOdds) || needsPush
	}
	return needsPush
}

// change sets the log odds of a target and reports whether they have to be
// pushed at once: the target became a suspect, ceased to be one, or is one that
// changed by pushThreshold.
func (p *Pool) change(target ferry.TargetID, odds float64) bool {
	entry, found := p.entries[target]
	if !found {
		entry = poolEntry{odds: PriorLogOdds, pushed: PriorLogOdds}
	}
	if max(entry.odds, odds) > minSentLogOdds && entry.odds != odds {
		p.version++
		entry.version = p.version
	}
	hasCrossed := (entry.odds < suspectLogOdds) != (odds < suspectLogOdds)
	hasMoved := odds >= suspectLogOdds && math.Abs(odds-entry.pushed) >= pushThreshold
	if hasCrossed || hasMoved {
		entry.pushed = odds
	}
	entry.odds = odds
	p.set(target, entry)
	return hasCrossed || hasMoved
}

func (p *Pool) logOdds(target ferry.TargetID) float64 {
	if entry, found := p.entries[target]; found {
		return entry.odds
	}
	return PriorLogOdds
}

func (p *Pool) set(target ferry.TargetID, entry poolEntry) {
	if p.entries == nil {
		p.entries = map[ferry.TargetID]poolEntry{}
	}
	p.entries[target] = entry
}

// decay moves all log odds towards the prior.
func (p *Pool) decay(now time.Duration) {
	elapsed := now - p.decayedAt
	p.decayedAt = now
	if len(p.entries) == 0 || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / poolDecay.Seconds())
	for target, entry := range p.entries {
		entry.odds = PriorLogOdds + (entry.odds-PriorLogOdds)*factor
		if math.Abs(entry.odds-PriorLogOdds) < negligibleLogOdds {
			delete(p.entries, target)
			continue
		}
		p.entries[target] = entry
	}
}

// since returns the log odds that changed after a version, ordered by target. An
// unknown version stands for zero.
func (p *Pool) since(after uint64) []Evidence {
	if after > p.version {
		after = 0
	}
	var list []Evidence
	for target, entry := range p.entries {
		if entry.version > after {
			list = append(list, Evidence{Target: target, LogOdds: entry.odds})
		}
	}
	slices.SortFunc(list, compareTargets)
	return list
}

// snapshot returns the log odds of every target with evidence.
func (p *Pool) snapshot() map[ferry.TargetID]float64 {
	odds := make(map[ferry.TargetID]float64, len(p.entries))
	for target, entry := range p.entries {
		odds[target] = entry.odds
	}
	return odds
}
