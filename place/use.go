package place

import (
	"math"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// useMemory is the age at which the average use of a place counts nothing. The
	// place is then assumed to be idle, so that a request that has to wait elsewhere
	// finds out.
	useMemory = 15 * time.Second
	// spreadFactor is (2/sqrt(2 pi)) squared: with it, an expected load that equals the
	// slots has the wait of a normal distribution.
	spreadFactor = 0.64
)

// placeUse is the average part of the slots that other VMs use on the targets of one
// service in one place, as reports to this VM tell. The zero placeUse has no report.
type placeUse struct {
	// use are the bits of a float64; at is the time of the last report.
	use atomic.Uint64
	at  atomic.Int64
}

// placeService identifies a placeUse.
type placeService struct {
	place   ferry.PlaceID
	service ferry.ServiceID
}

// add adds a report. Concurrent calls may lose one, which does no harm.
func (u *placeUse) add(now time.Duration, use float64) {
	weight := averageUseWeight
	if u.at.Load() == 0 {
		weight = 1
	}
	before := math.Float64frombits(u.use.Load())
	u.use.Store(math.Float64bits(before + weight*(use-before)))
	u.at.Store(int64(max(1, now)))
}

// useOf returns the average use that a target contributes to.
func (c *Chooser) useOf(target ferry.Target) *placeUse {
	key := placeService{place: target.Place, service: target.Service}
	use := c.uses[key]
	if use == nil {
		use = &placeUse{}
		c.uses[key] = use
	}
	return use
}

// estimate returns the average use now.
func (u *placeUse) estimate(now time.Duration) float64 {
	age := now - time.Duration(u.at.Load())
	return math.Float64frombits(u.use.Load()) * max(0, 1-float64(age)/float64(useMemory))
}

// spreadWait returns what the expected wait for a slot is longer because a part of the
// load is only an average: other VMs' requests come at random, so that a target may be
// full although it has a free slot on average.
func spreadWait(input *CostInput) float64 {
	if input.Spread == 0 {
		return 0
	}
	load, slots := input.load()
	waiting := load + 1 - slots
	expected := (waiting + math.Sqrt(waiting*waiting+spreadFactor*input.Spread)) / 2
	return (expected - max(0, waiting)) / slots
}
