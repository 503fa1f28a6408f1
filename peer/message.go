package peer

import (
	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/gossip"
	"monsoonferry.org/ferry/health"
	"monsoonferry.org/ferry/limit"
)

// Message is one of Hello, Heartbeat, Evidence, Fetch, Value and the messages of
// package limit.
type Message any

// Hello is the first message of a stream. It identifies the dialing process.
type Hello struct {
	VM          ferry.VM
	Incarnation uint64
}

// Heartbeat carries the state that each VM sends to every other VM.
type Heartbeat struct {
	Sequence        uint64
	Echo            uint64
	EchoIncarnation uint64
	Stamp           gossip.Stamp
	Ready           bool
	Leaving         bool
	// LeaseSequence and LeaseMask request shares; a zero mask requests none.
	LeaseSequence uint64
	LeaseMask     limit.Mask
}

// Evidence reports the evidence about targets that a VM collected since its
// last report, and its decisions as the ejection coordinator of a service.
type Evidence struct {
	Increments []health.Increment
	Ejections  []health.Ejection
	// Echo identifies the last heartbeat received from process EchoIncarnation of
	// the receiving VM. The lifetime of the ejections starts when it was sent.
	Echo            uint64
	EchoIncarnation uint64
}

// Fetch requests a value of the configuration in force.
type Fetch struct {
	Name string
}

// Value is the reply to a Fetch.
type Value struct {
	Name  string
	Body  []byte
	Found bool
}

// Inbound is a received message with its sender.
type Inbound struct {
	From    limit.Process
	Message Message
}
