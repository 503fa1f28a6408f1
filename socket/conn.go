package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// LostError reports that a connection was lost, rather than ended by the peer, and that
// an earlier read or write took the error of the socket.
type LostError struct {
	// Cause is that error.
	Cause error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("the connection was lost before the peer ended its stream: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Conn is a connection whose reads return io.EOF only if the peer has ended its stream.
// One goroutine may read while another writes.
type Conn struct {
	net.Conn
	// writing is held while the socket is written.
	writing sync.Mutex
	// lost is the first error of the socket that says that the connection was lost, or nil.
	lost atomic.Pointer[LostError]
}

// New returns a Conn that uses the connection.
func New(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.keep(err)
	return n, err
}

// keep remembers an error that the kernel does not report again. It has reported none if
// this process set the deadline or closed the connection. EPIPE means that the connection
// was reset after the end of the peer's stream, or that an earlier call took the error.
func (c *Conn) keep(err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE) {
		return
	}
	c.lost.CompareAndSwap(nil, &LostError{Cause: err})
}

// Read implements net.Conn. It returns a LostError in place of io.EOF if the connection
// was lost. No write succeeds after the end of file.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.keep(err)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if deadlineErr := c.SetWriteDeadline(time.Unix(1, 0)); deadlineErr != nil {
		return n, deadlineErr
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if lost := c.lost.Load(); lost != nil {
		return n, lost
	}
	return n, err
}

// errNoDescriptor reports that a connection has no file descriptor.
var errNoDescriptor = errors.New("the connection has no file descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return connection.SyscallConn()
}
