package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// respondFull declares that the request was not run because all slots are taken.
func respondFull(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusServiceUnavailable, request.Header.Get(testID), "", testNotRun+": 1", testLoad+": 4,4,4")
}

// respondIdleShed declares that the request was not run although slots are free.
func respondIdleShed(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusServiceUnavailable, request.Header.Get(testID), "", testNotRun+": 1", testLoad+": 1,0,4")
}

// limitRoom gives the service a limit of one request, by full targets in a row.
func limitRoom(t *testing.T, h *harness, full *atomic.Bool) {
	t.Helper()
	is := is.New(t)
	full.Store(true)
	for range 20 {
		if rooms := h.forwarder.Rooms(); len(rooms) > 0 && rooms[0].Limit > 0 {
			break
		}
		h.call(t.Context(), http.MethodPost, "/unsafe/x", "")
	}
	full.Store(false)
	is.Equal(h.forwarder.Rooms()[0].Limit, 1.0)
}

// unlessFull answers by a script while full is not set.
func unlessFull(full *atomic.Bool, otherwise script) script {
	return func(conn net.Conn, request *http.Request, body []byte) {
		if full.Load() {
			respondFull(conn, request, body)
			return
		}
		otherwise(conn, request, body)
	}
}

// Targets that shed at random, with free slots, are tried one after the other, and the
// service gets no limit.
func TestShedWithFreeSlotsIsNoLackOfRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var targets []*testTargetServer
	for _, id := range []ferry.TargetID{"a", "b", "c", "d"} {
		targets = append(targets, startTarget(t, id, respondIdleShed))
	}
	h := newHarness(t, targets...)
	got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(h.received(), maxSends)
	is.Equal(h.forwarder.Rooms()[0].Limit, 0.0)
}

// When every target is full, callers are refused with a time to return, and the targets
// are not asked four times for each request.
func TestFullTargetsAreNotAskedByAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var targets []*testTargetServer
	for _, id := range []ferry.TargetID{"a", "b", "c", "d"} {
		targets = append(targets, startTarget(t, id, respondFull))
	}
	h := newHarness(t, targets...)
	const callers = 40
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "")
			if got.status != http.StatusServiceUnavailable || got.header.Get("X-Outcome") != ferry.OutcomeNotRun.String() || got.header.Get("Retry-After") == "" {
				t.Errorf("status %d %v", got.status, got.header)
			}
		})
	}
	group.Wait()
	t.Logf("%d sends for %d requests", h.received(), callers)
	is.True(h.received() <= 2*callers)
	is.Equal(h.forwarder.Rooms()[0].InFlight, 0)
	is.Equal(h.forwarder.Rooms()[0].Queued, 0)
}

// A request over the limit waits for the one in flight and is sent once.
func TestRequestOverTheLimitWaits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var full atomic.Bool
	target := startTarget(t, "a", unlessFull(&full, func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(100 * time.Millisecond)
		respondOK(conn, request, body)
	}))
	h := newHarness(t, target)
	limitRoom(t, h, &full)
	before := h.received()
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			if got := h.call(t.Context(), http.MethodPost, "/safe/x", ""); got.status != http.StatusOK {
				t.Errorf("status %d", got.status)
			}
		})
	}
	group.Wait()
	is.Equal(h.received()-before, 2)
}

// A caller that leaves the queue gives its place back, and its request is not sent.
func TestCallerLeavesTheQueue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var full atomic.Bool
	release := make(chan struct{})
	target := startTarget(t, "a", unlessFull(&full, func(conn net.Conn, request *http.Request, body []byte) {
		<-release
		respondOK(conn, request, body)
	}))
	h := newHarness(t, target)
	limitRoom(t, h, &full)
	before := h.received()
	var group sync.WaitGroup
	group.Go(func() { h.call(t.Context(), http.MethodPost, "/upload/x", "") })
	waitUntil(t, func() bool { return h.received() == before+1 })
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() { h.call(ctx, http.MethodPost, "/upload/x", "") })
	waitUntil(t, func() bool { return h.forwarder.Rooms()[0].Queued == 1 })
	cancel()
	waitUntil(t, func() bool { return h.forwarder.Rooms()[0].Queued == 0 })
	close(release)
	group.Wait()
	is.Equal(h.received(), before+1)
	waitUntil(t, func() bool { return h.forwarder.Rooms()[0].InFlight == 0 })
}

// Requests to targets that fell silent take no room: the next one is sent when the first
// should have been answered, long before its deadline.
func TestSilentTargetTakesNoRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var full atomic.Bool
	var silent atomic.Bool
	target := startTarget(t, "a", unlessFull(&full, func(conn net.Conn, request *http.Request, body []byte) {
		if silent.CompareAndSwap(true, false) {
			neverRespond(conn, request, body)
			return
		}
		respondOK(conn, request, body)
	}))
	h := newHarness(t, target)
	limitRoom(t, h, &full)
	silent.Store(true)
	before := h.received()
	go h.call(t.Context(), http.MethodPost, "/upload/x", "")
	waitUntil(t, func() bool { return h.received() == before+1 })
	got := h.call(t.Context(), http.MethodPost, "/upload/x", "")
	is.Equal(got.status, http.StatusOK)
	is.True(got.took < 2*time.Second)
}

func waitUntil(t *testing.T, isTrue func() bool) {
	t.Helper()
	for range 500 {
		if isTrue() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("not within a second")
}
