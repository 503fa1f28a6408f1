// Package retry decides whether a failed attempt may be retried.
//
// # Concept
//
// A request that is not idempotent is retried only when it certainly did not
// run. First attempts add fractions of a retry to the Budget of their service
// and every retry takes one, so that retries stay a bounded share of the
// traffic. A service that sheds load as a whole receives no retries.
//
// # Usage
//
//	budget.Deposit(rules.RetryBudget)
//	if retry.IsRetryable(idempotent, result) && budget.TryWithdraw() {
//		// choose another target
//	}
package retry
