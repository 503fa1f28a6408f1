//go:build !race

package lead

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// The simulations of minutes run in one goroutine, where the race detector finds
// nothing but takes ten times as long.

// runChecked simulates for a time, checks the shares every 100 ms and returns the
// largest total of the held shares.
func runChecked(t *testing.T, s *simulation, d time.Duration) float64 {
	t.Helper()
	most, isBroken := 0.0, false
	for end := s.now + d; s.now < end; {
		s.run(s.now+100*time.Millisecond, nil)
		most = max(most, totalHeldShare(s))
		if err := checkShares(s); err != nil && !isBroken {
			isBroken = true
			t.Errorf("at %v: %v", s.now, err)
		}
	}
	return most
}

// What a VM that has met nobody may grant follows from its seeds and places.
func TestShareOfLoneVM(t *testing.T) {
	t.Parallel()
	self := netip.MustParseAddrPort("10.0.0.1:7000")
	other := netip.MustParseAddrPort("10.0.0.2:7000")
	tests := map[string]struct {
		seeds     []netip.AddrPort
		places    int
		fleetSize int
		want      float64
	}{
		"no seeds":              {want: 1},
		"only itself":           {seeds: []netip.AddrPort{self}, want: 1},
		"seed down":             {seeds: []netip.AddrPort{self, other}, want: 1.0 / 32},
		"seed down, 3 places":   {seeds: []netip.AddrPort{other}, places: 3, want: 1.0 / 16},
		"seed down, 9 places":   {seeds: []netip.AddrPort{other}, places: 9, want: 1.0 / 48},
		"seed down, one place":  {seeds: []netip.AddrPort{other}, places: 1, want: 1.0 / 6},
		"seed down, 6 expected": {seeds: []netip.AddrPort{other}, places: 9, fleetSize: 6, want: 1.0 / 6},
		"no seeds, nine places": {places: 9, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			regions := ferry.Regions{}
			for i := range test.places {
				regions[ferry.PlaceID(fmt.Sprint("place", i))] = "region"
			}
			c := NewController(ferry.Moment{}, VM{Peers: self, Incarnation: 1, Place: "place0"}, test.seeds, testDecoder{}, Options{IsFirst: true, Regions: regions, FleetSize: test.fleetSize})
			for _, at := range []time.Duration{4 * time.Second, 61 * time.Second, time.Hour} {
				now := ferry.Moment{Monotonic: at, Wall: at}
				c.Step(now, Tick{})
				is.Equal(c.HeldShare(now), test.want)
				is.Equal(c.Division(now).IsKnown, test.want == 1)
			}
		})
	}
}

// VMs of a first start whose seeds are all down never meet. Together they hold no more
// than the allowance, however long that lasts, and all of it soon after a seed starts.
func TestFirstStartWithoutSeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(12, 6)
	for i := range s.vms {
		if i%2 == 1 {
			s.start(i)
		}
	}
	most := runChecked(t, s, 5*time.Minute)
	t.Logf("three VMs that never met hold shares of %.3f at most", most)
	is.True(totalHeldShare(s) > 0)
	for i := range s.vms {
		if i%2 == 0 {
			s.start(i)
		}
	}
	runChecked(t, s, 10*time.Second)
	is.True(totalHeldShare(s) > 0.99)
}

// With the expected size, sides that were apart when the whole fleet started, for the
// first time or after a loss of power, hold no more than the allowance.
func TestStartDuringPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSimulation(14, 12)
	s.fleetSize = 12
	s.split(4, true)
	s.startAll()
	s.run(6*time.Second, nil)
	runChecked(t, s, 100*time.Second)
	is.True(totalHeldShare(s) > 0.99)
	for i := range s.vms {
		s.kill(i)
	}
	s.run(s.now+3*time.Second, nil)
	s.startAll()
	runChecked(t, s, 100*time.Second)
	is.True(totalHeldShare(s) > 0.99)
	s.split(4, false)
	runChecked(t, s, 10*time.Second)
	is.True(totalHeldShare(s) > 0.99)
	is.True(s.vms[0].controller.Division(s.moment(s.vms[0])).IsKnown)
}
