package node

import (
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/retry"
)

// setRetryBounds bounds the retries of this VM by its part of the operators' bound.
func (n *Node) setRetryBounds(division lead.Division) {
	bounds := n.state.bounds.Load()
	before := n.budgets.Slack()
	n.budgets.SetBounds(retry.FleetBounds{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow,
		VMs: division.Divisor, IsIsolated: division.IsIsolated, Age: division.Age,
	})
	if slack := n.budgets.Slack(); before == 0 && slack > 0 {
		n.log.Info("retry slack in use", "slack", slack, "fleet", bounds.RetrySlack, "among", division.Divisor, "known", division.IsKnown, "age", division.Age)
	}
}
