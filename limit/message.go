package limit

import (
	"time"

	"monsoonferry.org/ferry"
)

// LeaseRequest asks a VM to lease its share of some shards.
type LeaseRequest struct {
	// Holder is the requesting process.
	Holder Process
	// Sequence identifies the request among those of the holder.
	Sequence uint64
	Mask     Mask
}

// LeaseReply leases the share of the replying VM. The lease term counts from
// the request: LeaseTerm, or ServiceLeaseTerm for shards of services.
type LeaseReply struct {
	Lessor Process
	// Holder and Sequence repeat those of the request.
	Holder   Process
	Sequence uint64
	// Mask lists the shards that are leased.
	Mask Mask
	// Parts is the number of equal parts of the allowance; one is leased.
	Parts int
	// Released lists the shards whose previous lease ended with a release.
	Released []ReleasedShards
}

// ReleaseID identifies a LeaseRelease.
type ReleaseID struct {
	Holder Process
	// Sequence is that of the LeaseRelease.
	Sequence uint64
}

// ReleasedShards lists the shards whose previous lease ended with one release.
type ReleasedShards struct {
	Release ReleaseID
	Mask    Mask
}

// LeaseRelease ends leases early. The lessor waits for GrantLifetime before it
// leases the share again, since grants may still be in use. Requests and
// replies with a lower sequence no longer apply to the released shards.
type LeaseRelease struct {
	Holder   Process
	Sequence uint64
	Mask     Mask
}

// HandOver passes the unspent tokens of released shares to the next holder. A
// token can be used only together with the share that it belonged to, and
// only when no other holder had that share in between.
type HandOver struct {
	// Release identifies the release of the shares to which the tokens belong.
	Release  ReleaseID
	Balances []Balance
}

// Balance is the bucket level of a client account.
type Balance struct {
	Account ferry.AccountID
	// Fill is the level in tokens, scaled up to the whole allowance; a share of
	// one part in N carries one Nth of it.
	Fill float64
}

// TokenRequest asks the holder for tokens of one client account.
type TokenRequest struct {
	From Process
	// Sequence identifies the request and the resulting grant.
	Sequence uint64
	Account  ferry.AccountID
	// Needed is the number of tokens for waiting client requests.
	Needed int
	// Prefetch is the number of tokens requested beyond Needed for later use.
	Prefetch int
	// Reports list the states of earlier grants.
	Reports []Report
}

// Report is the cumulative state of one grant.
type Report struct {
	// Sequence is that of the TokenRequest.
	Sequence uint64
	Spent    int
	// Returned is the number of tokens that will not be spent.
	Returned int
}

// GrantStatus tells whether a holder granted every needed token, or why not.
type GrantStatus int

// Statuses of a TokenReply.
const (
	// StatusGranted means that every needed token was granted.
	StatusGranted GrantStatus = iota
	// StatusEmpty means that the allowance is used up.
	StatusEmpty
	// StatusNoShare means that the allowance is unknown: the VM holds no share, or
	// has held its shares for too short a time to know what the account saved.
	StatusNoShare
	// StatusNoAccount means that the holder's inventory lacks the account.
	StatusNoAccount
)

// TokenReply grants tokens that are valid for GrantLifetime from the request.
type TokenReply struct {
	// Sequence repeats that of the request.
	Sequence uint64
	Account  ferry.AccountID
	Granted  int
	Status   GrantStatus
	// RetryAfter is the time until the next token when Status is StatusEmpty.
	RetryAfter time.Duration
}

// String returns the name of the status as it appears in logs.
func (s GrantStatus) String() string {
	switch s {
	case StatusGranted:
		return "Granted"
	case StatusEmpty:
		return "Empty"
	case StatusNoShare:
		return "NoShare"
	case StatusNoAccount:
		return "NoAccount"
	}
	return "Invalid"
}
