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

// Store reads the platform. Nothing can be written.
type Store interface {
	// Watch returns the value when its version is above after, or waits until
	// it is or ctx ends. A version of zero returns the value at once.
	Watch(ctx context.Context, name string, after uint64) (Value, error)
}

// Dialer connects this VM with the others.
type Dialer interface {
	// Dial opens a connection to the address at which the VM serves its peers.
	// It gives up when ctx ends.
	Dial(ctx context.Context, vm VM) (net.Conn, error)
}

// Permit is the right to send one request of a client account. It must be
// given back with Spend or Return exactly once.
type Permit interface {
	// Spend uses the permit and reports whether it was still valid. The caller
	// sends the request only after Spend returned true.
	Spend(now Moment) bool
	// Return gives an unused permit back.
	Return(now Moment)
}

// Limiter enforces the allowance of client accounts across all VMs.
type Limiter interface {
	// Admit takes one request of the allowance. It waits for the holder's
	// word where it has to, and returns a *RefusalError when there is no allowance.
	Admit(ctx context.Context, account *Account) (Permit, error)
}

// Observer collects the evidence of attempts.
type Observer interface {
	Observe(now Moment, target *Target, result Result)
}

// Choice describes the attempt for which a Balancer chooses a target.
type Choice struct {
	Service ServiceID
	// Tried lists the targets that this request has been sent to.
	Tried []TargetID
	// Trial reports that the request may test a target on readmission, which
	// only idempotent requests may.
	Trial bool
}

// Pick is a chosen target together with the reason for the choice.
type Pick struct {
	Target *Target
	Reason Reason
}

// Reasons of placement decisions.
const (
	ReasonOwnPlace  Reason = "OwnPlace"
	ReasonOwnRegion Reason = "OwnRegion"
	ReasonRemote    Reason = "Remote"
	ReasonTrial     Reason = "Trial"
)

// Balancer chooses targets and learns from the result of each attempt.
type Balancer interface {
	// Choose reserves a slot on a target, or returns a *RefusalError. Every pick
	// must be given back with Release exactly once.
	Choose(now Moment, choice Choice) (Pick, error)
	// Release ends the attempt on the picked target.
	Release(now Moment, pick Pick, result Result)
}

// Verdict classifies one attempt as evidence about its target.
type Verdict int

// Verdicts of an attempt.
const (
	// VerdictNone carries no evidence, for example when the caller left.
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

// IsBad reports whether the verdict speaks against the target.
func (v Verdict) IsBad() bool {
	return v >= VerdictDialRefused && v <= VerdictSlow
}

// Result is what one attempt showed.
type Result struct {
	Verdict Verdict
	Outcome Outcome
	// FirstByte is the time to the first byte of the answer, or zero.
	FirstByte time.Duration
	// Load is the number of busy slots that the target reported, or -1.
	Load int
}
