package peer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/gossip"
	"monsoonferry.org/ferry/health"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/peer/peerpb"
)

var (
	sender   = limit.Process{VM: "sender", Incarnation: 7}
	receiver = limit.Process{VM: "receiver", Incarnation: 9}
)

// messages returns one message of each kind with every field set.
func messages() []Message {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	origin := limit.ReleaseID{Holder: limit.Process{VM: "old", Incarnation: 3}, Sequence: 4}
	stamp := gossip.Stamp{Version: 5}
	stamp.Digest[0] = 6
	return []Message{
		Hello{VM: ferry.VM{ID: "sender", Place: "p", Callers: address, Peers: address, Admin: address}, Incarnation: 7},
		Heartbeat{Sequence: 1, Echo: 2, EchoIncarnation: 3, Stamp: stamp, Ready: true, Leaving: true, LeaseSequence: 8, LeaseMask: 9},
		limit.LeaseRequest{Holder: sender, Sequence: 1, Mask: 2},
		limit.LeaseReply{
			Lessor: sender, Holder: receiver, Sequence: 1, Mask: 2, Parts: 36,
			Released: []limit.ReleasedShards{{Release: origin, Mask: 1}},
		},
		limit.LeaseRelease{Holder: sender, Sequence: 1, Mask: 2},
		limit.HandOver{Release: limit.ReleaseID{Holder: sender, Sequence: 1}, Balances: []limit.Balance{{Account: "a", Fill: 1.5}}},
		limit.TokenRequest{From: sender, Sequence: 1, Account: "a", Needed: 2, Prefetch: 3, Reports: []limit.Report{{Sequence: 4, Spent: 5, Returned: 6}}},
		limit.TokenReply{Sequence: 1, Account: "a", Granted: 2, Status: limit.StatusEmpty, RetryAfter: 1500 * time.Microsecond},
		Evidence{
			Increments: []health.Increment{{Target: "t", Errors: 1.5, Slowness: -0.5, Good: 2, Bad: 3}},
			Ejections:  []health.Ejection{{Target: "t", Place: "p", Stage: health.StageTrial, PriorEjections: 2, Age: time.Second}},
			Echo:       1, EchoIncarnation: 2,
		},
		Fetch{Name: "n"},
		Value{Name: "n", Body: []byte("b"), Found: true},
	}
}

// TestRoundTrip encodes and decodes every kind of message.
func TestRoundTrip(t *testing.T) {
	for _, message := range messages() {
		t.Run(typeName(message), func(t *testing.T) {
			is := is.New(t)
			frame, err := encode(message)
			is.NoErr(err)
			raw, err := proto.Marshal(frame)
			is.NoErr(err)
			var parsed peerpb.Frame
			is.NoErr(proto.Unmarshal(raw, &parsed))
			got, err := decode(&parsed, sender, receiver)
			is.NoErr(err)
			is.Equal(got, message)
		})
	}
}

func TestInvalidMessage(t *testing.T) {
	is := is.New(t)
	_, err := encode("text")
	is.True(err != nil)
	_, err = decode(&peerpb.Frame{}, sender, receiver)
	is.True(err != nil)
	for _, fill := range []float64{math.NaN(), math.Inf(1), -1} {
		frame, err := encode(limit.HandOver{Balances: []limit.Balance{{Account: "a", Fill: fill}}})
		is.NoErr(err)
		_, err = decode(frame, sender, receiver)
		is.True(err != nil) // a level that would corrupt a bucket
	}
}

// FuzzDecode checks that decode never panics or returns an unencodable message.
func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		frame, err := encode(message)
		if err != nil {
			f.Fatal(err)
		}
		raw, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var frame peerpb.Frame
		if err := proto.Unmarshal(raw, &frame); err != nil {
			return
		}
		message, err := decode(&frame, sender, receiver)
		if err != nil {
			return
		}
		if _, err = encode(message); err != nil {
			t.Fatal(err)
		}
	})
}
