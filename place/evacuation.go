package place

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// evacuationMargin is the time before the operators' bound at which this VM sends
	// its last request to an evacuated place: for half a second the request may be on
	// its way, and for a second a store that forgets its history may have proven records
	// current that were not.
	evacuationMargin = 1500 * time.Millisecond
	// evacuationCost is added to the cost of a target for a request that leaves its
	// place. It exceeds the cost of another region. A request for which the others cost
	// more, since they are full, stays until the evacuation is complete.
	evacuationCost = time.Second
)

// Evacuation is the operators' request that a place's targets get no more requests.
type Evacuation struct {
	Place ferry.PlaceID
	// Since is when this VM learned of it. From then on an increasing part of the
	// requests avoids the place, and from Until on all of them do.
	Since, Until time.Duration
}

// EvacuationEnd returns when an evacuation that this VM learns of at now has to be
// complete. The operators' bound counts from the store's acknowledgment, which came
// after the records were last proven to be current without it: proofAge ago. A VM
// without such a proof completes the evacuation at once.
func EvacuationEnd(now, proofAge time.Duration, hasProof bool, within time.Duration) time.Duration {
	if !hasProof {
		return now
	}
	return now + max(0, within-evacuationMargin-proofAge)
}

// leavingPart returns the part of the requests that avoid the place at now, from 0 to 1.
func (e *Evacuation) leavingPart(now time.Duration) float64 {
	if now >= e.Until {
		return 1
	}
	return max(0, float64(now-e.Since)/float64(e.Until-e.Since))
}

// EvacuationChange is an evacuation that has begun or, if IsOver is set, was taken back.
type EvacuationChange struct {
	Evacuation
	IsOver bool
}

// SetEvacuated sets the evacuated places. The evacuation of a place that was not
// evacuated begins now and is complete at until. SetEvacuated must be called from the
// goroutine that calls Update, before Update if both apply the same records.
func (c *Chooser) SetEvacuated(now time.Duration, places map[ferry.PlaceID]bool, until time.Duration) []EvacuationChange {
	var changes []EvacuationChange
	next := make([]*Evacuation, 0, len(places))
	for _, evacuation := range c.evacuations() {
		if places[evacuation.Place] {
			next = append(next, evacuation)
			continue
		}
		changes = append(changes, EvacuationChange{Evacuation: *evacuation, IsOver: true})
	}
	for place := range places {
		if findEvacuation(next, place) == nil {
			evacuation := &Evacuation{Place: place, Since: now, Until: until}
			next = append(next, evacuation)
			changes = append(changes, EvacuationChange{Evacuation: *evacuation})
		}
	}
	if len(changes) == 0 {
		return nil
	}
	slices.SortFunc(next, func(a, b *Evacuation) int { return strings.Compare(string(a.Place), string(b.Place)) })
	c.evacuated.Store(&next)
	c.slots.isDue = true
	for _, state := range c.states {
		state.evacuation.Store(findEvacuation(next, state.target.Place))
	}
	return changes
}

// evacuations returns the evacuations in force, ordered by place. They are immutable.
func (c *Chooser) evacuations() []*Evacuation {
	if list := c.evacuated.Load(); list != nil {
		return *list
	}
	return nil
}

// Evacuations returns the evacuations in force, ordered by place.
func (c *Chooser) Evacuations() []Evacuation {
	var list []Evacuation
	for _, evacuation := range c.evacuations() {
		list = append(list, *evacuation)
	}
	return list
}

func findEvacuation(list []*Evacuation, place ferry.PlaceID) *Evacuation {
	for _, evacuation := range list {
		if evacuation.Place == place {
			return evacuation
		}
	}
	return nil
}

// isEvacuated reports whether the evacuation of the target's place is complete.
func (s *targetState) isEvacuated(now time.Duration) bool {
	evacuation := s.evacuation.Load()
	return evacuation != nil && now >= evacuation.Until
}

// departure decides for one choice which evacuations it takes part in: those whose
// leaving part exceeds it. It is 1 while no place is evacuated.
type departure float64

// newDeparture draws a departure. It draws nothing while no place is evacuated.
func (c *Chooser) newDeparture(random *rand.PCG) departure {
	if len(c.evacuations()) == 0 {
		return 1
	}
	return departure(float64(random.Uint64()>>11) / (1 << 53))
}

// cost returns what the departure adds to the cost of a target.
func (d departure) cost(now time.Duration, s *targetState) time.Duration {
	if evacuation := s.evacuation.Load(); evacuation != nil && float64(d) < evacuation.leavingPart(now) {
		return evacuationCost
	}
	return 0
}
