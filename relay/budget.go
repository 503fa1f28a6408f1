package relay

import (
	"sync"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/room"
)

const (
	// budgetShare is the fraction of the operators' bound that this VM uses.
	// The VM and the operators count requests at slightly different times.
	budgetShare = 0.9
	// wantedFor is how long a retry that was wanted keeps less worthy ones from the last
	// part of the budget: some times as long as one more attempt takes.
	wantedFor = time.Second
	// hedgeReserve and rankReserve are the parts of the budget that hedges leave for
	// resends, and less urgent ranks for more urgent ones, while these are wanted.
	hedgeReserve = 0.5
	rankReserve  = 0.25
)

// Resend describes a retry for which a token is wanted.
type Resend struct {
	// Rank is that of the request; zero is the most urgent.
	Rank int
	// IsHedge reports that an earlier attempt may still be answered, so that the request
	// has another chance.
	IsHedge bool
}

// RetryBudgets bound the retries of each service on this VM, so that the fleet
// as a whole keeps the operators' bound. A retry takes a token. Each first
// attempt adds a fraction of a token, and each VM gets an equal part of the
// fleet's slack. The zero RetryBudgets allow no retries; call SetBounds.
//
// The last tokens go to the retries of most worth. While requests without another
// chance want retries, hedges leave a part of the budget to them; while a more urgent
// rank wants some, so do less urgent ranks. Without such a want every retry is equal.
type RetryBudgets struct {
	mu               sync.Mutex
	tokensPerRequest float64
	maxTokens        float64
	services         map[ferry.ServiceID]*retryBudget
}

// retryBudget is the budget of one service.
type retryBudget struct {
	tokens float64
	// wantedUntil is, by rank, when a wanted resend stops to keep tokens for its rank.
	wantedUntil [room.MaxRanks]time.Duration
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
	if b.services == nil {
		b.services = map[ferry.ServiceID]*retryBudget{}
	}
	budget := b.services[service]
	if budget == nil {
		budget = &retryBudget{tokens: b.maxTokens}
		b.services[service] = budget
	}
	budget.tokens = min(b.maxTokens, budget.tokens+b.tokensPerRequest)
}

// TryWithdraw takes the token of a retry. It reports whether there was one for it.
func (b *RetryBudgets) TryWithdraw(now time.Duration, service ferry.ServiceID, wanted Resend) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		return false
	}
	rank := min(room.MaxRanks-1, max(0, wanted.Rank))
	needed := 1 + b.maxTokens*budget.reserve(now, rank, wanted.IsHedge)
	if !wanted.IsHedge {
		budget.wantedUntil[rank] = now + wantedFor
	}
	if budget.tokens < needed {
		return false
	}
	budget.tokens--
	return true
}

// reserve is the part of the budget that a retry leaves to those of more worth.
func (b *retryBudget) reserve(now time.Duration, rank int, isHedge bool) float64 {
	for i, until := range b.wantedUntil {
		switch {
		case now >= until:
		case isHedge:
			return hedgeReserve
		case i < rank:
			return rankReserve
		}
	}
	return 0
}
