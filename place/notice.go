package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// maxBackoff bounds how long a target gets no request because it asked for a
	// pause. A longer or absurd time must not take capacity away for good.
	maxBackoff = 5 * time.Minute
	// noticeRetention is how long the notice of a process is kept after its entry
	// vanished: entries of live targets may return after an outage of the store.
	noticeRetention = 10 * time.Minute
	// EvidenceLeaving is the evidence that a leaving target stands for in the fleet.
	// It makes the other VMs prefer other targets but is too weak to avoid it; each
	// VM stops using the target when it gets the notice itself.
	EvidenceLeaving = 1.5
)

// Notice is what a target stated about itself in a response.
type Notice struct {
	// Leaving reports that the target is about to stop.
	Leaving bool
	// Backoff is how long the target wants no request from this VM, or zero.
	Backoff time.Duration
}

// Heeded is the effect of a notice.
type Heeded struct {
	// IsLeaving reports that the target now gets no request and did before.
	IsLeaving bool
	// Backoff is how long the target gets no request, or zero if the notice did not
	// extend an earlier time.
	Backoff time.Duration
}

// standing is what the notices of one process amount to. It outlives the entry of
// the target, which may be older than the notice.
type standing struct {
	leaving bool
	// closedUntil is the monotonic time until which the target gets no request.
	closedUntil time.Duration
	updatedAt   time.Duration
}

// standings hold the standing of each process that gave a notice. The zero
// standings are empty and safe for concurrent use.
type standings struct {
	mu      sync.Mutex
	entries map[ferry.TargetProcess]standing
}

// get returns the standing of a process.
func (s *standings) get(process ferry.TargetProcess) standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[process]
}

// heed applies a notice. A back-off never ends earlier than an earlier notice said.
func (s *standings) heed(now time.Duration, process ferry.TargetProcess, notice Notice) (after standing, heeded Heeded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries[process]
	after = before
	after.updatedAt = now
	after.leaving = before.leaving || notice.Leaving
	if notice.Backoff > 0 {
		after.closedUntil = max(before.closedUntil, now+min(notice.Backoff, maxBackoff))
	}
	if s.entries == nil {
		s.entries = map[ferry.TargetProcess]standing{}
	}
	s.entries[process] = after
	heeded.IsLeaving = after.leaving && !before.leaving
	if after.closedUntil > before.closedUntil {
		heeded.Backoff = after.closedUntil - now
	}
	return after, heeded
}

// expire drops the standings that were not updated for noticeRetention.
func (s *standings) expire(now time.Duration, isListed func(ferry.TargetProcess) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for process, entry := range s.entries {
		if now-entry.updatedAt > noticeRetention && !isListed(process) {
			delete(s.entries, process)
		}
	}
}

// apply sets the standing that requests read.
func (s *targetState) apply(standing standing) {
	s.isLeaving.Store(standing.leaving)
	s.closedUntil.Store(int64(standing.closedUntil))
}

// isClosed reports whether the target gets no request at now because of its notices or
// because its place was evacuated.
func (s *targetState) isClosed(now time.Duration) bool {
	return s.isLeaving.Load() || now < time.Duration(s.closedUntil.Load()) || s.isEvacuated(now)
}

// Heed applies the notice of a picked target. A process that is leaving gets no
// further request from this VM, and one that asked for a pause none until its end.
// Neither is evidence that the target is unhealthy.
func (c *Chooser) Heed(now time.Duration, pick Pick, notice Notice) Heeded {
	if notice == (Notice{}) {
		return Heeded{}
	}
	after, heeded := c.standings.heed(now, pick.state.target.Process(), notice)
	pick.state.apply(after)
	if current := c.table.Load().find(pick.Target); current != nil && current != pick.state {
		// The entry of the target changed during the attempt.
		current.apply(after)
	}
	return heeded
}

// find returns the state of the process of a target, or nil.
func (t *serviceTable) find(target *ferry.Target) *targetState {
	s := t.services[target.Service]
	if s == nil {
		return nil
	}
	i := slices.IndexFunc(s.states, func(state *targetState) bool { return state.target.Process() == target.Process() })
	if i < 0 {
		return nil
	}
	return s.states[i]
}

// MaySend reports whether a request that picked a target may still be sent to it.
// Its notices, or the evacuation of its place, may have come while the connection was
// opened.
func (c *Chooser) MaySend(now time.Duration, pick Pick) bool {
	if pick.state.isClosed(now) || !pick.maySendCold(now) {
		return false
	}
	// The entry of the target may have changed since, so that only its place tells.
	evacuation := findEvacuation(c.evacuations(), pick.Target.Place)
	return evacuation == nil || now < evacuation.Until
}

// NextOpening returns the time until the first of the targets for an attempt that asked
// for a pause takes requests again. ok is false if no such target is in a pause.
func (c *Chooser) NextOpening(now time.Duration, attempt Attempt) (wait time.Duration, ok bool) {
	s := c.table.Load().services[attempt.Service]
	if s == nil {
		return 0, false
	}
	reach := c.reachOf(attempt.Homes)
	wait = math.MaxInt64
	for _, state := range s.states {
		if state.isLeaving.Load() || state.isEvacuated(now) || !reach.includes(state) {
			continue
		}
		if until := time.Duration(state.closedUntil.Load()); until > now {
			wait, ok = min(wait, until-now), true
		}
	}
	if !ok {
		return 0, false
	}
	return wait, true
}
