package limit

import (
	"time"

	"monsoonferry.org/ferry"
)

// issuedLease is the lease of this VM's share of one shard.
type issuedLease struct {
	holder Process
	// expiresAt is the monotonic time at which the holder's lease has expired.
	expiresAt time.Duration
	// release identifies the release that ended the lease, or is zero.
	release ReleaseID
	// previousRelease ended the lease before this one, or is zero.
	previousRelease ReleaseID
	// reportUntil is the monotonic time until which replies list previousRelease.
	reportUntil time.Duration
}

// Lessor leases the VM's own share. It is not safe for concurrent use.
type Lessor struct {
	self Process
	// parts is the number of parts in force, or 0 while the VM owns no share.
	parts int
	// ownedSince is the monotonic time since which the VM owns its share. Each
	// shard may be leased leaseTermOf(shard) + restartMargin later.
	ownedSince time.Duration
	// nextParts is a smaller number of parts in force from nextPartsAt, or 0.
	nextParts   int
	nextPartsAt time.Duration
	leases      [Shards]issuedLease
}

// NewLessor returns the lessor of a process that starts now.
func NewLessor(self Process, now ferry.Moment) *Lessor {
	return &Lessor{self: self, ownedSince: now.Monotonic}
}

// SetShare sets the number of parts and whether this VM owns one of them. A
// smaller share applies at once; a larger one only after the change has had
// time to reach every VM.
func (l *Lessor) SetShare(now ferry.Moment, parts int, owns bool) {
	l.applyNextParts(now)
	if !owns || parts <= 0 {
		l.parts, l.nextParts = 0, 0
		return
	}
	switch {
	case l.parts == 0:
		l.parts, l.nextParts = parts, 0
		l.ownedSince = now.Monotonic
	case parts >= l.parts:
		l.parts, l.nextParts = parts, 0
	case parts != l.nextParts:
		l.nextParts, l.nextPartsAt = parts, now.Monotonic+changePropagationTime
	}
}

// changePropagationTime is the time within which every VM applies a change.
const changePropagationTime = 7 * time.Second

func (l *Lessor) applyNextParts(now ferry.Moment) {
	if l.nextParts > 0 && now.Monotonic >= l.nextPartsAt {
		l.parts, l.nextParts = l.nextParts, 0
	}
}

// Lease replies to a request. It leases the VM's share of a shard only to the
// holder in the given placement, and never to two holders at once.
func (l *Lessor) Lease(now ferry.Moment, request LeaseRequest, placement Placement) LeaseReply {
	l.applyNextParts(now)
	reply := LeaseReply{Lessor: l.self, Holder: request.Holder, Sequence: request.Sequence, Parts: l.parts}
	if l.parts == 0 {
		return reply
	}
	for shard := range l.leases {
		if !request.Mask.Has(shard) || placement[shard] != request.Holder.VM || now.Monotonic < l.ownedSince+leaseTermOf(shard)+restartMargin {
			continue
		}
		lease := &l.leases[shard]
		if !lease.renew(now, request, leaseTermOf(shard)) {
			continue
		}
		reply.Mask = reply.Mask.With(shard)
		if lease.previousRelease != (ReleaseID{}) && now.Monotonic < lease.reportUntil {
			reply.addReleased(lease.previousRelease, shard)
		}
	}
	return reply
}

// renew starts or extends the lease of the requesting holder. It returns false
// while another holder has the share and for requests sent before a release.
func (l *issuedLease) renew(now ferry.Moment, request LeaseRequest, term time.Duration) bool {
	if l.holder == request.Holder && request.Sequence <= l.release.Sequence {
		return false
	}
	if l.holder != request.Holder {
		if now.Monotonic < l.expiresAt {
			return false
		}
		*l = issuedLease{holder: request.Holder, previousRelease: l.release, reportUntil: now.Monotonic + term}
	}
	l.expiresAt = now.Monotonic + term + MaxClockDrift
	return true
}

func (r *LeaseReply) addReleased(release ReleaseID, shard int) {
	for i := range r.Released {
		if r.Released[i].Release == release {
			r.Released[i].Mask = r.Released[i].Mask.With(shard)
			return
		}
	}
	r.Released = append(r.Released, ReleasedShards{Release: release, Mask: Mask(0).With(shard)})
}

// Release lets leases end early, once the grants that they back have expired.
func (l *Lessor) Release(now ferry.Moment, release LeaseRelease) {
	for shard := range l.leases {
		lease := &l.leases[shard]
		if !release.Mask.Has(shard) || lease.holder != release.Holder || release.Sequence <= lease.release.Sequence {
			continue
		}
		if now.Monotonic >= lease.expiresAt {
			continue
		}
		lease.release = ReleaseID{Holder: release.Holder, Sequence: release.Sequence}
		lease.expiresAt = min(lease.expiresAt, now.Monotonic+GrantLifetime+MaxClockDrift)
	}
}

// ActiveLeases returns the number of shards whose share is leased now.
func (l *Lessor) ActiveLeases(now ferry.Moment) int {
	count := 0
	for shard := range l.leases {
		if now.Monotonic < l.leases[shard].expiresAt {
			count++
		}
	}
	return count
}

// Parts returns the number of parts in force, or 0 while the VM owns no share.
func (l *Lessor) Parts() int { return l.parts }
