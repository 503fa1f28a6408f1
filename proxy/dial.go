package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry/head"
	"monsoonferry.org/ferry/socket"
)

// Bounds of the connections to targets.
const (
	dialTimeout            = time.Second
	idleTimeout            = 90 * time.Second
	maxIdlePerTarget       = 8
	noIdle                 = -1
	maxResponseHeaderBytes = 64 << 10
	transportBufferBytes   = 16 << 10
)

// countedConn counts the bytes written to the operating system.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements io.Writer.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.written.Add(int64(n))
	return n, err
}

// countedConnOf returns the counted connection below one of the transport.
func countedConnOf(connection net.Conn) (counted *countedConn, ok bool) {
	if checked, isChecked := connection.(*head.Conn); isChecked {
		connection = checked.NetConn()
	}
	counted, ok = connection.(*countedConn)
	return counted, ok
}

// newTransport returns the HTTP transport for requests to targets, which keeps a number of
// idle connections to each target. It never retries a request by itself, because it cannot
// rewind the request's body.
func newTransport(maxIdle int) *head.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return head.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var conn net.Conn
			var err error
			if conn, err = dialer.DialContext(ctx, network, address); err != nil {
				return nil, err
			}
			return &countedConn{Conn: socket.New(conn)}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        transportBufferBytes,
		ReadBufferSize:         transportBufferBytes,
	})
}
