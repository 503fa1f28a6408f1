package drain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startBounded starts a server with bounds whose handler reads the body of a request and
// then waits for a value of release.
func startBounded(t *testing.T, bounds Bounds, release chan struct{}) *Listener {
	t.Helper()
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(tcp)
	listener.SetBounds(bounds)
	server := &http.Server{
		ConnState: listener.SetState, ConnContext: listener.Context, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			SetReceiving(r.Context(), true)
			_, _ = io.Copy(io.Discard, r.Body)
			SetReceiving(r.Context(), false)
			<-release
			_, _ = io.WriteString(w, "done")
		}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// eventually waits until a condition is met.
func eventually(t *testing.T, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met")
		}
	}
}

// countActive returns the number of requests that are handled.
func countActive(l *Listener) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.open {
		if c.isActive.Load() {
			count++
		}
	}
	return count
}

// connect opens a connection, sends text and gives the server time to read it.
func connect(t *testing.T, l *Listener, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err = io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	return conn
}

func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	netError, ok := err.(net.Error)
	return ok && netError.Timeout()
}

// A new connection takes the place of the one that has waited longest, and of none whose
// request is handled. When all are handled, it is closed.
func TestConnectionBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	release := make(chan struct{})
	l := startBounded(t, Bounds{Connections: 3}, release)
	busy := connect(t, l, request)
	eventually(t, func() bool { return countActive(l) == 1 })
	part := connect(t, l, "GET /x HTT")
	eventually(t, func() bool { return l.Usage().Header > 0 })
	idle := connect(t, l, "")
	eventually(t, func() bool { return l.Usage().Open == 3 })
	second := connect(t, l, request)
	eventually(t, func() bool { return countActive(l) == 2 })
	eventually(t, func() bool { return l.Usage().Evicted[evictedIdle] == 1 })
	is.True(!isOpen(idle))
	third := connect(t, l, request)
	eventually(t, func() bool { return countActive(l) == 3 })
	eventually(t, func() bool { return l.Usage().Evicted[evictedHeader] == 1 })
	is.True(!isOpen(part))
	refused := connect(t, l, "")
	eventually(t, func() bool { return l.Usage().Evicted[evictedNew] == 1 })
	is.True(!isOpen(refused))
	is.Equal(l.Usage().Open, 3)
	is.Equal(l.Usage().Evicted, map[string]uint64{evictedIdle: 1, evictedHeader: 1, evictedNew: 1})
	address, count := l.Largest()
	is.Equal(address.String(), "127.0.0.1")
	is.Equal(count, 3)
	close(release)
	for _, conn := range []net.Conn{busy, second, third} {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// A body without progress loses its connection to a new one, a body that comes does not.
func TestStalledBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	l := startBounded(t, Bounds{Connections: 2}, release)
	const request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx"
	stalled, slow := connect(t, l, request), connect(t, l, request)
	eventually(t, func() bool { return countActive(l) == 2 })
	connect(t, l, "")
	eventually(t, func() bool { return l.Usage().Evicted[evictedNew] == 1 })
	for until := time.Now().Add(stallTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		_, err := io.WriteString(slow, "x")
		is.NoErr(err)
	}
	connect(t, l, "")
	eventually(t, func() bool { return l.Usage().Evicted[evictedStalled] == 1 })
	is.True(!isOpen(stalled))
	is.True(isOpen(slow))
	is.Equal(l.Usage().Evicted, map[string]uint64{evictedNew: 1, evictedStalled: 1})
}

// Beyond the bound of header bytes the connection with the longest header is closed.
func TestHeaderBound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	close(release)
	l := startBounded(t, Bounds{HeaderBytes: 64 << 10}, release)
	short := connect(t, l, "GET /x HTTP/1.1\r\nHost: h\r\n")
	long := connect(t, l, "GET /x HTTP/1.1\r\nX: "+strings.Repeat("x", 40<<10))
	const parts = "GET /x HTTP/1.1\r\nX: GET /x HTTP/1.1\r\nHost: h\r\n"
	eventually(t, func() bool { return l.Usage().Header == int64(40<<10+len(parts)) })
	middle := connect(t, l, "GET /x HTTP/1.1\r\nX: "+strings.Repeat("x", 30<<10))
	eventually(t, func() bool { return l.Usage().Header == int64(30<<10+len(parts)) })
	is.Equal(l.Usage().Evicted, map[string]uint64{evictedHeader: 1})
	is.True(!isOpen(long))
	is.True(isOpen(middle))
	_, err := io.WriteString(short, "\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(short), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(middle.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(middle, "\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err = http.ReadResponse(bufio.NewReader(middle), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(l.Usage().Header, int64(0))
}

// A long response reaches a caller that reads slowly whole.
func TestWriteProgress(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	l := NewListener(tcp)
	defer func() { _ = l.Close() }()
	var body bytes.Buffer
	for i := range 200_000 {
		fmt.Fprintf(&body, "%08d\n", i)
	}
	sent := make(chan error, 1)
	go func() {
		conn, acceptErr := l.Accept()
		if acceptErr != nil {
			sent <- acceptErr
			return
		}
		half := body.Len() / 2
		_, writeErr := conn.Write(body.Bytes()[:half])
		if writeErr == nil {
			_, writeErr = conn.(io.ReaderFrom).ReadFrom(bytes.NewReader(body.Bytes()[half:]))
		}
		sent <- writeErr
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.NoErr(<-sent)
	is.True(bytes.Equal(got, body.Bytes()))
}

func TestWriteDeadlineOfServerHolds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	listener := NewListener(tcp)
	caller, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	started := time.Now()
	is.NoErr(conn.SetWriteDeadline(started.Add(100 * time.Millisecond)))
	_, err = conn.Write(make([]byte, 64<<20))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.True(time.Since(started) < writeTimeout/10)
}
