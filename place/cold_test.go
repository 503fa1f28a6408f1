package place

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// coldAt is a time on both clocks.
func coldAt(d time.Duration) ferry.Moment { return ferry.Moment{Monotonic: d, Wall: time.Hour + d} }

// coldChooser returns a chooser with targets of a service that states a rate for cold ones.
func coldChooser(now time.Duration, targets ...ferry.Target) *Chooser {
	c := NewChooser("p", nil)
	c.SetServices([]ferry.Service{{ID: "s", ColdRate: 6.5, ColdTime: 3 * time.Second}})
	c.Update(now, targets)
	return c
}

func coldTarget(id ferry.TargetID, in ferry.PlaceID, revision uint64, coldFor time.Duration) ferry.Target {
	return ferry.Target{ID: id, Service: "s", Place: in, Slots: 1000, Revision: revision, ColdFor: coldFor}
}

// mayChoose reports whether a request may be sent at a moment.
func mayChoose(c *Chooser, now ferry.Moment) (Pick, bool) {
	return c.Choose(now.Monotonic, Attempt{Service: "s", Wall: now.Wall})
}

// TestCreditIsForOneRequest gives credits for cold targets of the VM's place, of another
// place and for a warm one.
func TestCreditIsForOneRequest(t *testing.T) {
	is := is.New(t)
	start := coldAt(time.Minute)
	c := coldChooser(start.Monotonic, coldTarget("a", "p", 1, 3*time.Second), coldTarget("b", "q", 1, 3*time.Second))
	_, ok := mayChoose(c, start)
	is.True(!ok)
	cold, isCold := c.ColdTargets(start.Monotonic, Attempt{Service: "s"})
	is.True(isCold)
	is.True(cold.Wait > 100*time.Millisecond && cold.Wait < time.Second) // one VM and one target: 1/6.5 s
	is.Equal(cold, ColdTargets{InPlace: 1, Elsewhere: 1, WarmIn: 3 * time.Second, Wait: cold.Wait})
	c.AddCredit("b", start.Add(time.Second))
	c.AddCredit("gone", start.Add(time.Second))
	_, ok = mayChoose(c, start)
	is.True(!ok) // targets of other places get nothing

	c.AddCredit("a", start.Add(500*time.Millisecond))
	pick, ok := mayChoose(c, start.Add(499*time.Millisecond))
	is.True(ok)
	is.Equal(pick.Target.ID, ferry.TargetID("a"))
	is.True(c.MaySend(start.Monotonic+499*time.Millisecond, pick))
	is.True(!c.MaySend(start.Monotonic+500*time.Millisecond, pick)) // the connection took too long
	_, ok = mayChoose(c, start.Add(499*time.Millisecond))
	is.True(!ok) // once only

	c.AddCredit("a", start.Add(time.Second))
	_, ok = mayChoose(c, ferry.Moment{Monotonic: start.Monotonic + 900*time.Millisecond, Wall: start.Wall + 2*time.Second})
	is.True(!ok) // the VM was suspended
	is.Equal(c.SweepCredits(start.Add(900*time.Millisecond)), CreditCounts{Received: 2, Used: 1, Held: 1})
	is.Equal(c.SweepCredits(start.Add(time.Second)), CreditCounts{Received: 2, Used: 1, Expired: 1})

	for range 100 {
		_, ok = mayChoose(c, start.Add(3*time.Second))
		is.True(ok) // warm
	}
	_, isCold = c.ColdTargets(start.Monotonic+3*time.Second, Attempt{Service: "s"})
	is.True(!isCold)
}

// TestColdAgain follows a process through entries that call it warm and cold again.
func TestColdAgain(t *testing.T) {
	is := is.New(t)
	start := coldAt(time.Minute)
	now := start
	c := coldChooser(now.Monotonic, coldTarget("a", "p", 1, 0))
	expect := func(want bool) {
		t.Helper()
		_, ok := mayChoose(c, now)
		is.Equal(ok, want)
	}
	expect(true)
	cold, changes := c.Cold(now.Monotonic)
	is.Equal(len(cold)+len(changes), 0)

	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 2, 3*time.Second)})
	expect(false)
	cold, changes = c.Cold(now.Monotonic)
	is.Equal(cold, []ColdTarget{{ID: "a", Rate: 6.5}})
	is.Equal(changes, []ColdChange{{ID: "a", Cold: true, Source: ColdByEntry, Remaining: 3 * time.Second}})
	_, changes = c.Cold(now.Monotonic)
	is.Equal(len(changes), 0)

	now = start.Add(2 * time.Second)
	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 2, 3*time.Second)}) // the same entry
	now = start.Add(3 * time.Second)
	expect(true)
	_, changes = c.Cold(now.Monotonic)
	is.Equal(changes, []ColdChange{{ID: "a", Source: ColdByTime}})

	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 3, 3*time.Second)}) // cold again for as long
	expect(false)
	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 4, 0)})
	expect(true)

	c.AssumeCold(now.Monotonic, "q")
	expect(true)
	c.AssumeCold(now.Monotonic, "p")
	expect(false)
	_, changes = c.Cold(now.Monotonic)
	is.Equal(changes, []ColdChange{{ID: "a", Cold: true, Source: ColdByEvacuation, Remaining: 3 * time.Second}})
	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 4, 0)}) // no newer entry
	expect(false)
	c.Update(now.Monotonic, []ferry.Target{coldTarget("a", "p", 5, 0)})
	expect(true)
	_, changes = c.Cold(now.Monotonic)
	is.Equal(changes, []ColdChange{{ID: "a", Source: ColdByEntry}})

	c.AssumeCold(now.Monotonic, "p")
	c.SetServices([]ferry.Service{{ID: "s"}}) // no limit any more
	expect(true)
	c.AssumeCold(now.Monotonic, "p")
	expect(true)
}

// TestCreditRace has callers that compete for one credit at a time.
func TestCreditRace(t *testing.T) {
	is := is.New(t)
	start := coldAt(time.Minute)
	c := coldChooser(start.Monotonic, coldTarget("a", "p", 1, time.Minute))
	for range 200 {
		c.AddCredit("a", start.Add(time.Second))
		var sent atomic.Int32
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				if _, ok := mayChoose(c, start); ok {
					sent.Add(1)
				}
			})
		}
		callers.Wait()
		is.Equal(sent.Load(), int32(1))
	}
}

// BenchmarkChoose chooses among targets of three places of which a tenth are cold, with
// and without a rate for cold targets.
func BenchmarkChooseBesideCold(b *testing.B) {
	for _, count := range []int{45, 324} {
		for _, rate := range []float64{0, 6.5} {
			b.Run(fmt.Sprintf("targets=%d,coldRate=%v", count, rate), func(b *testing.B) {
				c := NewChooser("a1", regions)
				c.SetServices([]ferry.Service{{ID: "s", ColdRate: rate}})
				var list []ferry.Target
				for _, in := range []ferry.PlaceID{"a1", "b1", "c1"} {
					list = append(list, targets(in, count/3)...)
				}
				for i := range list {
					if i%10 == 0 {
						list[i].ColdFor = time.Hour
					}
				}
				now := coldAt(time.Minute)
				c.Update(now.Monotonic, list)
				attempt := Attempt{Service: "s", IsRetryable: true, Wall: now.Wall}
				b.ReportAllocs()
				for b.Loop() {
					pick, _ := c.Choose(now.Monotonic, attempt)
					c.Release(now.Monotonic, pick, Report{})
				}
			})
		}
	}
}
