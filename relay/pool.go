package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/flight"
)

// Pool keeps idle connections to targets. The zero Pool is ready to use and
// safe for concurrent use.
type Pool struct {
	// Connections accounts for the connections that carry a request. Together with the
	// idle ones they are at most as many as its limit; the nil Ledger has none.
	Connections *flight.Ledger

	mu        sync.Mutex
	idle      map[ferry.TargetProcess][]*conn
	idleCount int
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

// isFull reports whether there are more connections than allowed.
func (p *Pool) isFull() bool {
	usage := p.Connections.Usage()
	return usage.Limit > 0 && usage.Used+int64(p.idleCount) > usage.Limit
}

// makeRoom closes an idle connection if there are more connections than allowed.
func (p *Pool) makeRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isFull() {
		return
	}
	for key, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		discard(list[0])
		p.idle[key] = list[1:]
		p.idleCount--
		return
	}
}

// get returns a connection to the target that was idle for less than maxIdle and has
// carried no request with the ID, or opens one. Responses don't show which request they
// are for if it has no ID, so it gets a new connection.
func (p *Pool) get(ctx context.Context, now time.Duration, target *ferry.Target, maxIdle time.Duration, id string) (*conn, error) {
	key := target.Process()
	for {
		c := p.take(key, id)
		if c == nil {
			p.makeRoom()
			return dial(ctx, target.Address)
		}
		idle := now - c.idleSince
		if idle < c.idleTimeout && idle < maxIdle && c.isIdle() {
			c.isReused = true
			return c, nil
		}
		discard(c)
	}
}

// take removes and returns the connection that was used last of those that may carry
// a request with the ID, or nil.
func (p *Pool) take(key ferry.TargetProcess, id string) *conn {
	if id == "" {
		return nil
	}
	hash := xxhash.Sum64String(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.mayCarry(hash) {
			p.idle[key] = slices.Delete(list, i, i+1)
			p.idleCount--
			return c
		}
	}
	return nil
}

// put adds a connection whose response was read to its end.
func (p *Pool) put(now time.Duration, target *ferry.Target, c *conn) {
	key := target.Process()
	c.idleSince = now
	c.slot.Release()
	c.slot = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerTarget || p.isFull() {
		discard(c)
		return
	}
	if p.idle == nil {
		p.idle = map[ferry.TargetProcess][]*conn{}
	}
	p.idle[key] = append(p.idle[key], c)
	p.idleCount++
}

// idleUntil returns until when the connection to a target that was used last may be idle,
// or zero if there is none.
func (p *Pool) idleUntil(target *ferry.Target) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target.Process()]
	if len(list) == 0 {
		return 0
	}
	c := list[len(list)-1]
	return c.idleSince + c.idleTimeout
}

// Close closes the idle connections to a target.
func (p *Pool) Close(target *ferry.Target) {
	key := target.Process()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		discard(c)
	}
	p.idleCount -= len(p.idle[key])
	delete(p.idle, key)
}

// Sweep closes connections that were idle for too long and connections to
// targets that are no longer listed.
func (p *Pool) Sweep(now time.Duration, isListed func(id ferry.TargetID, incarnation int64) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince < c.idleTimeout && isListed(key.ID, key.Incarnation) {
				kept = append(kept, c)
				continue
			}
			discard(c)
			p.idleCount--
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// discard closes a connection that is not used again.
func discard(c *conn) {
	_ = c.Close()
	c.slot.Release()
}
