package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the connections to targets.
const (
	dialTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	idlePerTarget     = 8
	maxAnswerHeader   = 64 << 10
	transportBufferSz = 16 << 10
)

// countedConn counts the bytes that were handed to the operating system.
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

// newTransport returns the client side of the data path. It never sends a
// request again by itself, because bodies are not replayable for it.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var conn net.Conn
			var err error
			if conn, err = dialer.DialContext(ctx, network, address); err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        transportBufferSz,
		ReadBufferSize:         transportBufferSz,
	}
}
