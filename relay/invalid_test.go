package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
)

// headResponder responds to the request "first" with an empty success, which keeps the
// connection, and to all others with a head. Then it keeps the connection open.
type headResponder struct {
	head fake.Head
	// isClosed reports that the connection ends after the head and its body.
	isClosed bool
}

func (r headResponder) respond(conn net.Conn, request *http.Request, _ []byte) {
	if request.Header.Get(testID) == "first" {
		respond(conn, http.StatusOK, "first", "")
		return
	}
	_, _ = conn.Write(r.head.Encode(testID+": "+request.Header.Get(testID), testSigned+": yes"))
	if r.isClosed {
		_ = conn.Close()
	}
}

// headCalls are requests whose responses have the heads of the table.
var headCalls = []struct{ method, path, body string }{
	{http.MethodGet, "/safe/x", ""},
	{http.MethodHead, "/safe/x", ""},
	{http.MethodPost, "/unsafe/x", "body"},
	{http.MethodPost, "/upload/x", "body"},
}

// A head that isn't valid is no response: its caller gets 502, which promises nothing,
// whether the connection stays open or not, and not 504 at the deadline. Nothing more is read
// from the connection.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, head := range fake.InvalidHeads() {
		for _, isClosed := range []bool{false, true} {
			t.Run(head.Name+map[bool]string{true: ", closed"}[isClosed], func(t *testing.T) {
				t.Parallel()
				target := startTarget(t, "a", headResponder{head: head, isClosed: isClosed}.respond)
				h := newHarness(t, target)
				for _, c := range headCalls {
					for _, isKept := range []bool{false, true} {
						if isKept {
							h.call(t.Context(), http.MethodPost, "/unsafe/x", "", testID, "first")
						}
						got := h.call(t.Context(), c.method, c.path, c.body, testID, "id")
						switch {
						case got.err != nil || got.bodyErr != nil:
							t.Errorf("%s %s, kept %t: %v, %v", c.method, c.path, isKept, got.err, got.bodyErr)
						case got.status != http.StatusBadGateway:
							t.Errorf("%s %s, kept %t: status %d with %q", c.method, c.path, isKept, got.status, got.body)
						case got.header.Get("X-Outcome") != ferry.OutcomeUnknown.String():
							t.Errorf("%s %s, kept %t: outcome %q", c.method, c.path, isKept, got.header.Get("X-Outcome"))
						}
						if idle := h.pool.Idle(); idle != 0 {
							t.Errorf("%s %s, kept %t: %d idle connections", c.method, c.path, isKept, idle)
						}
					}
				}
			})
		}
	}
}

// A valid head is a response, however unusual it is.
func TestValidHeadIsResponse(t *testing.T) {
	t.Parallel()
	for _, head := range fake.ValidHeads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := startTarget(t, "a", headResponder{head: head, isClosed: true}.respond)
			h := newHarness(t, target)
			for _, c := range headCalls {
				got := h.call(t.Context(), c.method, c.path, c.body, testID, "id")
				is.NoErr(got.err)
				is.NoErr(got.bodyErr)
				is.Equal(got.status/100, 2)
				if c.method != http.MethodHead {
					is.Equal(got.body, fake.HeadBody)
				}
			}
		})
	}
}

// A request that may run more than once is sent to another target after an invalid head, one
// that may not isn't.
func TestInvalidHeadIsRetriedWhereSafe(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	head := fake.Head{Status: "HTTP/1.1 000 ", Lines: []string{"Content-Length: 0"}}
	odd := startTarget(t, "a", headResponder{head: head}.respond)
	sound := startTarget(t, "b", respondOK)
	h := newHarness(t, odd, sound)
	isRetried := false
	for range 20 {
		before := odd.requests.Load()
		got := h.call(t.Context(), http.MethodGet, "/safe/x", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		isRetried = isRetried || odd.requests.Load() > before
	}
	is.True(isRetried)
	for range 20 {
		before := h.received()
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
		is.NoErr(got.err)
		is.Equal(h.received()-before, 1)
	}
}

// The same holds while the upload is written, buffered or streamed.
func TestEarlyInvalidHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, head := range fake.InvalidHeads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			listener, err := fake.EarlyTarget{Ending: fake.EndingHalfClosed, Respond: func(request *http.Request) []byte {
				return head.Encode(testID+": "+request.Header.Get(testID), testSigned+": yes")
			}}.Listen(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			target := startTarget(t, "a", respondOK)
			target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
			h := newHarness(t, target)
			for _, upload := range []int{bufferedUpload, streamedUpload} {
				caller := h.startUpload(t, upload, false)
				go func() { _ = caller.send(numberedBody(upload)) }()
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err == nil && response.StatusCode != http.StatusBadGateway {
					t.Errorf("upload of %d: status %d", upload, response.StatusCode)
				}
				_ = caller.Close()
			}
		})
	}
}

// A body whose trailer has an invalid name is not whole: its caller gets 502 or, after the
// first byte, no last chunk.
func TestInvalidTrailerIsNoEndOfBody(t *testing.T) {
	t.Parallel()
	for _, size := range []int{bufferedAnswer, streamedAnswer} {
		for line, isValid := range map[string]bool{"X-Sum: 1\r\n": true, "X Sum: 1\r\n": false, "X-Sum : 1\r\n": false, "X\x01Sum: 1\r\n": false} {
			t.Run(fmt.Sprintf("%d %q", size, line), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
					encoded := framedByChunks.encode(request.Header.Get(testID), numberedBody(size))
					_, _ = conn.Write(append(bytes.TrimSuffix(encoded, []byte("\r\n")), line+"\r\n"...))
				}))
				got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "body")
				is.Equal(got.isWhole(), isValid)
				if size == bufferedAnswer && !isValid {
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusBadGateway)
				}
				if !isValid {
					is.Equal(h.pool.Idle(), 0)
				}
			})
		}
	}
}

// An invalid head is counted, and the line of the attempt names its target and the fault, but
// nothing of what was sent.
func TestInvalidHeadIsLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := &lockedBuffer{}
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), startTarget(t, "a", func(conn net.Conn, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Y: v\r\nSECRET : v\r\n\r\n")
	}))
	got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b", testID, "id-1")
	is.Equal(got.status, http.StatusBadGateway)
	lines := log.linesWith("msg=attempt request=id-1")
	is.Equal(len(lines), 1)
	for _, part := range []string{"target=a", "verdict=Reset", "outcome=Unknown", `error="the response has an invalid head: Name in line 3"`} {
		is.True(strings.Contains(lines[0], part))
	}
	is.Equal(len(log.linesWith("SECRET")), 0)
	is.Equal(h.metrics.GetOrCreateCounter(`ferry_invalid_heads_total{fault="Name"}`).Get(), uint64(1))
}

// Whatever a target changes in the head of its response, a caller that gets a whole success
// gets what a strict reader reads from the same bytes.
func TestMutatedHeads(t *testing.T) {
	t.Parallel()
	const seeds, calls = 4, 250
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			var response []byte
			h := newHarness(t, startTarget(t, "a", func(conn net.Conn, _ *http.Request, _ []byte) {
				_, _ = conn.Write(response)
				_ = conn.Close()
			}))
			whole := 0
			for i := range calls {
				response = fake.MutateHead(random, fmt.Sprint(testID, ": ", i), testSigned+": yes")
				got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "body", testID, fmt.Sprint(i))
				strict := fake.ReadStrictly(response)
				isSuccess := got.err == nil && got.bodyErr == nil && got.status/100 == 2
				if isSuccess && (!strict.IsWhole || got.status != strict.Status || got.body != string(strict.Body)) {
					t.Errorf("%q: the caller got %d with %q, a strict reader %d with %q, whole %t",
						response, got.status, got.body, strict.Status, strict.Body, strict.IsWhole)
				}
				if isSuccess {
					whole++
				}
			}
			if whole < calls/10 {
				t.Errorf("%d whole successes", whole)
			}
		})
	}
}

// A caller's request with such a field is refused before anything is sent.
func TestInvalidHeadOfCallerIsRefused(t *testing.T) {
	t.Parallel()
	for _, lines := range []string{
		"X Y: v\r\nContent-Length: 4", "X-Y : v\r\nContent-Length: 4", "X\x01Y: v\r\nContent-Length: 4", "X-Y: a\x00b\r\nContent-Length: 4", "X-Y: a\rb\r\nContent-Length: 4",
		"Content-Length : 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked\r\nContent-Length: 4",
		"Content-Length: 4\r\nContent-Length: 3", "Content-Length: 4, 3", "Content-Length: +4", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity",
	} {
		t.Run(lines, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, startTarget(t, "a", respondOK))
			conn, err := net.Dial("tcp4", h.httpServer.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"+testID+": id\r\n"+lines+"\r\n\r\nbody")
			is.NoErr(err)
			received, err := io.ReadAll(conn)
			is.NoErr(err)
			const refusedPrefix = "HTTP/1.1 400 "
			if string(received[:min(len(received), len(refusedPrefix))]) != refusedPrefix && string(received[:min(len(received), 13)]) != "HTTP/1.1 501 " {
				t.Errorf("the caller got %q", received)
			}
			is.Equal(h.received(), 0)
		})
	}
}
