package relay

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// While only cold targets are left, a request is refused at once as not run, unless the VM
// holds a credit. A warm target takes all requests.
func TestColdTargetsRefuse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cold, warm := startTarget(t, "cold", respondOK), startTarget(t, "warm", respondOK)
	cold.target.Place, cold.target.ColdFor = "here", time.Hour
	h := newHarness(t, cold)
	h.chooser.SetServices([]ferry.Service{{ID: "service", ColdRate: 0.5}})
	for range 5 {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.header.Get("X-Outcome"), "NotRun")
		is.True(got.took < 100*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds >= 2 && seconds < 3.1) // one VM at one request in two seconds
	}
	is.Equal(h.received(), 0)
	now := ferry.Moment{Monotonic: time.Hour / 2, Wall: time.Duration(time.Now().UnixNano()) + time.Hour}
	h.chooser.AddCredit("cold", now)
	is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b").status, http.StatusOK)
	is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b").status, http.StatusServiceUnavailable)
	is.Equal(int(cold.requests.Load()), 1)
	warm.target.Place = "far"
	h.chooser.Update(0, []ferry.Target{cold.target, warm.target})
	for range 5 {
		is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b").status, http.StatusOK)
	}
	is.Equal(int(cold.requests.Load()), 1)
}
