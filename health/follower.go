package health

import (
	"cmp"
	"slices"

	"monsoonferry.org/ferry"
)

// beatMemory is the number of own heartbeats whose time is remembered for each
// VM.
const beatMemory = 8

// Follower keeps the ejections that other VMs decided and that this VM obeys.
// It is not safe for concurrent use.
type Follower struct {
	place ferry.PlaceID
	beats map[ferry.VMID]*[beatMemory]sentBeat
	rules map[ferry.VMID]decreed
}

type sentBeat struct {
	sequence uint64
	at       ferry.Moment
}

// decreed are the ejections of one decider.
type decreed struct {
	ejections []Ejection
	// from is the moment from which EjectionLife counts.
	from ferry.Moment
	// received is the moment at which Age was current.
	received ferry.Moment
}

// NewFollower returns a follower in the given place without ejections.
func NewFollower(place ferry.PlaceID) *Follower {
	return &Follower{
		place: place,
		beats: map[ferry.VMID]*[beatMemory]sentBeat{},
		rules: map[ferry.VMID]decreed{},
	}
}

// Sent notes that a heartbeat was sent to a VM.
func (f *Follower) Sent(now ferry.Moment, to ferry.VMID, sequence uint64) {
	memory := f.beats[to]
	if memory == nil {
		memory = &[beatMemory]sentBeat{}
		f.beats[to] = memory
	}
	memory[sequence%beatMemory] = sentBeat{sequence: sequence, at: now}
}

// Obey takes the ejections of a decider that had received the heartbeat echo
// from this VM. Ejections that answer an unknown heartbeat are ignored.
func (f *Follower) Obey(now ferry.Moment, from ferry.VMID, echo uint64, ejections []Ejection) {
	memory := f.beats[from]
	if memory == nil || echo == 0 || memory[echo%beatMemory].sequence != echo {
		return
	}
	f.ObeyFrom(now, from, memory[echo%beatMemory].at, ejections)
}

// ObeyFrom takes ejections that live from the given moment. A VM uses it for
// its own decisions.
func (f *Follower) ObeyFrom(now ferry.Moment, from ferry.VMID, start ferry.Moment, ejections []Ejection) {
	if old, ok := f.rules[from]; ok && old.from.Monotonic > start.Monotonic {
		return
	}
	f.rules[from] = decreed{ejections: ejections, from: start, received: now}
}

// Current returns the ejections in force for this VM, in order of target.
func (f *Follower) Current(now ferry.Moment) []Ejection {
	byTarget := map[ferry.TargetID]Ejection{}
	for from, rule := range f.rules {
		if now.LongestSince(rule.from) >= EjectionLife {
			if now.LongestSince(rule.from) >= relapseMemory {
				delete(f.rules, from)
			}
			continue
		}
		for _, ejection := range rule.ejections {
			if ejection.Place != "" && ejection.Place != f.place {
				continue
			}
			ejection.Age += now.Since(rule.received)
			if old, ok := byTarget[ejection.Target]; !ok || ejection.Stage < old.Stage {
				byTarget[ejection.Target] = ejection
			}
		}
	}
	current := make([]Ejection, 0, len(byTarget))
	for _, ejection := range byTarget {
		current = append(current, ejection)
	}
	slices.SortFunc(current, func(a, b Ejection) int { return cmp.Compare(a.Target, b.Target) })
	return current
}

// Last returns the last known ejections of a service's targets, also when they
// are no longer in force, for a VM that becomes the decider.
func (f *Follower) Last(now ferry.Moment, targets []*ferry.Target) []Ejection {
	var last []Ejection
	for _, rule := range f.rules {
		for _, ejection := range rule.ejections {
			if slices.ContainsFunc(targets, func(t *ferry.Target) bool { return t.ID == ejection.Target }) {
				ejection.Age += now.Since(rule.received)
				last = append(last, ejection)
			}
		}
	}
	slices.SortFunc(last, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Stage, b.Stage))
	})
	return slices.CompactFunc(last, func(a, b Ejection) bool { return a.Target == b.Target })
}

// From returns the ejections in force that one VM decided.
func (f *Follower) From(now ferry.Moment, decider ferry.VMID) []Ejection {
	rule, ok := f.rules[decider]
	if !ok || now.LongestSince(rule.from) >= EjectionLife {
		return nil
	}
	return rule.ejections
}
