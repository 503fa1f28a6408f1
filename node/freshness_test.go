package node

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/lead"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

func (c *manualClock) Now() ferry.Moment {
	now := time.Duration(c.now.Load())
	return ferry.Moment{Monotonic: now, Wall: now}
}

// testStore answers no call.
type testStore struct{}

func (testStore) List(ctx context.Context) (ferry.Listing, error) {
	<-ctx.Done()
	return ferry.Listing{}, ctx.Err()
}

func (s testStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (ferry.Listing, error) {
	return s.List(ctx)
}

// testDecoder decodes configuration records by their revision.
type testDecoder struct {
	inventories map[uint64]*ferry.Inventory
	// onDecode is called while a configuration is decoded.
	onDecode func()
}

func (*testDecoder) IsInventory(ferry.Record) bool { return true }

func (d *testDecoder) Inventory(record ferry.Record) (*ferry.Inventory, bool, error) {
	if d.onDecode != nil {
		d.onDecode()
	}
	if inventory := d.inventories[record.Revision]; inventory != nil {
		return inventory, true, nil
	}
	return nil, true, errors.New("not a configuration")
}

func (*testDecoder) Target(ferry.Record) (ferry.Target, bool, error) {
	return ferry.Target{}, false, nil
}

func (*testDecoder) Compare(ferry.Record, ferry.Record) int { return 1 }

func (*testDecoder) Evacuation(ferry.Record) (ferry.PlaceID, bool) { return "", false }

// freshnessTest is a Node that reads configuration records, and two keys, the first of
// which is withdrawn by revision 2.
type freshnessTest struct {
	node            *Node
	clock           *manualClock
	decoder         *testDecoder
	withdrawn, kept ferry.KeyHash
}

func newFreshnessTest() *freshnessTest {
	f := &freshnessTest{clock: &manualClock{}, withdrawn: ferry.HashKey("withdrawn"), kept: ferry.HashKey("kept")}
	inventory := func(version uint64, keys ...ferry.KeyHash) *ferry.Inventory {
		return &ferry.Inventory{Version: version, Accounts: []ferry.Account{{ID: "account", Keys: keys}}}
	}
	f.decoder = &testDecoder{inventories: map[uint64]*ferry.Inventory{
		1: inventory(1, f.withdrawn, f.kept), 2: inventory(2, f.kept),
	}}
	f.node = New(Dependencies{
		Settings: conf.NodeSettings{
			Place: "here", IsFirst: true, Peers: netip.MustParseAddrPort("10.0.0.1:9000"),
			Bounds: conf.Bounds{RevokeWithin: conf.DefaultRevokeWithin, ApplyWithin: conf.DefaultApplyWithin},
		},
		Clock: f.clock, Log: slog.New(slog.DiscardHandler), Store: testStore{}, Decoder: f.decoder,
	})
	return f
}

// read passes the result of a list of the store to the node.
func (f *freshnessTest) read(ctx context.Context, revision uint64) {
	record := ferry.Record{Key: "config", Revision: revision, Body: []byte("{}")}
	f.node.step(ctx, lead.ReadEnded{
		Sent: f.clock.Now(), Full: true, Listing: ferry.Listing{Revision: revision, Records: []ferry.Record{record}},
	})
}

// exchange returns a request that came with a key while a snapshot was in force.
func (f *freshnessTest) exchange(snapshot ferry.Snapshot, key ferry.KeyHash) *ferry.Exchange {
	return &ferry.Exchange{Snapshot: snapshot, Key: key, Account: snapshot.Account(key)}
}

// A proof of freshness is never seen with the configuration before the one that it is
// about, neither while that is decoded nor afterwards.
func TestProofIsNotAheadOfConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFreshnessTest()
	state := f.node.state
	f.read(ctx, 1)
	old := state.Snapshot()
	is.True(state.MayRun(f.exchange(old, f.withdrawn)))
	is.True(state.IsCurrent(old))

	// The store was away for as long as a withdrawn key may be used.
	f.clock.advance(conf.DefaultRevokeWithin)
	is.True(!state.MayRun(f.exchange(old, f.withdrawn)))
	isDecoded := false
	f.decoder.onDecode = func() {
		isDecoded = true
		is.True(!state.MayRun(f.exchange(old, f.withdrawn)))
		is.True(!state.MayRun(f.exchange(old, f.kept)))
		is.True(!state.IsCurrent(old))
	}
	f.read(ctx, 2)
	is.True(isDecoded)
	is.True(!state.MayRun(f.exchange(old, f.withdrawn)))
	is.True(state.MayRun(f.exchange(old, f.kept)))
	// A request that began before must not be denied what the new configuration has.
	is.True(!state.IsCurrent(old))
	is.True(state.IsCurrent(state.Snapshot()))
}

// A configuration record that can't be read keeps the former configuration and its
// keys in force, with the proof of the reads.
func TestProofOfUnreadableConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFreshnessTest()
	state := f.node.state
	f.read(ctx, 1)
	old := state.Snapshot()
	f.clock.advance(conf.DefaultRevokeWithin)
	f.read(ctx, 3)
	is.Equal(f.node.recordCache.rejected.revision, uint64(3))
	is.Equal(state.Snapshot(), old)
	is.True(state.MayRun(f.exchange(old, f.withdrawn)))
	is.True(state.IsCurrent(old))
}
