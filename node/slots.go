package node

import (
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/place"
)

// evenLoad returns the settings by which the VMs of a place even the load of its targets.
func evenLoad(settings conf.NodeSettings) place.EvenLoad {
	return place.EvenLoad{
		SlotPreference: settings.SlotPreference, UseByPlace: settings.UseByPlace, NewConnection: settings.NewConnectionCost,
	}
}

// dealSlots deals the slots of the place's targets if VMs or targets changed. It runs at
// ticks, since the view changes with every message while a fleet starts.
func (n *Node) dealSlots() {
	deal, isChanged := n.chooser.DealSlots(n.clock.Now().Monotonic)
	if !isChanged {
		return
	}
	n.metrics.GetOrCreateCounter("ferry_slot_deals_total").Inc()
	n.log.Info("slots dealt", "vms", deal.VMs, "targets", deal.Targets, "slots", deal.Slots, "owned", deal.Owned, "moved", deal.Moved)
}

// registerSlotMetrics registers the gauges of the slots that this VM owns.
func (n *Node) registerSlotMetrics() {
	n.metrics.NewGauge("ferry_owned_slots", func() float64 { return float64(n.chooser.OwnedSlots().Owned) })
	n.metrics.NewGauge("ferry_owned_slots_in_use", func() float64 { return float64(n.chooser.OwnedSlots().InUse) })
}
