package place

import (
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

// Allow reports whether a target in the region may get the request. A target whose
// region is unknown may get only requests without homes.
func (h Homes) Allow(region ferry.RegionID) bool {
	return (len(h.Route) == 0 || slices.Contains(h.Route, region)) &&
		(len(h.Account) == 0 || slices.Contains(h.Account, region))
}

// Shortage returns why Choose found no target for an attempt: ReasonHomeRegion if none
// in the homes takes requests but others do, ReasonEvacuated if those in the homes are
// in evacuated places, or ReasonNoTarget.
func (c *Chooser) Shortage(now time.Duration, attempt Attempt) ferry.Reason {
	s := c.table.Load().services[attempt.Service]
	if s == nil {
		return ferry.ReasonNoTarget
	}
	reason := ferry.ReasonNoTarget
	for _, state := range s.states {
		switch {
		case state.isLeaving.Load():
		case !attempt.Homes.Allow(state.region):
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
