package ferry

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Outcome classifies what is known about the execution of a request.
type Outcome int

// Outcomes of an attempt or of a whole request.
const (
	// OutcomeNotSent means that no byte reached a target.
	OutcomeNotSent Outcome = iota
	// OutcomeNotRun means that the target declared that it did not run the
	// request.
	OutcomeNotRun
	// OutcomeUnknown means that the target may have run the request.
	OutcomeUnknown
	// OutcomeDone means that the target responded.
	OutcomeDone
)

// String returns the name of the outcome as it appears in logs and headers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotSent:
		return "NotSent"
	case OutcomeNotRun:
		return "NotRun"
	case OutcomeUnknown:
		return "Unknown"
	case OutcomeDone:
		return "Done"
	}
	return "Invalid"
}

// IsSafeToRetry reports whether a request with this outcome certainly did not
// run, so that sending it again cannot run it twice.
func (o Outcome) IsSafeToRetry() bool {
	return o == OutcomeNotSent || o == OutcomeNotRun
}

// Headers of the fleet's own protocol with callers and targets.
const (
	HeaderKey     = "Ferry-Key"
	HeaderOutcome = "Ferry-Outcome"
	HeaderRequest = "Ferry-Request"
	HeaderAccount = "Ferry-Account"
	HeaderReason  = "Ferry-Reason"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Ferry-Deadline-Ms"
	// HeaderLoad carries the number of busy slots of a target.
	HeaderLoad = "Ferry-Load"
)

// Reason states why a request was refused or a decision was made.
type Reason string

// Reasons of refusals.
const (
	ReasonNoRoute        Reason = "NoRoute"
	ReasonNoKey          Reason = "NoKey"
	ReasonUnknownKey     Reason = "UnknownKey"
	ReasonAmbiguousKey   Reason = "AmbiguousKey"
	ReasonKeyInPath      Reason = "KeyInPath"
	ReasonHeaderTooLarge Reason = "HeaderTooLarge"
	ReasonBodyTooLarge   Reason = "BodyTooLarge"
	// ReasonSlowBody means that the body did not come in time, and ReasonBodyBudget
	// that the bodies of all callers left no room for it.
	ReasonSlowBody         Reason = "SlowBody"
	ReasonBodyBudget       Reason = "BodyBudget"
	ReasonUpgrade          Reason = "UpgradeNotSupported"
	ReasonOverAllowance    Reason = "OverAllowance"
	ReasonAllowanceUnknown Reason = "AllowanceUnknown"
	ReasonNoTarget         Reason = "NoTarget"
	ReasonOverload         Reason = "Overload"
	ReasonTargetFailed     Reason = "TargetFailed"
	ReasonDeadline         Reason = "DeadlineExceeded"
	ReasonNotReady         Reason = "NotReady"
	ReasonMalformed        Reason = "Malformed"
	ReasonBrokenRoute      Reason = "BrokenRoute"
	ReasonBrokenAccount    Reason = "BrokenAccount"
	// ReasonHomeRegion means that no target in the homes of the route and the client
	// account takes requests.
	ReasonHomeRegion Reason = "HomeRegion"
	// ReasonEvacuated means that only targets in evacuated places are left.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonColdTargets means that only cold targets are left, and their rate is used
	// up.
	ReasonColdTargets Reason = "ColdTargets"
	// ReasonStopping means that the VM stops as planned before it could answer.
	ReasonStopping Reason = "Stopping"
)

// RefusalError is the error with which a filter ends a request that it does not
// forward. Its zero value is not meaningful.
type RefusalError struct {
	// Status is the HTTP status code.
	Status int
	Reason Reason
	// Outcome is OutcomeNotRun unless an attempt may have run.
	Outcome Outcome
	// RetryAfter is the delay after which the caller may try again, or zero.
	RetryAfter time.Duration
	Detail     string
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("refused with status %d (%s): %s", r.Status, r.Reason, r.Detail)
}

// Exchange is one request and its state in the filter chain. The filters set
// the fields in the order of the chain; each field is set by one filter only.
type Exchange struct {
	// Metadata is decoded from the header of Request.
	Metadata RequestMetadata
	Request  *http.Request
	Writer   http.ResponseWriter
	// ID identifies the request in logs and at the target.
	ID      string
	Arrived Moment
	// Snapshot is the configuration in force when the request arrived.
	Snapshot Snapshot
	Route    *Route
	// Account is nil on an open route.
	Account *Account
	// Key is the digest of the key that came with the request.
	Key KeyHash
	// Status is the status code of the response sent to the caller, or zero.
	Status int
	// Permit is the allowance taken for the request. It is nil on an open route.
	Permit Permit
}

// Handler is the rest of a filter chain.
type Handler interface {
	Handle(ctx context.Context, exchange *Exchange) error
}

// Filter is one step on the path of a request. It calls next to continue or
// returns a *RefusalError to end the request.
type Filter interface {
	Filter(ctx context.Context, exchange *Exchange, next Handler) error
}

// Snapshot is the immutable configuration that requests read.
type Snapshot interface {
	// Version returns the version of the inventory.
	Version() uint64
	// Route returns the matching route with the longest path prefix, or nil.
	Route(host, path string) *Route
	// Account returns the client account that owns the key, or nil.
	Account(key KeyHash) *Account
	// Service returns the service, or nil.
	Service(id ServiceID) *Service
	// Limits returns the limits of callers.
	Limits() CallerLimits
}

// Chain joins filters so that each calls the next and the last calls end.
func Chain(end Handler, filters ...Filter) Handler {
	handler := end
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link{filter: filters[i], next: handler}
	}
	return handler
}

type link struct {
	filter Filter
	next   Handler
}

// Handle implements Handler.
func (l link) Handle(ctx context.Context, exchange *Exchange) error {
	return l.filter.Filter(ctx, exchange, l.next)
}
