package head

import "fmt"

// Fault is what makes a head invalid.
type Fault int

// The faults.
const (
	// FaultNone means that nothing is wrong.
	FaultNone Fault = iota
	// FaultVersion means that the first line does not begin with a version of HTTP/1.
	FaultVersion
	// FaultStatus means that the status is not a number of three digits from 100 to 599, or
	// that the rest of the status line holds a control byte.
	FaultStatus
	// FaultUpgrade means that the target has changed the protocol, which nobody has asked for.
	FaultUpgrade
	// FaultName means that the name of a field is no token, or that a line has no name.
	FaultName
	// FaultValue means that the value of a field holds a control byte.
	FaultValue
	// FaultFraming means that the end of the body is stated in more than one way, or in a way
	// that readers understand differently.
	FaultFraming
	// FaultLines means that the head has too many lines.
	FaultLines
	// FaultUnasked means that a response came before its request was sent.
	FaultUnasked
)

// String returns the name of the fault as it appears in logs and metrics.
func (f Fault) String() string {
	names := [...]string{"None", "Version", "Status", "Upgrade", "Name", "Value", "Framing", "Lines", "Unasked"}
	if f < 0 || int(f) >= len(names) {
		return "Invalid"
	}
	return names[f]
}

// Error reports an invalid head or trailer. It holds nothing of what was sent.
type Error struct {
	Fault Fault
	// Line is the number of the line that was refused, from 1, or 0 outside a head.
	Line int
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("the response is invalid: %s", e.Fault)
	}
	return fmt.Sprintf("the response has an invalid head: %s in line %d", e.Fault, e.Line)
}
