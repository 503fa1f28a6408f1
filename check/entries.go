package check

import (
	"encoding/hex"
	"fmt"
	"strings"

	"monsoonferry.org/ferry"
)

// digestBytes is the part of a key's digest that is printed.
const digestBytes = 4

// Context is what is known of the fleet beside the inventory. What the zero value
// leaves out is not checked.
type Context struct {
	// Targets are the published targets, if HasTargets is set.
	Targets    []ferry.Target
	HasTargets bool
	// Regions holds the places of the settings.
	Regions ferry.Regions
	// RetryRatio is the ratio of retries that the fleet may make, if HasRetryRatio is
	// set.
	RetryRatio    float64
	HasRetryRatio bool
	// MemoryLimit is the memory of a VM in bytes, or zero if unknown.
	MemoryLimit int64
}

// Entries returns the findings about the entries of one inventory.
func Entries(inventory *ferry.Inventory, fleet Context, locator Locator) []Finding {
	checker := entryChecker{
		collector: collector{locator: locator}, inventory: inventory, fleet: fleet,
		served: map[ferry.ServiceID]map[ferry.RegionID]bool{}, anywhere: map[ferry.RegionID]bool{}, known: map[ferry.RegionID]bool{},
		listed: map[ferry.ServiceID]bool{}, unreadable: map[string]bool{},
	}
	for _, target := range fleet.Targets {
		checker.addTarget(target)
	}
	for _, region := range fleet.Regions {
		checker.known[region] = true
	}
	for _, service := range inventory.Services {
		checker.listed[service.ID] = true
	}
	for _, finding := range inventory.Findings {
		checker.unreadable[finding.Rule] = true
	}
	checker.checkLimits()
	checker.checkServices()
	checker.checkNames()
	checker.checkPatterns()
	for i := range inventory.Routes {
		checker.checkRoute(i, &inventory.Routes[i])
	}
	checker.checkAccounts()
	return checker.findings
}

// entryChecker holds what the checks of one inventory share.
type entryChecker struct {
	collector
	inventory *ferry.Inventory
	fleet     Context
	// served holds the regions of the targets of each service, and anywhere those of
	// all. Targets that are leaving don't count.
	served   map[ferry.ServiceID]map[ferry.RegionID]bool
	anywhere map[ferry.RegionID]bool
	// known holds the regions of the settings.
	known  map[ferry.RegionID]bool
	listed map[ferry.ServiceID]bool
	// unreadable holds the rules of the decoder's findings: what refers to an unreadable
	// entry is not known.
	unreadable map[string]bool
}

func (c *entryChecker) addTarget(target ferry.Target) {
	if target.Leaving {
		return
	}
	regions := c.served[target.Service]
	if regions == nil {
		regions = map[ferry.RegionID]bool{}
		c.served[target.Service] = regions
	}
	region := c.fleet.Regions[target.Place]
	regions[region], c.anywhere[region] = true, true
}

func routeAt(index int, route *ferry.Route) position {
	return position{list: Routes, index: index, name: string(route.ID)}
}

func accountAt(index int, account *ferry.Account) position {
	return position{list: Accounts, index: index, name: string(account.ID)}
}

func (c *entryChecker) checkLimits() {
	limits := c.inventory.Limits
	if memory := c.fleet.MemoryLimit; memory > 0 && limits.BodyBytes > memory {
		c.addPath(BodyAboveMemory, c.locator.Top(BodyBytes), "", "bodies may have %d bytes, a VM has a memory of %d", limits.BodyBytes, memory)
	}
	for _, limit := range []struct {
		field Field
		bytes int64
	}{{HeaderBytes, limits.HeaderBytes}, {BodyBytes, limits.BodyBytes}} {
		if limit.bytes < 0 {
			c.addPath(NegativeNumber, c.locator.Top(limit.field), "", "%d is below zero", limit.bytes)
		}
	}
}

func (c *entryChecker) checkServices() {
	if c.unreadable[UnreadableRoute] {
		return
	}
	used := map[ferry.ServiceID]bool{}
	for i := range c.inventory.Routes {
		for _, service := range servicesOf(&c.inventory.Routes[i]) {
			used[service] = true
		}
	}
	for i, service := range c.inventory.Services {
		if !used[service.ID] {
			c.add(UnusedService, position{list: Services, index: i, name: string(service.ID)}, Whole, "no route uses the service")
		}
	}
}

// servicesOf returns the services of a route.
func servicesOf(route *ferry.Route) []ferry.ServiceID {
	if len(route.Split) == 0 {
		return []ferry.ServiceID{route.Service}
	}
	services := make([]ferry.ServiceID, 0, len(route.Split))
	for _, share := range route.Split {
		services = append(services, share.Service)
	}
	return services
}

func (c *entryChecker) checkNames() {
	seen := make(map[position]int, len(c.inventory.Routes)+len(c.inventory.Services)+len(c.inventory.Accounts))
	check := func(at position) {
		key := position{list: at.list, name: at.name}
		if first, ok := seen[key]; ok && at.name != "" {
			c.add(RepeatedName, at, Whole, "%s has the same name", c.locator.Entry(at.list, first, Whole))
			return
		}
		seen[key] = at.index
	}
	for i := range c.inventory.Routes {
		check(routeAt(i, &c.inventory.Routes[i]))
	}
	for i, service := range c.inventory.Services {
		check(position{list: Services, index: i, name: string(service.ID)})
	}
	for i := range c.inventory.Accounts {
		check(accountAt(i, &c.inventory.Accounts[i]))
	}
}

// pattern is what selects the requests of a route.
type pattern struct{ host, prefix string }

// checkPatterns looks for routes that are equal, or that can match little or nothing.
func (c *entryChecker) checkPatterns() {
	// exact holds the last route of each pattern, which gets the requests.
	exact := map[pattern]int{}
	for i := range c.inventory.Routes {
		exact[patternOf(&c.inventory.Routes[i])] = i
	}
	for i := range c.inventory.Routes {
		route := &c.inventory.Routes[i]
		at, own := routeAt(i, route), patternOf(route)
		if last := exact[own]; last != i {
			c.add(EqualRoute, at, PathPrefix, "%s has the same host and prefix and gets the requests", c.locator.Entry(Routes, last, Whole))
			continue
		}
		usual := pattern{host: strings.ToLower(own.host), prefix: "/" + strings.Trim(own.prefix, "/") + "/"}
		if usual.prefix == "//" {
			usual.prefix = "/"
		}
		if other, ok := exact[usual]; ok && other != i {
			c.add(HiddenRoute, at, PathPrefix, "%s gets its requests, except for those of exactly %q", c.locator.Entry(Routes, other, Whole), own.host+own.prefix)
			continue
		}
		if usual.prefix != own.prefix {
			c.add(OddPrefix, at, PathPrefix, "%q does not begin and end with one slash", own.prefix)
		}
		if usual.host != own.host || strings.ContainsAny(own.host, ":/ ") {
			c.add(OddHost, at, Host, "%q can't be the host of a request", own.host)
		}
	}
}

func patternOf(route *ferry.Route) pattern {
	return pattern{host: route.Host, prefix: route.PathPrefix}
}

func (c *entryChecker) checkRoute(index int, route *ferry.Route) {
	if route.IsBroken {
		return
	}
	at := routeAt(index, route)
	if deadline := deadlineOf(route); route.Objective > deadline {
		c.add(LateObjective, at, Objective, "the objective of %v is above the deadline of %v", route.Objective, deadline)
	}
	if route.Attempts > 1 && c.fleet.HasRetryRatio && c.fleet.RetryRatio <= 0 {
		c.add(UnpayableAttempts, at, Attempts, "%d attempts are allowed, but the settings allow no retries", route.Attempts)
	}
	c.checkNumber(at, Attempts, float64(route.Attempts))
	c.checkNumber(at, Priority, float64(route.Priority))
	for i, share := range route.Split {
		if share.Weight <= 0 {
			c.addPath(EmptyPart, fmt.Sprintf("%s[%d]", c.locator.Entry(Routes, index, Split), i), at.name, "the weight of %s is %v", share.Service, share.Weight)
		}
	}
	c.checkKnownHomes(at, route.Regions)
	c.checkRouteServices(at, route)
}

func (c *entryChecker) checkNumber(at position, field Field, number float64) {
	if number < 0 {
		c.add(NegativeNumber, at, field, "%v is below zero", number)
	}
}

func (c *entryChecker) checkRouteServices(at position, route *ferry.Route) {
	field := Service
	if len(route.Split) > 0 {
		field = Split
	}
	for _, service := range servicesOf(route) {
		if !c.listed[service] && !c.unreadable[UnreadableService] {
			c.add(UnlistedService, at, field, "the service %q is not listed", service)
		}
		if !c.fleet.HasTargets {
			continue
		}
		regions := c.served[service]
		switch {
		case len(regions) == 0:
			c.add(NoTargets, at, field, "the service %q has no target that stays", service)
		case !c.canServe(regions, route.Regions):
			c.add(HomesWithoutTarget, at, Homes, "the service %q has no target in %s", service, joinRegions(route.Regions))
		}
	}
}

// canServe reports whether targets in the regions may get requests with the homes.
// Without places in the settings, the regions of targets are not known.
func (c *entryChecker) canServe(regions map[ferry.RegionID]bool, homes []ferry.RegionID) bool {
	if len(homes) == 0 || len(c.fleet.Regions) == 0 {
		return true
	}
	for _, home := range homes {
		if regions[home] {
			return true
		}
	}
	return false
}

func (c *entryChecker) checkKnownHomes(at position, homes []ferry.RegionID) {
	if len(c.known) == 0 {
		return
	}
	for _, home := range homes {
		if !c.known[home] {
			c.add(UnknownHome, at, Homes, "the settings have no place in the region %q", home)
		}
	}
}

func joinRegions(regions []ferry.RegionID) string {
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	return strings.Join(names, ", ")
}

func (c *entryChecker) checkAccounts() {
	owners := make(map[ferry.KeyHash]int, len(c.inventory.Accounts))
	for i := range c.inventory.Accounts {
		account := &c.inventory.Accounts[i]
		at := accountAt(i, account)
		for j, key := range account.Keys {
			first, ok := owners[key]
			if ok && c.inventory.Accounts[first].ID != account.ID {
				c.addPath(SharedKey, fmt.Sprintf("%s[%d]", c.locator.Entry(Accounts, i, Keys), j), at.name,
					"%s has the key too (digest %s)", c.locator.Entry(Accounts, first, Whole), shortDigest(key))
			}
			owners[key] = i
		}
		if !account.IsBroken {
			c.checkAccount(at, account)
		}
	}
}

// shortDigest returns the part of a key's digest by which operators can find it.
func shortDigest(key ferry.KeyHash) string { return hex.EncodeToString(key[:digestBytes]) }

func (c *entryChecker) checkAccount(at position, account *ferry.Account) {
	if len(account.Keys) == 0 {
		c.add(NoKeys, at, Keys, "the account has no key")
	}
	switch {
	case account.Rate > 0 && account.Rate < 1:
		c.add(SmallRate, at, Rate, "%v requests per second are less than one", account.Rate)
	case account.Rate == 0 && account.Burst > 0:
		c.add(BurstWithoutRate, at, Rate, "a burst of %v limits nothing without a rate", account.Burst)
	}
	if account.Rate > 0 && account.Burst >= 0 && account.Burst < 1 {
		c.add(SmallBurst, at, Burst, "a burst of %v lets no two requests through at one instant", account.Burst)
	}
	c.checkNumber(at, Rate, account.Rate)
	c.checkNumber(at, Burst, account.Burst)
	c.checkNumber(at, Priority, float64(account.Priority))
	c.checkKnownHomes(at, account.Regions)
	if c.fleet.HasTargets && len(c.anywhere) > 0 && !c.canServe(c.anywhere, account.Regions) {
		c.add(HomesWithoutTarget, at, Homes, "no service has a target in %s", joinRegions(account.Regions))
	}
}
