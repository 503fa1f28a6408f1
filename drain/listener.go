package drain

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// backlogWait is the time without a new connection after which the backlog of a
	// listener that stops counts as empty.
	backlogWait = time.Millisecond
	// partTimeout bounds the wait for the rest of the header of a request of which a
	// part arrived when its connection was about to be closed.
	partTimeout = 5 * time.Second
	// lingerTimeout and maxLingerBytes bound what is read from a caller after the
	// response that closes its connection.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// http2Protocol is the name of HTTP/2 in a TLS handshake.
	http2Protocol = "h2"
)

// Listener accepts the connections of an http.Server and keeps track of them, so that
// a planned stop closes none that a request may be on its way through. Package http
// alone closes a connection on which it reads a request after Shutdown began.
type Listener struct {
	*net.TCPListener
	started    time.Time
	isStopping atomic.Bool
	// hasStopped reports that the listener is closed.
	hasStopped atomic.Bool

	// headerBytes is what has been read of the headers that are not complete.
	headerBytes atomic.Int64

	mu     sync.Mutex
	bounds Bounds
	open   map[*connection]struct{}
	// lingering holds the connections that are closed once their callers have read the
	// last response.
	lingering map[*connection]struct{}
	addresses map[netip.Addr]int
	evicted   map[string]uint64
}

// NewListener returns a Listener that accepts the connections of listener. Its
// SetState has to be the ConnState of the server.
func NewListener(listener *net.TCPListener) *Listener {
	return &Listener{
		TCPListener: listener, started: time.Now(), open: map[*connection]struct{}{},
		lingering: map[*connection]struct{}{}, addresses: map[netip.Addr]int{}, evicted: map[string]uint64{},
	}
}

// connection is a connection of a caller.
type connection struct {
	*net.TCPConn
	listener *Listener
	address  netip.Addr
	started  time.Time
	// waitsSince is when the connection began to wait for a request, partAt when the
	// first bytes of one were read after that, and readAt and wroteAt when the last bytes
	// were read and written, as times since started.
	waitsSince, partAt, readAt, wroteAt atomic.Int64
	// isActive reports that a request is being handled.
	isActive atomic.Bool
	// requests counts the requests whose header was read.
	requests atomic.Int64
	// isClosed reports that Close was called.
	isClosed atomic.Bool
	// isReceiving reports that the body of a request is read that no target has got.
	isReceiving atomic.Bool
	// writesSince is when a write in progress began or last made progress, as time since
	// started, or zero.
	writesSince atomic.Int64
	// headerBytes is what has been read of a header that is not complete.
	headerBytes atomic.Int64
	// isExpired reports that CloseQuiet has ended the wait for a request.
	isExpired atomic.Bool
	// isMultiplexed reports that the connection carries requests beside each other, so
	// that only a message of the server can end it without a loss.
	isMultiplexed atomic.Bool
	// writeDeadline is the deadline that the server has set for writes, or nil.
	writeDeadline atomic.Pointer[time.Time]
}

// connectionOf returns the connection of the Listener under the one of the server, which
// may use TLS.
func connectionOf(conn net.Conn) (*connection, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(*connection)
	return c, ok
}

// isQuiet reports whether no part of a request has arrived, and none for a time.
func (c *connection) isQuiet(now, quiet time.Duration) bool {
	return !c.isActive.Load() && !c.hasPart() && now-time.Duration(c.waitsSince.Load()) >= quiet && !HasInput(c)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			now := int64(time.Since(c.started))
			if !c.hasPart() {
				c.partAt.Store(now)
			}
			c.readAt.Store(now)
			if !c.isActive.Load() {
				c.listener.countHeader(c, int64(n))
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isExpired.Load() || !c.hasPart() && !HasInput(c) {
			return n, err
		}
		// A part of a request has come since CloseQuiet or CloseOverdue found none. A VM that
		// is held up reads it only now.
		c.isExpired.Store(false)
		var deadline time.Time
		if !c.isActive.Load() {
			deadline = time.Now().Add(partTimeout)
		}
		if err = c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
}

// Close implements net.Conn. A connection with unread bytes is reset when it is closed,
// which would take the last response away from a caller that has sent more. So only the
// sending side is closed at first, and what still arrives is discarded. A connection that
// waits for a request has no response in transit: a request that crosses its end is reset,
// so that its caller learns at once that nobody has read it.
func (c *connection) Close() error {
	if c.isClosed.Swap(true) {
		return net.ErrClosed
	}
	if c.wroteAt.Load() <= c.waitsSince.Load() {
		return c.TCPConn.Close()
	}
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return c.TCPConn.Close()
	}
	c.listener.linger(c)
	go func() {
		// Whatever ends it, the connection is closed.
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
		_ = c.TCPConn.Close()
		c.listener.endLinger(c)
	}()
	return nil
}

// hasPart reports whether a part of a request was read, and not yet handled.
func (c *connection) hasPart() bool { return c.readAt.Load() > c.waitsSince.Load() }

// Accept implements net.Listener. After StopAccepting it returns the connections of
// the backlog, closes the listener, and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		isStopping := l.isStopping.Load()
		if isStopping {
			if err := l.SetDeadline(time.Now().Add(backlogWait)); err != nil {
				return nil, err
			}
		}
		accepted, err := l.AcceptTCP()
		switch {
		case err == nil:
			if c := l.track(accepted); c != nil {
				return c, nil
			}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case isStopping && endBacklog(l.TCPListener):
			if err = l.Close(); err != nil {
				return nil, err
			}
			l.hasStopped.Store(true)
			return nil, net.ErrClosed
		}
	}
}

// endBacklog makes a listener refuse connections unless one waits to be accepted. A call
// of Accept that is held up until its deadline returns without a look at the backlog. A
// connection that is opened between the look and the end is reset, so nothing is between
// the two that package runtime may hold up.
func endBacklog(listener *net.TCPListener) (isEnded bool) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(descriptor uintptr) {
		ready, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		isEnded = pollErr != nil || ready == 0
		if isEnded {
			// The listener is closed next: an error changes nothing.
			_ = unix.Shutdown(int(descriptor), unix.SHUT_RDWR)
		}
	})
	return isEnded || err != nil
}

// track keeps a new connection until SetState reports its end. It returns nil when the
// connection was closed for want of room.
func (l *Listener) track(accepted *net.TCPConn) *connection {
	c := &connection{TCPConn: accepted, listener: l, address: addressOf(accepted), started: l.started}
	now := time.Since(l.started)
	c.waitsSince.Store(int64(now))
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoom(now) {
		l.evicted[evictedNew]++
		_ = accepted.Close()
		return nil
	}
	l.open[c] = struct{}{}
	l.addresses[c.address]++
	return c
}

// SetState is the ConnState of the http.Server.
func (l *Listener) SetState(conn net.Conn, state http.ConnState) {
	c, ok := connectionOf(conn)
	if !ok {
		return
	}
	if secure, isSecure := conn.(*tls.Conn); isSecure && state == http.StateActive {
		c.isMultiplexed.Store(secure.ConnectionState().NegotiatedProtocol == http2Protocol)
	}
	if state == http.StateNew || state == http.StateIdle {
		c.waitsSince.Store(int64(time.Since(l.started)))
	}
	c.isActive.Store(state == http.StateActive)
	if state == http.StateActive {
		c.requests.Add(1)
	}
	// Whatever was read of a header is complete, or given up.
	l.headerBytes.Add(-c.headerBytes.Swap(0))
	if state == http.StateClosed || state == http.StateHijacked {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.forget(c)
	}
}

// StopAccepting closes the listener once its backlog is empty. A connection that is
// opened in the moment of the close is reset, and none of it is read.
func (l *Listener) StopAccepting() error {
	l.isStopping.Store(true)
	// Wake the call of Accept that waits.
	return trace.ConvertSystemError(l.SetDeadline(time.Now()))
}

// Remaining returns the number of connections that have not ended, with those that are
// closed once their callers have read the last response. Before the listener is closed it
// counts as one.
func (l *Listener) Remaining() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.open) + len(l.lingering)
	if !l.hasStopped.Load() {
		count++
	}
	return count
}

// IsMultiplexed reports whether all connections that have not ended carry requests beside
// each other. CloseQuiet closes none of them.
func (l *Listener) IsMultiplexed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.isMultiplexed.Load() {
			return false
		}
	}
	return true
}

// CloseQuiet makes the server close the connections that have waited for a request for
// the given time without receiving a part of one. It returns the number of connections
// that were open.
func (l *Listener) CloseQuiet(quiet time.Duration) int {
	now := time.Since(l.started)
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.open {
		count++
		if !c.isMultiplexed.Load() && c.isQuiet(now, quiet) {
			// The read of the server ends without a byte and it closes the connection,
			// unless it has just got some.
			c.isExpired.Store(true)
			if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
				_ = c.Close()
			}
		}
	}
	return count
}

// CloseUnread closes the connections of which no whole request was read, unless more of one
// waits to be read. Their callers may send it to another VM.
func (l *Listener) CloseUnread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if !c.isMultiplexed.Load() && !c.isActive.Load() && !HasInput(c) {
			_ = c.TCPConn.Close()
		}
	}
}

// CloseOverdue closes the connections that have waited for a request for the time
// idle, and those on which the header of a request is not complete after the time
// header. Unlike the timeouts of an http.Server, the times may change while it serves.
// It returns the number of connections that it closes.
func (l *Listener) CloseOverdue(idle, header time.Duration) int {
	now := time.Since(l.started)
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.open {
		isLate := !c.isActive.Load() && c.hasPart() && now-time.Duration(c.partAt.Load()) >= header
		if !isLate && !c.isQuiet(now, idle) {
			continue
		}
		count++
		c.isExpired.Store(!isLate)
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			_ = c.Close()
		}
	}
	return count
}

// HasInput reports whether bytes of the other end wait to be read from a connection,
// or its end.
func HasInput(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	hasInput := true
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasInput = peekErr != unix.EAGAIN
	})
	return err != nil || hasInput
}
