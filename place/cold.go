package place

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

// A service may state the rate that a cold target tolerates, summed over all VMs. Its
// cold targets get requests only by credits, which the leader of their place grants
// (package lead): each is the right of one VM to send one request within a short time.

// ColdSource is where a VM has it from that a target is cold or warm.
type ColdSource string

// Sources of a target's state.
const (
	// ColdByEntry means that the target's entry states it.
	ColdByEntry ColdSource = "Entry"
	// ColdByEvacuation means that the target is assumed to be cold, because an
	// evacuation of its place ended.
	ColdByEvacuation ColdSource = "Evacuation"
	// ColdByTime means that the time for which the target was cold is over.
	ColdByTime ColdSource = "Time"
	// ColdByConfiguration means that the service no longer states a rate.
	ColdByConfiguration ColdSource = "Configuration"
)

// ColdTarget is a cold target of this VM's place that gets requests by credits only.
type ColdTarget struct {
	ID ferry.TargetID
	// Rate is the number of requests per second that it tolerates from all VMs.
	Rate float64
}

// ColdChange is a target of this VM's place that became cold or warm.
type ColdChange struct {
	ID     ferry.TargetID
	Cold   bool
	Source ColdSource
	// Remaining is the rest of the warm-up.
	Remaining time.Duration
}

// CreditCounts counts the credits of this VM.
type CreditCounts struct {
	Received, Used, Expired uint64
	// Held is the number of credits that may still be used.
	Held int
}

// coldCredit is the right to send one request before a moment, by both clocks.
type coldCredit struct{ until ferry.Moment }

// isValid reports whether the credit may be used. The clock that advanced further
// decides, so that a VM which was suspended uses no old credit.
func (c *coldCredit) isValid(now ferry.Moment) bool {
	return c != nil && now.Monotonic < c.until.Monotonic && now.Wall < c.until.Wall
}

// warmth is what this VM knows about the warm-up of a target.
type warmth struct {
	// coldUntil is the monotonic time at which the target is warm. limitedUntil is the
	// same if the service states a rate for cold targets, and zero otherwise.
	coldUntil    atomic.Int64
	limitedUntil atomic.Int64
	credit       atomic.Pointer[coldCredit]

	// The goroutine that calls Update owns the fields below. revision and coldFor
	// are those of the entry that was applied last.
	hasEntry bool
	revision uint64
	coldFor  time.Duration
	source   ColdSource
}

// coldRules is what a service states about its cold targets.
type coldRules struct {
	rate     float64
	coldTime time.Duration
}

// coldState is the part of a Chooser that serves cold targets. The goroutine that
// calls Update owns it, except for the counters.
type coldState struct {
	rules map[ferry.ServiceID]coldRules
	// endsAt is the time at which the last limited target of the place is warm.
	endsAt time.Duration
	// known holds the limited targets that Cold returned last.
	known map[ferry.TargetID]bool
	// held lists the targets with a credit that was neither used nor expired when
	// it was last looked at.
	held []*targetState

	received, used, expired atomic.Uint64
}

// isCold reports whether the target is slow because it warms up.
func (w *warmth) isCold(now time.Duration) bool { return now < time.Duration(w.coldUntil.Load()) }

// isLimited reports whether the target gets requests by credits only.
func (w *warmth) isLimited(now time.Duration) bool { return now < time.Duration(w.limitedUntil.Load()) }

// lacksCredit reports whether the target is cold and may get no request of this VM.
func (w *warmth) lacksCredit(now time.Duration, attempt *Attempt) bool {
	return w.isLimited(now) && !w.credit.Load().isValid(ferry.Moment{Monotonic: now, Wall: attempt.Wall})
}

// takeCredit takes the credit that a request to the target needs, if it needs one. ok
// is false when another request took it.
func (w *warmth) takeCredit(now time.Duration, attempt *Attempt) (taken *coldCredit, ok bool) {
	if !w.isLimited(now) {
		return nil, true
	}
	credit := w.credit.Load()
	if !credit.isValid(ferry.Moment{Monotonic: now, Wall: attempt.Wall}) || !w.credit.CompareAndSwap(credit, nil) {
		return nil, false
	}
	return credit, true
}

// maySendCold reports whether a request may still be sent to the target: its credit
// may have expired, or the target become cold, while a connection was opened.
func (p Pick) maySendCold(now time.Duration) bool {
	return !p.state.isLimited(now) || p.credit != nil && now < p.credit.until.Monotonic
}

// SetServices applies what the services state about their cold targets. It must be
// called from the goroutine that calls Update.
func (c *Chooser) SetServices(services []ferry.Service) {
	c.cold.rules = map[ferry.ServiceID]coldRules{}
	for _, s := range services {
		c.cold.rules[s.ID] = coldRules{rate: s.ColdRate, coldTime: s.ColdTime}
	}
	for id, s := range c.table.Load().services {
		s.coldRate.Store(math.Float64bits(c.cold.rules[id].rate))
	}
	for _, state := range c.states {
		c.limit(state)
	}
}

// limit sets limitedUntil by the rules of the target's service.
func (c *Chooser) limit(state *targetState) {
	until := int64(0)
	if c.cold.rules[state.target.Service].rate > 0 {
		until = state.coldUntil.Load()
	}
	state.limitedUntil.Store(until)
	if state.target.Place == c.place {
		c.cold.endsAt = max(c.cold.endsAt, time.Duration(until))
	}
}

// updateWarmth applies the entry of a target, unless that was done before: what an
// entry states counts from the time at which it arrived first.
func (c *Chooser) updateWarmth(now time.Duration, state *targetState, entry ferry.Target) {
	if state.hasEntry && state.revision == entry.Revision && state.coldFor == entry.ColdFor {
		return
	}
	state.hasEntry, state.revision, state.coldFor, state.source = true, entry.Revision, entry.ColdFor, ColdByEntry
	state.coldUntil.Store(int64(now + entry.ColdFor))
	c.limit(state)
}

// AssumeCold counts the targets of a place as cold until a newer entry states
// otherwise or the ColdTime of their service is over. The end of an evacuation calls
// for it. It must be called from the goroutine that calls Update.
func (c *Chooser) AssumeCold(now time.Duration, evacuated ferry.PlaceID) {
	for _, state := range c.states {
		rules := c.cold.rules[state.target.Service]
		until := int64(now + rules.coldTime)
		if state.target.Place != evacuated || rules.rate <= 0 || until <= state.coldUntil.Load() {
			continue
		}
		state.coldUntil.Store(until)
		state.source = ColdByEvacuation
		c.limit(state)
	}
}

// Cold returns the cold targets of this VM's place that get requests by credits only,
// in the order of their IDs, and those that became cold or warm since the last call.
// It must be called from the goroutine that calls Update.
func (c *Chooser) Cold(now time.Duration) (cold []ColdTarget, changes []ColdChange) {
	if now >= c.cold.endsAt && len(c.cold.known) == 0 {
		return nil, nil
	}
	for id, state := range c.states {
		if state.target.Place != c.place {
			continue
		}
		isLimited := state.isLimited(now)
		if isLimited {
			cold = append(cold, ColdTarget{ID: id, Rate: c.cold.rules[state.target.Service].rate})
		}
		if isLimited == c.cold.known[id] {
			continue
		}
		changes = append(changes, state.change(now, isLimited))
	}
	c.cold.known = make(map[ferry.TargetID]bool, len(cold))
	for _, target := range cold {
		c.cold.known[target.ID] = true
	}
	slices.SortFunc(cold, func(a, b ColdTarget) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(changes, func(a, b ColdChange) int { return cmp.Compare(a.ID, b.ID) })
	return cold, changes
}

// change describes that the target became limited or is limited no more.
func (s *targetState) change(now time.Duration, isLimited bool) ColdChange {
	remaining := max(0, time.Duration(s.coldUntil.Load())-now)
	source := s.source
	switch {
	case isLimited:
	case remaining > 0:
		source = ColdByConfiguration
	case source != ColdByEntry || s.coldFor > 0:
		source = ColdByTime
	}
	return ColdChange{ID: s.target.ID, Cold: isLimited, Source: source, Remaining: remaining}
}

// AddCredit adds the right to send one request to a cold target of this VM's place
// before a moment, by both clocks. A VM holds one credit of a target at most. It must be
// called from the goroutine that calls Update.
func (c *Chooser) AddCredit(target ferry.TargetID, until ferry.Moment) {
	state := c.states[target]
	if state == nil || state.target.Place != c.place {
		return
	}
	c.cold.received.Add(1)
	if state.credit.Swap(&coldCredit{until: until}) != nil {
		c.cold.expired.Add(1)
	} else if !slices.Contains(c.cold.held, state) {
		c.cold.held = append(c.cold.held, state)
	}
}

// SweepCredits drops expired credits and returns the counts. It must be called from
// the goroutine that calls Update.
func (c *Chooser) SweepCredits(now ferry.Moment) CreditCounts {
	c.cold.held = slices.DeleteFunc(c.cold.held, func(state *targetState) bool {
		credit := state.credit.Load()
		if credit.isValid(now) {
			return false
		}
		if credit != nil && state.credit.CompareAndSwap(credit, nil) {
			c.cold.expired.Add(1)
		}
		return true
	})
	return CreditCounts{
		Received: c.cold.received.Load(), Used: c.cold.used.Load(), Expired: c.cold.expired.Load(), Held: len(c.cold.held),
	}
}

// ColdTargets describes the cold targets of a service that get requests by credits only.
type ColdTargets struct {
	// InPlace is the number of those in this VM's place, Elsewhere that of the others.
	InPlace, Elsewhere int
	// WarmIn is the time until the first of them is warm.
	WarmIn time.Duration
	// Wait is the time after which a credit for one of them, or the end of its warm-up,
	// is likely.
	Wait time.Duration
}

// ColdTargets returns the cold targets that an attempt could use with a credit. ok is
// false if there are none.
func (c *Chooser) ColdTargets(now time.Duration, attempt Attempt) (cold ColdTargets, ok bool) {
	s := c.table.Load().services[attempt.Service]
	if s == nil {
		return ColdTargets{}, false
	}
	reach := c.reachOf(attempt.Homes)
	cold.WarmIn = math.MaxInt64
	for _, state := range s.states {
		remaining := time.Duration(state.limitedUntil.Load()) - now
		if state.isClosed(now) || remaining <= 0 || !reach.includes(state) {
			continue
		}
		cold.WarmIn = min(cold.WarmIn, remaining)
		if state.target.Place == c.place {
			cold.InPlace++
		} else {
			cold.Elsewhere++
		}
	}
	if cold.InPlace+cold.Elsewhere == 0 {
		return ColdTargets{}, false
	}
	cold.Wait = cold.WarmIn
	if rate := math.Float64frombits(s.coldRate.Load()); cold.InPlace > 0 && rate > 0 {
		perVM := float64(cold.InPlace) * rate / float64(max(1, c.placeVMs.Load()))
		cold.Wait = min(cold.Wait, time.Duration(float64(time.Second)/perVM))
	}
	return cold, true
}
