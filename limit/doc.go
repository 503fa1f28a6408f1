// Package limit enforces the rate and burst of client accounts across all VMs
// without shared state and without agreement about which VMs exist.
//
// # Concept
//
// Every VM owns an equal share of every client account's allowance: one part
// in MaxVMs, the most VMs that are alive at once. Accounts are divided into
// Shards by hash. For each shard, a VM lends its share to one holder at a time
// for a Term. The holder's clock starts when it asked, the lender's clock when
// it answered, so the holder's right always ends first.
//
// A holder keeps a token bucket per active account. It fills at the held share
// of the rate and is capped at the held share of the burst, and grants that
// are not yet spent count inside the cap. A share that leaves truncates the
// bucket; a share that arrives brings no tokens. The tokens in existence
// therefore never exceed the burst and accrue at no more than the rate,
// whatever each VM believes about the others. A partition leaves each side its
// share.
//
// A VM that serves callers keeps a pool per account. A pool asks the holder
// for grants, on demand or a little ahead, and refuses a request only on the
// holder's word. A grant lives for GrantLife from the moment it was asked for.
//
// # Usage
//
// Lender and Holder are pure: the caller passes the current moment.
//
//	ask := holder.Ask(now, placement.Held(self))
//	holder.Renew(now, lender.Lend(now, ask, placement))
//	answer := holder.Grant(now, grantAsk)
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

// Numbers of shards. Each shard is a right that the VMs divide among them.
const (
	// AccountShards is the number of groups of client accounts.
	AccountShards = 56
	// ServiceShards is the number of groups of services. Their right is to
	// eject targets above the floor.
	ServiceShards = 8
	// Shards is the number of all shards.
	Shards = AccountShards + ServiceShards
)

// AccountMask is the set of all shards of client accounts.
const AccountMask = Mask(1<<AccountShards - 1)

// Times of leases and grants.
const (
	// LeaseTerm is the time for which a share of an allowance is lent.
	LeaseTerm = 3 * time.Second
	// ServiceLeaseTerm is the time for which a right to eject is lent. It is longer
	// because ejections live longer than grants.
	ServiceLeaseTerm = 6 * time.Second
	// GrantLifetime is the time for which a grant may be spent.
	GrantLifetime = 400 * time.Millisecond
	// MaxClockDrift is the largest difference between two steady clocks over a Term.
	MaxClockDrift = 30 * time.Millisecond
	// quarantine is added to the term of a shard for the time after which a new
	// VM may lend its share. A share that an earlier process lent has ended by
	// then.
	quarantine = 2 * MaxClockDrift
)

// termOf returns the time for which a share of the shard is lent.
func termOf(shard int) time.Duration {
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

// Placement names the holder of each shard in one VM's view.
type Placement [Shards]ferry.VMID

// NewPlacement chooses the holder of each shard by rendezvous hashing.
func NewPlacement(vms []ferry.VMID) Placement {
	var placement Placement
	for shard := range placement {
		var best uint64
		for _, vm := range vms {
			weight := xxhash.Sum64(append([]byte(vm), '|', byte(shard)))
			if weight > best || placement[shard] == "" {
				best, placement[shard] = weight, vm
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
