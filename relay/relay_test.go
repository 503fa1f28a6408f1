package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/retry"
)

// truncateBody sends less than the Content-Length and closes the connection.
func truncateBody(conn net.Conn, request *http.Request, _ []byte) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\n"+testSigned+": yes\r\nContent-Length: 100\r\n\r\nhalf")
	_ = conn.Close()
}

func closeWithoutResponse(conn net.Conn, _ *http.Request, _ []byte) { _ = conn.Close() }

// respondGarbage sends bytes that are no HTTP response.
func respondGarbage(conn net.Conn, _ *http.Request, _ []byte) {
	_, _ = io.WriteString(conn, "\x00\x01 garbage\r\n\r\n")
	_ = conn.Close()
}

// respondUnsigned answers with a success without the signature.
func respondUnsigned(conn net.Conn, request *http.Request, _ []byte) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\nContent-Length: 2\r\n\r\nno")
}

// respondNotRun declares that the request was not run.
func respondNotRun(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusServiceUnavailable, request.Header.Get(testID), "", testNotRun+": 1")
}

// respondMisdirected answers that another target has the address.
func respondMisdirected(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusMisdirectedRequest, request.Header.Get(testID), "")
}

// respondError answers with an error after it ran the request.
func respondError(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusInternalServerError, request.Header.Get(testID), "broken")
}

// respondUndeclaredRefusal answers with 503 but doesn't declare NotRun.
func respondUndeclaredRefusal(conn net.Conn, request *http.Request, _ []byte) {
	respond(conn, http.StatusServiceUnavailable, request.Header.Get(testID), "busy")
}

// respondOtherRequestFirst sends a response to another request before its own.
func respondOtherRequestFirst(conn net.Conn, request *http.Request, body []byte) {
	respond(conn, http.StatusOK, "another", "not yours")
	respondOK(conn, request, body)
}

func neverRespond(net.Conn, *http.Request, []byte) { time.Sleep(3 * time.Second) }

// TestFailuresOfOneTarget tests each fault of a target, for requests that may
// run more than once and for those that may not. The second target is healthy.
func TestFailuresOfOneTarget(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		script script
		// safe and unsafe are the statuses that callers get.
		safe, unsafe int
		// unsafeRuns is the number of targets that an unsafe request reaches.
		unsafeRuns int
	}{
		{"good", respondOK, 200, 200, 1},
		{"closed connection", closeWithoutResponse, 200, 502, 1},
		{"truncated body", truncateBody, 200, 502, 1},
		{"garbage", respondGarbage, 200, 502, 1},
		{"unsigned", respondUnsigned, 200, 502, 1},
		{"error", respondError, 200, 500, 1},
		{"refusal not declared", respondUndeclaredRefusal, 200, 502, 1},
		{"shed", respondNotRun, 200, 200, 2},
		{"misdirected", respondMisdirected, 200, 200, 2},
		{"response to another request first", respondOtherRequestFirst, 200, 200, 1},
		{"silent", neverRespond, 200, 504, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			faulty := startTarget(t, "bad", c.script)
			healthy := startTarget(t, "sound", respondOK)
			// The first target is nearer, so that it is chosen first.
			healthy.target.Place = "far"
			h := newHarness(t, faulty, healthy)
			got := h.call(t.Context(), http.MethodPost, "/safe/x", "body")
			is.NoErr(got.err)
			is.Equal(got.status, c.safe)
			is.Equal(got.body, "did body")

			otherFaulty := startTarget(t, "bad", c.script)
			otherHealthy := startTarget(t, "sound", respondOK)
			otherHealthy.target.Place = "far"
			h = newHarness(t, otherFaulty, otherHealthy)
			got = h.call(t.Context(), http.MethodPost, "/unsafe/x", "body")
			is.NoErr(got.err)
			is.Equal(got.status, c.unsafe)
			is.Equal(h.received(), c.unsafeRuns)
			is.Equal(int(otherFaulty.requests.Load()), 1)
			if c.unsafe == http.StatusBadGateway || c.unsafe == http.StatusGatewayTimeout {
				is.Equal(got.header.Get("X-Outcome"), ferry.OutcomeUnknown.String())
			}
			if c.unsafe == http.StatusGatewayTimeout {
				is.True(got.took < 900*time.Millisecond)
			}
		})
	}
}

// After a refused connection, another target gets the request without a budget.
func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	gone := startTarget(t, "gone", respondOK)
	gone.target.Address = unusedAddress(t)
	healthy := startTarget(t, "sound", respondOK)
	healthy.target.Place = "far"
	h := newHarness(t, gone, healthy)
	h.budgets.SetBounds(retry.FleetBounds{VMs: 1000, Age: time.Minute})
	for range 3 {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(int(healthy.requests.Load()), 3)
}

// When every target sheds, the caller gets outcome NotRun and a Retry-After.
func TestEveryTargetSheds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondNotRun), startTarget(t, "b", respondNotRun))
	got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("X-Outcome"), ferry.OutcomeNotRun.String())
	is.True(got.header.Get("Retry-After") != "")
	is.True(got.took < 300*time.Millisecond)
}

// Without a retry budget, a request that reached a target is not retried.
func TestBudgetBoundsRetries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", closeWithoutResponse), startTarget(t, "b", closeWithoutResponse), startTarget(t, "c", closeWithoutResponse))
	h.budgets.SetBounds(retry.FleetBounds{VMs: 1, Age: time.Minute})
	for range 10 {
		got := h.call(t.Context(), http.MethodGet, "/safe/x", "")
		is.NoErr(got.err)
	}
	is.Equal(h.received(), 10)
}

// A request has at most as many attempts as its route allows.
func TestAttemptsOfRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondError), startTarget(t, "b", respondError), startTarget(t, "c", respondError), startTarget(t, "d", respondError))
	got := h.call(t.Context(), http.MethodGet, "/safe/x", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.body, "broken")
	is.Equal(h.received(), 2)
}

// Pooled connections with unread bytes, or closed by the target, aren't reused.
func TestReusedConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	extra := func(conn net.Conn, request *http.Request, body []byte) {
		respondOK(conn, request, body)
		respond(conn, http.StatusOK, request.Header.Get(testID), "again")
	}
	target := startTarget(t, "a", sequence(extra, func(conn net.Conn, request *http.Request, body []byte) {
		respondOK(conn, request, body)
		_ = conn.Close()
	}, respondOK))
	h := newHarness(t, target)
	for i := range 4 {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b", testID, strconv.Itoa(i))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "did b")
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(int(target.requests.Load()), 4)
	is.Equal(int(target.dials.Load()), 3)
}

// A response without a length ends with its connection. A reset of the
// connection makes it a truncated response.
func TestResponseWithoutLength(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	complete := func(conn net.Conn, request *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\n"+testSigned+": yes\r\n\r\nall of it")
		_ = conn.Close()
	}
	truncated := func(conn net.Conn, request *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\n"+testSigned+": yes\r\n\r\npart of it")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	h := newHarness(t, startTarget(t, "a", sequence(complete, truncated)))
	got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
	is.NoErr(got.err)
	is.Equal(got.body, "all of it")
	got = h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
}

// When a large response is truncated, the caller's connection is aborted too.
func TestLargeResponseTruncated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	large := strings.Repeat("x", 2*maxBufferedResponse)
	h := newHarness(t, startTarget(t, "a", sequence(
		func(conn net.Conn, request *http.Request, _ []byte) {
			respond(conn, http.StatusOK, request.Header.Get(testID), large)
		},
		func(conn net.Conn, request *http.Request, _ []byte) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\n"+testSigned+": yes\r\nContent-Length: 1000000\r\n\r\n"+large)
			_ = conn.Close()
		})))
	got := h.call(t.Context(), http.MethodGet, "/safe/x", "")
	is.NoErr(got.err)
	is.NoErr(got.bodyErr)
	is.Equal(len(got.body), len(large))
	got = h.call(t.Context(), http.MethodGet, "/safe/x", "")
	is.True(got.err != nil || got.bodyErr != nil)
}

// A body that is too long to be buffered reaches the target unchanged.
func TestLongUpload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		respond(conn, http.StatusOK, request.Header.Get(testID), "stored")
	})
	h := newHarness(t, target)
	body := strings.Repeat("0123456789", 300_000)
	for _, isChunked := range []bool{false, true} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.httpServer.URL+"/upload/x", io.MultiReader(strings.NewReader(body)))
		is.NoErr(err)
		request.Header.Set(testID, "upload")
		if !isChunked {
			request.ContentLength = int64(len(body))
		}
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_ = response.Body.Close()
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	is.Equal(len(target.bodies), 2)
	for _, got := range target.bodies {
		is.True(string(got) == body)
	}
}

// After a response that came before the whole body was sent, the target gets no
// other bytes on that connection.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		reader := bufio.NewReader(conn)
		request, readErr := http.ReadRequest(reader)
		if readErr != nil {
			return
		}
		respond(conn, http.StatusServiceUnavailable, request.Header.Get(testID), "", testNotRun+": 1")
		time.Sleep(300 * time.Millisecond)
		_, readErr = io.ReadAll(request.Body)
		ended <- readErr
	}()
	target := startTarget(t, "a", respondOK)
	target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	h := newHarness(t, target)
	got := h.call(t.Context(), http.MethodPost, "/upload/x", strings.Repeat("y", 6<<20))
	if got.err == nil {
		is.Equal(got.status, http.StatusServiceUnavailable)
	}
	is.True(errors.Is(<-ended, io.ErrUnexpectedEOF))
}

// When the caller disconnects, a request that may run more than once is
// canceled. A request that may run only once goes on.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	durations := make(chan time.Duration, 2)
	measure := func(conn net.Conn, _ *http.Request, _ []byte) {
		started := time.Now()
		_ = conn.SetReadDeadline(started.Add(400 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
		durations <- time.Since(started)
	}
	h := newHarness(t, startTarget(t, "a", measure))
	// leave disconnects once the target has a request, and returns how long that went on.
	leave := func(method, path, body string) time.Duration {
		received := h.received()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for h.received() == received && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		is.True(h.call(ctx, method, path, body).err != nil)
		select {
		case duration := <-durations:
			return duration
		case <-time.After(10 * time.Second):
			t.Fatal("no request reached the target")
			return 0
		}
	}
	is.True(leave(http.MethodGet, "/safe/x", "") < 300*time.Millisecond)
	is.True(leave(http.MethodPost, "/unsafe/x", "b") >= 390*time.Millisecond)
}

// The target gets the client account and no header that contains the key.
func TestKeyIsNotForwarded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	got := h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "secret", "X-Copy", "my secret", testAccount, "forged")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	header := target.header()
	is.Equal(header.Get(testAccount), "account")
	is.Equal(header.Get(testTarget), "a")
	for _, values := range header {
		is.True(!strings.Contains(strings.Join(values, " "), "secret"))
	}
	got = h.call(t.Context(), http.MethodPost, "/keyed/x", "b", testKeyHeader, "wrong")
	is.Equal(got.status, http.StatusUnauthorized)
	got = h.call(t.Context(), http.MethodPost, "/none", "b")
	is.Equal(got.status, http.StatusNotFound)
	// A VM whose configuration may be old refuses with 503 and a Retry-After.
	h.guard.isClosed.Store(true)
	for _, path := range []string{"/keyed/x", "/none"} {
		got = h.call(t.Context(), http.MethodPost, path, "b", testKeyHeader, "wrong")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(h.received(), 1)
}

// Each attempt carries the remaining time to the target.
func TestForwardedDeadlineIsRemainingTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	slow := startTarget(t, "slow", neverRespond)
	healthy := startTarget(t, "sound", respondOK)
	healthy.target.Place = "far"
	h := newHarness(t, slow, healthy)
	got := h.call(t.Context(), http.MethodGet, "/safe/x", "", testDeadline, "1500")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	first := testDialect{}.ReadRequest(slow.header()).Deadline
	second := testDialect{}.ReadRequest(healthy.header()).Deadline
	is.True(first > 1400*time.Millisecond && first <= 1500*time.Millisecond)
	is.True(second < first-80*time.Millisecond)
}

// The method, the path, the query and the body arrive unchanged.
func TestRequestIsUnchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	received := make(chan *http.Request, 1)
	h := newHarness(t, startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
		received <- request
		respondOK(conn, request, body)
	}))
	got := h.call(t.Context(), http.MethodPut, "/safe/a%2Fb/../c//d?q=1&q=%20", "b", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	is.NoErr(got.err)
	request := <-received
	is.Equal(request.Method, http.MethodPut)
	is.Equal(request.RequestURI, "/safe/a%2Fb/../c//d?q=1&q=%20")
	is.Equal(request.Header.Get("X-Own"), "kept")
	is.Equal(request.Header.Get("X-Hop"), "")
	is.Equal(got.header.Get("Date"), "")
	is.Equal(got.header.Get("Content-Type"), "")
}

// The split of requests is close to the weights from the first request on.
func TestSplitFollowsWeights(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var s serviceSplitter
	route := &ferry.Route{ID: "r", Split: []ferry.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for range 20 {
		count := 0
		for range 50 {
			if s.chooseService(route) == "b" {
				count++
			}
		}
		is.True(count >= 3 && count <= 7)
	}
}

// slowLimiter admits each request after a wait.
type slowLimiter struct{ wait time.Duration }

func (l slowLimiter) Admit(ctx context.Context, _ *ferry.Account) (ferry.Permit, error) {
	select {
	case <-time.After(l.wait):
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A request whose caller disconnects while it waits for a token is not sent.
func TestCallerDisconnectsBeforeToken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	h.limiter.Store(&slowLimiter{wait: 3 * time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
	defer cancel()
	is.True(h.call(ctx, http.MethodPost, "/keyed/x", "body", testKeyHeader, "secret").err != nil)
	// A request that goes on in spite of it ends after the limiter's wait.
	for deadline := time.Now().Add(4 * time.Second); h.server.InFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(int(h.server.InFlight()), 0)
	is.Equal(int(target.requests.Load()), 0)
	h.limiter.Store(&slowLimiter{wait: 300 * time.Millisecond})
	is.Equal(h.call(t.Context(), http.MethodPost, "/keyed/x", "body", testKeyHeader, "secret").status, http.StatusOK)
}
