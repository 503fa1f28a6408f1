package place

import (
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// healthyLogOdds are log odds that add nothing to the cost of a target.
	healthyLogOdds = -3.0
	// spreadInterval is the number of requests that can't be sent again of which one is
	// spread over all targets within the floor, as all retryable requests are.
	spreadInterval = 6
	// minRankedTargets is the number of targets of a service from which those within the
	// floor are not used alike: of fewer, chance alone may leave too many unused.
	minRankedTargets = 60
	// maxSuspectShare is the part of suspects up to which they are not used alike. With
	// more, the service is late as a whole or paths to it are harmed.
	maxSuspectShare = 0.5
	// recoveredLogOdds are log odds from which a suspect is asked for as a recovered
	// target: some five seconds after a missing response. Sooner, one in four of its
	// requests gets no response either.
	recoveredLogOdds = -2.0
	// certainLogOdds are log odds above which requests avoid a target whatever the
	// floor: four in five that it is unhealthy, as after two failures within two
	// seconds anywhere in the fleet.
	certainLogOdds = 1.5
	// unsafeFloor replaces a higher floor of the operators for requests that may
	// not be retried, while retryable requests keep the operators' floor in use.
	unsafeFloor = 0.5
	// safeWindow is how long a retryable request counts as keeping the floor.
	// Operators count a target as in use for two seconds after a request.
	safeWindow = time.Second
	// trialInterval is the time between two trials of a suspect target by the VMs
	// of its place together: shorter than the two seconds after which operators
	// count it as out of use.
	trialInterval = 1200 * time.Millisecond
)

// IsTrialDue reports whether a suspect target in the VM's place gets a request
// although others cost less, to keep it in use and detect its recovery. Only
// retryable requests are used. idle is the time since this VM last chose the
// target; vms is the number of VMs that take turns.
func IsTrialDue(input CostInput, idle time.Duration, vms int) bool {
	return input.IsRetryable && input.Distance == ferry.SamePlace && input.LogOdds > healthyLogOdds &&
		idle > trialInterval*time.Duration(max(1, vms))
}

// AvoidThreshold returns the log odds above which requests avoid targets of a
// service, at most the fraction 1-floor of them. The log odds of all others add
// nothing to their cost. Avoided targets stay in use through trials.
//
// The floor guards against raised log odds of many targets at once, caused by a
// VM with bad network paths or by a service that is slow as a whole. Operators
// count healthy targets only, so it does not cover those above certainLogOdds.
func AvoidThreshold(logOdds []float64, floor float64) float64 {
	if len(logOdds) == 0 {
		return 0
	}
	sorted := slices.Clone(logOdds)
	slices.Sort(sorted)
	avoided := int(float64(len(sorted)) * (1 - floor))
	return sorted[len(sorted)-1-avoided]
}
