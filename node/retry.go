package node

import (
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/retry"
)

// setRetryBounds bounds the retries of this VM by its part of the operators' bound.
func (n *Node) setRetryBounds(division lead.Division) {
	bounds := n.state.bounds.Load()
	n.budgets.SetBounds(retry.FleetBounds{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, VMs: division.Divisor})
}
