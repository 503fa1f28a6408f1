package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/lead"
)

// The VMs of the place that serve own its slots; the status, the log and the metrics show
// it. Without the setting nothing is dealt.
func TestSlotsAreDealt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := newEvacuationNode()
	owned := func() (slots int) {
		n.dealSlots()
		for _, target := range n.status().Targets {
			slots += target.OwnedSlots
		}
		return slots
	}
	n.read(ctx)
	n.step(ctx, lead.StatusChanged{Ready: true})
	is.Equal(owned(), 0)
	settings := n.dependencies.Settings
	settings.SlotPreference = 0.2
	n.applySettings(ctx, settings)
	is.Equal(owned(), 4) // the target in place a
	n.step(ctx, lead.StatusChanged{Ready: true, Leaving: true})
	is.Equal(owned(), 4) // at most one deal a second
	n.clock.advance(time.Second)
	is.Equal(owned(), 0)
	is.True(strings.Contains(n.log.String(), `msg="slots dealt" vms=1 targets=1 slots=4 owned=4 moved=4`))
	is.True(strings.Contains(n.log.String(), `msg="slots dealt" vms=0 targets=1 slots=4 owned=0 moved=0`))
	var page bytes.Buffer
	n.metrics.WritePrometheus(&page)
	for _, line := range []string{"ferry_slot_deals_total 2", "ferry_owned_slots 0", "ferry_owned_slots_in_use 0"} {
		is.True(strings.Contains(page.String(), line))
	}
}
