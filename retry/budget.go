package retry

import (
	"sync"

	"monsoonferry.org/ferry"
)

// MaxAttempts bounds the attempts for one request.
const MaxAttempts = 3

const (
	// maxTokens is the largest number of retries that a budget can hold.
	maxTokens = 20
	// initialTokens allows retries of the first requests of a new process.
	initialTokens = 5
	// maxShedShare is the share of shed attempts among recent attempts above
	// which the whole service counts as overloaded.
	maxShedShare = 0.5
	// shedSampleWeight is the weight of a new attempt in the shed share.
	shedSampleWeight = 0.05
)

// IsRetryable reports whether the rules of idempotency allow another attempt
// after one with the given result.
func IsRetryable(idempotent bool, result ferry.Result) bool {
	if result.Outcome.IsSafeToRetry() {
		return true
	}
	return idempotent && (result.Outcome == ferry.OutcomeUnknown || result.Verdict == ferry.VerdictErrorStatus)
}

// Budget bounds the retries of one service. The zero Budget is ready to use and
// safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	isInitialized bool
	tokens        float64
	shedAverage   float64
}

// Deposit adds ratio of a retry to the budget, for a first attempt.
func (b *Budget) Deposit(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isInitialized {
		b.isInitialized = true
		b.tokens = initialTokens
	}
	b.tokens = min(maxTokens, b.tokens+ratio)
}

// Observe adds the result of an attempt to the share of shed attempts.
func (b *Budget) Observe(result ferry.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sample := 0.0
	if result.Verdict == ferry.VerdictShed {
		sample = 1
	}
	b.shedAverage += shedSampleWeight * (sample - b.shedAverage)
}

// TryWithdraw takes one retry and reports whether it may be sent.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.shedAverage > maxShedShare {
		return false
	}
	b.tokens--
	return true
}
