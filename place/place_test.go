package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

var regions = ferry.Regions{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

func targets(place ferry.PlaceID, count int) []ferry.Target {
	list := make([]ferry.Target, count)
	for i := range list {
		list[i] = ferry.Target{ID: ferry.TargetID(fmt.Sprintf("%s-%d", place, i)), Service: "s", Place: place, Slots: 4, Incarnation: 1}
	}
	return list
}

func TestCostOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	base := CostInput{Slots: 4, ServiceTime: 200 * time.Millisecond, LogOdds: -4, Distance: ferry.SamePlace}
	costWith := func(change func(*CostInput)) time.Duration {
		input := base
		change(&input)
		return Cost(input)
	}
	idle := Cost(base)
	inRegion := costWith(func(c *CostInput) { c.Distance = ferry.SameRegion })
	remote := costWith(func(c *CostInput) { c.Distance = ferry.OtherRegion })
	is.True(idle < inRegion)
	is.True(inRegion < remote)
	// A few waiting requests cost less than another region, many cost more.
	is.True(costWith(func(c *CostInput) { c.OwnRequests = 4 }) < remote)
	is.True(costWith(func(c *CostInput) { c.OwnRequests = 12 }) > remote)
	// A suspect target costs a request that may run only once more than another
	// region. It costs a retryable request less.
	suspect := func(isRetryable bool) time.Duration {
		return costWith(func(c *CostInput) { c.LogOdds, c.IsRetryable = -1, isRetryable })
	}
	is.True(suspect(false) > remote)
	is.True(suspect(true) < suspect(false))
	is.True(costWith(func(c *CostInput) { c.Cold = true }) > inRegion)
}

func TestChooserPrefersNear(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, append(append(targets("a1", 3), targets("a2", 3)...), targets("b1", 6)...))
	places := map[ferry.PlaceID]int{}
	for range 200 {
		pick, ok := c.Choose(0, Attempt{Service: "s"})
		is.True(ok)
		places[pick.Target.Place]++
		c.Release(0, pick, Report{Verdict: ferry.VerdictGood, Took: 100 * time.Millisecond})
	}
	is.Equal(places["b1"], 0)
	is.True(places["a1"] > places["a2"])
}

// As targets fill, requests go to other places in the region, then to others.
func TestChooserSpills(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, append(append(targets("a1", 2), targets("a2", 2)...), targets("b1", 8)...))
	places := map[ferry.PlaceID]int{}
	for range 40 {
		pick, ok := c.Choose(0, Attempt{Service: "s"})
		is.True(ok)
		places[pick.Target.Place]++
	}
	is.True(places["a1"] >= 8)
	is.True(places["a2"] >= 8)
	is.True(places["b1"] >= 8)
}

func TestChooserSkipsTriedAndLeaving(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := targets("a1", 3)
	list[2].Leaving = true
	c := NewChooser("a1", regions)
	c.Update(0, list)
	first, ok := c.Choose(0, Attempt{Service: "s"})
	is.True(ok)
	second, ok := c.Choose(0, Attempt{Service: "s", Tried: []ferry.TargetID{first.Target.ID}})
	is.True(ok)
	is.True(first.Target.ID != second.Target.ID)
	_, ok = c.Choose(0, Attempt{Service: "s", Tried: []ferry.TargetID{first.Target.ID, second.Target.ID}})
	is.True(!ok)
	_, ok = c.Choose(0, Attempt{Service: "other"})
	is.True(!ok)
}

// For any number of suspect targets that may be healthy, each target gets a request
// within two seconds. Retryable requests use at least the operators' floor of the targets,
// and other requests use at least half of them.
func TestFloor(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for suspects := range 21 {
		c := NewChooser("a1", regions)
		c.Update(0, targets("a1", 20))
		c.SetPlaceVMs(1)
		c.SetFloor(0.7)
		pooled := map[ferry.TargetID]float64{}
		for i := range suspects {
			pooled[ferry.TargetID(fmt.Sprintf("a1-%d", i))] = certainLogOdds - 0.1*float64(i+1)
		}
		c.SetFleetLogOdds(pooled)
		used, usedSafe, usedUnsafe := map[ferry.TargetID]bool{}, map[ferry.TargetID]bool{}, map[ferry.TargetID]bool{}
		for i := range 600 {
			isRetryable := i%3 == 0
			now := 3*time.Second + time.Duration(i)*2*time.Second/600
			pick, ok := c.Choose(now, Attempt{Service: "s", IsRetryable: isRetryable})
			is.True(ok)
			used[pick.Target.ID] = true
			if isRetryable {
				usedSafe[pick.Target.ID] = true
			} else {
				usedUnsafe[pick.Target.ID] = true
			}
			c.Release(now, pick, Report{})
		}
		is.Equal(len(used), 20)
		is.True(len(usedSafe) >= 14)
		is.True(len(usedUnsafe) >= 10)
	}
	is.Equal(AvoidThreshold(nil, 0.7), 0.0)
	is.Equal(AvoidThreshold([]float64{3}, 0.7), 3.0)
	is.Equal(AvoidThreshold([]float64{5, 1, 4, 2, 3, 0, 6, 9, 7, 8}, 0.7), 6.0)
}

// In a service without retryable requests, the other requests keep the floor.
func TestFloorOfUnsafeRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, targets("a1", 20))
	c.SetFloor(0.7)
	pooled := map[ferry.TargetID]float64{}
	for i := range 12 {
		pooled[ferry.TargetID(fmt.Sprintf("a1-%d", i))] = certainLogOdds - 0.1*float64(i+1)
	}
	c.SetFleetLogOdds(pooled)
	used := map[ferry.TargetID]bool{}
	for i := range 600 {
		pick, ok := c.Choose(3*time.Second+time.Duration(i)*time.Millisecond, Attempt{Service: "s"})
		is.True(ok)
		used[pick.Target.ID] = true
		c.Release(0, pick, Report{})
	}
	is.Equal(len(used), 14)
}

// Silent targets fall silent again. A request that may run only once prefers the others
// as long as they have room, also where the floor counts on the suspects, and still
// uses each of them.
func TestUnsafeRequestsPreferHealthierTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, targets("a1", 100))
	c.SetPlaceVMs(18)
	c.SetFloor(0.7)
	pooled := map[ferry.TargetID]float64{}
	for i := range 50 {
		pooled[ferry.TargetID(fmt.Sprintf("a1-%d", i))] = -0.01 * float64(i+1)
	}
	c.SetFleetLogOdds(pooled)
	const requests = 18000
	used := map[ferry.TargetID]int{}
	for i := range requests {
		now := 3*time.Second + time.Duration(i)*time.Millisecond
		pick, ok := c.Choose(now, Attempt{Service: "s"})
		is.True(ok)
		used[pick.Target.ID]++
		c.Release(now, pick, Report{})
	}
	suspects := 0
	for id := range pooled {
		suspects += used[id]
	}
	is.Equal(len(used), 70)               // the floor
	is.True(suspects > 0)                 // the twenty that the floor counts on
	is.True(suspects < requests*2/7*3/10) // well below their equal part
}

// Targets that are almost certainly unhealthy get nothing that may run only once while
// others have room, even if they are more than the floor allows to avoid. The others
// are all used, and each of them gets a request within two seconds through trials.
func TestCertainSuspectsAreAvoided(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for suspects := range 19 {
		c := NewChooser("a1", regions)
		c.Update(0, targets("a1", 20))
		c.SetPlaceVMs(1)
		c.SetFloor(0.7)
		pooled := map[ferry.TargetID]float64{}
		for i := range suspects {
			pooled[ferry.TargetID(fmt.Sprintf("a1-%d", i))] = certainLogOdds + 0.1*float64(i+1)
		}
		c.SetFleetLogOdds(pooled)
		used, usedUnsafe := map[ferry.TargetID]bool{}, map[ferry.TargetID]bool{}
		for i := range 900 {
			isRetryable := i%3 == 0
			now := 3*time.Second + time.Duration(i)*2*time.Second/900
			pick, ok := c.Choose(now, Attempt{Service: "s", IsRetryable: isRetryable})
			is.True(ok)
			used[pick.Target.ID] = true
			if !isRetryable {
				is.Equal(pooled[pick.Target.ID], 0.0)
				usedUnsafe[pick.Target.ID] = true
			}
			c.Release(now, pick, Report{})
		}
		is.Equal(len(used), 20)
		is.Equal(len(usedUnsafe), 20-suspects)
	}
	// When the others are full, a suspect gets the request rather than nobody.
	c := NewChooser("a1", regions)
	c.Update(0, targets("a1", 2))
	c.SetFleetLogOdds(map[ferry.TargetID]float64{"a1-0": 3})
	used := map[ferry.TargetID]int{}
	for range 120 {
		pick, ok := c.Choose(0, Attempt{Service: "s"})
		is.True(ok)
		used[pick.Target.ID]++
	}
	is.True(used["a1-0"] > 20)
	is.True(used["a1-1"] > used["a1-0"])
}

// The VMs of a place take turns in trials. Only retryable requests are used,
// and only on targets in the VM's place.
func TestTrials(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	suspect := CostInput{IsRetryable: true, Distance: ferry.SamePlace, LogOdds: 2}
	is.True(IsTrialDue(suspect, 1300*time.Millisecond, 1))
	is.True(!IsTrialDue(suspect, time.Second, 1))
	is.True(!IsTrialDue(suspect, 1300*time.Millisecond, 4))
	is.True(IsTrialDue(suspect, 5*time.Second, 4))
	for _, change := range []func(*CostInput){
		func(c *CostInput) { c.IsRetryable = false }, func(c *CostInput) { c.Distance = ferry.SameRegion }, func(c *CostInput) { c.LogOdds = -4 },
	} {
		other := suspect
		change(&other)
		is.True(!IsTrialDue(other, time.Minute, 1))
	}
}

// Evidence about a target doesn't count against a new process under its ID.
func TestNewIncarnationHasNoEvidence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	list := targets("a1", 1)
	c.Update(0, list)
	pick, _ := c.Choose(0, Attempt{Service: "s"})
	c.Release(0, pick, Report{Verdict: ferry.VerdictReset})
	pick, _ = c.Choose(0, Attempt{Service: "s"})
	is.True(pick.LogOdds > -2)
	list[0].Incarnation = 2
	c.Update(0, list)
	pick, _ = c.Choose(0, Attempt{Service: "s"})
	is.Equal(pick.LogOdds, priorLogOdds)
}

// A VM's own evidence counts although the fleet's log odds are low.
func TestOwnEvidenceCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, targets("a1", 2))
	for {
		pick, _ := c.Choose(0, Attempt{Service: "s"})
		if pick.Target.ID == "a1-0" {
			c.Release(0, pick, Report{Verdict: ferry.VerdictDialRefused})
			break
		}
		c.Release(0, pick, Report{})
	}
	c.SetFleetLogOdds(map[ferry.TargetID]float64{"a1-0": priorLogOdds})
	for range 50 {
		pick, _ := c.Choose(0, Attempt{Service: "s"})
		is.Equal(pick.Target.ID, ferry.TargetID("a1-1"))
		c.Release(0, pick, Report{})
	}
	// The evidence decays, so that the VM uses the target again.
	pick, _ := c.Choose(10*time.Second, Attempt{Service: "s", Tried: []ferry.TargetID{"a1-1"}})
	is.True(pick.LogOdds < -3)
}

// When all targets are suspect, all of them are still used.
func TestSuspectsStayInUse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewChooser("a1", regions)
	c.Update(0, targets("a1", 10))
	pooled := map[ferry.TargetID]float64{}
	for _, target := range targets("a1", 10) {
		pooled[target.ID] = 4
	}
	c.SetFleetLogOdds(pooled)
	used := map[ferry.TargetID]bool{}
	for range 300 {
		pick, ok := c.Choose(0, Attempt{Service: "s"})
		is.True(ok)
		used[pick.Target.ID] = true
		c.Release(0, pick, Report{})
	}
	is.Equal(len(used), 10)
}

// TestLoadOfOneFailingTarget simulates 60 requests per second on 10 targets, of
// which one fails most requests for some seconds. It compares the number of
// failures with that of a random choice.
func TestLoadOfOneFailingTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	failures := func(isRandom bool) int {
		random := rand.New(rand.NewPCG(5, 5))
		c := NewChooser("a1", regions)
		c.Update(0, targets("a1", 10))
		failed := 0
		for i := range 60 * 10 {
			now := time.Duration(i) * time.Second / 60
			isFailing := now > 2*time.Second && now < 7*time.Second
			attempt := Attempt{Service: "s"}
			if isRandom {
				for j := range 10 {
					if j != random.IntN(10) && random.IntN(10) < 5 {
						attempt.Tried = append(attempt.Tried, ferry.TargetID(fmt.Sprintf("a1-%d", j)))
					}
				}
			}
			pick, ok := c.Choose(now, attempt)
			if !ok {
				continue
			}
			verdict := ferry.VerdictGood
			if pick.Target.ID == "a1-3" && isFailing && random.Float64() < 0.6 || random.Float64() < 0.012 {
				verdict = ferry.VerdictErrorStatus
				failed++
			}
			if isRandom {
				verdict = ferry.VerdictNone
			}
			c.Release(now, pick, Report{Verdict: verdict, Took: 100 * time.Millisecond})
		}
		return failed
	}
	// The choice has a random part, so the failures of many runs are added up.
	withChooser, withRandom := 0, 0
	for range 30 {
		withChooser += failures(false)
		withRandom += failures(true)
	}
	t.Logf("%d failures with the chooser, %d with a random choice", withChooser, withRandom)
	is.True(withChooser*3 <= withRandom*2)
}
