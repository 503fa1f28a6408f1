package relay

import (
	"sync"

	"monsoonferry.org/ferry"
)

const (
	// budgetShare is the fraction of the operators' bound that this VM uses.
	// The VM and the operators count requests at slightly different times.
	budgetShare = 0.9
)

// RetryBudgets bound the retries of each service on this VM, so that the fleet
// as a whole keeps the operators' bound. A retry takes a token. Each first
// attempt adds a fraction of a token, and each VM gets an equal part of the
// fleet's slack. The zero RetryBudgets allow no retries; call SetBounds.
type RetryBudgets struct {
	mu               sync.Mutex
	tokensPerRequest float64
	maxTokens        float64
	tokens           map[ferry.ServiceID]float64
}

// SetBounds sets the number of retries per first attempt and the fleet's slack
// in retries, which is divided among the given number of VMs.
func (b *RetryBudgets) SetBounds(ratio, slack float64, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokensPerRequest = ratio * budgetShare
	b.maxTokens = max(1, slack*budgetShare/float64(max(1, vms)))
}

// Deposit adds the tokens of a first attempt.
func (b *RetryBudgets) Deposit(service ferry.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[ferry.ServiceID]float64{}
	}
	tokens, found := b.tokens[service]
	if !found {
		tokens = b.maxTokens
	}
	b.tokens[service] = min(b.maxTokens, tokens+b.tokensPerRequest)
}

// TryWithdraw takes the token of a retry. It reports whether there was one.
func (b *RetryBudgets) TryWithdraw(service ferry.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
