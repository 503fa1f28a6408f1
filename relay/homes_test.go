package relay

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// refusals returns the number of refusals for a reason.
func (h *harness) refusals(reason ferry.Reason) int {
	var page bytes.Buffer
	h.metrics.WritePrometheus(&page)
	sum := 0
	for line := range strings.Lines(page.String()) {
		var count int
		if strings.Contains(line, fmt.Sprintf("reason=%q", reason)) {
			if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &count); err == nil {
				sum += count
			}
		}
	}
	return sum
}

// isRefusedAtOnce reports whether a response is a refusal that says that the request
// did not run and when to return.
func isRefusedAtOnce(got callResult) bool {
	return got.err == nil && got.status == http.StatusServiceUnavailable && got.header.Get("X-Outcome") == "NotRun" &&
		got.header.Get("Retry-After") != "" && got.took < 100*time.Millisecond
}

// First attempts, retries and hedges stay in the homes of the route, although a target
// elsewhere would serve at once: one in the homes turns requests away, one is slow.
func TestRequestsStayInHomesOfRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	turningAway := startTarget(t, "near", respondBackoff(time.Millisecond))
	turningAway.target.Place = "near"
	slow := startTarget(t, "slow", func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(300 * time.Millisecond)
		respondOK(conn, request, body)
	})
	far := startTarget(t, "far", respondOK)
	far.target.Place = "far"
	h := newHarness(t, turningAway, slow, far)
	for range 6 {
		is.Equal(h.call(t.Context(), http.MethodGet, "/homed/x", "").status, http.StatusOK)
	}
	is.Equal(int(far.requests.Load()), 0)
	is.True(turningAway.requests.Load() > 0) // by a hedge or a first attempt
	// Without homes the hedge goes there.
	is.Equal(h.call(t.Context(), http.MethodGet, "/safe/x", "").status, http.StatusOK)
	is.True(far.requests.Load() > 0)
}

// The homes of an account bind as those of a route do. Without a target in them a
// request is refused at once, with a reason of its own.
func TestRequestsStayInHomesOfAccount(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	near := startTarget(t, "near", respondOK)
	far := startTarget(t, "far", respondOK)
	far.target.Place = "far"
	h := newHarness(t, near, far)
	for range 10 {
		is.Equal(h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "homed").status, http.StatusOK)
	}
	is.Equal(int(near.requests.Load()), 0)
	is.Equal(int(far.requests.Load()), 10)
	h.chooser.Update(0, []ferry.Target{near.target})
	is.True(isRefusedAtOnce(h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "homed")))
	is.Equal(h.refusals(ferry.ReasonHomeRegion), 1)
	is.Equal(h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "secret").status, http.StatusOK)
}

// An evacuated place gets nothing. Its requests go to the other places that their homes
// allow, and without one they are refused at once, with a reason of their own.
func TestEvacuatedPlaceGetsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	near := startTarget(t, "near", respondOK)
	far := startTarget(t, "far", respondOK)
	far.target.Place = "far"
	h := newHarness(t, near, far)
	h.chooser.SetEvacuated(0, map[ferry.PlaceID]bool{"here": true}, 0)
	for range 10 {
		is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b").status, http.StatusOK)
		is.True(isRefusedAtOnce(h.call(t.Context(), http.MethodGet, "/homed/x", "")))
	}
	is.Equal(int(near.requests.Load()), 0)
	is.Equal(int(far.requests.Load()), 10)
	is.Equal(h.refusals(ferry.ReasonEvacuated), 10)
	h.chooser.SetEvacuated(0, map[ferry.PlaceID]bool{"here": true, "far": true}, 0)
	is.True(isRefusedAtOnce(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")))
	h.chooser.SetEvacuated(0, nil, 0)
	is.Equal(h.call(t.Context(), http.MethodGet, "/homed/x", "").status, http.StatusOK)
	is.Equal(int(near.requests.Load()), 1)
}
