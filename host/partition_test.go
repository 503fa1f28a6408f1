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

// hasVersion reports whether all given VMs have a version in force.
func hasVersion(version string, vms ...*testVM) bool {
	for _, v := range vms {
		if !strings.HasPrefix(v.host.Status().Stamp, version+"-") {
			return false
		}
	}
	return true
}

// firstTwoHolders returns the holder of a client account's allowance and the VM
// that holds it when the first one is down.
func firstTwoHolders(account ferry.AccountID, vms ...ferry.VMID) map[ferry.VMID]bool {
	shard := limit.ShardOf(account)
	first := limit.NewPlacement(vms)[shard]
	rest := slices.DeleteFunc(vms, func(id ferry.VMID) bool { return id == first })
	return map[ferry.VMID]bool{first: true, limit.NewPlacement(rest)[shard]: true}
}

// TestPartitions cuts paths between four VMs in two places for longer than a lease
// lives, under load above the allowance, and changes the configuration
// meanwhile. The promises hold throughout, and the change is in force
// everywhere after the cut.
func TestPartitions(t *testing.T) {
	holders := firstTwoHolders("one", "vm-0", "vm-1", "vm-2", "vm-3")
	for _, test := range []struct {
		name string
		cut  func(fake.Path) bool
		// up is the number of VMs that the VMs see during the cut, in rising
		// order.
		up []int
		// isolated are the VMs that the change does not reach.
		isolated []int
	}{
		{
			name:     "into-a-place",
			cut:      func(path fake.Path) bool { return path.To.Place == "p2" && path.From.Place == "p1" },
			up:       []int{2, 2, 2, 2},
			isolated: []int{1, 3},
		},
		{
			name:     "between-places",
			cut:      func(path fake.Path) bool { return path.To.Place != path.From.Place },
			up:       []int{2, 2, 2, 2},
			isolated: []int{1, 3},
		},
		{
			// The other two VMs see both and are asked for their shares by both.
			name: "between-two-holders",
			cut: func(path fake.Path) bool {
				return holders[path.From.ID] && holders[path.To.ID]
			},
			up: []int{3, 3, 4, 4},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestFleet(t, 4, 4)
			allowance := load.Allowance{Rate: 80, Burst: 20}
			for i := range b.inventory.Accounts {
				b.inventory.Accounts[i].Rate, b.inventory.Accounts[i].Burst = allowance.Rate, allowance.Burst
			}
			b.start(4)
			b.awaitAllowance()
			reports := b.traffic(20 * time.Second)
			time.Sleep(time.Second)
			b.network.SetCut(test.cut)
			b.await("the views follow the cut", func() bool {
				var up []int
				for _, v := range b.vms {
					up = append(up, v.host.Status().Up)
				}
				slices.Sort(up)
				return slices.Equal(up, test.up)
			})
			b.changeDuringPartition(test.isolated)
			time.Sleep(4 * time.Second)
			for _, i := range test.isolated {
				is.True(hasVersion("1", b.vms[i])) // nothing reaches the isolated VMs
			}
			b.network.SetCut(nil)
			b.await("version 2 is in force everywhere", func() bool { return hasVersion("2", b.vms...) })
			report := <-reports
			_, promises := b.judgeWith(report, map[string]load.Allowance{"one": allowance, "two": allowance})
			is.Equal(promises, load.Promises{})
			late := 0
			for _, result := range report.Results {
				if result.At > 18*time.Second && result.Status == http.StatusOK {
					late++
				}
			}
			is.True(late > 50) // all sides serve again
		})
	}
}

// changeDuringPartition publishes version 2. The isolated VMs are cut off from the
// platform as well; the others take it into use.
func (b *testFleet) changeDuringPartition(isolated []int) {
	b.t.Helper()
	var lost []*testVM
	for _, i := range isolated {
		b.vms[i].isPlatformUnreachable.Store(true)
		lost = append(lost, b.vms[i])
	}
	b.inventory.Version = 2
	b.publish()
	b.awaitVersion("2", lost)
}

// awaitVersion waits until a version is in force on all VMs but the given ones.
func (b *testFleet) awaitVersion(version string, except []*testVM) {
	b.t.Helper()
	b.await("version "+version+" is in force on the other VMs", func() bool {
		for _, v := range b.vms {
			if !slices.Contains(except, v) && !hasVersion(version, v) {
				return false
			}
		}
		return true
	})
}

// TestReadersKilled kills the VMs of a place that watch the platform. The one
// that is left takes the next change into use.
func TestReadersKilled(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 6, 1)
	b.start(6)
	readers := b.readersOf("p1")
	is.Equal(len(readers), readersPerPlace)
	for _, v := range readers {
		v.cancel()
	}
	b.inventory.Version = 2
	b.publish()
	b.awaitVersion("2", readers)
}

// TestKeyWithdrawnDuringOutage withdraws a key while only one VM still reaches
// the platform. The key stops working everywhere.
func TestKeyWithdrawnDuringOutage(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 3, 1)
	b.start(3)
	b.awaitAllowance()
	for _, v := range b.vms[1:] {
		v.isPlatformUnreachable.Store(true)
	}
	b.inventory.Version, b.inventory.Accounts = 2, b.inventory.Accounts[1:]
	b.publish()
	b.await("version 2 is in force on one VM", func() bool { return hasVersion("2", b.vms[0]) })
	b.platform.SetMode(fake.ModeDown)
	for _, v := range b.vms {
		b.await("the key is refused", func() bool {
			status, outcome := v.call(http.MethodGet, "/advice/x", key("one"))
			return status == http.StatusUnauthorized && outcome == ferry.OutcomeNotRun.String()
		})
	}
	for _, v := range b.vms {
		status, _ := v.call(http.MethodGet, "/advice/x", key("one"))
		is.Equal(status, http.StatusUnauthorized) // it stays withdrawn
	}
}
