package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"monsoonferry.org/ferry"
)

// Changes returns what callers will notice once next replaces the version in force.
// Routes are compared by host and prefix, as callers see them, and accounts by name.
func Changes(inForce, next *ferry.Inventory, locator Locator) []Finding {
	c := changeChecker{collector{locator: locator}}
	if next.Version <= inForce.Version {
		c.addPath(VersionNotHigher, locator.Top(Version), "", "version %d is not higher than %d, which is in force", next.Version, inForce.Version)
	}
	c.compareLimits(inForce.Limits, next.Limits)
	c.compareRoutes(inForce.Routes, next.Routes)
	c.compareAccounts(inForce.Accounts, next.Accounts)
	return c.findings
}

// changeChecker collects the changes between two inventories.
type changeChecker struct{ collector }

// isLower reports whether a limit got lower. Zero and less set no limit.
func isLower[T cmp.Ordered](before, after T) bool {
	var zero T
	return after > zero && (before <= zero || after < before)
}

func (c *changeChecker) compareLimits(before, after ferry.CallerLimits) {
	for _, limit := range []struct {
		field         Field
		before, after int64
	}{{HeaderBytes, before.HeaderBytes, after.HeaderBytes}, {BodyBytes, before.BodyBytes, after.BodyBytes}} {
		if isLower(limit.before, limit.after) {
			c.addPath(LimitLowered, c.locator.Top(limit.field), "", "from %s to %d bytes", orNone(limit.before), limit.after)
		}
	}
	for _, limit := range []struct {
		field         Field
		before, after time.Duration
	}{{HeaderTime, before.HeaderTime, after.HeaderTime}, {IdleTime, before.IdleTime, after.IdleTime}} {
		if isLower(limit.before, limit.after) {
			c.addPath(LimitLowered, c.locator.Top(limit.field), "", "from %s to %v", orNone(limit.before), limit.after)
		}
	}
}

// orNone returns a limit as text.
func orNone[T int64 | float64 | time.Duration](limit T) string {
	if limit <= 0 {
		return "no limit"
	}
	return fmt.Sprint(limit)
}

func (c *changeChecker) compareRoutes(before, after []ferry.Route) {
	next := map[pattern]int{}
	for i := range after {
		next[patternOf(&after[i])] = i
	}
	compared := map[pattern]bool{}
	// Of equal routes, the last one is in force.
	for i := range slices.Backward(before) {
		former := &before[i]
		key := patternOf(former)
		if compared[key] {
			continue
		}
		compared[key] = true
		index, ok := next[key]
		if !ok {
			c.addPath(RouteRemoved, c.locator.Top(Field(Routes)), string(former.ID), "%s%s is no longer listed", former.Host, former.PathPrefix)
			continue
		}
		if !after[index].IsBroken && !former.IsBroken {
			c.compareRoute(index, former, &after[index])
		}
	}
}

func (c *changeChecker) compareRoute(index int, before, after *ferry.Route) {
	at := routeAt(index, after)
	if from, to := destinationOf(before), destinationOf(after); from != to {
		field := Service
		if len(after.Split) > 0 {
			field = Split
		}
		c.add(RouteMoved, at, field, "from %s to %s", from, to)
	}
	if before.Kind != after.Kind {
		c.add(KindChanged, at, Kind, "from %v to %v", before.Kind, after.Kind)
	}
	if from, to := deadlineOf(before), deadlineOf(after); to < from {
		c.add(DeadlineLowered, at, Deadline, "from %v to %v", from, to)
	}
	if before.Open && !after.Open {
		c.add(KeyRequired, at, Open, "requests without a key are refused now")
	}
	c.compareHomes(at, before.Regions, after.Regions)
}

// deadlineOf returns the deadline of a route that may leave it out.
func deadlineOf(route *ferry.Route) time.Duration {
	return cmp.Or(route.Deadline, ferry.DefaultDeadline)
}

// destinationOf returns where the requests of a route go, as text.
func destinationOf(route *ferry.Route) string {
	if len(route.Split) == 0 {
		return string(route.Service)
	}
	parts := make([]string, 0, len(route.Split))
	for _, share := range route.Split {
		parts = append(parts, fmt.Sprintf("%s (%v)", share.Service, share.Weight))
	}
	slices.Sort(parts)
	return strings.Join(parts, " + ")
}

func (c *changeChecker) compareHomes(at position, before, after []ferry.RegionID) {
	if len(after) == 0 {
		return
	}
	if len(before) == 0 {
		c.add(HomesNarrowed, at, Homes, "from all regions to %s", joinRegions(after))
		return
	}
	for _, home := range before {
		if !slices.Contains(after, home) {
			c.add(HomesNarrowed, at, Homes, "from %s to %s", joinRegions(before), joinRegions(after))
			return
		}
	}
}

func (c *changeChecker) compareAccounts(before, after []ferry.Account) {
	next := make(map[ferry.AccountID]int, len(after))
	for i := range after {
		next[after[i].ID] = i
	}
	for i := range before {
		former := &before[i]
		index, ok := next[former.ID]
		if !ok {
			c.addPath(AccountRemoved, c.locator.Top(Field(Accounts)), string(former.ID), "the account and its %d keys are no longer listed", len(former.Keys))
			continue
		}
		c.compareAccount(index, former, &after[index])
	}
}

func (c *changeChecker) compareAccount(index int, before, after *ferry.Account) {
	at := accountAt(index, after)
	var withdrawn []string
	for _, key := range before.Keys {
		if !slices.Contains(after.Keys, key) {
			withdrawn = append(withdrawn, shortDigest(key))
		}
	}
	if len(withdrawn) > 0 {
		c.add(KeysWithdrawn, at, Keys, "%d of %d keys are no longer listed (digests %s)", len(withdrawn), len(before.Keys), strings.Join(withdrawn, ", "))
	}
	if before.IsBroken || after.IsBroken {
		return
	}
	if isLower(before.Rate, after.Rate) {
		c.add(AllowanceLowered, at, Rate, "from %s to %v requests per second", orNone(before.Rate), after.Rate)
	}
	// Without a rate, the burst is not limited either.
	if before.Rate > 0 && after.Rate > 0 && after.Burst < before.Burst {
		c.add(AllowanceLowered, at, Burst, "from %v to %v requests at one instant", before.Burst, after.Burst)
	}
	c.compareHomes(at, before.Regions, after.Regions)
}
