package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
	"monsoonferry.org/ferry/head"
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

// readLimit bounds the bytes that are read from a connection while a head is read, since
// package http doesn't bound them in a response, and while a body is discarded. It checks
// the bytes of heads.
type readLimit struct {
	source io.Reader
	// isActive reports that only left bytes may follow.
	isActive bool
	left     int
	// isHead reports that the bytes are those of a head, which checker checks.
	isHead  bool
	checker head.Checker
	// failure is the error of the limit that was exceeded, or of the head, or nil.
	failure error
}

// begin allows a number of further bytes, and end any number.
func (l *readLimit) begin(bytes int) { l.isActive, l.left = true, bytes }
func (l *readLimit) end()            { l.isActive, l.isHead = false, false }

// beginHead allows one head, whose beginning was read before.
func (l *readLimit) beginHead(beginning []byte) error {
	l.begin(maxHeadBytes)
	l.checker.MaxLines = maxHeadLines
	l.checker.Begin()
	l.isHead = true
	return l.check(beginning)
}

// check checks bytes up to the end of the head.
func (l *readLimit) check(p []byte) error {
	if !l.isHead {
		return nil
	}
	_, l.failure = l.checker.Check(p)
	return l.failure
}

// cause returns what has failed here, or err: package http reports the line that was cut by
// a limit as malformed, and repairs some heads that are invalid.
func (l *readLimit) cause(err error) error {
	if l.failure != nil {
		return l.failure
	}
	return err
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.isActive {
		return l.source.Read(p)
	}
	if l.left == 0 && l.failure == nil {
		l.failure = errTooManyBytes
	}
	if l.failure != nil {
		return 0, l.failure
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	if headErr := l.check(p[:n]); headErr != nil {
		return n, headErr
	}
	return n, err
}

// readHead reads the head of a response, interim or not.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	beginning, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err = c.limit.beginHead(beginning); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	c.limit.end()
	if err = c.limit.cause(err); err != nil {
		return nil, err
	}
	head.CheckTrailer(response)
	return response, nil
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
