package retry

import (
	"math/rand/v2"
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
	// joinTime is the time in which all VMs learn of a new one and divide by one more.
	joinTime = 3 * time.Second
)

// Resend describes a retry for which a token is wanted.
type Resend struct {
	// Rank is that of the request; zero is the most urgent.
	Rank int
	// IsHedge reports that an earlier attempt may still be answered, so that the request
	// has another chance.
	IsHedge bool
}

// FleetBudgets bound the retries of each service on this VM, so that the fleet
// as a whole keeps the operators' bound. A retry takes a token. Each first
// attempt adds a fraction of a token, and each VM gets an equal part of the
// fleet's slack. The zero FleetBudgets allow no retries; call SetBounds.
//
// The part of a new process is withheld until the window of the bound has passed: others
// may have used it, such as the process that this one replaces, or VMs that divided by one
// less. So is that of a VM that has met none of the others. Meanwhile it retries on the
// tokens of its first attempts, which need no division.
//
// A VM whose part of the slack is less than one retry never has a whole token. It spends
// parts, each with a chance of that size: with one token each, many VMs would have more
// than the slack.
//
// The last tokens go to the retries of most worth. While requests without another
// chance want retries, hedges leave a part of the budget to them; while a more urgent
// rank wants some, so do less urgent ranks. Without such a want every retry is equal.
type FleetBudgets struct {
	// Random returns random numbers from 0 to 1 and may be nil for those of math/rand. It
	// must not change after the first call.
	Random func() float64

	mu               sync.Mutex
	tokensPerRequest float64
	// slack is this VM's part of the fleet's slack, in tokens. Budgets have got it if hasSlack
	// is set.
	slack     float64
	hasSlack  bool
	maxTokens float64
	services  map[ferry.ServiceID]*serviceBudget
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	tokens float64
	// wantedUntil is, by rank, when a wanted resend stops to keep tokens for its rank.
	wantedUntil [room.MaxRanks]time.Duration
}

// FleetBounds are the operators' bound on the retries of the whole fleet, and what a VM
// knows of the others that use it.
type FleetBounds struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Slack is the number of retries beyond that, in any Window.
	Slack  float64
	Window time.Duration
	// VMs is the number of VMs among which the slack is divided. Values below 1 count as 1.
	VMs int
	// IsIsolated reports that this VM has met none of the others.
	IsIsolated bool
	// Age is the time since the start of this process.
	Age time.Duration
}

// maySpendSlack reports whether nobody else can still use this VM's part of the slack.
func (b FleetBounds) maySpendSlack() bool { return !b.IsIsolated && b.Age >= b.Window+joinTime }

// SetBounds sets the bounds. Budgets never hold more tokens than their VM's part of the slack,
// or than one first attempt adds.
func (b *FleetBudgets) SetBounds(bounds FleetBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokensPerRequest = bounds.Ratio * budgetShare
	b.slack = bounds.Slack * budgetShare / float64(max(1, bounds.VMs))
	b.maxTokens = b.slack
	if bounds.IsIsolated {
		b.maxTokens = min(1, b.slack)
	}
	b.maxTokens = max(b.maxTokens, b.tokensPerRequest)
	isDue := !b.hasSlack && bounds.maySpendSlack()
	b.hasSlack = b.hasSlack || isDue
	for _, budget := range b.services {
		if isDue {
			budget.tokens += b.slack
		}
		budget.tokens = min(b.maxTokens, budget.tokens)
	}
}

// Slack returns this VM's part of the fleet's slack, in retries, or zero while it is withheld.
func (b *FleetBudgets) Slack() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasSlack {
		return 0
	}
	return b.slack
}

// Deposit adds the tokens of a first attempt.
func (b *FleetBudgets) Deposit(service ferry.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[ferry.ServiceID]*serviceBudget{}
	}
	budget := b.services[service]
	if budget == nil {
		budget = &serviceBudget{}
		if b.hasSlack {
			budget.tokens = b.maxTokens
		}
		b.services[service] = budget
	}
	budget.tokens = min(b.maxTokens, budget.tokens+b.tokensPerRequest)
}

// TryWithdraw takes the token of a retry. It reports whether there was one for it.
func (b *FleetBudgets) TryWithdraw(now time.Duration, service ferry.ServiceID, wanted Resend) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		return false
	}
	rank := min(room.MaxRanks-1, max(0, wanted.Rank))
	usable := budget.tokens - b.maxTokens*budget.reserve(now, rank, wanted.IsHedge)
	if !wanted.IsHedge {
		budget.wantedUntil[rank] = now + wantedFor
	}
	if b.maxTokens < 1 {
		return b.tryPart(budget, usable)
	}
	if usable < 1 {
		return false
	}
	budget.tokens--
	return true
}

// tryPart takes a part of a token. A retry is allowed as often as that part says, so that
// as many are as whole tokens were taken.
func (b *FleetBudgets) tryPart(budget *serviceBudget, part float64) bool {
	if part <= 0 {
		return false
	}
	budget.tokens -= part
	if b.Random != nil {
		return b.Random() < part
	}
	return rand.Float64() < part
}

// reserve is the part of the budget that a retry leaves to those of more worth.
func (b *serviceBudget) reserve(now time.Duration, rank int, isHedge bool) float64 {
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
