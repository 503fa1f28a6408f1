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
	var used atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if connection, ok := info.Conn.(*Conn); ok {
				connection.beginResponse()
				used.Store(connection)
			}
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	connection := used.Load()
	if connection == nil {
		return response, err
	}
	status, invalid := connection.checked()
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
		_ = connection.Close()
		_ = response.Body.Close()
	}
	return nil, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Conn is a connection of a Transport. It checks the heads of the responses that are read.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker Checker
	// isExpected reports that the head of a response is due, or of one after an interim
	// response.
	isExpected bool
	// status is the status of the last response that was checked.
	status int
	// invalid is the error of an invalid head, or nil.
	invalid error
}

// NetConn returns the connection that the Transport has opened.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// beginResponse expects the response to the next request.
func (c *Conn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin()
	c.isExpected, c.status = true, 0
}

// checked returns the status of the response to the last request, or zero if its head was
// not read, and the error of an invalid head.
func (c *Conn) checked() (status int, invalid error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status, c.invalid
}

// Read implements net.Conn. It fails before the end of an invalid head was read.
func (c *Conn) Read(p []byte) (int, error) {
	if _, invalid := c.checked(); invalid != nil {
		return 0, invalid
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
	for c.isExpected && n < len(p) {
		var valid int
		valid, c.invalid = c.checker.Check(p[n:])
		n += valid
		switch {
		case c.invalid != nil:
			return n, c.invalid
		case !c.checker.IsDone():
		case c.checker.Status() < http.StatusOK:
			c.checker.Begin()
		default:
			c.isExpected, c.status = false, c.checker.Status()
		}
	}
	return len(p), nil
}
