package conf

import (
	"cmp"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// NodeSettings holds the settings of one VM of a fleet whose VMs find each other
// through seeds and read published records. A zero bound means its default, which
// Bounds.WithDefaults sets.
type NodeSettings struct {
	ID      ferry.VMID
	Place   ferry.PlaceID
	Regions ferry.Regions
	// Callers, Ready, Control and Directory are the addresses to listen on.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Control   netip.AddrPort
	Directory netip.AddrPort
	// Peers is the UDP address for messages between VMs.
	Peers netip.AddrPort
	// Metrics is the address that serves the metrics, or the zero AddrPort for none.
	Metrics netip.AddrPort
	// Seeds are the peer addresses of the VMs from which this VM learns of others.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryLimit is the memory of the VM in bytes, or zero for no limit.
	MemoryLimit int64
	// DescriptorLimit is the number of descriptors that the process may open, with those
	// that the machine reserves for files, or zero for the limit of the process.
	DescriptorLimit int
	// Millicores is the VM's computing power in 1/1000 of a core, or zero if unknown.
	Millicores uint32
	// IsFirst reports that the whole fleet starts for the first time.
	IsFirst bool
	// FleetSize is the number of VMs that operators expect, or zero if unknown.
	FleetSize int
	// TargetHeartbeat is the interval in which targets renew their entries in the
	// store, or zero for the default.
	TargetHeartbeat time.Duration
	// SlotPreference is the extra cost of a target on which this VM owns no unused slot,
	// as a fraction of the service time. With zero the slots of a place are not dealt.
	SlotPreference float64
	// UseByPlace makes targets without a recent report count with the average use of
	// their place instead of that of all places.
	UseByPlace bool
	// NewConnectionCost is the extra cost of a target without an idle connection.
	NewConnectionCost time.Duration
	// LowerRankShare is the part of a service's room that each rank keeps beside more
	// urgent ones while requests wait, from 0 to 1, or zero for the default.
	LowerRankShare float64
	Bounds         Bounds
}

// Bounds are the limits that operators set for a fleet.
type Bounds struct {
	// RevokeWithin is the longest time for which a withdrawn key is still accepted.
	RevokeWithin time.Duration
	// ApplyWithin is the time within which a configuration is in force on all VMs.
	ApplyWithin time.Duration
	// DrainWithin is the time within which a target that leaves gets no more requests.
	DrainWithin time.Duration
	// EvacuateWithin is the time within which the targets of an evacuated place get no
	// more requests.
	EvacuateWithin time.Duration
	// GracePeriod is the time between the signal to stop and a forced kill.
	GracePeriod time.Duration
	// EntryLifetime is the longest time for which callers keep an entry response.
	EntryLifetime time.Duration
	// RetryRatio is the largest number of retries per first attempt, from 0 to 1.
	RetryRatio float64
	// RetrySlack is the largest number of retries of the whole fleet beyond that
	// ratio, in any RetryWindow.
	RetrySlack float64
	// RetryWindow is the time in which operators count retries and first attempts.
	RetryWindow time.Duration
	// Floor is the part of each service that stays in use even if its targets are
	// unhealthy, from 0 to 1.
	Floor float64
}

// Defaults of Bounds.
const (
	DefaultRevokeWithin   = 5 * time.Second
	DefaultApplyWithin    = 2 * time.Second
	DefaultDrainWithin    = 2 * time.Second
	DefaultEvacuateWithin = 5 * time.Second
	DefaultGracePeriod    = 6 * time.Second
	DefaultEntryLifetime  = 5 * time.Second
	DefaultRetryRatio     = 0.1
	DefaultRetrySlack     = 20.0
	DefaultRetryWindow    = 10 * time.Second
)

// WithDefaults returns b with every zero field replaced by its default.
func (b Bounds) WithDefaults() Bounds {
	b.RevokeWithin = cmp.Or(b.RevokeWithin, DefaultRevokeWithin)
	b.ApplyWithin = cmp.Or(b.ApplyWithin, DefaultApplyWithin)
	b.DrainWithin = cmp.Or(b.DrainWithin, DefaultDrainWithin)
	b.EvacuateWithin = cmp.Or(b.EvacuateWithin, DefaultEvacuateWithin)
	b.GracePeriod = cmp.Or(b.GracePeriod, DefaultGracePeriod)
	b.EntryLifetime = cmp.Or(b.EntryLifetime, DefaultEntryLifetime)
	b.RetryRatio = cmp.Or(b.RetryRatio, DefaultRetryRatio)
	b.RetrySlack = cmp.Or(b.RetrySlack, DefaultRetrySlack)
	b.RetryWindow = cmp.Or(b.RetryWindow, DefaultRetryWindow)
	b.Floor = cmp.Or(b.Floor, ferry.DefaultFloor)
	return b
}
