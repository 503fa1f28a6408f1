package crowd

import (
	"bytes"
	"compress/flate"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead"
)

// laterRevision is beyond the state of the VM, so that it uses none of the records.
const laterRevision = 1 << 20

// emptyRecords returns a compressed update of as many empty records as a size in bytes
// holds without compression.
func emptyRecords(t *testing.T, size int) []byte {
	t.Helper()
	const record = "\x1a\x00"
	plain := append(protowire.AppendVarint([]byte{0x08}, laterRevision), bytes.Repeat([]byte(record), size/len(record))...)
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = writer.Write(plain); err != nil {
		t.Fatal(err)
	}
	if err = writer.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}

// largeRecord returns a compressed update of one record.
func largeRecord(t *testing.T, size int) []byte {
	t.Helper()
	record := lead.UpdateRecord{Record: ferry.Record{Key: "op/config", Revision: 1, Body: make([]byte, size)}}
	packed, err := lead.PackUpdate(lead.Update{After: laterRevision, Records: []lead.UpdateRecord{record}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return packed
}

// TestOtherVMSendsEndlessly has another VM send copies without end, and in messages and
// copies records that are far larger than their compressed size.
func TestOtherVMSendsEndlessly(t *testing.T) {
	l := newLab(t)
	const unpackedSize = 15 << 20
	updates := [][]byte{emptyRecords(t, unpackedSize), largeRecord(t, unpackedSize)}
	other := netip.MustParseAddr(strings.Replace(l.host, "127.32.7", "127.32.8", 1))
	peers := netip.AddrPortFrom(other, 7660)
	var copies atomic.Int64
	control, err := net.Listen("tcp4", netip.AddrPortFrom(other, controlPort).String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: answerLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Ferry-Dictionary", "0")
		kind := copies.Add(1) % int64(len(updates)+1)
		if kind == 0 {
			repeat(w, "", "x")
			return
		}
		_, _ = w.Write(updates[kind-1])
	})}
	go func() { _ = server.Serve(control) }()
	t.Cleanup(func() { _ = server.Close() })
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peers))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })

	// Copies are made only while the store can't be read.
	good := storeHandler(l.items())
	var isAway atomic.Bool
	l.start(serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		good.ServeHTTP(w, r)
	})))
	isAway.Store(true)
	to := netip.AddrPortFrom(netip.MustParseAddr(l.host), peers.Port())
	sequence := uint64(0)
	l.await("copies", func() error {
		sequence++
		datagram, sendErr := lead.EncodeExchange(lead.Exchange{
			Sequence: sequence, Incarnation: 1, HasSelf: true, IsHeartbeat: true, ReadsStore: true, Revision: laterRevision + sequence, Bulk: true,
			Self:  lead.VM{Peers: peers, Incarnation: 1, Place: "place-1", Callers: netip.AddrPortFrom(other, callerPort), ControlPort: controlPort},
			Delta: updates[sequence%uint64(len(updates))],
		})
		if sendErr == nil {
			_, sendErr = socket.WriteToUDPAddrPort(datagram, to)
		}
		if wanted := int64(len(updates) + 2); sendErr == nil && copies.Load() < wanted {
			sendErr = fmt.Errorf("%d copies, %d are to be made", copies.Load(), wanted)
		}
		return sendErr
	})
	t.Logf("%d copies, %d messages", copies.Load(), sequence)
	isAway.Store(false)
	l.check()
}
