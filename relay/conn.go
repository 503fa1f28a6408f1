package relay

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"monsoonferry.org/ferry"
)

const (
	// dialTimeout bounds the opening of a connection. A lost SYN is sent again
	// only after a second; another target answers sooner.
	dialTimeout = 350 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the target
	// states no time-out.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the time-out that a target states.
	idleMargin = 1500 * time.Millisecond
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 4
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the monotonic time at which the last response ended.
	idleSince time.Duration
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	isReused    bool
}

// dial opens a connection to a target.
func dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &conn{Conn: connection, reader: bufio.NewReaderSize(connection, bufferSize), idleTimeout: defaultIdleTimeout}, nil
}

// isIdle reports whether the connection is open and has no bytes to read. Bytes
// that arrive on an idle connection belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	var control syscall.RawConn
	var err error
	if control, err = raw.SyscallConn(); err != nil {
		return false
	}
	isEmpty := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isEmpty = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && isEmpty
}

// keepAliveTimeout returns how long the target keeps an idle connection open.
func keepAliveTimeout(values []string) (time.Duration, bool) {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(strings.TrimSpace(number)); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// targetKey identifies one process of a target.
type targetKey struct {
	id          ferry.TargetID
	address     netip.AddrPort
	incarnation int64
}

func newTargetKey(target *ferry.Target) targetKey {
	return targetKey{id: target.ID, address: target.Address, incarnation: target.Incarnation}
}
