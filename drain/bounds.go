package drain

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"
)

const (
	// writeTimeout is the time without progress after which a write to a caller fails:
	// several times the longest time budget of a request.
	writeTimeout = 30 * time.Second
	// writeSize is the size of one write to a caller whose progress is tracked, in bytes.
	writeSize = 64 << 10
	// freshTime is the age below which a connection without a request is closed last:
	// its first request may be on its way.
	freshTime = time.Second
	// stallTime is the time without progress of a body or a response after which its
	// connection may be closed for others.
	stallTime = 2 * time.Second
	// maxInputChecks bounds the connections of which one search for the oldest idle one
	// checks whether a request has reached them.
	maxInputChecks = 8
	// heavyDivisor is the part of all connections beyond which an address loses its
	// own first: one of so many.
	heavyDivisor = 2
)

// Kinds of connections that are closed for want of room.
const (
	evictedLingering = "Lingering"
	evictedIdle      = "Idle"
	evictedHeader    = "Header"
	evictedStalled   = "Stalled"
	evictedNew       = "New"
)

// EvictedKinds returns the kinds of connections that are closed for want of room.
func EvictedKinds() []string {
	return []string{evictedLingering, evictedIdle, evictedHeader, evictedStalled, evictedNew}
}

// Bounds limits what the connections of a Listener hold. Zero means no limit.
type Bounds struct {
	// Connections is the number of open connections. When there are as many, a new one
	// takes the place of one that waits for a request, sends a header or has stalled,
	// but of none whose request is at a target.
	Connections int
	// HeaderBytes is the size of all headers that are not complete. Beyond it the
	// connection with the longest one is closed.
	HeaderBytes int64
}

// SetBounds sets the limits. It is called before the first Accept.
func (l *Listener) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
}

// Usage is what the connections of a Listener hold.
type Usage struct {
	Bounds
	// Open counts connections, with those that are closed after their last response.
	Open int
	// Header is the size of the headers that are not complete, in bytes.
	Header int64
	// Evicted counts the connections that were closed for want of room, by kind.
	Evicted map[string]uint64
}

// Usage returns what the connections hold.
func (l *Listener) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Bounds: l.bounds, Open: len(l.open) + len(l.lingering), Header: l.headerBytes.Load(), Evicted: maps.Clone(l.evicted)}
}

// Largest returns the address that holds most connections, and how many.
func (l *Listener) Largest() (address netip.Addr, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for candidate, count := range l.addresses {
		if count > connections {
			address, connections = candidate, count
		}
	}
	return address, connections
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Context is the ConnContext of the http.Server.
func (l *Listener) Context(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := connectionOf(conn); ok {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

// SetReceiving states whether the body of a request is read that no target has got. ctx
// is the request's.
func SetReceiving(ctx context.Context, isReceiving bool) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.isReceiving.Store(isReceiving)
	}
}

// ResetUnframed is called before http.ErrAbortHandler ends a response that isn't whole.
// Package http then closes the connection without the last chunk. The body of a response to
// HTTP/1.0 has no chunks and ends with its connection, which is therefore reset.
func ResetUnframed(request *http.Request) {
	c, ok := request.Context().Value(connectionKey{}).(*connection)
	if !ok || request.ProtoAtLeast(1, 1) {
		return
	}
	// A connection that can't be reset has ended.
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

func addressOf(conn net.Conn) netip.Addr {
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Write implements net.Conn. It fails when the caller reads nothing for writeTimeout,
// however slowly it reads.
func (c *connection) Write(p []byte) (written int, err error) {
	defer c.writesSince.Store(0)
	for written < len(p) && err == nil {
		now := time.Now()
		deadline := now.Add(writeTimeout)
		if outer := c.writeDeadline.Load(); outer != nil && outer.Before(deadline) {
			deadline = *outer
		}
		if err = c.TCPConn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		c.writesSince.Store(int64(now.Sub(c.started)))
		var n int
		n, err = c.TCPConn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		c.wroteAt.Store(int64(time.Since(c.started)))
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
	}
	if err != nil {
		return written, err
	}
	return written, c.TCPConn.SetWriteDeadline(time.Time{})
}

// SetWriteDeadline implements net.Conn. Writes fail at the deadline also when the caller
// makes progress.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.writeDeadline.Store(nil)
	} else {
		c.writeDeadline.Store(&deadline)
	}
	return c.TCPConn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// ReadFrom implements io.ReaderFrom in place of the method of TCPConn, so that the
// progress of every write is tracked.
func (c *connection) ReadFrom(source io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{source}, make([]byte, writeSize))
}

// countHeader counts bytes of a header. Beyond the limit the connection with the longest
// one is closed.
func (l *Listener) countHeader(c *connection, n int64) {
	c.headerBytes.Add(n)
	sum := l.headerBytes.Add(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bounds.HeaderBytes == 0 || sum <= l.bounds.HeaderBytes {
		return
	}
	var longest *connection
	for other := range l.open {
		if !other.isActive.Load() && (longest == nil || other.headerBytes.Load() > longest.headerBytes.Load()) {
			longest = other
		}
	}
	if longest != nil {
		l.evict(longest, evictedHeader)
	}
}

// linger keeps a connection that is about to be closed, and endLinger forgets it.
func (l *Listener) linger(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering[c] = struct{}{}
}

func (l *Listener) endLinger(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lingering, c)
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *connection) {
	if _, found := l.open[c]; !found {
		return
	}
	delete(l.open, c)
	l.headerBytes.Add(-c.headerBytes.Swap(0))
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// evict closes a connection at once.
func (l *Listener) evict(c *connection, kind string) {
	l.evicted[kind]++
	c.isClosed.Store(true)
	_ = c.TCPConn.Close()
	delete(l.lingering, c)
	l.forget(c)
}

// makeRoom closes a connection if there are as many as allowed. It reports whether there
// is room for one more.
func (l *Listener) makeRoom(now time.Duration) bool {
	if l.bounds.Connections == 0 || len(l.open)+len(l.lingering) < l.bounds.Connections {
		return true
	}
	for c := range l.lingering {
		l.evict(c, evictedLingering)
		return true
	}
	for range maxInputChecks {
		c, kind := l.slowest(now)
		if c == nil {
			return false
		}
		if kind == evictedIdle && HasInput(c) {
			// A request has come.
			c.waitsSince.Store(int64(now))
			continue
		}
		l.evict(c, kind)
		return true
	}
	return false
}

// candidate is a connection that may be closed for another. Those of a lower rank are
// closed first, and of one rank that without progress for the longest time.
type candidate struct {
	connection *connection
	kind       string
	rank       int
	progressAt time.Duration
}

func (a candidate) isBefore(b candidate) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.progressAt < b.progressAt
}

// slowest returns the connection to close for another, or nil.
func (l *Listener) slowest(now time.Duration) (*connection, string) {
	var best candidate
	for c := range l.open {
		if found, ok := l.candidate(c, now); ok && (best.connection == nil || found.isBefore(best)) {
			best = found
		}
	}
	return best.connection, best.kind
}

// Ranks of candidates: connections of an address that holds many come before others,
// and fresh ones last.
const (
	rankIdle = 2 * iota
	rankHeader
	rankStalled
	rankFresh
)

func (l *Listener) candidate(c *connection, now time.Duration) (candidate, bool) {
	found := candidate{connection: c}
	if l.addresses[c.address] <= l.bounds.Connections/heavyDivisor {
		found.rank = 1
	}
	writesSince := time.Duration(c.writesSince.Load())
	switch {
	case !c.isActive.Load() && !c.hasPart():
		found.kind, found.progressAt = evictedIdle, time.Duration(c.waitsSince.Load())
		found.rank += rankIdle
	case !c.isActive.Load():
		found.kind, found.progressAt = evictedHeader, time.Duration(c.partAt.Load())
		found.rank += rankHeader
	case c.isReceiving.Load():
		found.kind, found.progressAt = evictedStalled, time.Duration(c.readAt.Load())
		found.rank += rankStalled
	case writesSince > 0:
		found.kind, found.progressAt = evictedStalled, writesSince
		found.rank += rankStalled
	default:
		return candidate{}, false
	}
	if found.kind == evictedStalled {
		return found, now-found.progressAt >= stallTime
	}
	if now-found.progressAt < freshTime {
		found.rank += rankFresh
	}
	return found, true
}
