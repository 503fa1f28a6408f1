package place

import (
	"maps"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// Homes are the regions whose targets may get a request: those of its route and those
// of its client account. Where both are set, both bind. An empty list, and so the zero
// Homes, allow every region.
type Homes struct {
	Route, Account []ferry.RegionID
}

// maxRegions is the number of regions that may be homes: one bit each.
const maxRegions = 64

// regionSet is a set of regions, one bit each.
type regionSet uint64

// regionBits returns the bit of each region. Regions beyond maxRegions have none, so that
// they are in no home.
func regionBits(regions ferry.Regions) map[ferry.RegionID]regionSet {
	bits := map[ferry.RegionID]regionSet{}
	for _, region := range slices.Sorted(maps.Values(regions)) {
		if _, found := bits[region]; !found && region != "" && len(bits) < maxRegions {
			bits[region] = 1 << len(bits)
		}
	}
	return bits
}

// reach tells which targets an attempt may use by their region.
type reach struct {
	isLimited bool
	regions   regionSet
}

// reachOf returns the reach of an attempt with homes.
func (c *Chooser) reachOf(homes Homes) reach {
	r := reach{regions: ^regionSet(0)}
	for _, list := range [...][]ferry.RegionID{homes.Route, homes.Account} {
		if len(list) == 0 {
			continue
		}
		var allowed regionSet
		for _, region := range list {
			allowed |= c.regionBits[region]
		}
		r.isLimited = true
		r.regions &= allowed
	}
	return r
}

// includes reports whether the attempt may use a target. One whose region is unknown may
// get only requests without homes.
func (r reach) includes(s *targetState) bool { return !r.isLimited || r.regions&s.region != 0 }

// Shortage returns why Choose found no target for an attempt: ReasonHomeRegion if none
// in the homes takes requests but others do, ReasonEvacuated if those in the homes are
// in evacuated places, or ReasonNoTarget.
func (c *Chooser) Shortage(now time.Duration, attempt Attempt) ferry.Reason {
	s := c.table.Load().services[attempt.Service]
	if s == nil {
		return ferry.ReasonNoTarget
	}
	reach, reason := c.reachOf(attempt.Homes), ferry.ReasonNoTarget
	for _, state := range s.states {
		switch {
		case state.isLeaving.Load():
		case !reach.includes(state):
			if reason == ferry.ReasonNoTarget {
				reason = ferry.ReasonHomeRegion
			}
		case state.isEvacuated(now):
			reason = ferry.ReasonEvacuated
		default:
			return ferry.ReasonNoTarget
		}
	}
	return reason
}
