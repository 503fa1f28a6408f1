package host

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/load"
)

// hasVersion reports whether a version is in force on all given VMs.
func hasVersion(version string, vms ...*testVM) bool {
	for _, v := range vms {
		if !strings.HasPrefix(v.host.Status().Stamp, version+"-") {
			return false
		}
	}
	return true
}

// firstTwoHolders returns the holder of a client account's shard and the VM that
// holds the shard when the first holder is down.
func firstTwoHolders(account ferry.AccountID, vms ...ferry.VMID) map[ferry.VMID]bool {
	shard := limit.ShardOf(account)
	first := limit.NewPlacement(vms)[shard]
	others := slices.DeleteFunc(vms, func(id ferry.VMID) bool { return id == first })
	return map[ferry.VMID]bool{first: true, limit.NewPlacement(others)[shard]: true}
}

// TestPartitions partitions four VMs in two places for longer than a lease term,
// under load above the allowance, and changes the configuration during the
// partition. No guarantee is violated, and the change is in force on all
// VMs after the partition.
func TestPartitions(t *testing.T) {
	holders := firstTwoHolders("one", "vm-0", "vm-1", "vm-2", "vm-3")
	for _, test := range []struct {
		name          string
		isPartitioned func(fake.Path) bool
		// up is the number of VMs that each VM counts as up during the partition,
		// in rising order.
		up []int
		// isolated are the indexes of the VMs that the change does not reach.
		isolated []int
	}{
		{
			name:          "into-a-place",
			isPartitioned: func(path fake.Path) bool { return path.To.Place == "p2" && path.From.Place == "p1" },
			up:            []int{2, 2, 2, 2},
			isolated:      []int{1, 3},
		},
		{
			name:          "between-places",
			isPartitioned: func(path fake.Path) bool { return path.To.Place != path.From.Place },
			up:            []int{2, 2, 2, 2},
			isolated:      []int{1, 3},
		},
		{
			// The other two VMs reach both holders and receive lease requests from both.
			name: "between-two-holders",
			isPartitioned: func(path fake.Path) bool {
				return holders[path.From.ID] && holders[path.To.ID]
			},
			up: []int{3, 3, 4, 4},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newTestFleet(t, 4, 4)
			allowance := load.Allowance{Rate: 80, Burst: 20}
			for i := range fleet.inventory.Accounts {
				fleet.inventory.Accounts[i].Rate, fleet.inventory.Accounts[i].Burst = allowance.Rate, allowance.Burst
			}
			fleet.start(4)
			fleet.awaitAllowance()
			reports := fleet.traffic(20 * time.Second)
			time.Sleep(time.Second)
			fleet.network.SetPartition(test.isPartitioned)
			fleet.await("the views reflect the partition", func() bool {
				var up []int
				for _, v := range fleet.vms {
					up = append(up, v.host.Status().Up)
				}
				slices.Sort(up)
				return slices.Equal(up, test.up)
			})
			fleet.changeDuringPartition(test.isolated)
			time.Sleep(4 * time.Second)
			for _, i := range test.isolated {
				is.True(hasVersion("1", fleet.vms[i])) // the isolated VMs do not receive version 2
			}
			fleet.network.SetPartition(nil)
			fleet.await("version 2 is in force everywhere", func() bool { return hasVersion("2", fleet.vms...) })
			report := <-reports
			_, violations := fleet.evaluateWith(report, map[string]load.Allowance{"one": allowance, "two": allowance})
			is.Equal(violations, load.Violations{})
			servedAtEnd := 0
			for _, result := range report.Results {
				if result.At > 18*time.Second && result.Status == http.StatusOK {
					servedAtEnd++
				}
			}
			is.True(servedAtEnd > 50) // all sides serve again
		})
	}
}

// changeDuringPartition publishes version 2, which the isolated VMs cannot read
// from the platform either, and waits until it is in force on the others.
func (f *testFleet) changeDuringPartition(isolated []int) {
	f.t.Helper()
	var isolatedVMs []*testVM
	for _, i := range isolated {
		f.vms[i].isPlatformUnreachable.Store(true)
		isolatedVMs = append(isolatedVMs, f.vms[i])
	}
	f.inventory.Version = 2
	f.publish()
	f.awaitVersion("2", isolatedVMs)
}

// awaitVersion waits until a version is in force on all VMs except the given ones.
func (f *testFleet) awaitVersion(version string, except []*testVM) {
	f.t.Helper()
	f.await("version "+version+" is in force on the other VMs", func() bool {
		for _, v := range f.vms {
			if !slices.Contains(except, v) && !hasVersion(version, v) {
				return false
			}
		}
		return true
	})
}

// TestReadersKilled kills the readers of a place. The remaining VM of the place
// applies the next change.
func TestReadersKilled(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 6, 1)
	fleet.start(6)
	readers := fleet.readersOf("p1")
	is.Equal(len(readers), readersPerPlace)
	for _, v := range readers {
		v.cancel()
	}
	fleet.inventory.Version = 2
	fleet.publish()
	fleet.awaitVersion("2", readers)
}

// TestKeyWithdrawnDuringOutage withdraws a key while only one VM can read from the
// platform. All VMs refuse the key.
func TestKeyWithdrawnDuringOutage(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3, 1)
	fleet.start(3)
	fleet.awaitAllowance()
	for _, v := range fleet.vms[1:] {
		v.isPlatformUnreachable.Store(true)
	}
	fleet.inventory.Version, fleet.inventory.Accounts = 2, fleet.inventory.Accounts[1:]
	fleet.publish()
	fleet.await("version 2 is in force on one VM", func() bool { return hasVersion("2", fleet.vms[0]) })
	fleet.platform.SetMode(fake.ModeDown)
	for _, v := range fleet.vms {
		fleet.await("the key is refused", func() bool {
			status, outcome := v.call(http.MethodGet, "/advice/x", key("one"))
			return status == http.StatusUnauthorized && outcome == ferry.OutcomeNotRun.String()
		})
	}
	for _, v := range fleet.vms {
		status, _ := v.call(http.MethodGet, "/advice/x", key("one"))
		is.Equal(status, http.StatusUnauthorized) // the key stays withdrawn
	}
}
