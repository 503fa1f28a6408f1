//go:build !race

package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// event is something that a caller or a target saw.
type event struct {
	at   time.Time
	text string
}

// attempt is one sending of a request, with an ID of its own.
type attempt struct {
	id, method, path, body, key string
	// isIdempotent reports that the request may run more than once. isOrdinary reports
	// that it needs no more than quickWork of a target, and is sent alone and at once.
	isIdempotent, isOrdinary bool
	budget                   time.Duration
	// process is the process that its connection led to.
	process *process
	// isBehind reports that an earlier request on the connection was without a response
	// when this one was sent, or that its response closed the connection.
	isBehind bool
	// begunAt is before the first byte was sent, sentAt before the last piece was.
	begunAt, sentAt time.Time
	isSent          bool
	// endedAt is when the response was read, or the connection had ended.
	endedAt time.Time
	// status is zero without a response. isSigned reports that a target made it.
	status                       int
	isSigned, isWhole, isClosing bool
	retryAfter                   time.Duration
	// hasGivenUp reports that the caller closed the connection, and err what ended it.
	hasGivenUp bool
	err        error
}

// isRefusedAsNotRun reports whether the status promises that the request doesn't run.
func (a *attempt) isRefusedAsNotRun() bool {
	return slices.Contains([]int{408, 421, 429, 503}, a.status)
}

// run is one execution of a request by a target.
type run struct {
	target string
	at     time.Time
	// endedAt is when the target answered, broke off, or saw its connection end. It is zero
	// while the target works.
	endedAt time.Time
	// limit is the time for which the VM allowed the target to work, from at on.
	limit time.Duration
	// status is that of the response, or zero.
	status      int
	hasBrokeOff bool
	// isFaulty reports that the target was in a spell of some fault.
	isFaulty bool
}

// isAtWork reports whether the target worked on the request at a time.
func (r *run) isAtWork(at time.Time) bool { return r.endedAt.IsZero() || r.endedAt.After(at) }

// record is all that is known of a request.
type record struct {
	attempt *attempt
	runs    []*run
	events  []event
}

// journal holds what callers and targets saw.
type journal struct {
	mu       sync.Mutex
	records  map[string]*record
	failures []string
}

func newJournal() *journal { return &journal{records: map[string]*record{}} }

// expect notes a request before it is sent.
func (j *journal) expect(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records[a.id] = &record{attempt: a}
}

// note adds to the time line of a request.
func (j *journal) note(id, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.records[id]; r != nil {
		r.events = append(r.events, event{at: time.Now(), text: fmt.Sprintf(format, arguments...)})
	}
}

// fail notes that a rule is broken. id is that of the request, or empty.
func (j *journal) fail(id, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failures = append(j.failures, strings.TrimSpace(id+" "+fmt.Sprintf(format, arguments...)))
}

// begin notes that a target runs a request, and reports whether a caller sent it.
func (j *journal) begin(id, target string, isFaulty bool) (*run, *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.records[id]
	if r == nil {
		return nil, nil
	}
	begun := &run{target: target, at: time.Now(), isFaulty: isFaulty}
	r.runs = append(r.runs, begun)
	r.events = append(r.events, event{at: begun.at, text: target + " runs it"})
	return begun, r.attempt
}

// limitRun notes for how long a target may work.
func (j *journal) limitRun(begun *run, limit time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	begun.limit = limit
}

// end notes the end of a run.
func (j *journal) end(id string, ended *run, status int, hasBrokeOff bool, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended.endedAt, ended.status, ended.hasBrokeOff = time.Now(), status, hasBrokeOff
	r := j.records[id]
	r.events = append(r.events, event{at: ended.endedAt, text: ended.target + " " + text})
}

// hasRun reports whether a target has begun to run a request.
func (j *journal) hasRun(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records[id].runs) > 0
}

// timeline describes a request, with times since start.
func (j *journal) timeline(id string, start time.Time) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.records[id]
	if r == nil {
		return ""
	}
	a := r.attempt
	var text strings.Builder
	fmt.Fprintf(&text, "\t%s %s, %d bytes, budget %v, idempotent %v, to %s, behind others %v\n",
		a.method, a.path, len(a.body), a.budget, a.isIdempotent, a.process, a.isBehind)
	if at, isStopped := a.process.stopTime(); isStopped {
		fmt.Fprintf(&text, "\t%9.3f s SIGTERM of %s\n", at.Sub(start).Seconds(), a.process)
	}
	slices.SortStableFunc(r.events, func(x, y event) int { return x.at.Compare(y.at) })
	for _, e := range r.events {
		fmt.Fprintf(&text, "\t%9.3f s %s\n", e.at.Sub(start).Seconds(), e.text)
	}
	return text.String()
}
