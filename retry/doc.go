// Package retry decides whether a failed attempt may be repeated.
//
// # Concept
//
// A request that is not idempotent is repeated only when it certainly did not
// run. Every repetition spends from the Budget of its service, which first
// attempts fill, so that repetitions stay a bounded share of the traffic. A
// service that sheds load as a whole receives no repetitions.
//
// # Usage
//
//	budget.First(rules.RetryBudget)
//	if retry.MayRepeat(idempotent, result) && budget.Spend() {
//		// choose another target
//	}
package retry
