package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/socket"
)

const (
	// earlyAfter is how much of a body a target reads before an early response, in bytes.
	earlyAfter = 64 << 10
	// earlyPause is the pause of a caller that sends a body for longer than its target
	// takes to respond.
	earlyPause = time.Millisecond
)

// receivedBody is what a target got where the body of a request was due.
type receivedBody struct {
	body []byte
	err  error
}

// startEarlyTarget starts a target that reads earlyAfter bytes of a body, sends the
// first part of its response, reads on to the end of the body, and sends the rest.
func startEarlyTarget(t *testing.T, response string, first int) (*testTargetServer, chan receivedBody) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan receivedBody, 1)
	go func() {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, readErr := http.ReadRequest(bufio.NewReader(conn))
		if readErr != nil {
			return
		}
		var body bytes.Buffer
		_, _ = io.CopyN(&body, request.Body, earlyAfter)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s",
				testID, request.Header.Get(testID), testSigned, len(response), response[:first])
		}()
		_, readErr = io.Copy(&body, request.Body)
		<-sent
		_, _ = io.WriteString(conn, response[first:])
		received <- receivedBody{body: body.Bytes(), err: readErr}
	}()
	target := startTarget(t, "a", respondOK)
	target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	return target, received
}

// numberedBody returns a body no two pieces of which are equal.
func numberedBody(size int) []byte {
	var body bytes.Buffer
	for i := 0; body.Len() < size; i++ {
		fmt.Fprintf(&body, "%09d\n", i)
	}
	return body.Bytes()[:size]
}

// caller is a connection of a caller that sends a long body.
type caller struct {
	net.Conn
	isChunked bool
	// pause is the time between two pieces of the body.
	pause time.Duration
}

// startUpload sends the head of an upload of size bytes, in chunks or with a length.
// lines are additional header lines.
func (h *harness) startUpload(t *testing.T, size int, isChunked bool, lines ...string) caller {
	t.Helper()
	return h.startUploadAs(t, "HTTP/1.1", size, isChunked, lines...)
}

// startUploadAs is startUpload for a caller of another version of HTTP.
func (h *harness) startUploadAs(t *testing.T, version string, size int, isChunked bool, lines ...string) caller {
	t.Helper()
	conn, err := net.Dial("tcp4", h.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err = conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	lines = append(lines, testID+": id")
	if isChunked {
		lines = append(lines, "Transfer-Encoding: chunked")
	} else {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", size))
	}
	if _, err = fmt.Fprintf(conn, "POST /upload/x %s\r\nHost: h\r\n%s\r\n\r\n", version, strings.Join(lines, "\r\n")); err != nil {
		t.Fatal(err)
	}
	return caller{Conn: conn, isChunked: isChunked}
}

// send sends a part of the body.
func (c caller) send(body []byte) error {
	for len(body) > 0 {
		piece := body[:min(chunkSize, len(body))]
		body = body[len(piece):]
		framed := piece
		if c.isChunked {
			framed = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := c.Write(framed); err != nil {
			return err
		}
		time.Sleep(c.pause)
	}
	return nil
}

// end sends the end of the body.
func (c caller) end() error {
	if !c.isChunked {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// A target that responds before it has read a long body, with more than is buffered of
// a response, and reads on, gets the whole body. The caller gets the whole response.
func TestEarlyLongResponse(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name      string
		size      int
		isChunked bool
	}{
		{"chunks", 3 << 20, true},
		{"length", 3 << 20, false},
		// Package http discards the unread part of a body with a length if it is short.
		{"short rest", maxBufferedRequest + 12*chunkSize, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			response := strings.Repeat("response\n", 600<<10/9)
			target, received := startEarlyTarget(t, response, 400<<10)
			h := newHarness(t, target)
			body := numberedBody(c.size)
			caller := h.startUpload(t, c.size, c.isChunked)
			caller.pause = earlyPause
			sent := make(chan error, 1)
			go func() {
				err := caller.send(body)
				if err == nil {
					err = caller.end()
				}
				sent <- err
			}()
			reader := bufio.NewReader(caller)
			got, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusOK)
			text, err := io.ReadAll(got.Body)
			is.NoErr(err)
			is.True(string(text) == response)
			is.NoErr(<-sent)
			at := <-received
			is.NoErr(at.err)
			is.Equal(len(at.body), c.size)
			is.True(bytes.Equal(at.body, body))
		})
	}
}

// A caller gets a short response that comes before the end of a long body at once,
// though it sends no more. Then its connection is closed, and the target gets a body
// that is cut, and no other bytes.
func TestEarlyShortResponse(t *testing.T) {
	t.Parallel()
	for _, isChunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunks ", isChunked), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const size = 3 << 20
			target, received := startEarlyTarget(t, "stored", len("stored"))
			h := newHarness(t, target)
			body := numberedBody(size)
			caller := h.startUpload(t, size, isChunked)
			is.NoErr(caller.send(body[:maxBufferedRequest+2*chunkSize]))
			is.NoErr(caller.SetReadDeadline(time.Now().Add(2 * time.Second)))
			reader := bufio.NewReader(caller)
			got, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusOK)
			is.True(got.Close)
			text, err := io.ReadAll(got.Body)
			is.NoErr(err)
			is.Equal(string(text), "stored")
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
			at := <-received
			is.True(at.err != nil)
			is.True(bytes.HasPrefix(body, at.body))
			is.Equal(h.server.InFlight(), int64(0))
		})
	}
}

// A caller that pauses in a long body gets a refusal at the deadline of its request, and
// no attempt reads its body after that.
func TestLongBodyPastDeadline(t *testing.T) {
	t.Parallel()
	for _, isChunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunks ", isChunked), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const size = 3 << 20
			target := startTarget(t, "a", respondOK)
			h := newHarness(t, target)
			// The caller sends what is buffered well before its deadline.
			body := numberedBody(size)
			caller := h.startUpload(t, size, isChunked, testDeadline+": 1500")
			is.NoErr(caller.send(body[:maxBufferedRequest+2*chunkSize]))
			is.NoErr(caller.SetReadDeadline(time.Now().Add(3 * time.Second)))
			reader := bufio.NewReader(caller)
			got, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(got.StatusCode, http.StatusGatewayTimeout)
			is.True(got.Close)
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(h.server.InFlight(), int64(0))
		})
	}
}

// A target that responds before it has read a long body, and closes its connection, has
// responded: the failure of the sending doesn't take its response away.
func TestEarlyResponseThatCloses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	text := strings.Repeat("refused\n", 1<<10)
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			request, readErr := http.ReadRequest(bufio.NewReader(conn))
			if readErr == nil {
				_, _ = io.CopyN(io.Discard, request.Body, earlyAfter)
				respond(conn, http.StatusForbidden, request.Header.Get(testID), text, "Connection: close")
			}
			// With unread bytes, the connection is reset.
			_ = conn.Close()
		}
	}()
	target := startTarget(t, "a", respondOK)
	target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	h := newHarness(t, target)
	for range 20 {
		const size = 2 << 20
		caller := h.startUpload(t, size, true)
		go func() { _ = caller.send(numberedBody(size)) }()
		got, readErr := http.ReadResponse(bufio.NewReader(caller), nil)
		is.NoErr(readErr)
		is.Equal(got.StatusCode, http.StatusForbidden)
		body, readErr := io.ReadAll(got.Body)
		is.NoErr(readErr)
		is.True(string(body) == text)
	}
}

// A caller gets a response that comes before the end of a buffered body at once, though its
// target reads no more for a while. The target then gets the whole body, and the connection
// is kept.
func TestEarlyResponseToBufferedBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pause = 300 * time.Millisecond
	listener, err := fake.ListenNarrow(t.Context())
	is.NoErr(err)
	var dials atomic.Int32
	bodies := make(chan []byte, 2)
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			dials.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, readErr := http.ReadRequest(reader)
					if readErr != nil {
						return
					}
					respond(conn, http.StatusOK, request.Header.Get(testID), "stored")
					time.Sleep(pause)
					body, _ := io.ReadAll(request.Body)
					bodies <- body
				}
			}()
		}
	}()
	target := startTarget(t, "a", respondOK)
	target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	h := newHarness(t, target)
	body := numberedBody(bufferedUpload)
	for i := range 2 {
		got := h.call(t.Context(), http.MethodPost, "/upload/x", string(body), testID, fmt.Sprint(i))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "stored")
		is.True(got.took < pause)
		is.True(bytes.Equal(<-bodies, body))
		h.eventually(t, func() bool { return h.pool.Idle() == 1 })
	}
	is.Equal(int(dials.Load()), 1)
	// The kernel may take the second body whole.
	is.True(h.metrics.GetOrCreateCounter(`ferry_early_responses_total{sent="true"}`).Get() > 0)
}

// A response that is lost where its body would have ended is counted.
func TestLostResponseIsCounted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := metrics.NewSet()
	counters := NewMetrics(set)
	route := &ferry.Route{ID: "r"}
	for _, err := range []error{nil, io.ErrUnexpectedEOF, fmt.Errorf("body: %w", &socket.LostError{Cause: syscall.ECONNRESET})} {
		counters.countAttempt(route, &attempt{pick: place.Pick{Target: &ferry.Target{}}, err: err}, time.Second)
	}
	is.Equal(set.GetOrCreateCounter("ferry_responses_lost_total").Get(), uint64(1))
}

// blockedReader blocks in Read until it is interrupted.
type blockedReader struct {
	reads       atomic.Int32
	interrupted chan struct{}
}

func (r *blockedReader) Read([]byte) (int, error) {
	r.reads.Add(1)
	<-r.interrupted
	return 0, os.ErrDeadlineExceeded
}

// The end of a body interrupts a read in progress and waits for it. No read follows.
func TestBodyRestEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	source := &blockedReader{interrupted: make(chan struct{})}
	rest := &bodyRest{source: source}
	rest.start()
	read := make(chan error, 1)
	go func() {
		_, err := rest.Read(make([]byte, 1))
		read <- err
	}()
	for source.reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	rest.end(func() { close(source.interrupted) })
	is.Equal(<-read, os.ErrDeadlineExceeded)
	_, err := rest.Read(make([]byte, 1))
	is.Equal(err, os.ErrDeadlineExceeded)
	is.Equal(source.reads.Load(), int32(1))

	// Without a read in progress, none follows either.
	source = &blockedReader{}
	rest = &bodyRest{source: source}
	rest.start()
	isInterrupted := false
	rest.end(func() { isInterrupted = true })
	is.True(isInterrupted)
	_, err = rest.Read(make([]byte, 1))
	is.Equal(err, errBodyEnded)
	is.Equal(source.reads.Load(), int32(0))

	// A body that was read whole, or that no attempt reads, interrupts nothing.
	rest = &bodyRest{source: strings.NewReader("")}
	rest.start()
	_, err = rest.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	rest.end(func() { t.Error("interrupted") })
	rest = &bodyRest{source: source}
	rest.end(func() { t.Error("interrupted") })
}
