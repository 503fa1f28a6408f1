package socket

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

// uploadSize is more than the kernel takes for a peer that does not read, in bytes.
const uploadSize = 8 << 20

const (
	requestHead  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"
	responseText = "the beginning"
)

// dial sends the head of an upload to a target that responds to it and ends the connection.
func dial(t *testing.T, ending fake.Ending) *Conn {
	t.Helper()
	is := is.New(t)
	listener, err := fake.EarlyTarget{Ending: ending, Respond: func(*http.Request) []byte { return []byte(responseText) }}.Listen(t.Context())
	is.NoErr(err)
	raw, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = raw.Close() })
	conn := New(raw)
	_, err = io.WriteString(conn, requestHead)
	is.NoErr(err)
	return conn
}

// A reset that a write has learnt of is not the end of the peer's stream.
func TestResetThatWriteTakesIsReported(t *testing.T) {
	for _, ending := range []fake.Ending{fake.EndingReset, fake.EndingUnread} {
		t.Run(ending.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t, ending)
			_, err := conn.Write(make([]byte, uploadSize))
			is.True(errors.Is(err, syscall.ECONNRESET))
			for range 2 {
				text, readErr := io.ReadAll(conn)
				var lost *LostError
				is.True(errors.As(readErr, &lost))
				is.True(errors.Is(readErr, syscall.ECONNRESET))
				is.True(len(text) == len(responseText) || len(text) == 0)
			}
		})
	}
}

// The same holds if a read waits beside the write, whichever of the two gets the error.
func TestResetBesideReadIsReported(t *testing.T) {
	t.Parallel()
	for range 100 {
		conn := dial(t, fake.EndingReset)
		go func() { _, _ = conn.Write(make([]byte, uploadSize)) }()
		for i := range 2 {
			text, err := io.ReadAll(conn)
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("read %d: %q, %v", i, text, err)
			}
		}
	}
}

// A reset after the end of the peer's stream takes nothing away from it.
func TestResetAfterEndOfStreamIsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	conn := dial(t, fake.EndingHalfClosed)
	_, err := conn.Write(make([]byte, uploadSize))
	is.True(errors.Is(err, syscall.EPIPE))
	text, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(text), responseText)
}

// A write that waits for the peer doesn't keep the end of its stream from the reader.
func TestEndOfStreamEndsWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	released := make(chan struct{})
	defer close(released)
	go func() {
		peer, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		_, _ = io.WriteString(peer, responseText)
		_ = peer.(*net.TCPConn).CloseWrite()
		<-released
		_ = peer.Close()
	}()
	raw, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = raw.Close() }()
	conn := New(raw)
	written := make(chan error, 1)
	go func() {
		_, writeErr := conn.Write(make([]byte, 4*uploadSize))
		written <- writeErr
	}()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	text, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(text), responseText)
	is.True(<-written != nil)
}

// An end that this process brings about is no end of the peer's stream.
func TestOwnCloseIsNoEndOfStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	client, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	conn := New(client)
	is.NoErr(conn.Close())
	_, err := conn.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF))
	_, err = conn.SyscallConn()
	is.True(err != nil) // a pipe has no descriptor
}
