package lead

import (
	"time"

	"monsoonferry.org/ferry"
)

// Division describes among how many VMs this VM divides what the fleet has in common, and
// why: the allowances of client accounts and the slack for retries. Nothing of that kind is
// divided by another number, so that a VM assumes the same of VMs that it hasn't met
// wherever the sum over all of them is bounded.
type Division struct {
	// Divisor is the number of VMs among which the fleet's bounds are divided.
	Divisor int
	// IsKnown reports that this VM knows the size of the fleet. Otherwise the
	// Divisor is assumed.
	IsKnown bool
	// Age is the time since the start of this process.
	Age time.Duration
	// IsIsolated reports that this VM has other seeds than itself and has met nobody, so that
	// it can't know who else uses what is divided.
	IsIsolated bool
	// HasContact reports that another VM has sent a message.
	HasContact bool
	// ContactAge is the time since the first message of another VM.
	ContactAge time.Duration
	// InView is the number of VMs in the view.
	InView int
	// Lost is the number of VMs outside the view that may still run beyond a partition,
	// and LostFor the longest time since one was lost.
	Lost    int
	LostFor time.Duration
}

// Division returns the present Division.
func (c *Controller) Division(now ferry.Moment) Division {
	division := Division{
		Divisor: c.denominator(now), IsKnown: c.knowsFleetSize(now.Monotonic), HasContact: c.hasContact, InView: len(c.view), Lost: len(c.lost),
		Age: now.Monotonic - c.started, IsIsolated: !c.hasContact && len(c.seeds) > 0,
	}
	if c.hasContact {
		division.ContactAge = now.Monotonic - c.contactAt
	}
	for _, at := range c.lost {
		division.LostFor = max(division.LostFor, now.Monotonic-at)
	}
	return division
}

// denominator returns the number of VMs among which the fleet's bounds are divided.
func (c *Controller) denominator(now ferry.Moment) int {
	size := c.FleetSize()
	if c.knowsFleetSize(now.Monotonic) {
		return size
	}
	return max(size, c.assumedSize())
}

// assumedSize returns the least size assumed while the fleet size is unknown: the one
// that operators expect, if they state it. Otherwise a VM that has met nobody may stay so
// for as long as its seeds are down. It scales the size with the places that its settings
// list, so that small fleets serve meanwhile.
func (c *Controller) assumedSize() int {
	if c.options.FleetSize > 0 {
		return c.options.FleetSize
	}
	places := len(c.options.Regions)
	if c.hasContact || places == 0 {
		return assumedFleetSize
	}
	perPlaces := (assumedFleetSize*places + assumedPlaces - 1) / assumedPlaces
	return max(perPlaces, 1+len(c.seeds))
}

// knowsFleetSize reports whether this VM knows the size of the fleet. VMs that have
// all just started may be a part of a larger fleet that they cannot reach. So may be,
// for as long as it has met nobody, a VM with other seeds than itself, even if the
// whole fleet starts for the first time.
func (c *Controller) knowsFleetSize(now time.Duration) bool {
	expected := c.options.FleetSize
	switch {
	case len(c.seeds) > 0 && !c.hasLearnedView(now):
		return false
	case expected > 0 && c.fleetSizes.largest() >= expected:
		return true
	case expected > 0:
		// VMs lost before this process started have expired then.
		return c.isFleetSizeKnown || now-c.started > lostRetention
	}
	return c.isFleetSizeKnown || now-c.started > fleetSizeKnownAfter
}

// hasLearnedView reports whether the VMs that this VM met have sent their views. VMs
// that each granted a share of their own until they met wait for that: their first
// views have one or two VMs.
func (c *Controller) hasLearnedView(now time.Duration) bool {
	return c.hasContact && (c.contactAt-c.started < isolationTimeout || now-c.contactAt > listTimeout)
}
