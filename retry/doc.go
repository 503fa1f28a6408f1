// Package retry decides whether a failed attempt may be retried.
//
// # Concept
//
// A request that is not idempotent is retried only when it certainly did not
// run. First attempts add fractions of a retry to the Budget of their service
// and every retry takes one, so that retries stay a bounded share of the
// traffic. A service that sheds load as a whole receives no retries.
//
// FleetBudgets do so for fleets whose operators bound the retries of all VMs together: by a
// ratio, which each VM applies to its own requests, and a slack, of which each has a part.
//
// # Usage
//
//	budget.Deposit(rules.RetryBudget)
//	if retry.IsRetryable(idempotent, result) && budget.TryWithdraw() {
//		// choose another target
//	}
package retry
