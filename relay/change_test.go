package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// A request that waits when something changes is refused truthfully, and one at its
// target is answered.
func TestChangeCutsNothingThatWaits(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(h *harness){
		"key withdrawn":   func(h *harness) { h.guard.isClosed.Store(true) },
		"targets removed": func(h *harness) { h.chooser.Update(monotonicTime(h.forwarder.clock), nil) },
		"place evacuated": func(h *harness) {
			h.chooser.SetEvacuated(monotonicTime(h.forwarder.clock), map[ferry.PlaceID]bool{"here": true}, 0)
			h.chooser.Update(monotonicTime(h.forwarder.clock), []ferry.Target{h.targets[0].target})
		},
		"target replaced at its address": func(h *harness) {
			next := h.targets[0].target
			next.ID, next.Service = "other", "files"
			h.chooser.Update(monotonicTime(h.forwarder.clock), []ferry.Target{next})
		},
	} {
		t.Run("room: "+name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var full atomic.Bool
			target := startTarget(t, "a", unlessFull(&full, func(conn net.Conn, request *http.Request, body []byte) {
				time.Sleep(600 * time.Millisecond)
				respondOK(conn, request, body)
			}))
			target.target.Place = "here"
			h := newHarness(t, target)
			limitRoom(t, h, &full)
			before := h.received()
			first := h.callAsync(t, "/upload/1", testDeadline, "5000")
			h.eventually(t, func() bool { return h.received() == before+1 })
			second := h.callAsync(t, "/upload/2", testDeadline, "5000")
			h.eventually(t, func() bool { return h.server.InFlight() == 2 })
			change(h)
			got := <-first
			is.NoErr(got.err)
			is.NoErr(got.bodyErr)
			is.Equal(got.status, http.StatusOK)
			got = <-second
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("X-Outcome"), "NotRun")
			is.Equal(h.received(), before+1)
		})
		t.Run("token: "+name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := startTarget(t, "a", respondOK)
			target.target.Place = "here"
			h := newHarness(t, target)
			h.limiter.Store(&slowLimiter{wait: 400 * time.Millisecond})
			result := h.callAsync(t, "/keyed/x", testKeyHeader, "secret")
			h.eventually(t, func() bool { return h.server.InFlight() == 1 })
			change(h)
			got := <-result
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("X-Outcome"), "NotRun")
			is.Equal(h.received(), 0)
		})
	}
}
