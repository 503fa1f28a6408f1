package gossip

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"monsoonferry.org/ferry"
)

// Stamp orders configurations. The zero Stamp means no configuration.
type Stamp struct {
	Version uint64
	// Digest is the SHA-256 digest of the manifest.
	Digest [sha256.Size]byte
}

// IsAfter reports whether s supersedes other.
func (s Stamp) IsAfter(other Stamp) bool {
	if s.Version != other.Version {
		return s.Version > other.Version
	}
	return bytes.Compare(s.Digest[:], other.Digest[:]) > 0
}

// String returns the version and the start of the digest.
func (s Stamp) String() string {
	const shown = 4
	return fmt.Sprintf("%d-%s", s.Version, hex.EncodeToString(s.Digest[:shown]))
}

// Source is the origin of a value: a VM or, for the zero Source, the platform.
type Source ferry.VMID

// Event is an input of the Controller.
type Event interface{ isEvent() }

// ManifestEvent reports the manifest of a source.
type ManifestEvent struct {
	From Source
	Body []byte
}

// PartEvent reports the content of a part.
type PartEvent struct {
	Name string
	Body []byte
}

// FetchFailedEvent reports that a source did not return a part or manifest.
type FetchFailedEvent struct {
	From Source
	Name string
}

// PeerEvent reports the stamp that another VM has in force.
type PeerEvent struct {
	From  ferry.VMID
	Stamp Stamp
	// Ready reports that the VM serves requests.
	Ready bool
}

// ListEvent reports how many VMs the platform lists, this VM included, and
// which VMs can be reached.
type ListEvent struct {
	// ListRead reports that the list has been read.
	ListRead bool
	Listed   int
	Live     []ferry.VMID
}

// TickEvent reports that time has passed.
type TickEvent struct{}

func (ManifestEvent) isEvent()    {}
func (PartEvent) isEvent()        {}
func (FetchFailedEvent) isEvent() {}
func (PeerEvent) isEvent()        {}
func (ListEvent) isEvent()        {}
func (TickEvent) isEvent()        {}

// Action is an output of the Controller.
type Action interface{ isAction() }

// FetchAction requests a value from a source. The name conf.ManifestName
// requests the manifest.
type FetchAction struct {
	From Source
	Name string
}

// ApplyAction puts an accepted inventory in force.
type ApplyAction struct {
	Inventory *ferry.Inventory
	Stamp     Stamp
}

// RejectAction reports an invalid configuration. The configuration in force
// stays.
type RejectAction struct {
	From  Source
	Stamp Stamp
	Err   error
}

// ReadyAction reports that the VM may serve requests.
type ReadyAction struct{}

func (FetchAction) isAction()  {}
func (ApplyAction) isAction()  {}
func (RejectAction) isAction() {}
func (ReadyAction) isAction()  {}
