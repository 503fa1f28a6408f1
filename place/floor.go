package place

import (
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// healthyLogOdds are log odds that add nothing to the cost of a target.
	healthyLogOdds = -3.0
	// unsafeFloor replaces the operators' floor for requests that may not be
	// retried, while retryable requests keep the operators' floor in use.
	unsafeFloor = 0.5
	// safeWindow is the time since the last retryable request for which retryable
	// requests count as keeping the floor. Operators count a target as in use for
	// two seconds after a request.
	safeWindow = time.Second
	// trialInterval is the time between two trials of a suspect target by all VMs
	// of its place together. It is shorter than the two seconds without a request
	// after which operators count a target as out of use.
	trialInterval = 1200 * time.Millisecond
)

// IsTrialDue reports whether a suspect target in the VM's place gets a request
// although others cost less. Trials keep the target in use and detect its
// recovery. Only requests that may be retried are used for them. idle is the
// time since this VM last chose the target; vms is the number of VMs that take
// turns.
func IsTrialDue(input CostInput, idle time.Duration, vms int) bool {
	return input.IsRetryable && input.Distance == ferry.SamePlace && input.LogOdds > healthyLogOdds &&
		idle > trialInterval*time.Duration(max(1, vms))
}

// AvoidThreshold returns the log odds above which requests avoid targets of a
// service. The targets with the highest log odds are avoided, at most the
// fraction 1-floor of all. The log odds of the others add nothing to their
// cost. Avoided targets stay in use through trials.
//
// The floor limits the effect of high log odds of many targets at once, which
// come from a VM with bad network paths or from a service that is slow as a
// whole.
func AvoidThreshold(logOdds []float64, floor float64) float64 {
	if len(logOdds) == 0 {
		return 0
	}
	sorted := slices.Clone(logOdds)
	slices.Sort(sorted)
	avoided := int(float64(len(sorted)) * (1 - floor))
	return sorted[len(sorted)-1-avoided]
}
