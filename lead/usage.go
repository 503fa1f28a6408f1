package lead

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// unusedAfter is the time without a request after which a place leader asks
	// followers to use a target. With the time until they do, it is less than the
	// two seconds after which operators count a target as out of use.
	unusedAfter = 700 * time.Millisecond
	// UseWithin is the time within which a follower may act on UseTargets. It
	// exceeds the time between two heartbeats. Then the leader asks again.
	UseWithin = 600 * time.Millisecond
	// expectedUses is the number of requests that a leader expects to result when
	// it stops to ask for a target.
	expectedUses = 1.0
	// minServiceRate is the rate of requests in the place, per second, below which
	// the targets of a service are not kept in use.
	minServiceRate = 0.5
	// usageDecay is the time in which a service's rate loses weight by the factor e.
	usageDecay = 2 * time.Second
	// maxAskedTargets is the number of targets that a reply asks for at most, of
	// different services.
	maxAskedTargets = 8
)

// usage tells a place leader which targets of its place get no requests, be it by
// chance at a low rate, as suspects or because they have just started. No VM can
// tell alone: each sends a target one request in many seconds. The zero usage has
// no targets.
type usage struct {
	targets  map[ferry.TargetID]*targetUse
	services map[ferry.ServiceID]*serviceUse
	// credits is for the cold targets, which followers are not asked to use.
	credits credits
}

// targetUse is the use of a target by the VMs of the place.
type targetUse struct {
	service ferry.ServiceID
	usedAt  time.Duration
	// expected is the number of requests expected from the followers that were
	// asked for, the last at askedAt.
	expected float64
	askedAt  time.Duration
}

// serviceUse holds a decaying number of the requests to a service.
type serviceUse struct {
	requests float64
	at       time.Duration
}

// rate returns the requests per second.
func (s *serviceUse) rate(now time.Duration) float64 {
	return s.requests * math.Exp(-(now-s.at).Seconds()/usageDecay.Seconds()) / usageDecay.Seconds()
}

// setTargets replaces the targets. A new one counts as used now.
func (u *usage) setTargets(now time.Duration, place ferry.PlaceID, targets []ferry.Target) {
	former, formerServices := u.targets, u.services
	u.targets, u.services = map[ferry.TargetID]*targetUse{}, map[ferry.ServiceID]*serviceUse{}
	for _, target := range targets {
		if target.Place != place || target.Leaving {
			continue
		}
		use := former[target.ID]
		if use == nil || use.service != target.Service {
			use = &targetUse{service: target.Service, usedAt: now}
		}
		u.targets[target.ID] = use
		if s := formerServices[target.Service]; s != nil {
			u.services[target.Service] = s
		}
	}
}

// record applies the uses that a VM of the place reports.
func (u *usage) record(now time.Duration, evidence []Evidence) {
	for _, e := range evidence {
		use := u.targets[e.Target]
		if use == nil || !e.IsUsed {
			continue
		}
		use.usedAt, use.expected = now, 0
		s := u.services[use.service]
		if s == nil {
			s = &serviceUse{}
			u.services[use.service] = s
		}
		s.requests, s.at = s.rate(now)*usageDecay.Seconds()+1, now
	}
}

// ask returns the targets that one of vms followers shall use: of each service the
// one unused for the longest, as long as fewer than expectedUses are expected. All
// targets count as used at leadsSince.
func (u *usage) ask(now, leadsSince time.Duration, vms int) []ferry.TargetID {
	longest := map[ferry.ServiceID]ferry.TargetID{}
	for id, use := range u.targets {
		if u.credits.isCold(id) || now-max(use.usedAt, leadsSince) < unusedAfter || use.expected >= expectedUses && now-use.askedAt < UseWithin {
			continue
		}
		other, found := longest[use.service]
		if !found || cmp.Or(cmp.Compare(use.usedAt, u.targets[other].usedAt), cmp.Compare(id, other)) < 0 {
			longest[use.service] = id
		}
	}
	var asked []ferry.TargetID
	for service, id := range longest {
		if s := u.services[service]; s != nil && s.rate(now) >= minServiceRate {
			asked = append(asked, id)
		}
	}
	slices.SortFunc(asked, func(a, b ferry.TargetID) int {
		return cmp.Or(cmp.Compare(u.targets[a].usedAt, u.targets[b].usedAt), cmp.Compare(a, b))
	})
	asked = asked[:min(len(asked), maxAskedTargets)]
	for _, id := range asked {
		use := u.targets[id]
		if now-use.askedAt >= UseWithin {
			use.expected = 0
		}
		use.expected += min(1, u.services[use.service].rate(now)*UseWithin.Seconds()/float64(max(1, vms)))
		use.askedAt = now
	}
	return asked
}

// placeSize returns the number of VMs of the place in the view.
func (c *Controller) placeSize() int {
	size := 0
	for _, vm := range c.view {
		if vm.Place == c.self.Place {
			size++
		}
	}
	return size
}
