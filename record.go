package ferry

import (
	"context"
	"net/http"
	"time"
)

// Record is one published value as the platform holds it. Revisions of all
// records come from one counter that only increases, but for its epochs (see Revision).
type Record struct {
	Key      string
	Revision uint64
	// Body is empty when Deleted is set.
	Body    []byte
	Deleted bool
}

// Listing is the result of one read of the store.
type Listing struct {
	Records []Record
	// Revision is the revision after which a watch continues without a gap.
	Revision uint64
	// OddEpoch is an epoch that the store stated and that was not believed, or empty.
	OddEpoch string
}

// RecordStore gives read-only access to the published records. Its errors are
// of the type *StoreError.
type RecordStore interface {
	// List reads all records.
	List(ctx context.Context) (Listing, error)
	// Watch returns the records that changed after the revision, or none when
	// nothing changed during wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
}

// StoreFault classifies the failure of a call to the store.
type StoreFault int

// Faults of the store.
const (
	// StoreSilent means that no response came in time or the connection broke.
	StoreSilent StoreFault = iota
	// StoreBusy means that the store refused the call because of too many calls.
	StoreBusy
	// StoreAway means that the store refused the call for another reason.
	StoreAway
	// StoreCompacted means that the changes after the revision are no longer kept.
	StoreCompacted
	// StoreMalformed means that the response could not be decoded.
	StoreMalformed
)

// String returns the name of the fault as it appears in logs.
func (f StoreFault) String() string {
	names := [...]string{"Silent", "Busy", "Away", "Compacted", "Malformed"}
	if f < 0 || int(f) >= len(names) {
		return "Invalid"
	}
	return names[f]
}

// StoreError is a failed call to the store.
type StoreError struct {
	Fault  StoreFault
	Detail string
}

// Error implements error.
func (e *StoreError) Error() string {
	return "store " + e.Fault.String() + ": " + e.Detail
}

// RecordDecoder decodes the records of the store.
type RecordDecoder interface {
	// IsInventory reports whether the record holds the configuration.
	IsInventory(record Record) bool
	// Inventory decodes the configuration. ok is false for other records. An
	// error means that the record holds a configuration that can't be used.
	Inventory(record Record) (inventory *Inventory, ok bool, err error)
	// Target decodes the entry of a target. ok is false for other records. An
	// error means that the entry describes no usable target.
	Target(record Record) (target Target, ok bool, err error)
	// Evacuation returns the place that a record asks to evacuate. ok is false for
	// other records.
	Evacuation(record Record) (place PlaceID, ok bool)
	// Compare compares when the bodies of two records with the same key were written, by
	// what their writer states in them: -1 if a is older, 0 if it is the same or can't be
	// told, 1 if it is newer or its kind states nothing.
	Compare(a, b Record) int
}

// RequestMetadata is the decoded header of a caller's request.
type RequestMetadata struct {
	// ID identifies the request. It may be empty.
	ID string
	// Deadline is how long the caller waits for a response, or zero.
	Deadline time.Duration
	// Key is the key that came with the request, or empty.
	Key string
}

// ForwardMetadata holds the values set in the header of a forwarded request.
type ForwardMetadata struct {
	ID string
	// Deadline is the remaining time.
	Deadline time.Duration
	Account  AccountID
	Target   TargetID
}

// ResponseMetadata is the decoded header of a target's response.
type ResponseMetadata struct {
	// ID identifies the request that the response belongs to. It may be empty.
	ID string
	// NotRun reports that the target declares that it did not run the request.
	NotRun bool
	// Misdirected reports that another target has the address.
	Misdirected bool
	// Signed reports that the response has the signature of a complete success.
	Signed bool
	// Leaving reports that the target states that it is about to stop.
	Leaving bool
	// Backoff is how long a target that turned the request away wants no request
	// from this VM, or zero.
	Backoff time.Duration
	// Load is the load that the target reports. Its Known is false without one.
	Load TargetLoad
}

// TargetLoad is the load of a target, in requests, and its number of slots.
type TargetLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Dialect maps the headers of callers and targets to domain types.
type Dialect interface {
	// ReadRequest decodes the header of a caller's request.
	ReadRequest(header http.Header) RequestMetadata
	// WriteRequest writes metadata to the header of a forwarded request and
	// removes the fields that the target must not get.
	WriteRequest(header http.Header, metadata ForwardMetadata)
	// ReadResponse decodes the header of a target's response.
	ReadResponse(status int, header http.Header) ResponseMetadata
	// WriteRefusal sets the header fields of a refusal.
	WriteRefusal(header http.Header, id string, refusal *RefusalError)
}
