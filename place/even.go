package place

import "time"

// EvenLoad holds the settings by which the VMs of a place even the load of its targets.
// The zero EvenLoad leaves the choice to the reports and chance.
type EvenLoad struct {
	// SlotPreference is the extra cost of a slot that this VM doesn't own, as a fraction
	// of the service time. With zero no slots are dealt.
	SlotPreference float64
	// UseByPlace makes a target without a recent report count with the average use of
	// its place, and with the spread around it, instead of the average of all places.
	UseByPlace bool
	// NewConnection is the extra cost of a target to which this VM has no idle
	// connection.
	NewConnection time.Duration
}

// SetEvenLoad sets the settings. It must be called from the goroutine that calls Update.
func (c *Chooser) SetEvenLoad(settings EvenLoad) {
	c.even.Store(&settings)
	c.slots.isDue = true
}

// averageUse returns the average use to assume of a target, given that of its service.
func (e *EvenLoad) averageUse(now time.Duration, s *targetState, ofService float64) float64 {
	if e.UseByPlace {
		return s.use.estimate(now)
	}
	return ofService
}

// cost returns what the settings add to the cost of a target.
func (e *EvenLoad) cost(now time.Duration, s *targetState, input *CostInput) time.Duration {
	if *e == (EvenLoad{}) {
		return 0
	}
	parts := 0.0
	if e.UseByPlace {
		parts = spreadWait(input)
	}
	if e.SlotPreference > 0 && slotKind(s, input) != SlotOwned {
		parts += e.SlotPreference
	}
	cost := time.Duration(float64(input.serviceTime()) * parts)
	if now >= time.Duration(s.idleUntil.Load()) {
		cost += e.NewConnection
	}
	return cost
}

// SetIdleUntil tells until when this VM has an idle connection to the picked target. Zero
// means that it has none.
func (c *Chooser) SetIdleUntil(pick Pick, until time.Duration) {
	pick.state.idleUntil.Store(int64(until))
}
