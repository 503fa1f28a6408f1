// Package timing measures how long the targets of a route take to respond.
//
// # Concept
//
// Each route has a histogram whose old responses lose weight. Until it holds enough of
// them, fractions of the route's objective stand for its quantiles.
//
// # Usage
//
//	var routes timing.Routes
//	routes.Histogram(route.ID).Add(took, len(body))
//	p90, p98 := routes.Histogram(route.ID).P90AndP98(route.Objective)
package timing

import (
	"math"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// firstBucketBound is the upper bound of the first bucket; the bound of each
	// following one is larger by the factor bucketGrowth.
	firstBucketBound = 5 * time.Millisecond
	bucketGrowth     = 1.25
	bucketCount      = 40
	// minResponses is the number of responses that must be counted before their
	// quantiles replace the fractions of the route's objective.
	minResponses = 20
	// halvingCount is the number of responses after which all counts are halved,
	// so that old responses lose weight.
	halvingCount = 400
	// sizeWeight is the weight of a new response in the average size.
	sizeWeight = 0.1
	// objectiveP90 and objectiveP98 are the fractions of the objective that stand
	// for the quantiles 0.9 and 0.98 until there are minResponses responses.
	objectiveP90 = 0.5
	objectiveP98 = 0.9
	// defaultObjective is the objective of routes that state none.
	defaultObjective = 800 * time.Millisecond
)

// Histogram is the distribution of a route's response times on this VM.
type Histogram struct {
	mu     sync.Mutex
	counts [bucketCount]float64
	total  float64
	// averageSize is the average size of a response, in bytes.
	averageSize float64
}

// Routes holds the histogram of each route. The zero value is ready to use.
type Routes struct {
	routes sync.Map
}

// Histogram returns the histogram of a route.
func (r *Routes) Histogram(route ferry.RouteID) *Histogram {
	if loaded, found := r.routes.Load(route); found {
		return loaded.(*Histogram)
	}
	created, _ := r.routes.LoadOrStore(route, &Histogram{})
	return created.(*Histogram)
}

// AverageSize returns the average size of a response, in bytes.
func (h *Histogram) AverageSize() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.averageSize)
}

// Add counts a response of the given size, in bytes.
func (h *Histogram) Add(took time.Duration, size int) {
	bucket := 0
	if took > firstBucketBound {
		bucket = min(bucketCount-1, 1+int(math.Log(float64(took)/float64(firstBucketBound))/math.Log(bucketGrowth)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.averageSize += sizeWeight * (float64(size) - h.averageSize)
	h.counts[bucket]++
	h.total++
	if h.total < halvingCount {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// P90AndP98 returns the times within which 9 in 10 and 49 in 50 responses come.
func (h *Histogram) P90AndP98(objective time.Duration) (p90, p98 time.Duration) {
	if objective == 0 {
		objective = defaultObjective
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total < minResponses {
		return time.Duration(objectiveP90 * float64(objective)), time.Duration(objectiveP98 * float64(objective))
	}
	return h.quantile(0.9), h.quantile(0.98)
}

func (h *Histogram) quantile(fraction float64) time.Duration {
	remaining := h.total * fraction
	bound := float64(firstBucketBound)
	for _, count := range h.counts {
		if remaining -= count; remaining <= 0 {
			break
		}
		bound *= bucketGrowth
	}
	return time.Duration(bound)
}
