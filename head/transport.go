package head

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.RoundTripper that returns no response whose head is invalid, but an
// Error. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests over the connections of base, which
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: connection}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var last atomic.Pointer[expectation]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if connection, ok := info.Conn.(*Conn); ok {
				last.Store(connection.expect())
			}
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	expected := last.Load()
	if expected == nil {
		return response, err
	}
	status, invalid := expected.result()
	switch {
	case invalid != nil:
		err = invalid
	case err == nil && status != response.StatusCode:
		// Package http has read it from bytes that came before the request was sent.
		err = &Error{Fault: FaultUnasked}
	}
	if err == nil {
		response.Request = request
		CheckTrailer(response)
		return response, nil
	}
	if response != nil {
		_ = expected.connection.Close()
		_ = response.Body.Close()
	}
	return nil, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// expectation is a response that a request waits for. It outlasts the use of its connection
// by the request: http.Transport gives the connection of a response without a body to the
// next request before it returns that response.
type expectation struct {
	connection *Conn
	// status is the status of the response, or zero before its head was checked, and invalid
	// the error of its head, or nil. Both are guarded by connection.mu.
	status  int
	invalid error
}

// result returns the status of the response, or zero if its head was not read, and the error
// of an invalid head.
func (e *expectation) result() (status int, invalid error) {
	e.connection.mu.Lock()
	defer e.connection.mu.Unlock()
	return e.status, e.invalid
}

// Conn is a connection of a Transport. It checks the heads of the responses that are read.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker Checker
	// expected is the response whose head is due, or the one after an interim response, or nil.
	expected *expectation
	// invalid is the error of an invalid head, or nil. No byte is read after it.
	invalid error
}

// NetConn returns the connection that the Transport has opened.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// expect expects the response to the next request.
func (c *Conn) expect() *expectation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin()
	c.expected = &expectation{connection: c}
	return c.expected
}

// invalidHead returns the error of an invalid head, or nil.
func (c *Conn) invalidHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read implements net.Conn. It fails before the end of an invalid head was read.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.invalidHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, invalid := c.check(p[:n])
	if invalid != nil {
		// Without a byte of a response, http.Transport would send the request again.
		return max(1, valid), invalid
	}
	return n, err
}

// check checks the heads that begin in p. It returns how many bytes are valid.
func (c *Conn) check(p []byte) (n int, err error) {
	for c.expected != nil && n < len(p) {
		valid, invalid := c.checker.Check(p[n:])
		n += valid
		switch {
		case invalid != nil:
			c.invalid, c.expected.invalid = invalid, invalid
			return n, invalid
		case !c.checker.IsDone():
		case c.checker.Status() < http.StatusOK:
			c.checker.Begin()
		default:
			c.expected.status = c.checker.Status()
			c.expected = nil
		}
	}
	return len(p), nil
}
