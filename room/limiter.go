package room

import (
	"time"

	"monsoonferry.org/ferry"
)

const (
	// minLimit is the lowest limit. A limit below one admits one request at a time, with
	// a pause after each: a fleet may have more VMs than the service has slots.
	minLimit = 0.25
	// decrease is the factor of the limit after a shed by a full target.
	decrease = 0.9
	// maxDecrease is the largest factor by which one decrease follows the requests in
	// flight, when these are far below the limit.
	maxDecrease = 0.7
	// decreaseInterval is the time in which sheds count once: those of one moment.
	decreaseInterval = 200 * time.Millisecond
	// increase and relativeIncrease are the growth of the limit in one service time, in
	// slots and as a part of the limit.
	increase         = 0.5
	relativeIncrease = 0.04
	// pressure is how much faster the limit grows for each time that the queue holds the
	// limit, up to maxPressure: VMs with more callers come to higher limits.
	pressure    = 1.0
	maxPressure = 3.0
	// waitingDecrease is the fall of the limit, in slots, with each answer of a target at
	// which others wait. As it weighs more on higher limits, VMs come to equal ones.
	waitingDecrease = 0.015
	// quietAfter is the time after the last full shed from which the limit grows
	// quietFactor times as fast, as it does without evidence for a full service: capacity
	// may have come back.
	quietAfter  = time.Second
	quietFactor = 4
	// fullShareWeight is the weight of one report in the share of full targets.
	fullShareWeight = 0.1
	// busyEvidence and freeEvidence are what a report of a busy target and one of a target
	// with free slots add to the evidence that the service is full. Nine in ten reports
	// are busy then. Beside three in ten slow targets, which are full, a third are: choosing
	// targets is the answer to those. maxEvidence bounds the sum, and fullService is that
	// at which a full target means that the service is full.
	busyEvidence = 1.0
	freeEvidence = -2.25
	maxEvidence  = 5.0
	minEvidence  = -5.0
	fullService  = 4.0
	// mostlyFull is the share of full sheds beyond which the limit in force is lower and
	// sheds begin a pause, of the service time multiplied by what is beyond: no target is
	// likely to have room.
	mostlyFull = 0.5
	// limitLifetime is the time after the last full shed at which a limit without a
	// queue ends, and staleLimit that at which it ends in any case.
	limitLifetime = 3 * time.Second
	staleLimit    = 10 * time.Second
	// defaultServiceTime is assumed before the first answered request.
	defaultServiceTime = 300 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.1
	// maxPause bounds the pause between requests under a limit below one.
	maxPause = time.Second
)

// limiter is the concurrency limit. The zero limiter has none.
type limiter struct {
	// limit is the number of requests in flight that are allowed, zero for any.
	limit float64
	// fullShare is the recent share of sheds by full targets among reports, and evidence
	// that for a full service.
	fullShare   float64
	evidence    float64
	fullAt      time.Duration
	decreasedAt time.Duration
	average     time.Duration
	// opensAt is the end of a pause: under a limit below one, or while most are shed.
	opensAt time.Duration
}

func (l *limiter) isActive() bool { return l.limit > 0 }

// allows reports whether another request may be sent.
func (l *limiter) allows(now time.Duration, inFlight int) bool {
	return !l.isActive() || float64(inFlight+1) <= max(1, l.current()) && now >= l.opensAt
}

// current is the limit in force: while most attempts find full targets, only some are
// sent to find out when that ends.
func (l *limiter) current() float64 {
	if l.fullShare <= mostlyFull {
		return l.limit
	}
	return max(min(1, l.limit), l.limit*(1-l.fullShare)/(1-mostlyFull))
}

// full counts a shed by a full target with the reported load.
func (l *limiter) full(now time.Duration, inFlight int, load ferry.TargetLoad) {
	l.fullShare += fullShareWeight * (1 - l.fullShare)
	l.evidence = min(maxEvidence, l.evidence+busyEvidence)
	if l.evidence < fullService {
		return
	}
	l.fullAt = now
	if beyond := l.fullShare - mostlyFull; beyond > 0 {
		l.opensAt = max(l.opensAt, now+time.Duration(beyond*float64(l.serviceTime())))
	}
	switch {
	case !l.isActive():
		// Of the requests in flight only a part runs. The others wait at their targets.
		running := float64(load.Slots) / float64(max(1, load.Slots, load.Running+load.Waiting))
		l.limit = max(1, running*float64(inFlight))
	case now-l.decreasedAt >= decreaseInterval:
		used := min(l.limit, float64(inFlight))
		l.limit = max(minLimit, maxDecrease*l.limit, decrease*used)
	default:
		return
	}
	l.decreasedAt = now
}

// isBusy reports that all slots of a target are taken, if it has more than that of the
// request which brought the report.
func isBusy(load ferry.TargetLoad) bool {
	return load.Known && (load.Waiting > 0 || load.Slots > 1 && load.Running >= load.Slots)
}

// answered counts an answered request that was in flight for the given time, and the
// load that its target reported.
func (l *limiter) answered(now, took time.Duration, inFlight, queued int, load ferry.TargetLoad) {
	l.fullShare -= fullShareWeight * l.fullShare
	if isBusy(load) {
		l.evidence = min(maxEvidence, l.evidence+busyEvidence)
	} else {
		l.evidence = max(minEvidence, l.evidence+freeEvidence)
	}
	if took > 0 {
		before := l.serviceTime()
		l.average = before + time.Duration(serviceTimeWeight*float64(took-before))
	}
	if !l.isActive() {
		return
	}
	// More beside requests that wait at targets would only wait there too, where no order
	// holds.
	if load.Waiting > 0 {
		l.limit = max(minLimit, l.limit-waitingDecrease)
		return
	}
	// A limit that is not used says nothing about room.
	if float64(inFlight) < l.limit/2 {
		return
	}
	growth := (increase + relativeIncrease*l.limit) / max(1, l.limit)
	growth *= 1 + pressure*min(maxPressure, float64(queued)/max(1, l.limit))
	if now-l.fullAt > quietAfter || l.evidence < 0 {
		growth *= quietFactor
	}
	if l.evidence == minEvidence {
		// Targets have free slots: the limit was a mistake, or its time is over.
		growth = 1
	}
	l.limit += growth
}

// pause begins the pause after a request under a limit below one.
func (l *limiter) pause(now time.Duration) {
	if l.isActive() && l.limit < 1 {
		l.opensAt = max(l.opensAt, now+min(maxPause, time.Duration(float64(l.serviceTime())*(1/l.limit-1))))
	}
}

// expire ends a limit whose last full shed is long ago.
func (l *limiter) expire(now time.Duration, queued int) {
	age := now - l.fullAt
	if l.isActive() && (age > staleLimit || age > limitLifetime && queued == 0) {
		l.limit, l.fullShare, l.evidence, l.opensAt = 0, 0, 0, 0
	}
}

// serviceTime is the average time in flight of an answered request.
func (l *limiter) serviceTime() time.Duration {
	if l.average == 0 {
		return defaultServiceTime
	}
	return max(l.average, time.Millisecond)
}

// capacity is the number of requests a second that the limit allows.
func (l *limiter) capacity() float64 { return l.current() / l.serviceTime().Seconds() }
