package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// VM is the record that a VM sends about itself.
type VM struct {
	// Peers is the address for messages between VMs. It identifies the VM.
	Peers netip.AddrPort
	// Incarnation distinguishes the processes of one VM.
	Incarnation uint64
	Place       ferry.PlaceID
	Callers     netip.AddrPort
	ControlPort uint16
	// Millicores is the processor capacity of the VM, or zero if unknown. VMs with
	// more of it are preferred as leaders.
	Millicores uint32
	// Ready reports that the VM serves callers.
	Ready bool
	// Leaving reports that the VM is about to stop.
	Leaving bool
	// Established reports that the process has run for some time under an
	// established leader, so that its view is complete. Other VMs lead only where
	// no VM is established.
	Established bool
	// StatusVersion counts the changes of Ready, Leaving and Established in this
	// incarnation, which orders two records of one VM.
	StatusVersion uint32
}

// isNewer reports whether v is a later record than other.
func (v VM) isNewer(other VM) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.StatusVersion > other.StatusVersion
}

// Control returns the TCP address for copies between VMs.
func (v VM) Control() netip.AddrPort {
	return netip.AddrPortFrom(v.Peers.Addr(), v.ControlPort)
}

// Evidence is a change of a target's log odds of being unhealthy, or their
// pooled value.
type Evidence struct {
	Target  ferry.TargetID
	LogOdds float64
	// IsUsed reports, in a heartbeat and in Observed, that a request was sent to
	// the target.
	IsUsed bool
}

// Exchange is a heartbeat or a reply.
type Exchange struct {
	Sequence uint64
	// Echo is the last sequence number received from the receiver.
	Echo uint64
	// Incarnation is that of the sender.
	Incarnation uint64
	// Self is the record of the sender. It is left out, with HasSelf unset, if the
	// receiver has it.
	Self    VM
	HasSelf bool
	// IsHeartbeat makes the sender a follower of the receiver.
	IsHeartbeat bool
	// HasProof reports that ProofAge is set.
	HasProof bool
	// ProofAge is the time since the sender's last proof of freshness.
	ProofAge time.Duration
	Revision uint64
	// DictionaryID is that of the sender's last configuration, or zero.
	DictionaryID uint64
	// Delta is a compressed Update that continues After, or nil. DeltaDictionary is
	// the ID of its dictionary, or zero.
	Delta           []byte
	After           uint64
	DeltaDictionary uint64
	// Bulk asks the receiver to copy the records over TCP.
	Bulk bool
	// List is the change to the sender's list of VMs: in a heartbeat its
	// followers, in a reply its view.
	List ListChange
	// AckedListVersion is the version of the receiver's list that the sender has.
	AckedListVersion uint64
	// FleetSize is the largest recent fleet size of the sender; in a heartbeat,
	// the number of VMs among which it divides the allowances.
	FleetSize int
	// IsFleetSizeKnown reports that the sender has the size of the whole fleet.
	IsFleetSizeKnown bool
	// LeasedShare is the part of all allowances that the sender leases to the
	// receiver for LeaseTerm. A zero LeaseTerm leaves the current lease as it is;
	// a zero LeasedShare revokes it.
	LeasedShare float64
	LeaseTerm   time.Duration
	// IsReleased reports that the sender holds nothing of the leases that the
	// receiver granted up to the message Echo.
	IsReleased bool
	// ReadsStore reports that the sender reads the store or, in a heartbeat to its
	// primary leader, that a follower of it does.
	ReadsStore bool
	// Reader is the follower that reads for the sender, or the zero AddrPort.
	Reader netip.AddrPort
	// In a heartbeat, Evidence holds changes of log odds. In a reply with
	// HasEvidence it holds the pooled log odds that changed up to EvidenceVersion.
	Evidence        []Evidence
	HasEvidence     bool
	EvidenceVersion uint64
	// OmitsEvidence reports, in a heartbeat, that replies need no evidence: the
	// sender takes it from its primary leader only.
	OmitsEvidence bool
	// Unused lists, in the reply of a place leader, targets of the place to which
	// the receiver shall send a request.
	Unused []ferry.TargetID
	// Credits lists, in the reply of a place leader, cold targets of the place to each
	// of which the receiver may send one request. They are valid for CreditTerm from the
	// sending of the message Echo.
	Credits []ferry.TargetID
}

// ListChange changes one version of a list of VMs into another.
type ListChange struct {
	// After is the version that is changed. Zero stands for an empty list.
	After   uint64
	Version uint64
	VMs     []VM
	Removed []Removal
	// IsPartial reports that more changes follow Version.
	IsPartial bool
}

// Removal is a VM that is no longer in a list.
type Removal struct {
	Peers netip.AddrPort
	// IsLost reports that the VM did not say that it leaves, so that it may still run
	// beyond a partition. LostFor is the time since then.
	IsLost  bool
	LostFor time.Duration
}

// Event is an input of the Controller.
type Event interface{ isLeadEvent() }

// Tick makes the Controller do what is due. It comes at least once in TickInterval.
type Tick struct{}

// Received is an Exchange from another VM.
type Received struct {
	From     netip.AddrPort
	Exchange Exchange
}

// ReadEnded is the end of a call to the store that StartRead started.
type ReadEnded struct {
	// Sent is the moment at which the call was sent.
	Sent  ferry.Moment
	Full  bool
	After uint64
	// Waited is the wait that StartRead requested.
	Waited  time.Duration
	Listing ferry.Listing
	// Err is nil or a *ferry.StoreError.
	Err error
}

// Copied is an Update that was copied over TCP.
type Copied struct{ Update Update }

// Observed is evidence from attempts of this VM.
type Observed struct{ Evidence []Evidence }

// SeedsChanged replaces the seeds.
type SeedsChanged struct{ Seeds []netip.AddrPort }

// BoundChanged replaces Options.FreshWithin.
type BoundChanged struct{ FreshWithin time.Duration }

// StatusChanged changes the status that this VM publishes.
type StatusChanged struct{ Ready, Leaving bool }

func (Tick) isLeadEvent()          {}
func (Received) isLeadEvent()      {}
func (ReadEnded) isLeadEvent()     {}
func (Copied) isLeadEvent()        {}
func (Observed) isLeadEvent()      {}
func (StatusChanged) isLeadEvent() {}
func (SeedsChanged) isLeadEvent()  {}
func (BoundChanged) isLeadEvent()  {}

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

// StartCopy requests the records of another VM over TCP.
type StartCopy struct {
	From  netip.AddrPort
	After uint64
}

// RecordsChanged reports that records changed or became final.
type RecordsChanged struct{}

// ViewChanged reports that the view of the fleet changed.
type ViewChanged struct{}

// EvidenceChanged reports that the pooled evidence changed.
type EvidenceChanged struct{}

// UseTargets asks for one request to each of the targets within UseWithin.
type UseTargets struct{ Targets []ferry.TargetID }

// AddCredits adds the right to send one request to each of the cold targets before a
// moment, by both clocks.
type AddCredits struct {
	Targets []ferry.TargetID
	Until   ferry.Moment
}

// ProofOverdue reports that the proof is so old that this VM reads the store itself, since
// its leader does not reply or has no newer one.
type ProofOverdue struct {
	Age time.Duration
	// From is the VM whose message brought that proof, or this VM.
	From   netip.AddrPort
	Leader netip.AddrPort
	// LeaderAge is the age of the leader's proof by its last message, and RepliedAgo the time
	// since its last reply. Both are negative if unknown.
	LeaderAge, RepliedAgo time.Duration
}

// ProofRenewed reports the end of what ProofOverdue reported.
type ProofRenewed struct {
	// After is the age of the replaced proof.
	After time.Duration
	// From is the VM whose message brought the new one, or this VM.
	From netip.AddrPort
}

// LeaderChanged reports that the primary leader is another VM.
type LeaderChanged struct{ Leader netip.AddrPort }

func (Send) isLeadAction()            {}
func (StartRead) isLeadAction()       {}
func (StartCopy) isLeadAction()       {}
func (RecordsChanged) isLeadAction()  {}
func (ViewChanged) isLeadAction()     {}
func (EvidenceChanged) isLeadAction() {}
func (LeaderChanged) isLeadAction()   {}
func (ProofOverdue) isLeadAction()    {}
func (ProofRenewed) isLeadAction()    {}
func (UseTargets) isLeadAction()      {}
func (AddCredits) isLeadAction()      {}
