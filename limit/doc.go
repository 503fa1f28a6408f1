// Package limit enforces the rate and burst of client accounts across all VMs
// without shared state and without agreement about which VMs exist.
//
// # Concept
//
// Every VM owns an equal share of every client account's allowance: one part in
// MaxVMs, the largest number of VMs alive at once. Accounts are divided into
// Shards by hash. For each shard, a VM leases its share to one holder at a time
// for a LeaseTerm. The holder counts the term from its request, the lessor from
// its reply, so a lease always ends at the holder first.
//
// A holder keeps a token bucket per active account. The bucket fills at the
// held share of the rate and is capped at the held share of the burst; granted
// tokens that are not yet spent count towards the cap. Losing a share truncates
// the bucket; gaining a share adds no tokens. The tokens of an account
// therefore never exceed its burst and accrue at no more than its rate, even
// when the VMs' membership views differ. In a partition, each side keeps the
// shares of its own VMs.
//
// A VM that serves callers keeps a pool per account. A pool requests grants
// from the holder, on demand or by prefetch, and reports the allowance as used
// up only when the holder's reply says so. A grant is valid for GrantLifetime
// from the time of its request.
//
// # Usage
//
// Lessor and Holder read no clock: the caller passes the current moment.
//
//	request := holder.RequestLeases(now, placement.HeldBy(self))
//	holder.Renew(now, lessor.Lease(now, request, placement))
//	reply := holder.Grant(now, tokenRequest)
//
// Pools serves the request path and is safe for concurrent use:
//
//	permit, err := pools.Admit(ctx, account)
package limit

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

// Numbers of shards. Every VM owns an equal share of each shard.
const (
	// AccountShards is the number of groups of client accounts.
	AccountShards = 56
	// ServiceShards is the number of groups of services. Their shares divide the
	// ejection budget, the target capacity above a service's floor.
	ServiceShards = 8
	// Shards is the total number of shards.
	Shards = AccountShards + ServiceShards
)

// AccountMask is the set of all shards of client accounts.
const AccountMask = Mask(1<<AccountShards - 1)

// Durations of leases and grants.
const (
	// LeaseTerm is the time for which a share of an allowance is leased.
	LeaseTerm = 3 * time.Second
	// ServiceLeaseTerm is the time for which a share of an ejection budget is
	// leased. It is longer than LeaseTerm because ejections outlast grants.
	ServiceLeaseTerm = 6 * time.Second
	// GrantLifetime is the time for which a grant may be spent.
	GrantLifetime = 400 * time.Millisecond
	// MaxClockDrift bounds the drift between monotonic clocks over a LeaseTerm.
	MaxClockDrift = 30 * time.Millisecond
	// restartMargin is added to the lease term. A new process waits for their
	// sum before it leases its share, so that every lease of an earlier process
	// of the VM has expired.
	restartMargin = 2 * MaxClockDrift
)

// leaseTermOf returns the time for which a share of the shard is leased.
func leaseTermOf(shard int) time.Duration {
	if AccountMask.Has(shard) {
		return LeaseTerm
	}
	return ServiceLeaseTerm
}

// Mask is a set of shards.
type Mask uint64

// Has reports whether the mask contains the shard.
func (m Mask) Has(shard int) bool { return m&(1<<shard) != 0 }

// Count returns the number of shards in the mask.
func (m Mask) Count() int { return bits.OnesCount64(uint64(m)) }

// With returns the mask with the shard added.
func (m Mask) With(shard int) Mask { return m | 1<<shard }

// ShardOf returns the shard of a client account.
func ShardOf(id ferry.AccountID) int {
	return int(xxhash.Sum64String(string(id)) % AccountShards)
}

// ServiceShardOf returns the shard of a service.
func ServiceShardOf(id ferry.ServiceID) int {
	return AccountShards + int(xxhash.Sum64String(string(id))%ServiceShards)
}

// Process identifies one run of a VM's process.
type Process struct {
	VM ferry.VMID
	// Incarnation differs between two processes of the same VM.
	Incarnation uint64
}

// Placement lists the holder of each shard in one VM's view.
type Placement [Shards]ferry.VMID

// NewPlacement chooses the holder of each shard by rendezvous hashing.
func NewPlacement(vms []ferry.VMID) Placement {
	var placement Placement
	for shard := range placement {
		var highest uint64
		for _, vm := range vms {
			weight := xxhash.Sum64(append([]byte(vm), '|', byte(shard)))
			if weight > highest || placement[shard] == "" {
				highest, placement[shard] = weight, vm
			}
		}
	}
	return placement
}

// HeldBy returns the shards whose holder is the given VM.
func (p Placement) HeldBy(vm ferry.VMID) Mask {
	var mask Mask
	for shard, holder := range p {
		if holder == vm {
			mask = mask.With(shard)
		}
	}
	return mask
}
