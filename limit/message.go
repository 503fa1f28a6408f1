package limit

import (
	"time"

	"monsoonferry.org/ferry"
)

// LeaseRequest asks a VM to lend its share of some shards.
type LeaseRequest struct {
	// Holder is the process that asks.
	Holder Process
	// Sequence identifies the ask among those of the holder.
	Sequence uint64
	Mask     Mask
}

// LeaseReply lends the share of the answering VM for a Term that starts when
// the holder asked.
type LeaseReply struct {
	Lessor Process
	// Holder and Sequence repeat those of the ask.
	Holder   Process
	Sequence uint64
	// Mask lists the shards that are lent.
	Mask Mask
	// Parts is the number of equal parts of the allowance; one of them is lent.
	Parts int
	// Released tell which shares came straight from an earlier holder.
	Released []ReleasedShards
}

// ReleaseID identifies the return with which a holder gave shares back.
type ReleaseID struct {
	Holder Process
	// Sequence is that of the LeaseReturn.
	Sequence uint64
}

// ReleasedShards lists the shards whose last loan ended with the same return.
type ReleasedShards struct {
	Release ReleaseID
	Mask    Mask
}

// LeaseRelease ends leases early. The lender waits for GrantLife before it
// lends the share again, since grants may still be in use. Asks and answers
// with a lower sequence no longer concern the returned shards.
type LeaseRelease struct {
	Holder   Process
	Sequence uint64
	Mask     Mask
}

// HandOver passes the unspent tokens of returned shares to the next holder. A
// token can be used only together with the share that it belonged to, and
// only when no other holder had that share in between.
type HandOver struct {
	// Release is the return to which the tokens belong.
	Release  ReleaseID
	Balances []Balance
}

// Balance is the fill of the bucket of a client account.
type Balance struct {
	Account ferry.AccountID
	// Fill is the number of tokens per whole allowance; a share of one part in
	// N carries one Nth of it.
	Fill float64
}

// TokenRequest asks the holder for tokens of one client account.
type TokenRequest struct {
	From Process
	// Sequence identifies the ask and the grant that answers it.
	Sequence uint64
	Account  ferry.AccountID
	// Needed is the number of tokens for requests that wait.
	Needed int
	// Prefetch is the number of tokens that would be welcome beyond Need.
	Prefetch int
	// Reports tell the state of earlier grants.
	Reports []Report
}

// Report is the cumulative state of one grant.
type Report struct {
	// Sequence is that of the ask that the grant answered.
	Sequence uint64
	Spent    int
	// Returned tokens will not be spent any more.
	Returned int
}

// GrantStatus is the holder's statement about tokens that it did not grant.
type GrantStatus int

// Words of a holder.
const (
	// StatusGranted means that every needed token was granted.
	StatusGranted GrantStatus = iota
	// StatusEmpty means that the allowance is used up.
	StatusEmpty
	// StatusNoShare means that the holder holds no share and cannot say.
	StatusNoShare
	// StatusNoAccount means that the holder does not know the account.
	StatusNoAccount
)

// TokenReply gives tokens that live for GrantLife from the ask.
type TokenReply struct {
	// Sequence repeats that of the ask.
	Sequence uint64
	Account  ferry.AccountID
	Granted  int
	Status   GrantStatus
	// RetryAfter is the time until the next token when Word is WordEmpty.
	RetryAfter time.Duration
}

// String returns the name of the word as it appears in logs.
func (w GrantStatus) String() string {
	switch w {
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
