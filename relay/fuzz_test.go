package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"monsoonferry.org/ferry/flight"
)

// FuzzCaller sends whatever bytes to the port for callers. The server has to answer or
// close, and what the requests hold is given back.
func FuzzCaller(f *testing.F) {
	const head = " HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Deadline: 50\r\n"
	for _, seed := range []string{
		"GET /safe/x" + head + "\r\n",
		"POST /unsafe/x" + head + "Content-Length: 5\r\n\r\nhello",
		"POST /unsafe/x" + head + "Content-Length: 5\r\n\r\nhell",
		"POST /upload/x" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"POST /upload/x" + head + "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ne",
		"POST /upload/x" + head + "Content-Length: 99999999\r\n\r\nx",
		"POST /upload/x" + head + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
		"POST /upload/x" + head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /safe/x" + head + "\r\nGET /safe/y" + head + "\r\nPOST /nothing" + head + "Content-Length: 9\r\n\r\nx",
		"POST /upload/x" + head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: b\r\n\r\n",
		"GET http://h/safe/x" + head + "Connection: X-Id\r\n\r\n", "PRI * HTTP/2.0\r\n\r\n", "\r\n\r\n\x00",
	} {
		f.Add([]byte(seed))
	}
	// The inputs of a process share the harness.
	h := newHarness(f, startTarget(f, "a", respondOK))
	h.bytes.Store(flight.NewLedger(1 << 20))
	h.pool.Connections = flight.NewLedger(8)
	f.Fuzz(func(t *testing.T, sent []byte) {
		conn, err := net.Dial("tcp4", h.httpServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if err = conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err = conn.Write(sent); err == nil {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, err = io.Copy(io.Discard, conn)
		}
		if netError, ok := err.(net.Error); ok && netError.Timeout() {
			t.Fatal("the connection was not closed")
		}
		h.eventually(t, func() bool {
			return h.server.InFlight() == 0 && h.bytes.Load().Usage().Used == 0 && h.pool.Connections.Usage().Used == 0
		})
	})
}
