package node

import (
	"monsoonferry.org/ferry/lead"
)

// maxLoggedColdChanges is the number of targets logged at a time that became cold or
// warm: all those of a place may.
const maxLoggedColdChanges = 8

// tickCold tells the controller which targets of the place are cold, logs those that
// became cold or warm and updates the counters of credits.
func (n *Node) tickCold() {
	now := n.clock.Now()
	cold, changes := n.chooser.Cold(now.Monotonic)
	targets := make([]lead.ColdTarget, len(cold))
	for i, target := range cold {
		targets[i] = lead.ColdTarget{Target: target.ID, Rate: target.Rate}
	}
	n.controller.SetCold(now, targets)
	for i, change := range changes {
		if i == maxLoggedColdChanges {
			n.log.Info("further cold targets not logged", "count", len(changes)-i, "cold", len(cold))
			break
		}
		n.log.Info("cold target", "target", change.ID, "cold", change.Cold, "remaining", change.Remaining, "source", change.Source)
	}
	counts := n.chooser.SweepCredits(now)
	n.metrics.GetOrCreateCounter("ferry_credits_granted_total").Set(n.controller.CreditsGranted())
	n.metrics.GetOrCreateCounter("ferry_credits_received_total").Set(counts.Received)
	n.metrics.GetOrCreateCounter("ferry_credits_used_total").Set(counts.Used)
	n.metrics.GetOrCreateCounter("ferry_credits_expired_total").Set(counts.Expired)
	n.metrics.GetOrCreateGauge("ferry_credits_held", nil).Set(float64(counts.Held))
	n.metrics.GetOrCreateGauge("ferry_cold_targets", nil).Set(float64(len(cold)))
}
