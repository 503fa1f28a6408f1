//go:build !race

package soak

import (
	"net/http"
	"strings"
	"time"
)

const (
	// lateShare is the part of the grace period after which a request that is sent must
	// not be cut, and lastShare the part at whose end a target may still be at work on an
	// earlier one.
	lateShare = 1.0 / 2
	lastShare = 5.0 / 6
	// lossSlack is the time after the last byte of a request within which the end of its
	// connection may have crossed it.
	lossSlack = 200 * time.Millisecond
	// timeSlack is the part of a caller's time that a VM may reserve for the way back.
	timeSlack = 200 * time.Millisecond
	// stableTime is the time after the start of a process within which it may not know all.
	stableTime = 3 * time.Second
	// firstShare is the first part of a stop, in which callers still come: 1.5 s of 6 s.
	firstShare = 1.0 / 4
	// minServed is the least share of ordinary requests that are served.
	minServed = 0.9
	// minFirstServed is the least share of ordinary requests in the first part of a stop
	// that are served or refused as not run.
	minFirstServed = 0.5
	// minCount is the least number of requests that a share is taken of.
	minCount = 20
)

// check checks what callers and targets saw, once nothing runs any more.
func (l *lab) check() {
	l.t.Helper()
	for id, r := range l.journal.records {
		l.checkRequest(id, r)
	}
	l.checkServed()
	l.checkFirst()
	for _, failure := range l.journal.failures {
		l.t.Errorf("seed %d: %s", l.seed, failure)
		if id, _, _ := strings.Cut(failure, " "); strings.HasPrefix(id, "soak-") {
			l.t.Logf("time line:\n%s%s", l.journal.timeline(id, l.started), l.logLines(id))
		}
	}
	if l.t.Failed() {
		l.t.Logf("seed %d, grace period %v, plan:\n%s", l.seed, l.grace, strings.Join(l.plan, "\n"))
	}
}

// checkRequest checks one request.
func (l *lab) checkRequest(id string, r *record) {
	a := r.attempt
	if len(r.runs) > 1 && !a.isIdempotent {
		l.journal.fail(id, "TWICE: ran %d times", len(r.runs))
	}
	if len(r.runs) > 0 && !a.isIdempotent && a.isRefusedAsNotRun() {
		l.journal.fail(id, "REFUSED: %d, and it ran", a.status)
	}
	l.checkDraining(id, r)
	if a.process.wasKilled() || a.hasGivenUp || a.endedAt.IsZero() {
		return
	}
	isAnswered := a.status != 0 && a.isWhole
	if isAnswered && a.isSigned {
		l.checkTime(id, r)
		return
	}
	elapsed := a.endedAt.Sub(a.begunAt)
	if elapsed >= min(a.budget, shortestTimeout) {
		return
	}
	if len(r.runs) == 0 {
		if isCrossed := a.isBehind || !a.isSent || a.endedAt.Sub(a.sentAt) <= lossSlack; !isAnswered && !isCrossed {
			l.journal.fail(id, "LOST: no response %v after the last byte: %v", a.endedAt.Sub(a.sentAt), a.err)
		}
		return
	}
	if l.isExcused(r) {
		return
	}
	if !isAnswered {
		l.journal.fail(id, "LOST: passed on, and no whole response: %v", a.err)
		return
	}
	l.journal.fail(id, "LOST: passed on, and the VM answers %d in the target's place", a.status)
}

// checkTime checks that the VM has not ended the work of a target on a late request by
// allowing it less time than its caller did.
func (l *lab) checkTime(id string, r *record) {
	a := r.attempt
	if a.status != http.StatusGatewayTimeout || !l.isLate(a) {
		return
	}
	for _, run := range r.runs {
		short := a.begunAt.Add(min(a.budget, shortestTimeout)).Sub(run.at.Add(run.limit))
		if run.status == http.StatusGatewayTimeout && short > timeSlack {
			l.journal.fail(id, "LOST: %s was allowed to work for %v, which is %v less than its caller's time", run.target, run.limit, short)
		}
	}
}

// checkDraining checks that a target that drains gets no request any more. VMs that have
// started within stableTime, or stop, may not know it yet.
func (l *lab) checkDraining(id string, r *record) {
	p := r.attempt.process
	stoppedAt, isStopped := p.stopTime()
	for _, run := range r.runs {
		isStable := run.at.Sub(p.startedAt) > stableTime && (!isStopped || run.at.Before(stoppedAt))
		if drainsAt, ok := l.pool.drainsAt(run.target); ok && isStable && run.at.Sub(drainsAt) > drainTime {
			l.journal.fail(id, "DRAIN: %s got it %v after the store knew that it drains", run.target, run.at.Sub(drainsAt))
		}
	}
}

// isLate reports whether a request was sent too late in a stop to be cut.
func (l *lab) isLate(a *attempt) bool {
	stoppedAt, isStopped := a.process.stopTime()
	return isStopped && a.sentAt.After(stoppedAt.Add(share(l.grace, lateShare)))
}

// isExcused reports whether a request that a target got may end without its response.
func (l *lab) isExcused(r *record) bool {
	stoppedAt, isStopped := r.attempt.process.stopTime()
	for _, run := range r.runs {
		if run.hasBrokeOff {
			return true
		}
		if isStopped && !l.isLate(r.attempt) && run.isAtWork(stoppedAt.Add(share(l.grace, lastShare))) {
			return true
		}
	}
	return false
}

func share(period time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(period))
}

// hasMetFault reports whether a target that had a fault got the request.
func (l *lab) hasMetFault(o *operation) bool {
	for _, try := range o.tries {
		for _, run := range l.journal.records[try.id].runs {
			if run.isFaulty || run.hasBrokeOff {
				return true
			}
		}
	}
	return false
}

// checkServed checks that most ordinary requests were served until all VMs stopped.
func (l *lab) checkServed() {
	served, count := 0, 0
	failed := []string{}
	for _, o := range l.operations {
		if !o.prototype.isOrdinary || o.endedAt.After(l.endsAt) || l.hasMetFault(o) {
			continue
		}
		count++
		if o.hasSucceeded() {
			served++
			continue
		}
		failed = append(failed, l.describe(o))
	}
	l.t.Logf("seed %d: %d of %d ordinary requests served, %d requests in total, %d connections refused, %d times no VM reached",
		l.seed, served, count, len(l.journal.records), l.dialFailures.Load(), l.unreachable.Load())
	if count < minCount || float64(served) < minServed*float64(count) {
		l.journal.fail("", "SERVED: %d of %d ordinary requests, without\n%s", served, count, strings.Join(failed, "\n"))
	}
}

// checkFirst checks that most ordinary requests that came in the first part of a stop
// were served, or refused as not run.
func (l *lab) checkFirst() {
	good, count := 0, int(l.stopDialFailures.Load())
	for _, r := range l.journal.records {
		a := r.attempt
		stoppedAt, isStopped := a.process.stopTime()
		if !isStopped || !a.isOrdinary || !a.isSent || a.isBehind || a.sentAt.Before(stoppedAt) || a.sentAt.After(stoppedAt.Add(share(l.grace, firstShare))) {
			continue
		}
		count++
		isRefused := a.status == http.StatusServiceUnavailable && len(r.runs) == 0
		if isRefused || a.status == http.StatusOK && a.isWhole {
			good++
		}
	}
	l.t.Logf("seed %d: %d of %d ordinary requests in the first part of a stop served or refused", l.seed, good, count)
	if count >= minCount && float64(good) < minFirstServed*float64(count) {
		l.journal.fail("", "SERVED: %d of %d ordinary requests in the first part of a stop", good, count)
	}
}

// describe returns the time lines of the tries of an operation.
func (l *lab) describe(o *operation) string {
	var text strings.Builder
	for _, try := range o.tries {
		text.WriteString("\t" + try.id + "\n" + l.journal.timeline(try.id, l.started))
	}
	return text.String()
}
