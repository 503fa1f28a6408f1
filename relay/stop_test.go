package relay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// stop begins the grace period of a planned stop and ends overdue requests as a VM does.
func (h *harness) stop(t *testing.T, period time.Duration) {
	t.Helper()
	h.grace.Begin(h.forwarder.clock.Now(), period)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			h.server.Requests().EndOverdue(ctx, h.forwarder.clock.Now())
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
	h.stop(t, 1500*time.Millisecond)
	got := <-result
	checkRefusedByStop(t, got)
	is.True(got.took < time.Second)
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
		time.Sleep(1100 * time.Millisecond)
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
	h.stop(t, 2*time.Second)
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
		if !strings.Contains(metrics.String(), `ferry_stop_decisions_total{decision="`+decision+`"} `+strconv.Itoa(count)+"\n") {
			t.Errorf("%s was not counted %d times: %s\n%s", decision, count, linesOf(metrics.String(), "ferry_stop_decisions"),
				strings.Join(log.linesWith("request while stopping"), "\n"))
		}
	}
}

// linesOf returns the lines that contain a part.
func linesOf(text, part string) string {
	var lines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, part) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// hookHandler calls hook with the attributes of each line "request while stopping".
type hookHandler struct {
	slog.Handler
	hook func(decision, request string)
}

func (h hookHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h hookHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Message != "request while stopping" {
		return nil
	}
	var decision, request string
	record.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "decision":
			decision = a.Value.String()
		case "request":
			request = a.Value.String()
		}
		return true
	})
	h.hook(decision, request)
	return nil
}

// A response that begins while EndOverdue decides is delivered whole.
func TestResponseThatBeginsAtEndOfStopIsNotCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = maxBufferedResponse + 100_000
	begin := make(chan struct{})
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		<-begin
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n", testID, request.Header.Get(testID), testSigned, size)
		_, _ = conn.Write(make([]byte, maxBufferedResponse))
		time.Sleep(100 * time.Millisecond)
		_, _ = conn.Write(make([]byte, size-maxBufferedResponse))
	})
	var once sync.Once
	h := newLoggedHarness(t, hookHandler{Handler: slog.DiscardHandler, hook: func(decision, _ string) {
		if decision == string(drain.Ended) {
			// The response comes between the decision and the end.
			once.Do(func() { close(begin); time.Sleep(100 * time.Millisecond) })
		}
	}}, target)
	result := h.callAsync(t, "/upload/x")
	h.eventually(t, func() bool { return h.received() == 1 })
	h.stop(t, 500*time.Millisecond)
	got := <-result
	is.NoErr(got.err)
	if got.status == http.StatusOK {
		is.NoErr(got.bodyErr)
		is.Equal(len(got.body), size)
	}
}

// closingGuard ends a request by the stop at the last moment before it is sent.
type closingGuard struct {
	testGuard
	hook atomic.Pointer[func()]
}

func (g *closingGuard) MayRun(exchange *ferry.Exchange) bool {
	if hook := g.hook.Load(); hook != nil {
		(*hook)()
	}
	return g.testGuard.MayRun(exchange)
}

// A request that a stop has ended while it waited is not sent: it could be refused as not run.
func TestRequestEndedByStopIsNotSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	guard := &closingGuard{}
	h.forwarder.guard = guard
	h.grace.Begin(h.forwarder.clock.Now(), 2*time.Second)
	hook := func() {
		h.server.Requests().EndOverdue(t.Context(), h.forwarder.clock.Now().Add(1500*time.Millisecond))
	}
	guard.hook.Store(&hook)
	got := h.call(t.Context(), http.MethodPost, "/upload/x", "b")
	is.NoErr(got.err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(int(target.requests.Load()), 0)
	checkRefusedByStop(t, got)
}

// What is sent in the grace period leaves its target some time to answer.
func TestRequestWithoutTimeForItsTargetIsNotSentByStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	h.grace.Begin(h.forwarder.clock.Now(), time.Second)
	h.eventually(t, func() bool { left, _ := h.grace.Left(h.forwarder.clock.Now()); return left < 100*time.Millisecond })
	// A caller that waits for less than what is left of the time of targets.
	got := h.call(t.Context(), http.MethodGet, "/safe/x", "", testDeadline, "50")
	if target.requests.Load() > 0 {
		milliseconds, err := strconv.Atoi(target.header().Get(testDeadline))
		is.NoErr(err)
		is.True(milliseconds >= 5) // a tenth of the caller's
		return
	}
	is.Equal(got.status, http.StatusServiceUnavailable)
}

// A hedge that a stop doesn't send is no refusal of its request.
func TestHedgeNotSentByStopIsNotCountedAsRefusal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(700 * time.Millisecond)
		respondOK(conn, request, body)
	})
	other := startTarget(t, "b", respondOK)
	other.target.Place = "far"
	log := &lockedBuffer{}
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), target, other)
	h.chooser.Update(0, []ferry.Target{target.target})
	for range 20 {
		h.forwarder.latencies.Histogram("safe").Add(600*time.Millisecond, 10)
	}
	result := make(chan callResult, 1)
	go func() { result <- h.call(t.Context(), http.MethodGet, "/safe/x", "") }()
	h.eventually(t, func() bool { return h.received() == 1 })
	h.chooser.Update(0, []ferry.Target{target.target, other.target})
	h.stop(t, 2*time.Second)
	got := <-result
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(log.linesWith("request while stopping", "decision=Refused")), 0)
	var metrics bytes.Buffer
	h.metrics.WritePrometheus(&metrics)
	is.True(!strings.Contains(metrics.String(), `ferry_stop_decisions_total{decision="Refused"}`))
}

// Whatever a stop meets, a request whose caller is told "not run" has not run and doesn't
// run later, and every caller gets an answer.
func TestRefusedByStopMeansNotRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			testRefusedMeansNotRun(t, rand.New(rand.NewPCG(36, seed)))
		})
	}
}

func testRefusedMeansNotRun(t *testing.T, random *rand.Rand) {
	t.Helper()
	var mu sync.Mutex
	runs := map[string]int{}
	pick := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	script := func(conn net.Conn, request *http.Request, body []byte) {
		id := request.Header.Get(testID)
		kind := pick(10)
		if kind >= 4 {
			mu.Lock()
			runs[id]++
			mu.Unlock()
		}
		time.Sleep(time.Duration(pick(60)) * time.Millisecond)
		switch kind {
		case 0, 1:
			respondFull(conn, request, body)
		case 2:
			respondIdleShed(conn, request, body)
		case 3:
			respondFull(conn, request, body)
			_ = conn.Close()
		case 4:
			_ = conn.Close()
		case 5:
			time.Sleep(time.Duration(pick(700)) * time.Millisecond)
			respondOK(conn, request, body)
		default:
			respondOK(conn, request, body)
		}
	}
	h := newHarness(t, startTarget(t, "a", script), startTarget(t, "b", script), startTarget(t, "c", script))
	type answer struct {
		id string
		callResult
	}
	var answers []answer
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			for j := range 40 {
				path := []string{"/safe/", "/unsafe/", "/upload/"}[pick(3)] + strconv.Itoa(i) + "-" + strconv.Itoa(j)
				got := h.call(t.Context(), http.MethodPost, path, "b", testDeadline, strconv.Itoa(100+pick(2000)))
				mu.Lock()
				answers = append(answers, answer{id: "id-" + path, callResult: got})
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Duration(200+pick(300)) * time.Millisecond)
	h.stop(t, time.Duration(1000+pick(700))*time.Millisecond)
	group.Wait()
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		if a.err != nil {
			t.Errorf("%s: no answer: %v", a.id, a.err)
		}
		isPromise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout
		if isPromise && runs[a.id] > 0 {
			t.Errorf("%s: status %d, and it ran %d times", a.id, a.status, runs[a.id])
		}
		if !strings.HasPrefix(a.id, "id-/safe/") && runs[a.id] > 1 {
			t.Errorf("%s ran %d times", a.id, runs[a.id])
		}
	}
	t.Logf("statuses %v", statuses)
}

// A target that obeys the deadline that a stopping VM has shortened is not at fault.
func TestTargetThatObeysDeadlineOfStopIsNotAccused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		milliseconds, err := strconv.Atoi(request.Header.Get(testDeadline))
		if err != nil {
			return
		}
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		respond(conn, http.StatusGatewayTimeout, request.Header.Get(testID), "")
	})
	h := newHarness(t, target)
	logOdds := func() float64 { return h.chooser.List(h.forwarder.clock.Now().Monotonic)[0].LogOdds }
	before := logOdds()
	h.stop(t, 2*time.Second)
	got := h.call(t.Context(), http.MethodPost, "/upload/x", "b")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(logOdds() <= before+0.5) // what was learnt from its silence is retracted
}

// A response that has arrived is delivered, also when the stop ends its request meanwhile.
func TestResponseThatArrivedIsNotReplacedByStop(t *testing.T) {
	t.Parallel()
	for range 10 {
		target := startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
			time.Sleep(200 * time.Millisecond)
			respondOK(conn, request, body)
		})
		h := newHarness(t, target)
		guard := &closingGuard{}
		h.forwarder.guard = guard
		var checks atomic.Int32
		hook := func() {
			if checks.Add(1) != 2 {
				return
			}
			// The hedge of the request: its goroutine is held up until both have happened.
			h.eventually(t, func() bool { return h.pool.Idle() == 1 })
			h.grace.Begin(ferry.Moment{}, time.Nanosecond)
			h.server.Requests().EndOverdue(t.Context(), h.forwarder.clock.Now())
			time.Sleep(20 * time.Millisecond)
		}
		guard.hook.Store(&hook)
		got := h.call(t.Context(), http.MethodGet, "/safe/x", "")
		if got.status != http.StatusOK {
			t.Errorf("status %d, error %v", got.status, got.err)
		}
	}
}

// Package http ends the connection of a request whose handler panics without a response.
func TestPanicOfHandlerIsLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := &lockedBuffer{}
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), startTarget(t, "a", respondOK))
	guard := &closingGuard{}
	h.forwarder.guard = guard
	hook := func() { panic("broken") }
	guard.hook.Store(&hook)
	is.True(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b").err != nil)
	is.Equal(len(log.linesWith("handler panicked", "request=id-/unsafe/x", "value=broken")), 1)
}

// offsetClock is a clock that a test sets ahead.
type offsetClock struct {
	ferry.Clock
	offset atomic.Int64
}

// Now implements ferry.Clock.
func (c *offsetClock) Now() ferry.Moment { return c.Clock.Now().Add(time.Duration(c.offset.Load())) }

// hookGuard calls hook before each attempt.
type hookGuard struct {
	Guard
	hook func()
}

// MayRun implements Guard.
func (g hookGuard) MayRun(exchange *ferry.Exchange) bool {
	g.hook()
	return g.Guard.MayRun(exchange)
}

// A request whose hedge is too late, as the grace period ends between the decision to send
// it and the sending, goes on: no line and no count says that it was refused.
func TestLateHedgeIsNoRefusal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := &lockedBuffer{}
	slow := startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
		time.Sleep(150 * time.Millisecond)
		respondOK(conn, request, body)
	})
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), slow)
	clock := &offsetClock{Clock: h.forwarder.clock}
	h.forwarder.clock = clock
	var attempts atomic.Int32
	h.forwarder.guard = hookGuard{h.guard, func() {
		if attempts.Add(1) == 2 {
			left, _ := h.grace.Left(clock.Now())
			clock.offset.Store(int64(left - 150*time.Millisecond))
		}
	}}
	h.stop(t, 2*time.Second)
	got := h.call(t.Context(), http.MethodPost, "/safe/x", "b")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(attempts.Load() >= 2)
	is.Equal(log.linesWith("request while stopping", "decision=Refused"), nil)
	var metrics bytes.Buffer
	h.metrics.WritePrometheus(&metrics)
	is.True(!strings.Contains(metrics.String(), `decision="Refused"`))
}
