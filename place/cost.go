package place

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// costOtherPlace and costOtherRegion are the costs of distance: the round
	// trip and a surcharge, since operators want to keep traffic off paid links.
	costOtherPlace  = 4 * time.Millisecond
	costOtherRegion = 100 * time.Millisecond
	// costPlaceKilobyte and costRegionKilobyte are the costs of the bytes that
	// cross links. Links between regions cost operators about eight times as much.
	costPlaceKilobyte  = 200 * time.Microsecond
	costRegionKilobyte = 1500 * time.Microsecond
	// costSafeFailure and costUnsafeFailure are the costs of a failed attempt. A
	// wait of this length makes as many responses late as the failure loses.
	costSafeFailure   = 200 * time.Millisecond
	costUnsafeFailure = 1600 * time.Millisecond
	// costToleratedFailure replaces costUnsafeFailure at targets that the floor keeps in
	// use: with more, healthier targets would be full before those get any request.
	costToleratedFailure = 500 * time.Millisecond
	// negligibleProbability is the highest probability of being unhealthy that
	// adds no cost: lower ones are within the error of the estimate.
	negligibleProbability = 0.06
	// utilizationFactor is the extra cost of a full target over an idle one, as a
	// fraction of the service time, before any request waits.
	utilizationFactor = 0.2
	// coldFactor is the extra cost of a target that has just started, as a
	// fraction of the service time.
	coldFactor = 1.0
	// reportDecay is the time in which a report loses weight by the factor e.
	reportDecay = 700 * time.Millisecond
	// defaultServiceTime is assumed until a service time was measured.
	defaultServiceTime = 150 * time.Millisecond
)

// CostInput holds the values that decide the cost of a target.
type CostInput struct {
	Distance ferry.Distance
	Slots    int
	// Bytes is the size of the request plus the average size of a response.
	Bytes int64
	// OwnRequests is the number of this VM's requests on the target.
	OwnRequests int
	// OtherRequests is the estimated number of other VMs' requests on the target.
	OtherRequests float64
	// Spread is the part of OtherRequests that is an average, not a report.
	Spread float64
	// ServiceTime is the average service time of a request, or zero without one.
	ServiceTime time.Duration
	Cold        bool
	// LogOdds are the log odds that the target is unhealthy.
	LogOdds float64
	// IsRetryable reports that the request may be sent again after a failure.
	IsRetryable bool
	// IsTolerated reports that the target is among those that the floor keeps in use,
	// whatever its log odds.
	IsTolerated bool
}

// tolerate applies the threshold above which requests avoid targets. A request that is
// spread uses the targets below it like healthy ones, since the floor counts on them. The
// others prefer healthier ones as long as those have room.
func (c *CostInput) tolerate(avoidAbove float64, isSpread bool) {
	if c.LogOdds > avoidAbove {
		return
	}
	c.IsTolerated = true
	if isSpread {
		c.LogOdds = min(c.LogOdds, healthyLogOdds)
	}
}

// load returns the number of requests on the target and that of its slots.
func (c CostInput) load() (load, slots float64) {
	return float64(c.OwnRequests) + c.OtherRequests, float64(max(1, c.Slots))
}

// serviceTime returns the average service time of a request, or the default.
func (c CostInput) serviceTime() time.Duration {
	if c.ServiceTime == 0 {
		return defaultServiceTime
	}
	return c.ServiceTime
}

// Wait returns the expected wait for a slot.
func Wait(input CostInput) time.Duration {
	load, slots := input.load()
	waiting := max(0, load+1-slots)
	return time.Duration(float64(input.serviceTime()) * waiting / slots)
}

// Cost returns the expected cost of an attempt.
func Cost(input CostInput) time.Duration {
	serviceTime := input.serviceTime()
	load, slots := input.load()
	cost := float64(Wait(input))
	used := min(1, load/slots)
	cost += float64(serviceTime) * utilizationFactor * used * used
	if input.Cold {
		cost += float64(serviceTime) * coldFactor
	}
	kilobytes := float64(input.Bytes) / 1000
	switch input.Distance {
	case ferry.SameRegion:
		cost += float64(costOtherPlace) + kilobytes*float64(costPlaceKilobyte)
	case ferry.OtherRegion:
		cost += float64(costOtherRegion) + kilobytes*float64(costRegionKilobyte)
	case ferry.SamePlace, ferry.DistanceCount:
	}
	failure := costUnsafeFailure
	switch {
	case input.IsRetryable:
		failure = costSafeFailure
	case input.IsTolerated:
		failure = costToleratedFailure
	}
	cost += max(0, Probability(input.LogOdds)-negligibleProbability) * float64(failure)
	return time.Duration(cost)
}

// Probability converts log odds to a probability.
func Probability(logOdds float64) float64 {
	return 1 / (1 + math.Exp(-logOdds))
}

// estimateOtherRequests estimates the other VMs' requests on a target from a
// report of the given age and the average fraction of slots that they use. average is the
// part that the average contributes.
func estimateOtherRequests(reported float64, age time.Duration, averageUse float64, slots int) (requests, average float64) {
	weight := math.Exp(-age.Seconds() / reportDecay.Seconds())
	average = (1 - weight) * averageUse * float64(slots)
	return weight*reported + average, average
}
