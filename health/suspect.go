package health

import (
	"cmp"
	"slices"

	"monsoonferry.org/ferry"
)

// Suspect is a target that the evidence speaks against.
type Suspect struct {
	Target *ferry.Target
	// Place is the only place that sees the fault, or empty when all do.
	Place ferry.PlaceID
	// Excess is the ratio above that of the median target of the service.
	Excess float64
	// Share is the error share seen lately.
	Share float64
}

// Suspects returns the suspected targets of a service, the worst first.
func (d *Detector) Suspects(now ferry.Moment, id ferry.ServiceID) []Suspect {
	s := d.services[id]
	if s == nil {
		return nil
	}
	d.forgetCommon(now, s)
	var suspects []Suspect
	for place := range d.placesOf(s) {
		suspects = append(suspects, d.suspectsOf(now, s, place)...)
	}
	suspects = d.joinPlaces(now, suspects)
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Place, b.Place))
	})
	return suspects
}

// forgetCommon resets the ratios of all targets when those of the median
// target show that the service has changed as a whole. Otherwise the ratios
// would fall at different times once the estimates have followed the change.
func (d *Detector) forgetCommon(now ferry.Moment, s *service) {
	errors, slowness := d.common(now, s)
	limit := resetShare * s.threshold
	if errors < limit && slowness < limit {
		return
	}
	for _, id := range s.targets {
		for _, score := range d.targets[id].scores {
			if errors >= limit {
				score.Errors = 0
			}
			if slowness >= limit {
				score.Slowness = 0
			}
		}
	}
}

func (d *Detector) placesOf(s *service) map[ferry.PlaceID]bool {
	places := map[ferry.PlaceID]bool{}
	for _, id := range s.targets {
		for place := range d.targets[id].scores {
			places[place] = true
		}
	}
	return places
}

// common returns the ratios of the median target, each target taken as the
// place sees it that sees it best. What all targets have in common is no fault
// of one of them.
func (d *Detector) common(now ferry.Moment, s *service) (errors, slowness float64) {
	var allErrors, allSlowness []float64
	for _, id := range s.targets {
		isSeen, leastErrors, leastSlowness := false, 0.0, 0.0
		for _, score := range d.targets[id].scores {
			if now.Monotonic-score.At > recentTime {
				continue
			}
			if !isSeen {
				isSeen, leastErrors, leastSlowness = true, score.Errors, score.Slowness
			}
			leastErrors = min(leastErrors, score.Errors)
			leastSlowness = min(leastSlowness, score.Slowness)
		}
		if isSeen {
			allErrors = append(allErrors, leastErrors)
			allSlowness = append(allSlowness, leastSlowness)
		}
	}
	return median(allErrors), median(allSlowness)
}

// suspectsOf compares the targets of a service as one place sees them.
func (d *Detector) suspectsOf(now ferry.Moment, s *service, place ferry.PlaceID) []Suspect {
	commonErrors, commonSlowness := d.common(now, s)
	var suspects []Suspect
	for _, id := range s.targets {
		o := d.targets[id]
		score := o.scores[place]
		if score == nil {
			continue
		}
		excess := max(score.Errors-commonFactor*commonErrors, score.Slowness-commonFactor*commonSlowness)
		if excess < s.threshold {
			continue
		}
		share := score.Bad / max(1, score.Good+score.Bad)
		suspects = append(suspects, Suspect{Target: o.target, Place: place, Excess: excess, Share: share})
	}
	return suspects
}

// joinPlaces makes one suspect without a place of a target that two or more
// places suspect while no other place sees it well.
func (d *Detector) joinPlaces(now ferry.Moment, suspects []Suspect) []Suspect {
	count := map[ferry.TargetID]int{}
	for _, s := range suspects {
		count[s.Target.ID]++
	}
	var joined []Suspect
	done := map[ferry.TargetID]bool{}
	for _, s := range suspects {
		id := s.Target.ID
		observers := d.observers(now, id)
		if count[id] < observers || (observers < 2 && !d.isOwnPlace(s)) {
			joined = append(joined, s)
			continue
		}
		if !done[id] {
			done[id] = true
			s.Place = ""
			joined = append(joined, s)
		}
	}
	return joined
}

// isOwnPlace reports whether the observers are in the target's own place. What
// they see is no fault of a path between places.
func (d *Detector) isOwnPlace(s Suspect) bool { return s.Place == s.Target.Place }

// observers returns the number of places with a recent score of the target.
func (d *Detector) observers(now ferry.Moment, id ferry.TargetID) int {
	count := 0
	for _, score := range d.targets[id].scores {
		if now.Monotonic-score.At <= recentTime {
			count++
		}
	}
	return count
}
