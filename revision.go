package ferry

import (
	"log/slog"
	"strconv"
)

const (
	// revisionBits is the number of bits of the store's own revision.
	revisionBits = 48
	// maxNumber is the largest believable revision of the store.
	maxNumber = 1<<revisionBits - 1
)

// MaxEpoch is the largest believable epoch of the store.
const MaxEpoch = 1<<(64-revisionBits) - 1

// Revision orders the states of the store: by the epoch, which rises each time the store
// is restored from an older copy, and within an epoch by the store's own revision, which goes
// back then. Records hold it as a number, whose order is the same.
type Revision uint64

// NewRevision returns the Revision of an epoch and the store's own revision. ok is false if
// one of them is larger than any store states.
func NewRevision(epoch, number uint64) (revision Revision, ok bool) {
	if epoch > MaxEpoch || number > maxNumber {
		return 0, false
	}
	return Revision(epoch<<revisionBits | number), true
}

// Epoch returns the epoch, zero for a store that states none.
func (r Revision) Epoch() uint64 { return uint64(r) >> revisionBits }

// Number returns the store's own revision.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// LogValue implements slog.LogValuer: EPOCH/NUMBER, or the number in the epoch zero.
func (r Revision) LogValue() slog.Value {
	if r.Epoch() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.StringValue(strconv.FormatUint(r.Epoch(), 10) + "/" + strconv.FormatUint(r.Number(), 10))
}
