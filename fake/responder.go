package fake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
)

// Responder is a server that responds with bytes, which need not be a response.
type Responder func(request *http.Request) (response []byte, isLast bool)

// Listen starts the server on loopback until ctx ends. It reads each request whole, sets its
// RemoteAddr, and ends the connection after the last response.
func (r Responder) Listen(ctx context.Context) (netip.AddrPort, error) {
	opened, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	listener := opened.(*net.TCPListener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, acceptErr := listener.AcceptTCP()
			if acceptErr != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// serve responds to the requests of a connection.
func (r Responder) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response, isLast := r(request)
		if _, err = conn.Write(response); err != nil || isLast {
			return
		}
	}
}
