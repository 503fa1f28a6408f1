// Package retry decides whether a failed attempt may be retried.
//
// # Concept
//
// A request that is not idempotent is retried only when it certainly did not
// run. Every retry is withdrawn from the Budget of its service, to which first
// attempts deposit, so that retries stay a bounded share of the traffic. A
// service that sheds load as a whole receives no retries.
//
// # Usage
//
//	budget.Deposit(rules.RetryBudget)
//	if retry.IsRetryable(idempotent, result) && budget.TryWithdraw() {
//		// choose another target
//	}
package retry
