package lead

import (
	"bytes"
	"compress/flate"
	"io"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead/leadpb"
)

const (
	// maxUnpackedBytes bounds an Update: the configuration, of up to 1 MB, and the records of
	// ten thousand targets. A VM holds it more than once while it is decoded.
	maxUnpackedBytes = 8 << 20
	// maxUpdateRecords bounds the records of an Update: each takes far more memory than
	// the two bytes of an empty one.
	maxUpdateRecords = 1 << 16
	// maxDictionaryBytes is the window of the compression.
	maxDictionaryBytes = 32 << 10
	// logOddsScale is the resolution of log odds in messages.
	logOddsScale = 100
	// leasedShareScale is the resolution of leased shares, which are rounded down.
	leasedShareScale = 1e9
	// creditPrefix marks the targets in the field Unused that are credits. No ID begins
	// with it, since IDs are sent in headers. Earlier versions don't know such a target.
	creditPrefix = "\x01"
)

// exampleRecord is the dictionary that all compressed updates share.
const exampleRecord = `{"address":"10.128.0.9:8080","info":{"service":"","version":"v1","zone":"","capacity":4},` +
	`"status":{"state":"draining","sequence":1,"coldRemainingMs":0},"born":17}`

// EncodeExchange returns the datagram of an Exchange.
func EncodeExchange(exchange Exchange) ([]byte, error) {
	message := &leadpb.Exchange{
		Sequence: exchange.Sequence, Echo: exchange.Echo, Incarnation: exchange.Incarnation, Beat: exchange.IsHeartbeat,
		Revision: exchange.Revision, DictionaryID: exchange.DictionaryID,
		After: exchange.After, Delta: exchange.Delta, DeltaDictionary: exchange.DeltaDictionary, Bulk: exchange.Bulk,
		ListVersion: exchange.List.Version, ListAfter: exchange.List.After, ListPartial: exchange.List.IsPartial,
		ListHas: exchange.AckedListVersion, FleetSize: uint32(exchange.FleetSize), IsSettled: exchange.IsFleetSizeKnown,
		Lent: uint32(exchange.LeasedShare * leasedShareScale), LendTerm: uint32(exchange.LeaseTerm.Milliseconds()), Returns: exchange.IsReleased,
		Reads: exchange.ReadsStore, Reader: encodeAddress(exchange.Reader),
		HasEvidence: exchange.HasEvidence, EvidenceVersion: exchange.EvidenceVersion, OmitsEvidence: exchange.OmitsEvidence,
	}
	for _, target := range exchange.Unused {
		message.Unused = append(message.Unused, string(target))
	}
	for _, target := range exchange.Credits {
		message.Unused = append(message.Unused, creditPrefix+string(target))
	}
	if exchange.HasSelf {
		message.Self = encodeVM(exchange.Self)
	}
	if exchange.HasProof {
		message.ProofAge = uint32(min(exchange.ProofAge.Milliseconds()+1, math.MaxInt32)) + 1
	}
	for _, vm := range exchange.List.VMs {
		message.VMs = append(message.VMs, encodeVM(vm))
	}
	for _, removal := range exchange.List.Removed {
		message.Removed = append(message.Removed, encodeAddress(removal.Peers))
		lost := uint32(0)
		if removal.IsLost {
			// Rounded up, so that no VM counts longer from hop to hop.
			lost = uint32(math.Ceil(min(removal.LostFor.Seconds(), math.MaxInt32))) + 1
		}
		message.RemovedLost = append(message.RemovedLost, lost)
	}
	for _, evidence := range exchange.Evidence {
		message.Evidence = append(message.Evidence, &leadpb.Evidence{
			Target: string(evidence.Target), LogOdds: int32(math.Round(evidence.LogOdds * logOddsScale)), Used: evidence.IsUsed,
		})
	}
	return proto.Marshal(&leadpb.Datagram{Body: &leadpb.Datagram_Exchange{Exchange: message}})
}

// DecodeExchange converts the message of a datagram.
func DecodeExchange(message *leadpb.Exchange) (Exchange, error) {
	var err error
	exchange := Exchange{
		Sequence: message.GetSequence(), Echo: message.GetEcho(), Incarnation: message.GetIncarnation(), IsHeartbeat: message.GetBeat(),
		Revision: message.GetRevision(), DictionaryID: message.GetDictionaryID(),
		After: message.GetAfter(), Delta: message.GetDelta(), DeltaDictionary: message.GetDeltaDictionary(), Bulk: message.GetBulk(),
		List:             ListChange{Version: message.GetListVersion(), After: message.GetListAfter(), IsPartial: message.GetListPartial()},
		AckedListVersion: message.GetListHas(), FleetSize: int(message.GetFleetSize()), IsFleetSizeKnown: message.GetIsSettled(), ReadsStore: message.GetReads(),
		LeasedShare: float64(message.GetLent()) / leasedShareScale, LeaseTerm: time.Duration(message.GetLendTerm()) * time.Millisecond, IsReleased: message.GetReturns(),
		HasEvidence: message.GetHasEvidence(), EvidenceVersion: message.GetEvidenceVersion(), OmitsEvidence: message.GetOmitsEvidence(),
	}
	if message.GetSelf() != nil {
		exchange.HasSelf = true
		if exchange.Self, err = decodeVM(message.GetSelf()); err != nil {
			return Exchange{}, err
		}
	}
	if age := message.GetProofAge(); age > 0 {
		exchange.HasProof = true
		exchange.ProofAge = time.Duration(age-1) * time.Millisecond
	}
	if exchange.Reader, err = decodeAddress(message.GetReader()); err != nil {
		return Exchange{}, err
	}
	for _, encoded := range message.GetVMs() {
		var vm VM
		if vm, err = decodeVM(encoded); err != nil {
			return Exchange{}, err
		}
		exchange.List.VMs = append(exchange.List.VMs, vm)
	}
	for i, encoded := range message.GetRemoved() {
		var removal Removal
		if removal.Peers, err = decodeAddress(encoded); err != nil {
			return Exchange{}, err
		}
		if lost := message.GetRemovedLost(); i < len(lost) && lost[i] > 0 {
			removal.IsLost, removal.LostFor = true, time.Duration(lost[i]-1)*time.Second
		}
		exchange.List.Removed = append(exchange.List.Removed, removal)
	}
	for _, target := range message.GetUnused() {
		if credit, isCredit := strings.CutPrefix(target, creditPrefix); isCredit {
			exchange.Credits = append(exchange.Credits, ferry.TargetID(credit))
			continue
		}
		exchange.Unused = append(exchange.Unused, ferry.TargetID(target))
	}
	for _, evidence := range message.GetEvidence() {
		exchange.Evidence = append(exchange.Evidence, Evidence{
			Target: ferry.TargetID(evidence.GetTarget()), LogOdds: float64(evidence.GetLogOdds()) / logOddsScale, IsUsed: evidence.GetUsed(),
		})
	}
	return exchange, nil
}

func encodeVM(vm VM) *leadpb.VM {
	return &leadpb.VM{
		Peers: encodeAddress(vm.Peers), Incarnation: vm.Incarnation, Place: string(vm.Place), Callers: encodeAddress(vm.Callers),
		ControlPort: uint32(vm.ControlPort), Ready: vm.Ready, Leaving: vm.Leaving, Edition: vm.StatusVersion, Power: vm.Millicores, Seasoned: vm.Established,
	}
}

func decodeVM(message *leadpb.VM) (VM, error) {
	peers, err := decodeAddress(message.GetPeers())
	if err != nil {
		return VM{}, err
	}
	var callers netip.AddrPort
	if callers, err = decodeAddress(message.GetCallers()); err != nil {
		return VM{}, err
	}
	if !peers.IsValid() {
		return VM{}, trace.BadParameter("VM without a peer address")
	}
	return VM{
		Peers: peers, Incarnation: message.GetIncarnation(), Place: ferry.PlaceID(message.GetPlace()), Callers: callers,
		ControlPort: uint16(message.GetControlPort()), Ready: message.GetReady(), Leaving: message.GetLeaving(), StatusVersion: message.GetEdition(),
		Millicores: message.GetPower(), Established: message.GetSeasoned(),
	}, nil
}

func encodeAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	encoded, err := address.MarshalBinary()
	if err != nil {
		// MarshalBinary of a valid address does not fail.
		return nil
	}
	return encoded
}

func decodeAddress(encoded []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if len(encoded) == 0 {
		return address, nil
	}
	if err := address.UnmarshalBinary(encoded); err != nil {
		return netip.AddrPort{}, trace.BadParameter("invalid address: %v", err)
	}
	return address, nil
}

// PackUpdate encodes and compresses an update. The receiver needs the same
// dictionary, which may be nil.
func PackUpdate(update Update, dictionary []byte) ([]byte, error) {
	message := &leadpb.Records{After: update.After, Revision: update.Revision}
	for _, record := range update.Records {
		encoded := &leadpb.Record{
			Key: record.Key, Revision: record.Revision, Deleted: record.Deleted, Hold: uint32(record.Hold.Milliseconds()),
		}
		if !record.Deleted {
			encoded.Body = record.Body
		}
		message.Record = append(message.Record, encoded)
	}
	plain, err := proto.Marshal(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var packed bytes.Buffer
	var writer *flate.Writer
	if writer, err = flate.NewWriterDict(&packed, flate.DefaultCompression, fullDictionary(dictionary)); err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err = writer.Write(plain); err != nil {
		return nil, trace.Wrap(err)
	}
	if err = writer.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return packed.Bytes(), nil
}

// UnpackUpdate reverses PackUpdate.
func UnpackUpdate(packed, dictionary []byte) (Update, error) {
	plain, err := unpack(packed, fullDictionary(dictionary))
	if err != nil {
		return Update{}, trace.BadParameter("records not decompressed: %v", err)
	}
	if count := countFields(plain); count > maxUpdateRecords+updateFields {
		return Update{}, trace.BadParameter("more than %d records", maxUpdateRecords)
	}
	var message leadpb.Records
	if err = proto.Unmarshal(plain, &message); err != nil {
		return Update{}, trace.BadParameter("records not decoded: %v", err)
	}
	update := Update{After: message.GetAfter(), Revision: message.GetRevision()}
	for _, record := range message.GetRecord() {
		update.Records = append(update.Records, UpdateRecord{
			Record: ferry.Record{Key: record.GetKey(), Revision: record.GetRevision(), Body: record.GetBody(), Deleted: record.GetDeleted()},
			Hold:   time.Duration(record.GetHold()) * time.Millisecond,
		})
	}
	return update, nil
}

// unpack decompresses twice, first to learn the size: a buffer that grows would take
// twice as much.
func unpack(packed, dictionary []byte) ([]byte, error) {
	size, err := io.Copy(io.Discard, io.LimitReader(flate.NewReaderDict(bytes.NewReader(packed), dictionary), maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if size > maxUnpackedBytes {
		return nil, trace.LimitExceeded("more than %d bytes", maxUnpackedBytes)
	}
	plain := make([]byte, size)
	_, err = io.ReadFull(flate.NewReaderDict(bytes.NewReader(packed), dictionary), plain)
	return plain, err
}

// updateFields is the number of fields of an encoded Update beside its records.
const updateFields = 2

// countFields returns the number of fields of an encoded message, up to one that is
// invalid.
func countFields(encoded []byte) int {
	count := 0
	for len(encoded) > 0 {
		_, _, size := protowire.ConsumeField(encoded)
		if size < 0 {
			break
		}
		encoded = encoded[size:]
		count++
	}
	return count
}

// fullDictionary appends dictionary to exampleRecord and returns the last
// maxDictionaryBytes bytes.
func fullDictionary(dictionary []byte) []byte {
	full := append([]byte(exampleRecord), dictionary...)
	if len(full) > maxDictionaryBytes {
		full = full[len(full)-maxDictionaryBytes:]
	}
	return full
}
