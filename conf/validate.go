package conf

import (
	"fmt"
	"strings"

	"monsoonferry.org/ferry"
)

// validate adds a problem for every rule that the inventory breaks.
func validate(inventory *ferry.Inventory, problems *ProblemsError) {
	if inventory.Version == 0 {
		problems.add("Version", "the version must be above zero")
	}
	if inventory.MaxVMs <= 0 {
		problems.add("MaxVMs", "the number of VMs must be above zero")
	}
	places := map[string]bool{}
	for i, p := range inventory.Places {
		path := fmt.Sprintf("Places[%d]", i)
		checkID(path, string(p.ID), places, problems)
		if p.Region == "" {
			problems.add(path+".Region", "the field is required")
		}
	}
	services := validateServices(inventory.Services, problems)
	validateTargets(inventory.Targets, services, places, problems)
	validateAccounts(inventory.Accounts, problems)
	validateRoutes(inventory.Routes, services, problems)
}

func checkID(path, id string, seen map[string]bool, problems *ProblemsError) {
	if id == "" {
		problems.add(path+".ID", "the field is required")
		return
	}
	if seen[id] {
		problems.add(path+".ID", "%q is used twice", id)
	}
	seen[id] = true
}

func checkReference(path, id string, existing map[string]bool, problems *ProblemsError) {
	if !existing[id] {
		problems.add(path, "%q does not exist", id)
	}
}

func validateServices(services []ferry.Service, problems *ProblemsError) map[string]bool {
	seen := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("Services[%d]", i)
		checkID(path, string(s.ID), seen, problems)
		checkShare(path+".Floor", s.Rules.Floor, problems)
		checkShare(path+".RetryBudget", s.Rules.RetryBudget, problems)
		if s.Rules.BaselineErrors <= 0 || s.Rules.BaselineErrors > maxBaselineErrors {
			problems.add(path+".BaselineErrors", "the share must be above 0 and at most %v", maxBaselineErrors)
		}
		if s.Rules.Sensitivity <= 0 {
			problems.add(path+".Sensitivity", "the number must be above zero")
		}
	}
	return seen
}

// maxBaselineErrors is the largest error share of a healthy target. Above it, a
// target that fails 20% of its requests would look like a healthy one.
const maxBaselineErrors = 0.1

func checkShare(path string, share float64, problems *ProblemsError) {
	if share < 0 || share > 1 {
		problems.add(path, "the share must be between 0 and 1")
	}
}

func validateTargets(targets []ferry.Target, services, places map[string]bool, problems *ProblemsError) {
	seen := map[string]bool{}
	for i, t := range targets {
		path := fmt.Sprintf("Targets[%d]", i)
		checkID(path, string(t.ID), seen, problems)
		checkReference(path+".Service", string(t.Service), services, problems)
		checkReference(path+".Place", string(t.Place), places, problems)
		if t.Slots <= 0 {
			problems.add(path+".Slots", "the number must be above zero")
		}
		if t.MaxConnections <= 0 {
			problems.add(path+".MaxConnections", "the number must be above zero")
		}
	}
}

// minBurst is the smallest burst in tokens. It leaves one token for half of the fleet.
const minBurst = 2

func validateAccounts(accounts []ferry.Account, problems *ProblemsError) {
	seen := map[string]bool{}
	owners := map[ferry.KeyHash]ferry.AccountID{}
	for i, a := range accounts {
		path := fmt.Sprintf("Accounts[%d]", i)
		checkID(path, string(a.ID), seen, problems)
		if a.Rate <= 0 {
			problems.add(path+".Rate", "the rate must be above zero")
		}
		if a.Burst < minBurst {
			problems.add(path+".Burst", "the burst must be at least %v, so that a part of the fleet can still admit a request", minBurst)
		}
		for j, key := range a.Keys {
			if owner, taken := owners[key]; taken {
				problems.add(fmt.Sprintf("%s.Keys[%d]", path, j), "the key belongs to %q already", owner)
			}
			owners[key] = a.ID
		}
	}
}

func validateRoutes(routes []ferry.Route, services map[string]bool, problems *ProblemsError) {
	seen := map[string]bool{}
	patterns := map[string]ferry.RouteID{}
	for i, r := range routes {
		path := fmt.Sprintf("Routes[%d]", i)
		checkID(path, string(r.ID), seen, problems)
		checkReference(path+".Service", string(r.Service), services, problems)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			problems.add(path+".PathPrefix", "the prefix must start with /")
		}
		if r.Host != strings.ToLower(r.Host) {
			problems.add(path+".Host", "the host must be in lower case")
		}
		if r.BodyLimit < 0 {
			problems.add(path+".BodyLimit", "the limit must be above zero")
		}
		pattern := r.Host + r.PathPrefix
		if other, taken := patterns[pattern]; taken {
			problems.add(path, "host and prefix are the same as those of %q", other)
		}
		patterns[pattern] = r.ID
		for j, method := range r.IdempotentMethods {
			if method == "" || method != strings.ToUpper(method) {
				problems.add(fmt.Sprintf("%s.IdempotentMethods[%d]", path, j), "the method must be in upper case")
			}
		}
	}
}
