package health

import (
	"cmp"
	"slices"

	"monsoonferry.org/ferry"
)

// keptHeartbeats is the number of heartbeats per VM whose send times are kept.
const keptHeartbeats = 8

// EjectionTable keeps the ejections that ejection coordinators decided and that
// this VM applies. It is not safe for concurrent use.
type EjectionTable struct {
	place      ferry.PlaceID
	heartbeats map[ferry.VMID]*[keptHeartbeats]sentHeartbeat
	leases     map[ferry.VMID]lease
}

type sentHeartbeat struct {
	sequence uint64
	sentAt   ferry.Moment
}

// lease holds the ejections of one coordinator.
type lease struct {
	ejections []Ejection
	// start is the moment from which EjectionLifetime counts.
	start ferry.Moment
	// received is the moment to which the Age of the ejections refers.
	received ferry.Moment
}

// NewEjectionTable returns the empty table of a VM in the given place.
func NewEjectionTable(place ferry.PlaceID) *EjectionTable {
	return &EjectionTable{
		place:      place,
		heartbeats: map[ferry.VMID]*[keptHeartbeats]sentHeartbeat{},
		leases:     map[ferry.VMID]lease{},
	}
}

// RecordHeartbeat records the send time of a heartbeat to a VM.
func (t *EjectionTable) RecordHeartbeat(now ferry.Moment, to ferry.VMID, sequence uint64) {
	sent := t.heartbeats[to]
	if sent == nil {
		sent = &[keptHeartbeats]sentHeartbeat{}
		t.heartbeats[to] = sent
	}
	sent[sequence%keptHeartbeats] = sentHeartbeat{sequence: sequence, sentAt: now}
}

// Renew replaces the ejections of a coordinator. Their lifetime counts from the
// send time of the echoed heartbeat; echoes of unknown heartbeats are ignored.
func (t *EjectionTable) Renew(now ferry.Moment, from ferry.VMID, echo uint64, ejections []Ejection) {
	sent := t.heartbeats[from]
	if sent == nil || echo == 0 || sent[echo%keptHeartbeats].sequence != echo {
		return
	}
	t.RenewFrom(now, from, sent[echo%keptHeartbeats].sentAt, ejections)
}

// RenewFrom replaces the ejections of a coordinator, unless the old ones start
// later. A VM uses it for its own decisions.
func (t *EjectionTable) RenewFrom(now ferry.Moment, from ferry.VMID, start ferry.Moment, ejections []Ejection) {
	if old, ok := t.leases[from]; ok && old.start.Monotonic > start.Monotonic {
		return
	}
	t.leases[from] = lease{ejections: ejections, start: start, received: now}
}

// Active returns the ejections in force for this VM, in order of target.
func (t *EjectionTable) Active(now ferry.Moment) []Ejection {
	byTarget := map[ferry.TargetID]Ejection{}
	for _, from := range sortedKeys(t.leases) {
		l := t.leases[from]
		if now.LongestSince(l.start) >= EjectionLifetime {
			if now.LongestSince(l.start) >= repeatWindow {
				delete(t.leases, from)
			}
			continue
		}
		for _, ejection := range l.ejections {
			if ejection.Place != "" && ejection.Place != t.place {
				continue
			}
			ejection.Age += now.Since(l.received)
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

// LastKnown returns the last known ejections of a service's targets, including
// those whose lease has expired, for a VM that becomes the coordinator.
func (t *EjectionTable) LastKnown(now ferry.Moment, targets []*ferry.Target) []Ejection {
	var last []Ejection
	for _, from := range sortedKeys(t.leases) {
		l := t.leases[from]
		for _, ejection := range l.ejections {
			if slices.ContainsFunc(targets, func(target *ferry.Target) bool { return target.ID == ejection.Target }) {
				ejection.Age += now.Since(l.received)
				last = append(last, ejection)
			}
		}
	}
	slices.SortStableFunc(last, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Stage, b.Stage))
	})
	return slices.CompactFunc(last, func(a, b Ejection) bool { return a.Target == b.Target })
}

// ActiveFrom returns the ejections in force of one coordinator.
func (t *EjectionTable) ActiveFrom(now ferry.Moment, coordinator ferry.VMID) []Ejection {
	l, ok := t.leases[coordinator]
	if !ok || now.LongestSince(l.start) >= EjectionLifetime {
		return nil
	}
	return l.ejections
}
