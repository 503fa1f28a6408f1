package retry

import (
	"sync"

	"monsoonferry.org/ferry"
)

// MaxAttempts bounds the attempts for one request.
const MaxAttempts = 3

const (
	// budgetCap is the most repetitions that a service can save up.
	budgetCap = 20
	// budgetStart lets the first requests of a new process be repeated.
	budgetStart = 5
	// shedShare is the share of recent attempts that were shed above which the
	// whole service counts as overloaded.
	shedShare = 0.5
	// sampleWeight is the weight of a new attempt in the share of shed attempts.
	sampleWeight = 0.05
)

// IsRetryable reports whether the rules of idempotency allow another attempt
// after one with the given result.
func IsRetryable(idempotent bool, result ferry.Result) bool {
	if result.Outcome.IsSafeToRepeat() {
		return true
	}
	return idempotent && (result.Outcome == ferry.OutcomeUnknown || result.Verdict == ferry.VerdictErrorStatus)
}

// Budget bounds the repetitions of one service. The zero Budget is ready to
// use and safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	started bool
	tokens  float64
	shed    float64
}

// Deposit counts a first attempt, which adds share of a repetition.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		b.tokens = budgetStart
	}
	b.tokens = min(budgetCap, b.tokens+share)
}

// Observe counts the result of an attempt.
func (b *Budget) Observe(result ferry.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sample := 0.0
	if result.Verdict == ferry.VerdictShed {
		sample = 1
	}
	b.shed += sampleWeight * (sample - b.shed)
}

// TryWithdraw takes one repetition and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.shed > shedShare {
		return false
	}
	b.tokens--
	return true
}
