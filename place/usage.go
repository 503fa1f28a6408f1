package place

import (
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

// askedTarget is a target to which one request shall be sent until the given time.
type askedTarget struct {
	target ferry.TargetID
	until  time.Duration
}

// usedTargets lists the targets chosen since the last call of TakeUsed.
type usedTargets struct {
	mu      sync.Mutex
	targets []*targetState
}

func (u *usedTargets) add(state *targetState) {
	if !state.isUsed.CompareAndSwap(false, true) {
		return
	}
	u.mu.Lock()
	u.targets = append(u.targets, state)
	u.mu.Unlock()
}

// TakeUsed returns the targets in this VM's place that were chosen since the last
// call, each once.
func (c *Chooser) TakeUsed() []ferry.TargetID {
	c.used.mu.Lock()
	states := c.used.targets
	c.used.targets = nil
	c.used.mu.Unlock()
	var used []ferry.TargetID
	for _, state := range states {
		state.isUsed.Store(false)
		if state.target.Place == c.place {
			used = append(used, state.target.ID)
		}
	}
	return used
}

// Ask makes the next suitable request to the target's service go to the target, if
// one comes within the given time. Only the last target asked for counts. Ask must
// be called from the goroutine that calls Update.
func (c *Chooser) Ask(now time.Duration, target ferry.TargetID, within time.Duration) {
	state := c.states[target]
	if state == nil {
		return
	}
	if s := c.table.Load().services[state.target.Service]; s != nil {
		s.asked.Store(&askedTarget{target: target, until: now + within})
	}
}

// askedFor returns the target asked for, or nothing if there is none or the request has
// been sent before: it goes where it is most likely to succeed.
func (s *service) askedFor(now time.Duration, attempt Attempt) ferry.TargetID {
	asked := s.asked.Load()
	if asked == nil || now > asked.until || len(attempt.Tried) > 0 {
		return ""
	}
	return asked.target
}

// mayUseAsked reports whether a request may go to the target asked for: at once, and
// without a risk that other targets of the place don't have, unless it can be sent
// again. Where the service has no retryable requests, a target that has probably
// recovered gets others too: nothing else would show that it has.
func mayUseAsked(input CostInput, hasRetryable bool) bool {
	highest := healthyLogOdds
	if !hasRetryable {
		highest = recoveredLogOdds
	}
	isSound := input.LogOdds <= highest && !input.Cold
	return input.Distance == ferry.SamePlace && (input.IsRetryable || isSound) && Wait(input) == 0
}
