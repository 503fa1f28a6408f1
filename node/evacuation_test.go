package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/platform"
)

// evacuationNode is a VM in place a whose calls to the store are answered by read.
type evacuationNode struct {
	*Node
	clock    *manualClock
	log      bytes.Buffer
	revision uint64
}

func newEvacuationNode() *evacuationNode {
	n := &evacuationNode{clock: &manualClock{}}
	n.clock.advance(time.Hour)
	n.Node = New(Dependencies{
		Settings: conf.NodeSettings{
			ID: "vm", Place: "a", Regions: ferry.Regions{"a": "north", "b": "north", "c": "south"}, IsFirst: true,
			Peers: netip.MustParseAddrPort("10.0.0.1:7660"), Callers: netip.MustParseAddrPort("10.0.0.1:80"),
			Bounds: conf.Bounds{EvacuateWithin: 6 * time.Second}.WithDefaults(),
		},
		Clock: n.clock, Log: slog.New(slog.NewTextHandler(&n.log, nil)), Store: testStore{}, Decoder: platform.RecordDecoder{},
	})
	return n
}

// read gives the VM a list of the store that holds a target in each place and the
// evacuated places.
func (n *evacuationNode) read(ctx context.Context, evacuated ...string) {
	n.revision++
	listing := ferry.Listing{Revision: n.revision}
	for _, place := range []string{"a", "b", "c"} {
		const entry = `{"address":"10.0.0.9:8080","born":17,"info":{"service":"s","version":"v1","zone":%q,"capacity":4},"status":{"state":"ready","sequence":1,"coldRemainingMs":0}}`
		listing.Records = append(listing.Records, ferry.Record{Key: "servers/" + place, Revision: 1, Body: fmt.Appendf(nil, entry, place)})
	}
	for _, place := range evacuated {
		listing.Records = append(listing.Records, ferry.Record{Key: "op/evacuate/" + place, Revision: n.revision, Body: []byte("{}")})
	}
	n.step(ctx, lead.ReadEnded{Sent: n.clock.Now(), Full: true, Listing: listing})
}

// An evacuation is complete within the bound of the proof before it, or at once at a VM
// that read it first or whose proof is old; the status, the log and the metrics show it.
func TestEvacuationInForce(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		started bool
		silence time.Duration
		takes   time.Duration
	}{
		{name: "in touch", started: true, silence: 500 * time.Millisecond, takes: 4 * time.Second},
		{name: "stale", started: true, silence: 9 * time.Second},
		{name: "just started"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			n := newEvacuationNode()
			if test.started {
				n.read(ctx)
				is.Equal(len(n.status().Evacuations), 0)
			}
			n.clock.advance(test.silence)
			n.read(ctx, "a")
			is.Equal(n.status().Evacuations, []EvacuationStatus{{Place: "a", Known: "0s", Complete: test.takes == 0}})
			n.clock.advance(test.takes)
			is.True(n.status().Evacuations[0].Complete)
			for range 20 {
				pick, ok := n.chooser.Choose(n.clock.Now().Monotonic, place.Attempt{Service: "s"})
				is.True(ok)
				is.True(pick.Target.Place != "a")
			}
			n.read(ctx, "a", "b", "c")
			is.Equal(len(n.status().Evacuations), 3)
			n.read(ctx)
			n.clock.advance(3 * time.Second) // deletions are held after the silence
			n.step(ctx, lead.Tick{})
			is.Equal(len(n.status().Evacuations), 0)
			pick, _ := n.chooser.Choose(n.clock.Now().Monotonic, place.Attempt{Service: "s"})
			is.Equal(pick.Target.Place, ferry.PlaceID("a"))
			is.Equal(strings.Count(n.log.String(), "msg=evacuation place=a state=Begun"), 1)
			is.Equal(strings.Count(n.log.String(), "msg=evacuation place=a state=Ended"), 1)
			var page bytes.Buffer
			n.metrics.WritePrometheus(&page)
			is.True(strings.Contains(page.String(), `ferry_evacuations_total{state="Begun"} 3`))
		})
	}
}

// The place leader keeps the targets outside evacuated places in use.
func TestOutsideEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	targets := []ferry.Target{{ID: "1", Place: "a"}, {ID: "2", Place: "b"}, {ID: "3", Place: "a"}}
	is.Equal(outsideEvacuated(targets, map[ferry.PlaceID]bool{"a": true}), targets[1:2])
	is.Equal(len(targets), 3)
	is.Equal(targets[0].ID, ferry.TargetID("1")) // the list stays as it was
	is.Equal(outsideEvacuated(targets, nil), targets)
}
