package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/flight"
	"monsoonferry.org/ferry/socket"
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
	// maxHeadBytes bounds the status line and the header of one response, in bytes.
	// Trailers and chunk extensions are bounded by package http.
	maxHeadBytes = 16 << 10
	// maxHeadLines bounds the lines of one head: a field that was read takes about 70
	// bytes beside its text, and twice that once it is copied for the caller.
	maxHeadLines = 256
	// maxStrayBytes bounds the body of a response to another request as it is sent,
	// in bytes.
	maxStrayBytes = 128 << 10
	// maxRequestsPerConnection bounds the requests that a connection carries, and with
	// them the IDs that it remembers.
	maxRequestsPerConnection = 256
)

// errTooManyBytes reports that a target sent more than a readLimit allows.
var errTooManyBytes = errors.New("the target sent too many bytes that are no body for the caller")

// errTooManyLines reports that a target sent a head of more than maxHeadLines.
var errTooManyLines = errors.New("the target sent a head of too many lines")

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit bounds what reader takes from the connection.
	limit *readLimit
	// idleSince is the monotonic time at which the last response ended.
	idleSince time.Duration
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	isReused    bool
	// carried holds hashes of the IDs of the requests that the connection has carried.
	carried []uint64
	// slot accounts for the connection while it carries a request.
	slot *flight.Hold
}

// dial opens a connection to a target.
func dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	connection = socket.New(connection)
	limit := &readLimit{source: connection}
	return &conn{Conn: connection, reader: bufio.NewReaderSize(limit, bufferSize), limit: limit, idleTimeout: defaultIdleTimeout}, nil
}

// readLimit bounds the bytes that are read from a connection while a head is read,
// since package http bounds neither the lines of a response nor their number, and
// while a body is discarded.
type readLimit struct {
	source io.Reader
	// isActive reports that only left bytes may follow.
	isActive bool
	left     int
	// isHead reports that the end of the head has not been read, which may have
	// linesLeft further lines. isLineEmpty is set between two lines.
	isHead, isLineEmpty bool
	linesLeft           int
	// excess is the error of the limit that was exceeded, or nil.
	excess error
}

// begin allows a number of further bytes, and end any number.
func (l *readLimit) begin(bytes int) { l.isActive, l.left = true, bytes }
func (l *readLimit) end()            { l.isActive, l.isHead = false, false }

// beginHead allows one head, whose beginning was read before.
func (l *readLimit) beginHead(beginning []byte) error {
	l.begin(maxHeadBytes)
	l.isHead, l.isLineEmpty, l.linesLeft = true, false, maxHeadLines
	return l.countLines(beginning)
}

// countLines counts lines up to the empty one that ends the head.
func (l *readLimit) countLines(p []byte) error {
	for _, b := range p {
		switch {
		case !l.isHead:
			return nil
		case b == '\n' && l.isLineEmpty:
			l.isHead = false
		case b == '\n':
			l.isLineEmpty = true
			if l.linesLeft--; l.linesLeft < 0 {
				l.excess = errTooManyLines
				return l.excess
			}
		case b != '\r':
			l.isLineEmpty = false
		}
	}
	return nil
}

// cause returns the error of the limit that was exceeded, or err: package http reports
// the line that was cut by the limit as malformed.
func (l *readLimit) cause(err error) error {
	if l.excess != nil {
		return l.excess
	}
	return err
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.isActive {
		return l.source.Read(p)
	}
	if l.left == 0 {
		l.excess = errTooManyBytes
		return 0, l.excess
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	if lineErr := l.countLines(p[:n]); lineErr != nil {
		return n, lineErr
	}
	return n, err
}

// beginHead allows the bytes and the lines of one head.
func (c *conn) beginHead() error {
	beginning, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.limit.beginHead(beginning)
}

// isIdle reports whether the connection is open and has no bytes to read. Bytes
// that arrive on an idle connection belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	return !ok || !drain.HasInput(raw)
}

// carry notes that the connection carries a request.
func (c *conn) carry(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// mayCarry reports whether every response to a request with this ID, given as its hash,
// would be of the next sending.
func (c *conn) mayCarry(id uint64) bool { return !slices.Contains(c.carried, id) }

// isWornOut reports that the connection carries no further request.
func (c *conn) isWornOut() bool { return len(c.carried) >= maxRequestsPerConnection }

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
