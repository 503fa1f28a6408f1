package room

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// arrivalDecay is the time constant of the rate of arrivals.
	arrivalDecay = time.Second
	// maxPromises bounds the promised places of one account in a rank, so that one that
	// returns often does not push the others back.
	maxPromises = 8
	// maxPromisedAccounts bounds the accounts with promised places in a rank.
	maxPromisedAccounts = 4096
	// earlyReturn and lateReturn are how much before and after the promised time a
	// request still has its place.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = time.Second
)

// rank holds the waiting requests and the promised places of one rank.
type rank struct {
	// returning are requests that came back in their time; they go before fresh ones.
	returning, fresh lane
	// credit is the part of the room that the rank is owed beside more urgent ones.
	credit     float64
	arrivals   float64
	arrivedAt  time.Duration
	promises   map[ferry.AccountID]*promise
	promised   []promisedPlace
	lastReturn time.Duration
}

// promise is what an account was promised in a rank.
type promise struct {
	count       int
	first, last time.Duration
}

// promisedPlace is one entry in the order in which promises end.
type promisedPlace struct {
	account ferry.AccountID
	due     time.Duration
}

func (k *rank) queued() int { return k.returning.queued + k.fresh.queued }

// arrive counts an arrival.
func (k *rank) arrive(now time.Duration) {
	k.arrivals = k.arrivalRate(now) + 1/arrivalDecay.Seconds()
	k.arrivedAt = now
}

// arrivalRate returns the recent arrivals in requests per second.
func (k *rank) arrivalRate(now time.Duration) float64 {
	return k.arrivals * math.Exp(-max(0, now-k.arrivedAt).Seconds()/arrivalDecay.Seconds())
}

// promise records that an account may return at due.
func (k *rank) promise(now time.Duration, account ferry.AccountID, due time.Duration) {
	k.endPromises(now)
	p := k.promises[account]
	switch {
	case p == nil && len(k.promises) >= maxPromisedAccounts, p != nil && p.count >= maxPromises:
		return
	case p == nil:
		if k.promises == nil {
			k.promises = map[ferry.AccountID]*promise{}
		}
		p = &promise{first: due}
		k.promises[account] = p
	}
	p.count++
	p.first, p.last = min(p.first, due), max(p.last, due)
	k.promised = append(k.promised, promisedPlace{account: account, due: due})
}

// endPromises forgets promises whose time is over.
func (k *rank) endPromises(now time.Duration) {
	for len(k.promised) > 0 && now > k.promised[0].due+lateReturn {
		account := k.promised[0].account
		if p := k.promises[account]; p != nil && now > p.last+lateReturn {
			delete(k.promises, account)
		}
		k.promised = k.promised[1:]
	}
}

// takePromise reports whether a request of the account returns in its time.
func (k *rank) takePromise(now time.Duration, account ferry.AccountID) bool {
	p := k.promises[account]
	if p == nil || now < p.first-earlyReturn || now > p.last+lateReturn {
		return false
	}
	if p.count--; p.count == 0 {
		delete(k.promises, account)
	}
	return true
}
