package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// VM is what a VM tells about itself.
type VM struct {
	// Peers is the address for messages between VMs. It identifies the VM.
	Peers netip.AddrPort
	// Incarnation tells the processes of one VM apart.
	Incarnation uint64
	Place       ferry.PlaceID
	Callers     netip.AddrPort
	ControlPort uint16
	// Power is the processor of the VM in thousandths of a core, or zero when it
	// is not known. VMs with more of it are preferred as leads.
	Power uint32
	// Ready reports that the VM serves callers.
	Ready bool
	// Leaving reports that the VM is about to stop.
	Leaving bool
	// Seasoned reports that the process has run for some time and its lead is
	// seasoned, so that it knows the fleet. Others lead only where none is.
	Seasoned bool
	// Edition counts the changes of Ready, Leaving and Seasoned in this
	// incarnation, so that the later of two records is known.
	Edition uint32
}

// isNewer reports whether v was told after other.
func (v VM) isNewer(other VM) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Edition > other.Edition
}

// Control returns the TCP address for copies between VMs.
func (v VM) Control() netip.AddrPort {
	return netip.AddrPortFrom(v.Peers.Addr(), v.ControlPort)
}

// Evidence is a change of a target's log odds of being in a bad spell, or its
// pooled log odds.
type Evidence struct {
	Target  ferry.TargetID
	LogOdds float64
}

// Exchange is a beat or a pulse.
type Exchange struct {
	Sequence uint64
	// Echo is the last sequence received from the receiver.
	Echo uint64
	// Incarnation is the sender's.
	Incarnation uint64
	// Self is the sender. It is left out, with HasSelf unset, when the receiver
	// has it.
	Self    VM
	HasSelf bool
	// Beat reports that the sender asks the receiver to lead.
	Beat bool
	// HasProof reports that ProofAge is set.
	HasProof bool
	// ProofAge is the time since the sender's last proof that its records were
	// current.
	ProofAge       time.Duration
	Revision       uint64
	ConfigRevision uint64
	// Delta is a packed Update that continues After, or nil.
	Delta       []byte
	After       uint64
	DeltaConfig uint64
	// Bulk asks the receiver to copy the records over TCP.
	Bulk bool
	// List leads to the sender's present list of VMs: in a beat those that it
	// leads, in a pulse those that it knows.
	List ListChange
	// ListHas is the version of the receiver's list that the sender has.
	ListHas uint64
	// FleetSize is the largest fleet that the sender remembers; in a beat it is
	// the number of VMs among which it divides the allowances.
	FleetSize int
	// IsSettled reports that the sender knows the size of the fleet.
	IsSettled bool
	// Lent is the part of all allowances that the sender lends to the receiver,
	// and LendTerm for how long. A zero LendTerm leaves the last loan as it is; a
	// zero Lent ends it.
	Lent     float64
	LendTerm time.Duration
	// Returns reports that the sender holds nothing of what the receiver lent to
	// it up to the message Echo.
	Returns bool
	// Reads reports that the sender's own calls to the store succeed.
	Reads bool
	// Reader is the VM whose reads a lead relies on, or the zero AddrPort.
	Reader netip.AddrPort
	// Evidence holds changes of log odds in a beat. In a pulse with HasEvidence
	// it holds the pooled log odds that changed up to EvidenceVersion.
	Evidence        []Evidence
	HasEvidence     bool
	EvidenceVersion uint64
}

// ListChange leads from one version of a list of VMs to another.
type ListChange struct {
	// After is the version that is continued. Zero stands for an empty list.
	After   uint64
	Version uint64
	VMs     []VM
	Removed []netip.AddrPort
	// IsPartial reports that more changes follow Version.
	IsPartial bool
}

// Event is an input of the Controller.
type Event interface{ isLeadEvent() }

// Tick lets time pass.
type Tick struct{}

// Received is an Exchange from another VM.
type Received struct {
	From     netip.AddrPort
	Exchange Exchange
}

// ReadEnded is the end of a call to the store that a StartRead asked for.
type ReadEnded struct {
	// Sent is the moment at which the call was sent.
	Sent  ferry.Moment
	Full  bool
	After uint64
	// Waited is the wait that a watch asked for.
	Waited  time.Duration
	Listing ferry.Listing
	// Err is nil or a *ferry.StoreError.
	Err error
}

// Copied is an Update that came over TCP.
type Copied struct{ Update Update }

// Observed is evidence of this VM's own attempts.
type Observed struct{ Evidence []Evidence }

// Seeded replaces the seeds.
type Seeded struct{ Seeds []netip.AddrPort }

// Stated changes what this VM tells about itself.
type Stated struct{ Ready, Leaving bool }

func (Tick) isLeadEvent()      {}
func (Received) isLeadEvent()  {}
func (ReadEnded) isLeadEvent() {}
func (Copied) isLeadEvent()    {}
func (Observed) isLeadEvent()  {}
func (Stated) isLeadEvent()    {}
func (Seeded) isLeadEvent()    {}

// Action is an output of the Controller.
type Action interface{ isLeadAction() }

// Send sends an Exchange.
type Send struct {
	To       netip.AddrPort
	Exchange Exchange
}

// StartRead starts one call to the store. Another is not started before its
// ReadEnded.
type StartRead struct {
	// Full asks for all records; otherwise a watch continues After.
	Full  bool
	After uint64
	Wait  time.Duration
}

// StartCopy asks for the records of another VM over TCP.
type StartCopy struct {
	From  netip.AddrPort
	After uint64
}

// RecordsChanged reports that records changed or became final.
type RecordsChanged struct{}

// ViewChanged reports that the view of the fleet changed.
type ViewChanged struct{}

// EvidenceChanged reports new pooled evidence.
type EvidenceChanged struct{}

// Followed reports that the first lead is another VM.
type Followed struct{ Lead netip.AddrPort }

func (Send) isLeadAction()            {}
func (StartRead) isLeadAction()       {}
func (StartCopy) isLeadAction()       {}
func (RecordsChanged) isLeadAction()  {}
func (ViewChanged) isLeadAction()     {}
func (EvidenceChanged) isLeadAction() {}
func (Followed) isLeadAction()        {}
