package health

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

// Increment sums the attempts of one VM on one target since its last report.
type Increment struct {
	Target ferry.TargetID
	// Errors and Slowness are increments of the two log-likelihood ratios.
	Errors   float64
	Slowness float64
	Good     int
	Bad      int
}

// Score is the state of the two ratios of a target in one observing place.
type Score struct {
	Errors   float64
	Slowness float64
	// Good and Bad count recent attempts; both decay with decayTime.
	Good float64
	Bad  float64
	// GoodSinceReset and BadSinceReset count the attempts since the last reset.
	GoodSinceReset int
	BadSinceReset  int
	// LastAttempt is the monotonic time of the last attempt.
	LastAttempt time.Duration
	// decayedAt is the monotonic time to which Good and Bad have decayed.
	decayedAt time.Duration
}

// add applies an increment. The ratios never fall below zero, so that a long
// period without faults does not delay detection.
func (s *Score) add(now ferry.Moment, increment Increment) {
	s.decay(now)
	s.Errors = max(0, s.Errors+increment.Errors)
	s.Slowness = max(0, s.Slowness+increment.Slowness)
	s.Good += float64(increment.Good)
	s.Bad += float64(increment.Bad)
	s.GoodSinceReset += increment.Good
	s.BadSinceReset += increment.Bad
	s.LastAttempt = now.Monotonic
}

// decayTime is the time in which the counts of recent attempts fall to 1/e.
const decayTime = 2 * time.Second

func (s *Score) decay(now ferry.Moment) {
	factor := math.Exp(-(now.Monotonic - s.decayedAt).Seconds() / decayTime.Seconds())
	s.decayedAt = now.Monotonic
	s.Good *= factor
	s.Bad *= factor
}

const (
	// slowFactor is the slowdown relative to the service that counts as a fault.
	slowFactor = 2.5
	// maxSlowRatio and minSlowRatio bound the increment of one response, since
	// latencies have heavier tails than the model.
	maxSlowRatio = 1.5
	minSlowRatio = -1.0
	// minSpread is the least standard deviation of the logarithm of latency.
	minSpread = 0.3
	// medianStep and spreadStep are the steps of the running estimates.
	medianStep = 0.02
	spreadStep = 0.01
	// warmUpResponses is the number of responses before latencies are compared.
	warmUpResponses = 50
	// spreadFactor turns a median absolute deviation into a standard deviation.
	spreadFactor = 1.4826
)

// latency estimates the distribution of the logarithm of the time to first byte
// of one service. It uses medians since a few slow targets hardly change them.
type latency struct {
	count  int
	median float64
	spread float64
}

// ratio returns the increment of the log-likelihood ratio for a response and
// updates the estimates.
func (l *latency) ratio(firstByte time.Duration) float64 {
	logTime := math.Log(max(firstByte, time.Microsecond).Seconds())
	if l.count == 0 {
		l.median, l.spread = logTime, 1
	}
	l.count++
	deviation := logTime - l.median
	step := 1.0
	if l.count < warmUpResponses {
		step = float64(warmUpResponses) / float64(l.count)
	}
	l.median += math.Copysign(medianStep*step, deviation)
	l.spread = max(0, l.spread+math.Copysign(spreadStep*step, math.Abs(deviation)-l.spread))
	if l.count < warmUpResponses {
		return 0
	}
	sigma := max(minSpread, l.spread*spreadFactor)
	shift := math.Log(slowFactor)
	ratio := shift / (sigma * sigma) * (deviation - shift/2)
	return min(maxSlowRatio, max(minSlowRatio, ratio))
}

const (
	// faultFactor scales the error share of a healthy target to that of a faulty
	// one, which is at least minFaultShare and at most maxFaultShare.
	faultFactor   = 10
	minFaultShare = 0.1
	maxFaultShare = 0.95
	maxBaseline   = 0.6
)

// errorIncrements returns the increments of the log-likelihood ratio for a
// failed and a successful attempt, given the error share of healthy targets.
func errorIncrements(baseline float64) (bad, good float64) {
	baseline = min(baseline, maxBaseline)
	faultShare := min(maxFaultShare, max(minFaultShare, faultFactor*baseline))
	return math.Log(faultShare / baseline), math.Log((1 - faultShare) / (1 - baseline))
}

// Threshold returns the ratio at which a target is suspected. A healthy target
// reaches it about once in daysPerFalseSuspicion days of full service traffic.
func Threshold(slots int, sensitivity float64) float64 {
	attempts := float64(max(1, slots)) * attemptsPerSlot * secondsPerDay * daysPerFalseSuspicion
	return math.Log(attempts) / sensitivity
}

const (
	// attemptsPerSlot is the traffic of a busy slot in attempts per second.
	attemptsPerSlot = 40
	secondsPerDay   = 86400
	// daysPerFalseSuspicion is the least time between false suspicions of a service.
	daysPerFalseSuspicion = 1
)
