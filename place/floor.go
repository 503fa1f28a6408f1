package place

import (
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// soundOdds are log odds that cost nothing in placing.
	soundOdds = -3.0
	// unsafeFloor is the part of a service that stays in full use by requests that
	// may not be repeated, while others keep the operators' floor.
	unsafeFloor = 0.5
	// safeRecent is the time for which requests that may be repeated count as
	// keeping the floor: the users count targets in use within two seconds.
	safeRecent = time.Second
	// trialEvery is the time between two trials of a suspect target by the VMs
	// of its place together: shorter than the two seconds after which the users
	// count a target as out of use.
	trialEvery = 1200 * time.Millisecond
)

// IsTrialDue reports whether a suspect target of the own place gets a request
// although others cost less, so that it stays in use and is found sound again.
// Only requests that may be repeated are risked. unused is the time since this
// VM last chose the target; the VMs of the place take turns.
func IsTrialDue(facts Facts, unused time.Duration, vms int) bool {
	return facts.MayRepeat && facts.Distance == ferry.SamePlace && facts.LogOdds > soundOdds &&
		unused > trialEvery*time.Duration(max(1, vms))
}

// Cut returns the log odds above which targets of a service are avoided: the
// worst ones, while floor of them stay. Those cost nothing more, however suspect
// they are. Avoided targets stay in use through trials.
//
// The load that this answers: evidence against many targets at once, from a VM
// with bad paths or from a service that is slow as a whole.
func Cut(odds []float64, floor float64) float64 {
	if len(odds) == 0 {
		return 0
	}
	sorted := slices.Clone(odds)
	slices.Sort(sorted)
	avoided := int(float64(len(sorted)) * (1 - floor))
	return sorted[len(sorted)-1-avoided]
}
