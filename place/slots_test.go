package place

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// peers returns the addresses of VMs.
func peers(count int) []netip.AddrPort {
	list := make([]netip.AddrPort, count)
	for i := range list {
		list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	return list
}

// slotChoosers returns the choosers of VMs in place a1 that have dealt the slots of the
// targets.
func slotChoosers(vms int, list []ferry.Target) []*Chooser {
	choosers := make([]*Chooser, vms)
	for i := range choosers {
		choosers[i] = NewChooser("a1", regions)
		choosers[i].SetSeed(uint64(i))
		choosers[i].SetEvenLoad(EvenLoad{SlotPreference: 0.2})
		choosers[i].SetPeers(peers(vms)[i], peers(vms))
		choosers[i].Update(0, list)
		choosers[i].DealSlots(0)
	}
	return choosers
}

// Every slot has one owner, and the parts of the VMs differ by one slot at most in each
// service, whatever the numbers.
func TestDealIsWhole(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var list []ferry.Target
		total := map[ferry.ServiceID]int{}
		for i := range rapid.IntRange(0, 40).Draw(t, "targets") {
			target := ferry.Target{ID: ferry.TargetID(fmt.Sprint(i)), Service: "s", Place: "a1", Slots: rapid.IntRange(1, 9).Draw(t, "slots")}
			if rapid.Bool().Draw(t, "other") {
				target.Service = "r"
			}
			total[target.Service] += target.Slots
			list = append(list, target)
		}
		vms := rapid.IntRange(1, 30).Draw(t, "vms")
		owned := map[ferry.TargetID]int{}
		for _, c := range slotChoosers(vms, list) {
			part := map[ferry.ServiceID]int{}
			for _, view := range c.List(0) {
				owned[view.Target.ID] += view.OwnedSlots
				part[view.Target.Service] += view.OwnedSlots
			}
			for service, slots := range part {
				if slots < total[service]/vms || slots > (total[service]+vms-1)/vms {
					t.Fatalf("a VM owns %d of the %d slots of %s among %d VMs", slots, total[service], service, vms)
				}
			}
		}
		for _, target := range list {
			if owned[target.ID] != target.Slots {
				t.Fatalf("%d slots of %s are owned, it has %d", owned[target.ID], target.ID, target.Slots)
			}
		}
	})
}

// A VM or target that comes or goes moves few slots of the others: on average not more
// than three times as many as it has itself.
func TestDealMovesLittle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const vms, count, rounds = 18, 30, 18
	list := targets("a1", count)
	before := slotChoosers(vms, list)
	moved := func(after []*Chooser, skip int) int {
		sum := 0
		for i, c := range after {
			if i == skip {
				continue
			}
			was := map[ferry.TargetID]int{}
			for _, view := range before[i].List(0) {
				was[view.Target.ID] = view.OwnedSlots
			}
			for _, view := range c.List(0) {
				sum += max(0, view.OwnedSlots-was[view.Target.ID])
			}
		}
		return sum
	}
	byVM, byTarget := 0, 0
	for gone := range rounds {
		after := slotChoosers(vms, list)
		for i, c := range after {
			c.SetPeers(peers(vms)[i], append(peers(vms)[:gone:gone], peers(vms)[gone+1:]...))
			c.DealSlots(dealInterval)
		}
		byVM += moved(after, gone)
		byTarget += moved(slotChoosers(vms, append(targets("a1", count)[:gone:gone], targets("a1", count)[gone+1:]...)), -1)
	}
	least, leastTarget := float64(count*4)/vms, 4.0
	t.Logf("a VM that goes moves %.1f slots of %d, at least %.1f; a target %.1f", float64(byVM)/rounds, count*4, least, float64(byTarget)/rounds)
	is.True(float64(byVM)/rounds <= 3*least)
	is.True(float64(byTarget)/rounds <= 3*leastTarget)
}

// A VM uses the slots that it owns first, then free slots of others in its place, then
// other places; it waits only when nothing is free.
func TestOwnedSlotsComeFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := slotChoosers(3, append(targets("a1", 6), targets("a2", 6)...))[1]
	is.Equal(c.OwnedSlots(), OwnedSlots{Owned: 8})
	kinds := map[SlotKind]int{}
	for range 48 {
		pick, ok := c.Choose(0, Attempt{Service: "s"})
		is.True(ok)
		is.Equal(pick.Wait, time.Duration(0))
		if kinds[SlotOwned] < 8 {
			is.Equal(pick.Slot, SlotOwned)
		}
		kinds[pick.Slot]++
	}
	is.Equal(kinds, map[SlotKind]int{SlotOwned: 8, SlotShared: 16, SlotOtherPlace: 24})
	is.Equal(c.OwnedSlots(), OwnedSlots{Owned: 8, InUse: 8})
	pick, _ := c.Choose(0, Attempt{Service: "s"})
	is.True(pick.Wait > 0)
}

// An owned slot is no reason to use a target that is suspect, cold, closed, evacuated,
// tried or filled by other VMs.
func TestOwnedSlotsOfUnusableTargets(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(c *Chooser, owned []ferry.TargetID) Attempt{
		"suspect": func(c *Chooser, owned []ferry.TargetID) Attempt {
			pooled := map[ferry.TargetID]float64{}
			for _, id := range owned {
				pooled[id] = 1
			}
			c.SetFleetLogOdds(pooled)
			return Attempt{}
		},
		"closed": func(c *Chooser, owned []ferry.TargetID) Attempt {
			for _, id := range owned {
				c.states[id].closedUntil.Store(int64(time.Hour))
			}
			return Attempt{}
		},
		"filled": func(c *Chooser, owned []ferry.TargetID) Attempt {
			for _, id := range owned {
				c.Release(0, Pick{Target: &c.states[id].target, state: c.states[id]}, Report{Load: ferry.TargetLoad{Known: true, Running: 5, Slots: 4}})
				c.states[id].ownRequests.Store(0)
			}
			return Attempt{}
		},
		"tried": func(_ *Chooser, owned []ferry.TargetID) Attempt { return Attempt{Tried: owned} },
		"evacuated": func(c *Chooser, _ []ferry.TargetID) Attempt {
			c.SetEvacuated(0, map[ferry.PlaceID]bool{"a1": true}, 0)
			return Attempt{}
		},
		"homes": func(*Chooser, []ferry.TargetID) Attempt { return Attempt{Homes: Homes{Route: []ferry.RegionID{"b"}}} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := slotChoosers(5, append(targets("a1", 20), targets("b1", 5)...))[0]
			var owned []ferry.TargetID
			for _, view := range c.List(0) {
				if view.OwnedSlots > 0 {
					owned = append(owned, view.Target.ID)
				}
			}
			is.True(len(owned) >= 4)
			attempt := spoil(c, owned)
			attempt.Service = "s"
			for range 10 {
				pick, ok := c.Choose(0, attempt)
				is.True(ok)
				is.True(pick.Slot != SlotOwned)
				is.Equal(c.states[pick.Target.ID].ownedSlots.Load(), int32(0))
			}
		})
	}
}

// Cold and evacuated targets own nothing, nor does a VM that isn't listed or has no
// preference; a deal comes at most once in dealInterval, and when a target is warm.
func TestWhatIsDealt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := append(targets("a1", 2), targets("a2", 2)...)
	list[1].ColdFor = 3 * time.Second
	c := slotChoosers(1, list)[0]
	is.Equal(c.OwnedSlots().Owned, 4)
	c.SetEvacuated(0, map[ferry.PlaceID]bool{"a1": true}, time.Hour)
	_, ok := c.DealSlots(dealInterval / 2)
	is.True(!ok)
	deal, ok := c.DealSlots(dealInterval)
	is.True(ok)
	is.Equal(deal, SlotDeal{VMs: 1})
	c.SetEvacuated(0, nil, 0)
	deal, _ = c.DealSlots(2 * dealInterval)
	is.Equal(deal, SlotDeal{VMs: 1, Targets: 1, Slots: 4, Owned: 4, Moved: 4})
	_, ok = c.DealSlots(3*time.Second - 1)
	is.True(!ok)
	deal, ok = c.DealSlots(3 * time.Second)
	is.True(ok)
	is.Equal(deal, SlotDeal{VMs: 1, Targets: 2, Slots: 8, Owned: 8, Moved: 4})
	c.SetPeers(peers(3)[2], peers(2))
	deal, _ = c.DealSlots(4 * time.Second)
	is.Equal(deal, SlotDeal{VMs: 2, Targets: 2, Slots: 8})
	c.SetPeers(peers(3)[1], peers(2))
	c.DealSlots(5 * time.Second)
	is.Equal(c.OwnedSlots().Owned, 4)
	c.SetEvenLoad(EvenLoad{})
	c.DealSlots(6 * time.Second)
	is.Equal(c.OwnedSlots().Owned, 0)
	c.Update(0, list[:1])
	_, ok = c.DealSlots(8 * time.Second)
	is.True(!ok)
}

// BenchmarkDeal measures a deal in the largest place of the first requirements.
func BenchmarkDeal(b *testing.B) {
	var list []ferry.Target
	for i := range 843 {
		list = append(list, ferry.Target{ID: ferry.TargetID(fmt.Sprint(i)), Service: ferry.ServiceID(fmt.Sprint(i % 130)), Place: "a1", Slots: 4})
	}
	for name, count := range map[string]int{"services=130": 130, "services=1": 1} {
		b.Run(name, func(b *testing.B) {
			for i := range list {
				list[i].Service = ferry.ServiceID(fmt.Sprint(i % count))
			}
			c := slotChoosers(60, nil)[7]
			c.Update(0, list)
			now := time.Duration(0)
			for b.Loop() {
				now += dealInterval
				c.slots.isDue = true
				c.DealSlots(now)
			}
		})
	}
}
