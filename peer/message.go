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

// Hello introduces the dialing VM.
type Hello struct {
	VM          ferry.VM
	Incarnation uint64
}

// Heartbeat is the heartbeat with the facts that every VM tells every other VM.
type Heartbeat struct {
	Sequence        uint64
	Echo            uint64
	EchoIncarnation uint64
	Stamp           gossip.Stamp
	Ready           bool
	Leaving         bool
	// LeaseSequence and LeaseMask ask for shares; a zero mask asks for none.
	LeaseSequence uint64
	LeaseMask     limit.Mask
}

// Evidence reports what a VM saw of targets since its last report, and the
// ejections that it has decided as the decider of a service.
type Evidence struct {
	Increments []health.Increment
	Ejections  []health.Ejection
	// Echo is the last heartbeat received from the process EchoIncarnation of
	// the receiving VM. The ejections live from the sending of that heartbeat.
	Echo            uint64
	EchoIncarnation uint64
}

// Fetch asks for a value of the configuration in force.
type Fetch struct {
	Name string
}

// Value answers a Fetch.
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
