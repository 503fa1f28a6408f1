package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/place"
)

const (
	// shedRetryAfter is the RetryAfter after every tried target was full: about
	// the duration of a request.
	shedRetryAfter = 300 * time.Millisecond
	// noTargetRetryAfter is the RetryAfter when a service has no target.
	noTargetRetryAfter = time.Second
	// homeRetryAfter is the RetryAfter when no target in the homes takes requests: an
	// entry of a new or returned target is in force within some seconds.
	homeRetryAfter = time.Second
	// evacuatedRetryAfter is the RetryAfter when every allowed target is in an evacuated
	// place: evacuations last for many seconds.
	evacuatedRetryAfter = 2 * time.Second
	// staleRetryAfter is the RetryAfter when the configuration may be old.
	staleRetryAfter = 500 * time.Millisecond
	// brokenRetryAfter is the RetryAfter when the configuration could not be read whole.
	brokenRetryAfter = time.Second
)

// homes returns the regions that may serve a request.
func homes(exchange *ferry.Exchange) place.Homes {
	allowed := place.Homes{Route: exchange.Route.Regions}
	if exchange.Account != nil {
		allowed.Account = exchange.Account.Regions
	}
	return allowed
}

// refuseWithoutTarget refuses a request for which no target is left. If targets asked
// for a pause, the caller may return when the first pause is over. Callers are spread
// over half of that time more, so that the target does not get them all at once.
func (f *Forwarder) refuseWithoutTarget(now time.Duration, r *requestState, wanted place.Attempt) error {
	wait, isPaused := f.chooser.NextOpening(now, wanted)
	if cold, isCold := f.chooser.ColdTargets(now, wanted); isCold && (!isPaused || cold.Wait < wait) {
		return f.refuseByCold(r, cold)
	}
	if isPaused {
		wait += rand.N(max(wait/2, shedRetryAfter))
		return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonOverload, wait, "every target asked for a pause")
	}
	switch f.chooser.Shortage(now, wanted) {
	case ferry.ReasonHomeRegion:
		return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonHomeRegion, homeRetryAfter,
			"no target takes requests in the homes, "+describeHomes(wanted.Homes))
	case ferry.ReasonEvacuated:
		return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonEvacuated, evacuatedRetryAfter,
			"every target in the homes is in an evacuated place, "+describeHomes(wanted.Homes))
	default:
		return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonNoTarget, noTargetRetryAfter, "no target is left")
	}
}

// describeHomes returns the homes for the log. Empty lists allow every region.
func describeHomes(homes place.Homes) string {
	return fmt.Sprintf("route %v account %v", homes.Route, homes.Account)
}

// giveUp ends a request whose attempts have all failed.
func (f *Forwarder) giveUp(ctx context.Context, r *requestState, last *attempt) error {
	if r.fallback != nil {
		return f.deliver(ctx, r, r.fallback)
	}
	if r.possibleRuns > 0 {
		return f.refuse(r, http.StatusBadGateway, ferry.ReasonTargetFailed, 0, "the target's answer was lost")
	}
	retryAfter := shedRetryAfter
	if isFull(last) {
		retryAfter = f.returnAfterFull(r)
	}
	return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonOverload, retryAfter, "every tried target was full or away")
}

// expire refuses a request whose deadline has passed, or that a planned stop has ended.
func (f *Forwarder) expire(ctx context.Context, r *requestState) error {
	if drain.IsEnded(ctx) {
		return f.refuseStopping(r)
	}
	if r.possibleRuns > 0 || r.inFlight > 0 {
		r.possibleRuns++
		return f.refuse(r, http.StatusGatewayTimeout, ferry.ReasonDeadline, 0, "no answer in time")
	}
	return f.refuse(r, http.StatusServiceUnavailable, ferry.ReasonDeadline, shedRetryAfter, "no target could run the request in time")
}

// refuse returns the refusal of a request. Status 503 promises that the request
// did not run, so it becomes 502 after an attempt that may have run.
func (f *Forwarder) refuse(r *requestState, status int, reason ferry.Reason, retryAfter time.Duration, detail string) error {
	outcome := ferry.OutcomeNotRun
	if r.possibleRuns > 0 || r.inFlight > 0 {
		outcome = ferry.OutcomeUnknown
		if status == http.StatusServiceUnavailable {
			status = http.StatusBadGateway
		}
		retryAfter = 0
	}
	return &ferry.RefusalError{Status: status, Reason: reason, Outcome: outcome, RetryAfter: retryAfter, Detail: detail}
}
