package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/flight"
)

// readRefusal reads a response and the end of its connection.
func readRefusal(t *testing.T, c caller) *http.Response {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	reader := bufio.NewReader(c)
	got, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(got.Close)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	return got
}

// A caller that pauses in the beginning of its body gets a refusal at the deadline of
// its request, and no target gets the request.
func TestShortBodyPastDeadline(t *testing.T) {
	t.Parallel()
	for _, isChunked := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t, startTarget(t, "a", respondOK))
		caller := h.startUpload(t, 100<<10, isChunked, testDeadline+": 300")
		is.NoErr(caller.send(numberedBody(20 << 10)))
		got := readRefusal(t, caller)
		is.Equal(got.StatusCode, http.StatusRequestTimeout)
		is.Equal(got.Header.Get("X-Outcome"), "NotRun")
		is.Equal(h.received(), 0)
		is.Equal(h.server.InFlight(), int64(0))
	}
}

// A body in chunks over the limit of its route is refused with 413, also when its
// beginning has reached a target.
func TestLongChunksOverLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondOK))
	caller := h.startUpload(t, 0, true)
	go func() { _ = caller.send(make([]byte, 9<<20)) }()
	got, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(got.Header.Get("X-Outcome") != "NotRun")
	is.Equal(h.received(), 1)
	is.Equal(len(h.targets[0].bodies), 0)
}

// A refusal doesn't wait for the rest of a body.
func TestRefusalBesideUnreadBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondOK))
	upload := h.startUpload(t, 9<<20, false)
	is.NoErr(upload.send(make([]byte, 1000)))
	is.Equal(readRefusal(t, upload).StatusCode, http.StatusRequestEntityTooLarge)
	// A refusal before the body is looked at waits for a short rest, but not for long.
	conn, err := net.Dial("tcp4", h.httpServer.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /nothing HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	is.NoErr(err)
	is.Equal(readRefusal(t, caller{Conn: conn}).StatusCode, http.StatusNotFound)
}

// While the budget is used up, a new body is refused with a true 503, and everything is
// given back when the bodies have gone.
func TestBodyBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", respondOK))
	h.bytes.Store(flight.NewLedger(100 << 10))
	var paused []caller
	for i := range 5 {
		caller := h.startUpload(t, 2<<20, true)
		is.NoErr(caller.send(numberedBody(15 << 10)))
		paused = append(paused, caller)
		// Each takes its part before the next one comes.
		h.eventually(t, func() bool { return h.bytes.Load().Usage().Used >= int64(min(4, i+1))*16<<10 })
	}
	refused := readRefusal(t, paused[4])
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("X-Outcome"), "NotRun")
	is.True(refused.Header.Get("Retry-After") != "")
	is.Equal(h.received(), 0)
	// A small body of the same address waits until a stalled one is ended, or comes again.
	h.eventually(t, func() bool {
		return h.call(t.Context(), http.MethodPost, "/upload/x", strings.Repeat("x", 20<<10)).status == http.StatusOK
	})
	is.True(h.bytes.Load().Usage().Ended > 0)
	for _, caller := range paused {
		_ = caller.Close()
	}
	h.eventually(t, func() bool { return h.bytes.Load().Usage().Used == 0 })
	is.Equal(h.bytes.Load().Usage().Receiving, 0)
}

// A body of which little can be buffered is streamed, with a length and in chunks, and
// a long response as well.
func TestStreamsWithSmallBudget(t *testing.T) {
	t.Parallel()
	for _, budget := range []int64{24 << 10, 120 << 10, 1 << 20} {
		for _, isChunked := range []bool{false, true} {
			is := is.New(t)
			h := newHarness(t, startTarget(t, "a", respondOK))
			h.bytes.Store(flight.NewLedger(budget))
			body := numberedBody(3 << 20)
			caller := h.startUpload(t, len(body), isChunked)
			go func() {
				if caller.send(body) == nil {
					_ = caller.end()
				}
			}()
			got, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusOK)
			text, err := io.ReadAll(got.Body)
			is.NoErr(err)
			is.True(string(text) == "did "+string(body))
			h.eventually(t, func() bool { return h.bytes.Load().Usage().Used == 0 })
		}
	}
}

// What a request holds is given back when its caller leaves, but not before the attempt
// that uses it has ended.
func TestBudgetAfterCallerLeft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, startTarget(t, "a", func(_ net.Conn, _ *http.Request, _ []byte) {}))
	h.bytes.Store(flight.NewLedger(10 << 20))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for h.received() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	is.True(h.call(ctx, http.MethodPost, "/unsafe/x", strings.Repeat("x", 100<<10)).err != nil)
	h.eventually(t, func() bool { return h.server.InFlight() == 0 })
	is.True(h.bytes.Load().Usage().Used >= 100<<10)
	// The attempt ends at the deadline of its request.
	h.eventually(t, func() bool { return h.bytes.Load().Usage().Used == 0 })
}

// A caller that stops or leaves in the middle of a streamed body is no evidence against
// the target.
func TestBrokenBodyIsNoEvidence(t *testing.T) {
	t.Parallel()
	for _, leaves := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(t, startTarget(t, "a", respondOK))
		logOdds := func() float64 { return h.chooser.List(monotonicTime(ferry.NewSystemClock()))[0].LogOdds }
		before := logOdds()
		body := numberedBody(2 << 20)
		caller := h.startUpload(t, len(body), false, testDeadline+": 3000")
		is.NoErr(caller.send(body[:len(body)-1]))
		if leaves {
			h.eventually(t, func() bool { return h.received() == 1 })
			is.NoErr(caller.Close())
		} else {
			is.Equal(readRefusal(t, caller).StatusCode, http.StatusGatewayTimeout)
		}
		h.eventually(t, func() bool { return h.server.InFlight() == 0 })
		time.Sleep(50 * time.Millisecond)
		is.True(logOdds() <= before)
	}
}

// When the connections to targets are used up, a request is refused with a true 503.
func TestConnectionBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
		if request.URL.Path == "/safe/hold" {
			<-release
		}
		respondOK(conn, request, body)
	})
	h := newHarness(t, target)
	h.pool.Connections = flight.NewLedger(1)
	held := make(chan callResult, 1)
	go func() { held <- h.call(t.Context(), http.MethodGet, "/safe/hold", "") }()
	h.eventually(t, func() bool { return h.pool.Connections.Usage().Used == 1 })
	result := h.call(t.Context(), http.MethodPost, "/unsafe/x", "x")
	is.Equal(result.status, http.StatusServiceUnavailable)
	is.Equal(result.header.Get("X-Outcome"), "NotRun")
	close(release)
	is.Equal((<-held).status, http.StatusOK)
	h.eventually(t, func() bool { return h.pool.Connections.Usage().Used == 0 })
	// The idle connection gives way to a new one.
	is.Equal(h.pool.Idle(), 1)
	is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "x").status, http.StatusOK)
	is.True(h.pool.Idle() <= 1)
}

func TestNextBuffer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sizes []int64
	for size := nextBuffer(0, -1); ; size = nextBuffer(size, -1) {
		sizes = append(sizes, size)
		if size == nextBuffer(size, -1) {
			break
		}
	}
	is.Equal(sizes, []int64{16 << 10, 64 << 10, 256 << 10, 1 << 20})
	is.Equal(nextBuffer(0, 5), int64(5))
	is.Equal(nextBuffer(64<<10, 100<<10), int64(100<<10))
	is.Equal(nextBuffer(100<<10, 100<<10), int64(100<<10))
}

// The end of a request holds the body while its attempt looks why the target failed.
func TestBrokenBodyIsSeenBesideTheEndOfItsRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rest := &bodyRest{source: iotest.ErrReader(io.ErrUnexpectedEOF)}
	_, err := rest.Read(make([]byte, 1))
	is.Equal(err, io.ErrUnexpectedEOF)
	rest.end(func() { is.True(rest.isBroken()) })
	rest.mu.Lock()
	defer rest.mu.Unlock()
	is.True(rest.isBroken())
}
