// Package flight accounts for what the requests in flight hold: bytes of bodies and
// responses, or connections.
//
// # Concept
//
// A Ledger has a limit that all requests share. Each request has a Hold, takes units
// before it uses them, and gives them back when its last user releases the Hold. What a
// request can do without is taken with TakeSpare, which leaves a part of the limit to
// others. One owner, a client account or an address, can't take the last units: once
// little is left, an owner that holds much gets no more.
//
// A Hold may be receiving: it waits for bytes of its caller. While others wait for
// units, EndStalled ends the one that has made no progress for the longest time.
// The package reads no clock and no socket.
//
// # Usage
//
//	hold := ledger.Open(owner)
//	defer hold.Release()
//	if !hold.Take(n) { /* wait for ledger.Freed, or refuse */ }
package flight

import (
	"sync"
	"time"
)

const (
	// spareDivisor is the part of the limit that TakeSpare may use: one of so many.
	spareDivisor = 2
	// ownerDivisor is the part of the limit that one owner may hold once less than
	// one part in freeDivisor is free.
	ownerDivisor = 2
	freeDivisor  = 4
)

// Ledger accounts for units of one resource. The nil Ledger has no limit. It is safe for
// concurrent use.
type Ledger struct {
	limit int64

	mu        sync.Mutex
	used      int64
	owners    map[string]int64
	receiving map[*Hold]struct{}
	// freed is closed when units are given back, and nil while nobody waits.
	freed chan struct{}
	// refused and ended count the calls of Take that got nothing, and the holds that
	// EndStalled ended.
	refused, ended uint64
}

// NewLedger returns a Ledger with a limit in units, or nil, which has none, for zero.
func NewLedger(limit int64) *Ledger {
	if limit <= 0 {
		return nil
	}
	return &Ledger{limit: limit, owners: map[string]int64{}, receiving: map[*Hold]struct{}{}}
}

// Usage is the state of a Ledger.
type Usage struct {
	// Used and Limit are in units. Owners is the number of owners that hold some.
	Used, Limit int64
	Owners      int
	// Receiving is the number of holds that wait for bytes of their caller.
	Receiving int
	// Refused and Ended count since the start: what was not granted, and holds that
	// were ended because they had stalled.
	Refused, Ended uint64
}

// Usage returns the state.
func (l *Ledger) Usage() Usage {
	if l == nil {
		return Usage{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Used: l.used, Limit: l.limit, Owners: len(l.owners), Receiving: len(l.receiving), Refused: l.refused, Ended: l.ended}
}

// Largest returns the owner that holds most, and how much.
func (l *Ledger) Largest() (owner string, held int64) {
	if l == nil {
		return "", 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for candidate, units := range l.owners {
		if units > held || units == held && candidate < owner {
			owner, held = candidate, units
		}
	}
	return owner, held
}

// Freed returns a channel that is closed when units are given back. It is nil without a
// limit.
func (l *Ledger) Freed() <-chan struct{} {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freed == nil {
		l.freed = make(chan struct{})
	}
	return l.freed
}

// Open returns a Hold for an owner, with one user.
func (l *Ledger) Open(owner string) *Hold {
	if l == nil {
		return nil
	}
	return &Hold{ledger: l, owner: owner, users: 1}
}

// EndStalled ends the receiving hold whose progress is the oldest, if it is at least
// stall old. It reports whether there was one.
func (l *Ledger) EndStalled(now, stall time.Duration) bool {
	if l == nil {
		return false
	}
	victim := l.takeStalled(now, stall)
	if victim == nil {
		return false
	}
	victim()
	return true
}

func (l *Ledger) takeStalled(now, stall time.Duration) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var slowest *Hold
	for hold := range l.receiving {
		if now-hold.progressAt >= stall && (slowest == nil || hold.progressAt < slowest.progressAt) {
			slowest = hold
		}
	}
	if slowest == nil {
		return nil
	}
	delete(l.receiving, slowest)
	slowest.isEnded = true
	l.ended++
	return slowest.end
}

// Hold is what one request holds. The nil Hold is that of a Ledger without a limit.
type Hold struct {
	ledger *Ledger
	owner  string

	// The fields below are guarded by the ledger's mutex.
	held       int64
	users      int
	progressAt time.Duration
	end        func()
	isEnded    bool
}

// Take takes units, or none and returns false.
func (h *Hold) Take(units int64) bool { return h.take(units, 1) }

// TakeSpare is like Take for what the request can do without.
func (h *Hold) TakeSpare(units int64) bool { return h.take(units, spareDivisor) }

func (h *Hold) take(units, divisor int64) bool {
	if h == nil {
		return true
	}
	l := h.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.users == 0 || l.used+units > l.limit/divisor || l.isTooMuch(h.owner, units) {
		if divisor == 1 {
			l.refused++
		}
		return false
	}
	l.used += units
	h.held += units
	l.owners[h.owner] += units
	return true
}

// isTooMuch reports whether an owner would hold much while little is left.
func (l *Ledger) isTooMuch(owner string, units int64) bool {
	return l.used+units > l.limit-l.limit/freeDivisor && l.owners[owner]+units > l.limit/ownerDivisor
}

// Give gives units back that were taken.
func (h *Hold) Give(units int64) {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.give(units)
}

func (h *Hold) give(units int64) {
	l := h.ledger
	units = min(units, h.held)
	if units == 0 {
		return
	}
	h.held -= units
	l.used -= units
	if l.owners[h.owner] -= units; l.owners[h.owner] == 0 {
		delete(l.owners, h.owner)
	}
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// Retain adds a user: Release has to be called once more. It reports false, and adds
// none, when everything was given back already.
func (h *Hold) Retain() bool {
	if h == nil {
		return true
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.users == 0 {
		return false
	}
	h.users++
	return true
}

// Release ends the use by one user. The last one gives everything back.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.users == 0 {
		return
	}
	if h.users--; h.users == 0 {
		h.give(h.held)
		delete(h.ledger.receiving, h)
	}
}

// Receive states that the hold waits for bytes of its caller. end is called, once, if
// the hold is ended meanwhile: it has to end a read that waits.
func (h *Hold) Receive(now time.Duration, end func()) {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.users == 0 || h.isEnded {
		return
	}
	h.progressAt, h.end = now, end
	h.ledger.receiving[h] = struct{}{}
}

// Progress states that bytes of the caller have come.
func (h *Hold) Progress(now time.Duration) {
	if h == nil {
		return
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.progressAt = now
}

// Received states that the hold no longer waits for bytes of its caller. It reports
// false if the hold was ended.
func (h *Hold) Received() bool {
	if h == nil {
		return true
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	delete(h.ledger.receiving, h)
	return !h.isEnded
}

// IsEnded reports whether EndStalled has ended the hold.
func (h *Hold) IsEnded() bool {
	if h == nil {
		return false
	}
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	return h.isEnded
}

// EndStalled is the EndStalled of the hold's ledger.
func (h *Hold) EndStalled(now, stall time.Duration) bool {
	return h != nil && h.ledger.EndStalled(now, stall)
}
