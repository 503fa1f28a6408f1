package health

import (
	"cmp"
	"maps"
	"slices"

	"monsoonferry.org/ferry"
)

// Suspect is a target whose Excess reaches the threshold of its service.
type Suspect struct {
	Target *ferry.Target
	// Place is a place that observes the fault, or empty when all do.
	Place ferry.PlaceID
	// Excess is the larger of both ratios, each minus the scaled median ratio.
	Excess float64
	// Share is the error share of recent attempts.
	Share float64
}

// Suspects returns the suspects of a service, the highest Excess first.
func (d *Detector) Suspects(now ferry.Moment, id ferry.ServiceID) []Suspect {
	s := d.services[id]
	if s == nil {
		return nil
	}
	d.resetOnServiceChange(now, s)
	var suspects []Suspect
	for _, place := range sortedKeys(d.observingPlaces(s)) {
		suspects = append(suspects, d.suspectsIn(now, s, place)...)
	}
	suspects = d.mergePlaces(now, suspects)
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Place, b.Place))
	})
	return suspects
}

// resetOnServiceChange resets the ratios of all targets when those of the
// median target indicate that the whole service has changed. Otherwise the
// ratios would fall at different times once the estimates include the change.
func (d *Detector) resetOnServiceChange(now ferry.Moment, s *service) {
	errors, slowness := d.medianRatios(now, s)
	limit := medianResetShare * s.threshold
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

// sortedKeys returns the keys of a map in increasing order, so that equal events lead
// to equal decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (d *Detector) observingPlaces(s *service) map[ferry.PlaceID]bool {
	places := map[ferry.PlaceID]bool{}
	for _, id := range s.targets {
		for place := range d.targets[id].scores {
			places[place] = true
		}
	}
	return places
}

// medianRatios returns the ratios of the median target, with the lowest recent
// ratios of any place for each target. A ratio that all targets share is not
// the fault of a single target.
func (d *Detector) medianRatios(now ferry.Moment, s *service) (errors, slowness float64) {
	var allErrors, allSlowness []float64
	for _, id := range s.targets {
		isSeen, leastErrors, leastSlowness := false, 0.0, 0.0
		for _, score := range d.targets[id].scores {
			if now.Monotonic-score.LastAttempt > recentPeriod {
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

// suspectsIn returns the suspects of a service as observed from one place.
func (d *Detector) suspectsIn(now ferry.Moment, s *service, place ferry.PlaceID) []Suspect {
	medianErrors, medianSlowness := d.medianRatios(now, s)
	var suspects []Suspect
	for _, id := range s.targets {
		state := d.targets[id]
		score := state.scores[place]
		if score == nil {
			continue
		}
		excess := max(score.Errors-medianFactor*medianErrors, score.Slowness-medianFactor*medianSlowness)
		if excess < s.threshold {
			continue
		}
		share := score.Bad / max(1, score.Good+score.Bad)
		suspects = append(suspects, Suspect{Target: state.target, Place: place, Excess: excess, Share: share})
	}
	return suspects
}

// mergePlaces replaces the suspects of a target by one without a place when all
// places with recent scores suspect it, or the only such place is the target's.
func (d *Detector) mergePlaces(now ferry.Moment, suspects []Suspect) []Suspect {
	suspecting := map[ferry.TargetID]int{}
	for _, s := range suspects {
		suspecting[s.Target.ID]++
	}
	var result []Suspect
	isMerged := map[ferry.TargetID]bool{}
	for _, s := range suspects {
		id := s.Target.ID
		observing := d.countObservingPlaces(now, id)
		if suspecting[id] < observing || (observing < 2 && !d.isFromTargetPlace(s)) {
			result = append(result, s)
			continue
		}
		if !isMerged[id] {
			isMerged[id] = true
			s.Place = ""
			result = append(result, s)
		}
	}
	return result
}

// isFromTargetPlace reports whether the target was observed from its own place,
// where a fault of a path between places can't be the cause.
func (d *Detector) isFromTargetPlace(s Suspect) bool { return s.Place == s.Target.Place }

// countObservingPlaces counts the places with a recent score of the target.
func (d *Detector) countObservingPlaces(now ferry.Moment, id ferry.TargetID) int {
	count := 0
	for _, score := range d.targets[id].scores {
		if now.Monotonic-score.LastAttempt <= recentPeriod {
			count++
		}
	}
	return count
}
