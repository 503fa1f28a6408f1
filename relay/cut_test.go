package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

// cutBody is the body of the responses that are cut in their heads.
const cutBody = "the whole body of the response"

// cutHeads are responses, without their bodies, whose heads are cut.
var cutHeads = []struct{ name, head, body string }{
	{"length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Length: 30\r\n\r\n", cutBody},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\nX-Signed: yes\r\nX-Id: ID\r\n\r\n", cutBody},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n", "1e\r\n" + cutBody + "\r\n0\r\n\r\n"},
	{"chunks, trailer", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "1e\r\n" + cutBody + "\r\n0\r\nX-Sum: 1\r\n\r\n"},
	{"no length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n\r\n", cutBody},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n\r\n", cutBody},
	{"bare line feeds", "HTTP/1.1 200 OK\nX-Id: ID\nX-Signed: yes\n\n", cutBody},
	{"folded field", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed:\r\n yes\r\nX-Other: a,\r\n  b\r\n\r\n", cutBody},
	{"interim first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n\r\n", cutBody},
}

// cutResponder writes a response up to a cut and ends the connection. Requests that aren't
// cut get a whole response with a length.
type cutResponder struct {
	head, body string
	// cut is the number of bytes that are sent.
	cut     atomic.Int32
	isReset bool
}

func (r *cutResponder) respond(conn net.Conn, request *http.Request, _ []byte) {
	if request.Header.Get(testID) == "first" {
		respond(conn, http.StatusOK, "first", "")
		return
	}
	_, _ = io.WriteString(conn, (r.head + r.body)[:r.cut.Load()])
	if r.isReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// checkCut checks that a caller doesn't take what it got for a whole success, unless the
// whole response was sent.
func (r *cutResponder) check(t *testing.T, method string, got callResult) {
	t.Helper()
	cut := int(r.cut.Load())
	want := cutBody
	isSent := cut == len(r.head)+len(r.body)
	if method == http.MethodHead {
		want, isSent = "", cut >= len(r.head)
	}
	switch {
	case got.isWhole() && (!isSent || got.body != want):
		t.Errorf("%s, after %d of %d bytes of the head: 200 with %q", method, cut, len(r.head), got.body)
	case !got.isWhole() && isSent && !r.isReset:
		t.Errorf("%s, whole response: %d, %v, %v", method, got.status, got.err, got.bodyErr)
	}
}

// A response that stops within its head is no response, on a new or a kept connection,
// for requests with a body, without one and for HEAD.
func TestResponseCutInHead(t *testing.T) {
	t.Parallel()
	for _, c := range cutHeads {
		for _, isReset := range []bool{false, true} {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset %t/kept %t", c.name, isReset, isKept), func(t *testing.T) {
					t.Parallel()
					r := &cutResponder{head: c.head, body: c.body, isReset: isReset}
					target := startTarget(t, "a", r.respond)
					h := newHarness(t, target)
					head := r.head
					for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
						for cut := range len(head) + 1 {
							if cut == len(head) {
								cut += len(r.body)
							}
							r.cut.Store(int32(cut))
							if isKept {
								h.call(t.Context(), http.MethodPost, "/unsafe/x", "", testID, "first")
							}
							r.check(t, method, h.call(t.Context(), method, "/unsafe/x", map[bool]string{true: "body"}[method == http.MethodPost], testID, "ID"))
						}
					}
				})
			}
		}
	}
}

// The same holds for a response that stops in its head while the upload is written.
func TestEarlyResponseCutInHead(t *testing.T) {
	t.Parallel()
	for _, c := range cutHeads {
		for _, ending := range []fake.Ending{fake.EndingReset, fake.EndingUnread, fake.EndingHalfClosed} {
			t.Run(fmt.Sprint(c.name, "/", ending), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := &cutResponder{head: c.head, body: c.body}
				listener, err := fake.EarlyTarget{Ending: ending, Respond: func(*http.Request) []byte {
					return []byte(r.head[:r.cut.Load()])
				}}.Listen(t.Context())
				is.NoErr(err)
				target := startTarget(t, "a", respondOK)
				target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
				h := newHarness(t, target)
				for _, upload := range []int{bufferedUpload, streamedUpload} {
					for cut := 0; cut < len(r.head); cut += 9 {
						r.cut.Store(int32(cut))
						caller := h.startUpload(t, upload, false)
						go func() { _ = caller.send(numberedBody(upload)) }()
						response, err := http.ReadResponse(bufio.NewReader(caller), nil)
						if err != nil {
							continue
						}
						is.Equal(response.StatusCode, http.StatusBadGateway)
						is.NoErr(response.Body.Close())
						is.NoErr(caller.Close())
					}
				}
			})
		}
	}
}

// A response that stops after its caller has begun to get it ends with its connection, and
// without the last chunk.
func TestResponseCutWhileCallerReads(t *testing.T) {
	t.Parallel()
	const size, sent = maxBufferedResponse + 200_000, maxBufferedResponse + 100_000
	for _, framing := range []string{"Content-Length: " + strconv.Itoa(size), "Transfer-Encoding: chunked"} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(framing, " reset ", isReset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n%s\r\n\r\n%x\r\n", testID, request.Header.Get(testID), testSigned, framing, size)
					_, _ = conn.Write(make([]byte, sent))
					if isReset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				h := newHarness(t, target)
				for _, isHTTP10 := range []bool{false, true} {
					conn, err := net.Dial("tcp4", h.httpServer.Listener.Addr().String())
					is.NoErr(err)
					version := map[bool]string{false: "1.1", true: "1.0"}[isHTTP10]
					_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/%s\r\nHost: h\r\n%s: id\r\nContent-Length: 0\r\n\r\n", version, testID)
					is.NoErr(err)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						_, err = io.ReadAll(response.Body)
						if response.StatusCode == http.StatusOK && err == nil {
							t.Errorf("HTTP/%s: the caller got a whole 200", version)
						}
					}
					is.NoErr(conn.Close())
				}
			})
		}
	}
}
