package ferry

import (
	"cmp"
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

// VMList is one version of the platform's list of VMs.
type VMList struct {
	Version uint64
	VMs     []VM
}

// Service is a group of interchangeable targets with its rules.
type Service struct {
	ID    ServiceID
	Rules Rules
	// MaxConnections bounds the connections from the whole fleet to one target.
	// Zero means that each target states its own bound.
	MaxConnections int
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second, from the whole fleet, that a
	// cold target tolerates. Zero means no limit.
	ColdRate float64
}

// Rules are the limits that operators set for a service. The zero value of
// each field stands for the default that WithDefaults returns.
type Rules struct {
	// Floor is the smallest fraction, from 0 to 1, of a service's slots that
	// ejection must leave in use.
	Floor float64
	// Sensitivity multiplies the speed of fault detection. Values above 1 detect
	// sooner and eject healthy targets more often.
	Sensitivity float64
	// BaselineErrors is the fraction of attempts that fail on a healthy target.
	BaselineErrors float64
	// RetryBudget is the largest ratio of retries to first attempts, from 0 to 1.
	RetryBudget float64
	// MaxEjection bounds the time for which a flapping target stays ejected.
	MaxEjection time.Duration
	// StallAfter is the longest time for which a response may make no progress.
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

// WithDefaults returns r with every zero field replaced by its default.
func (r Rules) WithDefaults() Rules {
	r.Floor = cmp.Or(r.Floor, DefaultFloor)
	r.Sensitivity = cmp.Or(r.Sensitivity, DefaultSensitivity)
	r.BaselineErrors = cmp.Or(r.BaselineErrors, DefaultBaselineErrors)
	r.RetryBudget = cmp.Or(r.RetryBudget, DefaultRetryBudget)
	r.MaxEjection = cmp.Or(r.MaxEjection, DefaultMaxEjection)
	r.StallAfter = cmp.Or(r.StallAfter, DefaultStallAfter)
	return r
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
	// Leaving reports that the target takes no new requests.
	Leaving bool
	// Incarnation differs between two starts under one ID. Zero means unknown.
	Incarnation int64
	// ColdFor is the rest of the warm-up after the target's start, as of the time
	// when the target was listed. The target is slow during the warm-up.
	ColdFor time.Duration
	// Revision is that of the target's record, which orders two of one process. Zero
	// means unknown.
	Revision uint64
	// Release is the version of the target's software.
	Release string
}

// TargetProcess identifies one process of a target.
type TargetProcess struct {
	ID          TargetID
	Address     netip.AddrPort
	Incarnation int64
}

// Process returns the identity of the target's process.
func (t *Target) Process() TargetProcess {
	return TargetProcess{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation}
}

// Account is a client account with its allowance across the whole fleet.
type Account struct {
	ID AccountID
	// Rate is the allowance in requests per second.
	Rate float64
	// Burst is the largest number of requests admitted at one instant.
	Burst float64
	// Keys are the digests of the keys in force.
	Keys []KeyHash
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the homes of the account: the only regions whose targets may get
	// its requests. An empty list allows all.
	Regions []RegionID
	// IsBroken reports that the entry could not be read whole. Its requests are
	// refused, since a part of it may have limited them.
	IsBroken bool
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
	// Kind decides which requests may run more than once.
	Kind RouteKind
	// Split divides the requests among services and replaces Service.
	Split []Share
	// Objective is the time after which a response is worth less, or zero.
	Objective time.Duration
	// Attempts is the largest number of attempts for one request, without those
	// that certainly did not run it. Zero stands for a default.
	Attempts int
	// Priority ranks the requests. Requests of priority zero are served first.
	Priority int
	// Regions are the homes of the route: the only regions whose targets may get its
	// requests. An empty list allows all.
	Regions []RegionID
	// IsBroken reports that the entry could not be read whole. Its requests are
	// refused.
	IsBroken bool
}

// RouteKind decides which requests of a route may run more than once.
type RouteKind int

// Kinds of routes.
const (
	// KindByMethod lets IdempotentMethods decide.
	KindByMethod RouteKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindUnsafe requests run at most once.
	KindUnsafe
	// KindUpload requests have large bodies and run at most once.
	KindUpload
	// KindDownload requests have large responses and may run more than once.
	KindDownload
)

// String returns the name of the kind as it appears in logs.
func (k RouteKind) String() string {
	switch k {
	case KindSafe:
		return "Safe"
	case KindUnsafe:
		return "Unsafe"
	case KindUpload:
		return "Upload"
	case KindDownload:
		return "Download"
	case KindByMethod:
	}
	return "ByMethod"
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service ServiceID
	Weight  float64
}

// CallerLimits bound the size and the duration of a caller's request. Zero sizes set
// no limit, and zero times leave the VM's own.
type CallerLimits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Defaults of a Route.
const (
	DefaultDeadline        = 30 * time.Second
	DefaultBodyLimit int64 = 1 << 20
)

// IsIdempotent reports whether a request with the given method may run more
// than once on this route.
func (r Route) IsIdempotent(method string) bool {
	if r.Kind != KindByMethod {
		return r.Kind == KindSafe || r.Kind == KindDownload
	}
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
	// MaxVMs is the largest number of VMs that are alive at the same time.
	MaxVMs   int
	Places   []Place
	Services []Service
	Targets  []Target
	Accounts []Account
	Routes   []Route
	Limits   CallerLimits
	// Findings are the parts of the configuration that could not be used as they are.
	Findings []Finding
}

// Finding is an entry of a configuration that could not be used as it is.
type Finding struct {
	// Rule identifies the check that found it.
	Rule string
	// Path is the place in the configuration, such as Routes[3].
	Path string
	// Name is the name of the entry, or empty if it has none.
	Name string
	// Text tells what is odd and what the VM makes of it.
	Text string
}
