package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
)

// Sizes and latencies of the large fleet.
const (
	largeFleetVMs     = 36
	largeFleetRegions = 3
	placeDelay        = time.Millisecond
	regionDelay       = 8 * time.Millisecond
	// partitionTime is the time for which a region is partitioned.
	partitionTime = 5 * time.Second
	// changesPerRun is the number of configuration changes of one run.
	changesPerRun = 10
)

// newLargeFleet starts a fleet in three regions with two places each.
func newLargeFleet(b *testing.B) *testFleet {
	fleet := newTestFleet(b, largeFleetVMs, 1)
	fleet.inventory.Places = nil
	for i := range 2 * largeFleetRegions {
		fleet.inventory.Places = append(fleet.inventory.Places, ferry.Place{
			ID: ferry.PlaceID(fmt.Sprintf("p%d", i+1)), Region: ferry.RegionID(fmt.Sprintf("r%d", i%largeFleetRegions)),
		})
	}
	regions := ferry.NewRegions(fleet.inventory.Places)
	fleet.network.Delay = func(path fake.Path) time.Duration {
		switch regions.Distance(path.From.Place, path.To.Place) {
		case ferry.SamePlace:
			return 0
		case ferry.SameRegion:
			return placeDelay
		default:
			return regionDelay
		}
	}
	fleet.start(largeFleetVMs)
	return fleet
}

// publishNext publishes the next version and returns, for each VM, the time until
// that version is in force.
func (f *testFleet) publishNext(vms []*testVM) []time.Duration {
	f.inventory.Version++
	f.publish()
	return f.awaitInForce(vms)
}

// awaitInForce returns, for each VM, the time from now until the published
// version is in force.
func (f *testFleet) awaitInForce(vms []*testVM) []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(vms))
	for remaining := len(vms); remaining > 0; time.Sleep(time.Millisecond) {
		for i, v := range vms {
			if times[i] == 0 && v.host.control.stamp.Load().Version == f.inventory.Version {
				times[i] = time.Since(start)
				remaining--
			}
		}
		if time.Since(start) > awaitTimeout {
			f.t.Fatal("a change is not in force on all VMs")
		}
	}
	return times
}

// readersOf returns the VMs of a place that watch the platform.
func (f *testFleet) readersOf(place ferry.PlaceID) []*testVM {
	return slices.DeleteFunc(slices.Clone(f.vms), func(v *testVM) bool {
		return v.settings.Place != place || !v.host.control.isReader.Load()
	})
}

// reportTimes reports quantiles of the times until changes are in force.
func reportTimes(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	timeAt := func(quantile float64) float64 {
		return float64(times[int(quantile*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(timeAt(0.5), "p50-ms")
	b.ReportMetric(timeAt(0.99), "p99-ms")
	b.ReportMetric(timeAt(1), "max-ms")
	b.ReportMetric(float64(len(times)), "times")
}

// BenchmarkForce measures the time until a change is in force on each of 36 VMs.
func BenchmarkForce(b *testing.B) {
	b.Run("all-up", func(b *testing.B) {
		fleet := newLargeFleet(b)
		var times []time.Duration
		for range changesPerRun {
			times = append(times, fleet.publishNext(fleet.vms)...)
		}
		reportTimes(b, times)
	})
	b.Run("readers-of-a-place-killed", func(b *testing.B) {
		fleet := newLargeFleet(b)
		readers := fleet.readersOf("p1")
		for _, v := range readers {
			v.cancel()
		}
		live := slices.DeleteFunc(slices.Clone(fleet.vms), func(v *testVM) bool { return slices.Contains(readers, v) })
		var times []time.Duration
		for range changesPerRun {
			times = append(times, fleet.publishNext(live)...)
		}
		reportTimes(b, times)
	})
	b.Run("region-cut-and-healed", func(b *testing.B) {
		fleet := newLargeFleet(b)
		var times []time.Duration
		isolated := slices.DeleteFunc(slices.Clone(fleet.vms), func(v *testVM) bool {
			return v.settings.Place != "p1" && v.settings.Place != "p4"
		})
		isIsolated := func(vm ferry.VM) bool { return vm.Place == "p1" || vm.Place == "p4" }
		for range changesPerRun / 2 {
			fleet.network.SetPartition(func(path fake.Path) bool { return isIsolated(path.From) != isIsolated(path.To) })
			for _, v := range isolated {
				v.isPlatformUnreachable.Store(true)
			}
			fleet.inventory.Version++
			fleet.publish()
			time.Sleep(partitionTime)
			fleet.network.SetPartition(nil)
			times = append(times, fleet.awaitInForce(isolated)...)
			for _, v := range isolated {
				v.isPlatformUnreachable.Store(false)
			}
		}
		reportTimes(b, times)
	})
}
