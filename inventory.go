package ferry

import (
	"crypto/sha256"
	"net/netip"
	"time"
)

// Identifiers of the domain. Each is unique within its kind.
type (
	// VMID names a VM.
	VMID string
	// PlaceID names a place.
	PlaceID string
	// RegionID names a region.
	RegionID string
	// ServiceID names a service.
	ServiceID string
	// TargetID names a target.
	TargetID string
	// AccountID names a client account.
	AccountID string
	// RouteID names a route.
	RouteID string
)

// KeyHash is the SHA-256 digest of a client account's key. Keys themselves are
// never published or stored.
type KeyHash [sha256.Size]byte

// HashKey returns the digest under which key is published.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// Place is a data centre.
type Place struct {
	ID     PlaceID
	Region RegionID
}

// VM is one machine of the fleet as the platform lists it.
type VM struct {
	ID      VMID
	Place   PlaceID
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort
	// Leaving reports that the VM is about to stop.
	Leaving bool
}

// VMList is one answer of the platform's list of VMs.
type VMList struct {
	Version uint64
	VMs     []VM
}

// Service is a group of interchangeable targets with its rules.
type Service struct {
	ID    ServiceID
	Rules Rules
}

// Rules are the limits that operators set for a service. The zero value of
// each field stands for the default that Normal returns.
type Rules struct {
	// Floor is the least share, from 0 to 1, of a service's slots that ejection
	// must leave in use.
	Floor float64
	// Sensitivity multiplies the speed of detection. Values above 1 detect
	// sooner and eject wrongly more often.
	Sensitivity float64
	// BaselineErrors is the share of attempts that fails on a healthy target.
	BaselineErrors float64
	// RetryBudget is the most retries per first attempt, from 0 to 1.
	RetryBudget float64
	// MaxEjection bounds the time that a flapping target stays ejected.
	MaxEjection time.Duration
	// StallAfter is the longest time without progress of an answer.
	StallAfter time.Duration
}

// Defaults of Rules.
const (
	DefaultFloor          = 0.6
	DefaultSensitivity    = 1.0
	DefaultBaselineErrors = 0.005
	DefaultRetryBudget    = 0.1
	DefaultMaxEjection    = 2 * time.Minute
	DefaultStallAfter     = 2 * time.Second
)

// Normal returns r with every zero field replaced by its default.
func (r Rules) Normal() Rules {
	r.Floor = orDefault(r.Floor, DefaultFloor)
	r.Sensitivity = orDefault(r.Sensitivity, DefaultSensitivity)
	r.BaselineErrors = orDefault(r.BaselineErrors, DefaultBaselineErrors)
	r.RetryBudget = orDefault(r.RetryBudget, DefaultRetryBudget)
	r.MaxEjection = orDefault(r.MaxEjection, DefaultMaxEjection)
	r.StallAfter = orDefault(r.StallAfter, DefaultStallAfter)
	return r
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Target is one back-end process that serves a service.
type Target struct {
	ID      TargetID
	Service ServiceID
	Place   PlaceID
	Address netip.AddrPort
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxConnections bounds the connections from the whole fleet.
	MaxConnections int
	// Leaving reports that the target takes no new work.
	Leaving bool
}

// Account is a client account with its allowance across the whole fleet.
type Account struct {
	ID AccountID
	// Rate is the allowance in requests per second.
	Rate float64
	// Burst is the most requests admitted at one instant.
	Burst float64
	// Keys are the digests of the keys in force.
	Keys []KeyHash
}

// Route maps requests by host and path prefix to a service.
type Route struct {
	ID RouteID
	// Host is the requested host name in lower case. An empty host matches all.
	Host       string
	PathPrefix string
	Service    ServiceID
	// Open reports that callers need no key.
	Open bool
	// IdempotentMethods lists the methods that may run more than once.
	IdempotentMethods []string
	Deadline          time.Duration
	// BodyLimit is the largest request body in bytes.
	BodyLimit int64
}

// Defaults of a Route.
const (
	DefaultDeadline        = 30 * time.Second
	DefaultBodyLimit int64 = 1 << 20
)

// IsIdempotent reports whether a request with the given method may run more
// than once on this route.
func (r Route) IsIdempotent(method string) bool {
	for _, m := range r.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// Inventory is everything that operators publish, in one version. It is
// immutable once it has been accepted.
type Inventory struct {
	Version uint64
	// MaxVMs is the most VMs that are alive at the same time.
	MaxVMs   int
	Places   []Place
	Services []Service
	Targets  []Target
	Accounts []Account
	Routes   []Route
}
