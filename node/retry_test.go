package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/platform"
	"monsoonferry.org/ferry/retry"
)

// newLoneNode returns a VM that has met nobody, with two seeds, in one of six places.
func newLoneNode(clock ferry.Clock, isFirst bool) *Node {
	regions := ferry.Regions{}
	for i := range 6 {
		regions[ferry.PlaceID(fmt.Sprint("place", i))] = "region"
	}
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")}
	return New(Dependencies{
		Settings: conf.NodeSettings{
			ID: "vm", Place: "place0", Regions: regions, Seeds: seeds, Peers: netip.MustParseAddrPort("10.0.0.1:7000"), IsFirst: isFirst,
			Bounds: conf.Bounds{RetryRatio: 0.2, RetrySlack: 64}.WithDefaults(),
		},
		Clock: clock, Log: slog.New(slog.DiscardHandler), Store: testStore{}, Decoder: platform.RecordDecoder{},
	})
}

// retries returns the retries that a VM may make after a number of first attempts.
func retries(n *Node, requests int) int {
	for range requests {
		n.budgets.Deposit("service")
	}
	count := 0
	for n.budgets.TryWithdraw(n.clock.Now().Monotonic, "service", retry.Resend{}) {
		count++
	}
	return count
}

// A VM that has met none of the others doesn't use the retry slack of the whole fleet. It
// divides it among as many VMs as the allowances.
func TestLoneVMDividesRetrySlack(t *testing.T) {
	t.Parallel()
	for _, isFirst := range []bool{false, true} {
		for _, age := range []time.Duration{0, 4 * time.Second, time.Hour} {
			t.Run(fmt.Sprint("first ", isFirst, " ", age), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				clock := &manualClock{}
				n := newLoneNode(clock, isFirst)
				clock.advance(age)
				n.setRetryBounds(n.controller.Division(clock.Now()))
				is.True(retries(n, 1) <= 64/32)
			})
		}
	}
}
