package ferry

import (
	"context"
	"net"
	"time"
)

// Controller is a state machine of the control path. Step applies one typed
// event at the given moment and returns the actions to carry out. It is not
// safe for concurrent use.
type Controller[Event, Action any] interface {
	Step(now Moment, event Event) []Action
}

// Value is one value that the platform publishes.
type Value struct {
	Name    string
	Version uint64
	Body    []byte
}

// Store gives read-only access to the values that the platform publishes.
type Store interface {
	// Watch returns the value once its version is greater than after. It waits
	// for that until ctx ends. With an after of zero it returns at once.
	Watch(ctx context.Context, name string, after uint64) (Value, error)
}

// Dialer opens connections to the other VMs.
type Dialer interface {
	// Dial opens a connection to the address at which the VM serves its peers.
	// It fails when ctx ends first.
	Dial(ctx context.Context, vm VM) (net.Conn, error)
}

// Permit is the right to send one request of a client account. Either Spend or
// Return must be called, exactly once.
type Permit interface {
	// Spend uses the permit and reports whether it was still valid. The request
	// may be sent only when it was.
	Spend(now Moment) bool
	// Return returns an unused permit to the allowance.
	Return(now Moment)
}

// Limiter enforces the allowance of client accounts across all VMs.
type Limiter interface {
	// Admit takes one request of the allowance. It may wait for a reply from
	// another VM, and returns a *RefusalError when there is no allowance.
	Admit(ctx context.Context, account *Account) (Permit, error)
}

// Observer collects the results of attempts as evidence about their targets.
type Observer interface {
	Observe(now Moment, target *Target, result Result)
}

// Choice describes the attempt for which a Balancer chooses a target.
type Choice struct {
	Service ServiceID
	// Tried lists the targets that this request has been sent to.
	Tried []TargetID
	// Trial reports that the request may be sent to a target on trial, as only
	// idempotent requests may.
	Trial bool
}

// Pick is a chosen target and the reason for the choice.
type Pick struct {
	Target *Target
	Reason Reason
}

// Reasons for the choice of a target.
const (
	ReasonOwnPlace  Reason = "OwnPlace"
	ReasonOwnRegion Reason = "OwnRegion"
	ReasonRemote    Reason = "Remote"
	ReasonTrial     Reason = "Trial"
)

// Balancer chooses targets. It takes the result of each attempt into account.
type Balancer interface {
	// Choose reserves a slot on a target, or returns a *RefusalError. Every pick
	// must be released exactly once.
	Choose(now Moment, choice Choice) (Pick, error)
	// Release ends the attempt on the picked target.
	Release(now Moment, pick Pick, result Result)
}

// Verdict classifies one attempt as evidence about its target.
type Verdict int

// Verdicts of an attempt.
const (
	// VerdictNone is no evidence, for example when the caller disconnected.
	VerdictNone Verdict = iota
	VerdictGood
	VerdictDialRefused
	VerdictReset
	VerdictErrorStatus
	VerdictStall
	VerdictCutBody
	VerdictSlow
	// VerdictShed means that the target declared overload. It is not evidence
	// of a fault.
	VerdictShed
)

// String returns the name of the verdict as it appears in logs.
func (v Verdict) String() string {
	names := [...]string{"None", "Good", "DialRefused", "Reset", "ErrorStatus", "Stall", "CutBody", "Slow", "Shed"}
	if v < 0 || int(v) >= len(names) {
		return "Invalid"
	}
	return names[v]
}

// IsBad reports whether the verdict is evidence of a fault of the target.
func (v Verdict) IsBad() bool {
	return v >= VerdictDialRefused && v <= VerdictSlow
}

// Result is the result of one attempt.
type Result struct {
	Verdict Verdict
	Outcome Outcome
	// FirstByte is the time to the first byte of the response, or zero.
	FirstByte time.Duration
	// Load is the target's reported number of busy slots, or -1 without a report.
	Load int
}
