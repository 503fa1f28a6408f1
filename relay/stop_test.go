package relay

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stop begins the grace period of a planned stop and ends overdue requests as a VM does.
func (h *harness) stop(t *testing.T, period time.Duration) {
	t.Helper()
	h.grace.Begin(h.forwarder.clock.Now(), period)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			h.server.Passages().EndOverdue(ctx, h.forwarder.clock.Now())
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// callAsync sends a request and returns its result.
func (h *harness) callAsync(t *testing.T, path string, header ...string) <-chan callResult {
	t.Helper()
	result := make(chan callResult, 1)
	go func() { result <- h.call(t.Context(), http.MethodPost, path, "b", header...) }()
	return result
}

// checkRefusedByStop checks that a request ended as not run, and that its caller may go
// to another VM at once.
func checkRefusedByStop(t *testing.T, got callResult) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("X-Outcome"), "NotRun")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds < 0.1)
}

func TestRequestWaitingForTokenIsNotCutByStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	h.limiter.Store(&slowLimiter{wait: 3 * time.Second})
	result := h.callAsync(t, "/keyed/x", testKeyHeader, "secret")
	h.eventually(t, func() bool { return h.server.InFlight() == 1 })
	h.stop(t, 600*time.Millisecond)
	got := <-result
	checkRefusedByStop(t, got)
	is.True(got.took < 600*time.Millisecond)
	is.Equal(int(target.requests.Load()), 0)
}

func TestRequestWaitingForRoomIsNotCutByStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var full atomic.Bool
	h := newHarness(t, startTarget(t, "a", unlessFull(&full, func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(2 * time.Second)
		respondOK(conn, request, body)
	})))
	limitRoom(t, h, &full)
	before := h.received()
	first := h.callAsync(t, "/upload/1", testDeadline, "5000")
	h.eventually(t, func() bool { return h.received() == before+1 })
	second := h.callAsync(t, "/upload/2", testDeadline, "5000")
	h.eventually(t, func() bool { return h.server.InFlight() == 2 })
	h.stop(t, time.Second)
	checkRefusedByStop(t, <-second)
	got := <-first
	is.Equal(got.status, http.StatusGatewayTimeout) // its target has it
	is.Equal(got.header.Get("X-Outcome"), "Unknown")
	is.Equal(h.received(), before+1)
}

func TestRetryLateInStopIsNotSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	full := startTarget(t, "full", func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(700 * time.Millisecond)
		respondIdleShed(conn, request, body)
	})
	other := startTarget(t, "other", func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(2 * time.Second)
		respondOK(conn, request, body)
	})
	other.target.Place = "far"
	h := newHarness(t, full, other)
	result := h.callAsync(t, "/upload/x")
	h.eventually(t, func() bool { return h.received() == 1 })
	h.stop(t, 1200*time.Millisecond)
	checkRefusedByStop(t, <-result)
	is.Equal(int(other.requests.Load()), 0)
}

func TestTargetStopsWorkWithTheGracePeriod(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	h.stop(t, time.Second)
	got := h.call(t.Context(), http.MethodGet, "/safe/x", "", testDeadline, "2000")
	is.Equal(got.status, http.StatusOK)
	milliseconds, err := strconv.Atoi(target.header().Get(testDeadline))
	is.NoErr(err)
	is.True(milliseconds <= 800)
}

// A request that can't be answered in the time left takes no token and its body isn't read.
func TestLateRequestIsRefusedAtOnceByStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondOK))
	h.limiter.Store(&slowLimiter{wait: 3 * time.Second})
	h.stop(t, 500*time.Millisecond)
	got := h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "secret")
	checkRefusedByStop(t, got)
	is.True(got.took < 200*time.Millisecond)
	caller := h.startUpload(t, 2<<20, false)
	is.NoErr(caller.SetReadDeadline(time.Now().Add(time.Second)))
	is.Equal(readRefusal(t, caller).StatusCode, http.StatusServiceUnavailable)
	is.Equal(h.received(), 0)
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// linesWith returns the lines that hold all the given texts.
func (b *lockedBuffer) linesWith(texts ...string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buffer.String()) {
		isFound := true
		for _, text := range texts {
			isFound = isFound && strings.Contains(line, text)
		}
		if isFound {
			lines = append(lines, line)
		}
	}
	return lines
}

// Every decision about a request of a stopping VM has a line with its id, and a counter.
func TestDecisionsOfStopAreLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := &lockedBuffer{}
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), startTarget(t, "a", func(net.Conn, *http.Request, []byte) { time.Sleep(3 * time.Second) }))
	sent := h.callAsync(t, "/upload/sent")
	h.eventually(t, func() bool { return h.received() == 1 })
	h.stop(t, time.Second)
	taken := h.callAsync(t, "/safe/taken")
	h.eventually(t, func() bool { return h.received() == 2 })
	h.eventually(t, func() bool { left, _ := h.grace.Left(h.forwarder.clock.Now()); return left < 300*time.Millisecond })
	checkRefusedByStop(t, h.call(t.Context(), http.MethodPost, "/upload/late", "b"))
	is.Equal((<-sent).status, http.StatusGatewayTimeout)
	is.Equal((<-taken).status, http.StatusGatewayTimeout)
	for _, want := range [][]string{
		{"id-/safe/taken", "decision=Arrived", "kept=false"},
		{"id-/safe/taken", "decision=Sent", "target=a"},
		{"id-/safe/taken", "decision=Ended", "stage=Sent", "target=a"},
		{"id-/upload/late", "decision=Refused", "stage=Waiting", "longest="},
		{"id-/upload/sent", "decision=Ended", "stage=Sent", "target=a"},
	} {
		if lines := log.linesWith(append(want, "request while stopping", "graceLeft=")...); len(lines) != 1 {
			t.Errorf("%v: %q", want, lines)
		}
	}
	is.Equal(len(log.linesWith("id-/upload/late", "msg=refused", "reason=Stopping", "outcome=NotRun")), 1)
	is.Equal(len(log.linesWith("id-/upload/sent", "msg=refused", "reason=Stopping", "outcome=Unknown")), 1)
	var metrics bytes.Buffer
	h.metrics.WritePrometheus(&metrics)
	for decision, count := range map[string]int{"Arrived": 2, "Refused": 1, "Ended": 2} {
		is.True(strings.Contains(metrics.String(), `ferry_stop_decisions_total{decision="`+decision+`"} `+strconv.Itoa(count)))
	}
}
