package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stoppingServer is a server that a test stops under load.
type stoppingServer struct {
	listener *Listener
	server   *http.Server
	// accepted and closed hold the addresses of the accepted connections and of those
	// whose end the server has reported, and handled the IDs of the requests.
	accepted, closed, handled sync.Map
	isClosing                 atomic.Bool
	served                    chan error
	// idle counts the requests after which the listener knows that a connection waits.
	idle atomic.Int64
}

func startServer(t *testing.T) *stoppingServer {
	t.Helper()
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &stoppingServer{listener: NewListener(tcp), served: make(chan error, 1)}
	s.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.handled.Store(r.Header.Get("Id"), true)
			if s.isClosing.Load() {
				w.Header().Set("Connection", "close")
			}
			time.Sleep(rand.N(4 * time.Millisecond))
			_, _ = io.WriteString(w, "done "+r.Header.Get("Id"))
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.accepted.Store(c.RemoteAddr().String(), true)
			s.listener.SetState(c, state)
			if state == http.StateIdle {
				s.idle.Add(1)
			}
			if state == http.StateClosed {
				s.closed.Store(c.RemoteAddr().String(), true)
			}
		},
		ReadHeaderTimeout: time.Second,
	}
	go func() { s.served <- s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// waitIdle waits until the listener knows that a connection waits for its next request: the
// caller may have its response before.
func (s *stoppingServer) waitIdle(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); s.idle.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection is idle")
		}
	}
}

// waitClosed waits until the server has reported the end of a caller's connection.
func (s *stoppingServer) waitClosed(t *testing.T, caller net.Addr) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, isClosed := s.closed.Load(caller.String()); isClosed {
			return
		}
	}
	t.Fatal("the server did not report the end of the connection")
}

// stop is a planned stop. It reports whether all connections ended.
func (s *stoppingServer) stop(ctx context.Context) bool {
	s.isClosing.Store(true)
	time.Sleep(5 * time.Millisecond)
	if err := s.listener.StopAccepting(); err != nil {
		return false
	}
	<-s.served
	for s.listener.CloseQuiet(quietTime) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	return true
}

// errRefused reports that the listener was closed.
var errRefused = errors.New("refused")

// quietTime is the time without input after which stop closes a connection.
const quietTime = 50 * time.Millisecond

// call sends requests on one connection until the server closes it. A request is cut
// if it got no whole response though a handler ran it, or though it was the first on
// a connection that the server had accepted and was sent within quietTime.
func (s *stoppingServer) call(caller string) (requests int, err error) {
	opened := time.Now()
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		return 0, errRefused
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for ; requests < 4; requests++ {
		id := fmt.Sprint(caller, "-", requests)
		// Callers send a part of the header at once and the rest later.
		for _, part := range []string{"GET /x HTTP/1.1\r\nHost: h\r\n", "Id: " + id + "\r\n\r\n"} {
			time.Sleep(rand.N(3 * time.Millisecond))
			if _, err = io.WriteString(conn, part); err != nil {
				break
			}
		}
		sentAfter := time.Since(opened)
		var response *http.Response
		if response, err = http.ReadResponse(reader, nil); err == nil {
			var body []byte
			if body, err = io.ReadAll(response.Body); err == nil && string(body) == "done "+id {
				if response.Close {
					return requests + 1, nil
				}
				continue
			}
		}
		_, wasHandled := s.handled.Load(id)
		_, wasAccepted := s.accepted.Load(conn.LocalAddr().String())
		if wasHandled || wasAccepted && requests == 0 && sentAfter < quietTime {
			return requests, fmt.Errorf("request %s, sent after %v, was cut: %w", id, sentAfter, err)
		}
		return requests, nil
	}
	return requests, nil
}

// A planned stop under load from many callers cuts nothing: not on new connections,
// some of them still in the backlog, nor on kept ones.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	for range 10 {
		s := startServer(t)
		var callers sync.WaitGroup
		var served atomic.Int64
		for i := range 40 {
			callers.Go(func() {
				for n := 0; ; n++ {
					requests, err := s.call(fmt.Sprint(i, "-", n))
					served.Add(int64(requests))
					if errors.Is(err, errRefused) {
						return
					}
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		for served.Load() < 40 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if !s.stop(ctx) {
			t.Error("the stop did not end")
		}
		cancel()
		callers.Wait()
	}
}

// A caller that sends further requests before the first was answered gets the response
// that closes the connection whole, and then its end: no reset takes the response away.
func TestResponseThatCloses(t *testing.T) {
	t.Parallel()
	s := startServer(t)
	s.isClosing.Store(true)
	for i := range 50 {
		is := is.New(t)
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", i)
		is.NoErr(err)
		for _, id := range []string{"a", "b"} {
			_, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: %s%d\r\nLong: %08000d\r\n\r\n", id, i, 0)
			is.NoErr(err)
		}
		time.Sleep(10 * time.Millisecond)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprint("done ", i))
		is.True(response.Close)
		_, err = reader.ReadByte()
		is.Equal(err, io.EOF)
		for _, id := range []string{"a", "b"} {
			_, wasHandled := s.handled.Load(fmt.Sprint(id, i))
			is.True(!wasHandled)
		}
		_ = conn.Close()
	}
}

// Connections are closed that wait for a request, or for the rest of its header, for
// longer than they may. One with a request in progress stays open.
func TestCloseOverdue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	connect := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		return conn
	}
	const long, short = time.Minute, 200 * time.Millisecond
	silent, partial := connect(""), connect("GET /x HTTP/1.1\r\nHo")
	busy := connect("GET /x HTTP/1.1\r\nHost: h\r\nId: busy\r\nContent-Length: 4\r\n\r\nab")
	is.Equal(s.listener.CloseOverdue(short, short), 0)
	time.Sleep(2 * short)
	is.Equal(s.listener.CloseOverdue(long, long), 0)
	is.Equal(s.listener.CloseOverdue(long, short), 1)
	refused, err := http.ReadResponse(bufio.NewReader(partial), nil)
	is.NoErr(err)
	is.Equal(refused.StatusCode, http.StatusBadRequest)
	is.True(refused.Close)
	is.Equal(s.listener.CloseOverdue(short, long), 1)
	_, err = silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(busy, "cd")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// A connection without a request is closed after the quiet time, one with a part of a
// request stays open.
func TestCloseQuiet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	connect := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		return conn
	}
	silent, partial := connect(""), connect("GET /x HTTP/1.1\r\nHo")
	const quiet = 200 * time.Millisecond
	time.Sleep(quiet / 4)
	is.Equal(s.listener.CloseQuiet(quiet), 2)
	time.Sleep(quiet)
	is.Equal(s.listener.CloseQuiet(quiet), 2)
	_, err := silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	// The server reports the end of a connection after its close.
	s.waitClosed(t, silent.LocalAddr())
	is.Equal(s.listener.CloseQuiet(quiet), 1)
	_, err = io.WriteString(partial, "st: h\r\nId: late\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(partial), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// A stop accepts what is in the backlog also when Accept is held up until its deadline.
func TestBacklogIsNotResetByStop(t *testing.T) {
	t.Parallel()
	for range 40 {
		testBacklogIsNotReset(t)
	}
}

func testBacklogIsNotReset(t *testing.T) {
	t.Helper()
	is := is.New(t)
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	listener := NewListener(tcp)
	const callers = 10
	for range callers {
		conn, dialErr := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(dialErr)
		defer func() { _ = conn.Close() }()
	}
	is.NoErr(listener.StopAccepting())
	// Deadlines that are over before package net looks at the backlog.
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = listener.SetDeadline(time.Unix(1, 0))
			}
		})
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	accepted := 0
	for {
		conn, acceptErr := listener.Accept()
		if acceptErr != nil {
			break
		}
		accepted++
		_ = conn.Close()
	}
	cancel()
	group.Wait()
	is.Equal(accepted, callers)
}

// A stop waits for callers that have not read the response that closes their connection.
func TestRemainingCountsResponsesInTransit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	s.isClosing.Store(true)
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
	is.NoErr(err)
	s.waitClosed(t, conn.LocalAddr())
	is.NoErr(s.listener.StopAccepting())
	<-s.served
	is.Equal(s.listener.CloseQuiet(quietTime), 0)
	is.Equal(s.listener.Remaining(), 1)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(conn.Close())
	for deadline := time.Now().Add(lingerTimeout); s.listener.Remaining() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.listener.Remaining(), 0)
}

// At the end of a stop, callers in the middle of a header don't keep the process.
func TestUnreadRequestsEndWithTheStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	connect := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", s.listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		return conn
	}
	idle, partial := connect(""), connect("GET /x HTTP/1.1\r\nHo")
	busy := connect("POST /x HTTP/1.1\r\nHost: h\r\nId: busy\r\nContent-Length: 4\r\n\r\nab")
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, isHandled := s.handled.Load("busy"); isHandled && s.listener.Usage().Header > 0 {
			break
		}
	}
	s.listener.CloseUnread()
	for _, conn := range []net.Conn{idle, partial} {
		_, err := conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // no response: the request may go to another VM
	}
	_, err := io.WriteString(busy, "cd")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// The end of an idle connection discards no request that crosses it.
func TestRequestThatCrossesIdleCloseIsNotRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t)
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.True(!response.Close)
	s.waitIdle(t)
	time.Sleep(quietTime)
	is.Equal(s.listener.CloseQuiet(quietTime), 1)
	s.waitClosed(t, conn.LocalAddr())
	is.Equal(s.listener.Usage().Open, 0) // nothing is read from the connection any more
	// The caller doesn't look for the end before it sends.
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: b\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(lingerTimeout / 2)))
	for err == nil {
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(conn, "x")
	}
	is.True(errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))
}

// A server that is held up after CloseQuiet or CloseOverdue has found no request reads the
// one that has come meanwhile.
func TestRequestThatComesWhileIdleConnectionEndsIsRead(t *testing.T) {
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
	time.Sleep(time.Millisecond)
	is.Equal(listener.CloseOverdue(time.Millisecond, time.Minute), 1)
	_, err = io.WriteString(caller, "GET")
	is.NoErr(err)
	for deadline := time.Now().Add(time.Second); !HasInput(conn.(*connection)) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	read := make([]byte, 10)
	n, err := conn.Read(read)
	is.NoErr(err)
	is.Equal(string(read[:n]), "GET")
}
