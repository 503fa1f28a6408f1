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

// MaxEra is the largest believable era of the store.
const MaxEra = 1<<(64-revisionBits) - 1

// Revision orders the states of the store: by the era, which rises each time the store
// comes back from an older copy, and within an era by the store's own revision, which goes
// back then. Records hold it as a number, whose order is the same.
type Revision uint64

// NewRevision returns the Revision of an era and the store's own revision. ok is false if
// one of them is larger than any store states.
func NewRevision(era, number uint64) (revision Revision, ok bool) {
	if era > MaxEra || number > maxNumber {
		return 0, false
	}
	return Revision(era<<revisionBits | number), true
}

// Era returns the era, zero for a store that states none.
func (r Revision) Era() uint64 { return uint64(r) >> revisionBits }

// Number returns the store's own revision.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// LogValue implements slog.LogValuer: ERA/NUMBER, or the number in the era zero.
func (r Revision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.StringValue(strconv.FormatUint(r.Era(), 10) + "/" + strconv.FormatUint(r.Number(), 10))
}
