package relay

import (
	"math/rand/v2"
	"sync"

	"monsoonferry.org/ferry"
)

// serviceSplitter divides the requests of routes among services by weight. The
// zero value is ready to use.
type serviceSplitter struct {
	mu     sync.Mutex
	points map[ferry.RouteID]float64
}

// splitStep is the golden ratio less 1: the fractional parts of its multiples
// spread evenly, so that any sequence of requests is close to the weights.
const splitStep = 0.6180339887498949

// chooseService returns the service of the next request of a route.
func (s *serviceSplitter) chooseService(route *ferry.Route) ferry.ServiceID {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	if total <= 0 {
		return route.Service
	}
	point := s.nextPoint(route.ID) * total
	for _, share := range route.Split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// nextPoint returns the next point of a route, from 0 to 1.
func (s *serviceSplitter) nextPoint(route ferry.RouteID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points == nil {
		s.points = map[ferry.RouteID]float64{}
	}
	point, found := s.points[route]
	if !found {
		point = rand.Float64()
	}
	if point += splitStep; point >= 1 {
		point--
	}
	s.points[route] = point
	return point
}
