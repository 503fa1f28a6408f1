package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A response that stops within its head is no response, on a new or a kept connection,
// whichever way the connection ends.
func TestResponseCutInHead(t *testing.T) {
	t.Parallel()
	const body = "the whole body"
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Folded: a,\r\n  b\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	}
	for i, head := range heads {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(i, " reset ", isReset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = listener.Close() })
				go serveCut(listener, head+body, isReset)
				transport := newTransport(maxIdlePerTarget)
				defer transport.CloseIdleConnections()
				for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
					for cut := range len(head) + 1 {
						if cut == len(head) {
							cut += len(body)
						}
						for _, path := range []string{"/whole", fmt.Sprint("/", cut)} {
							request, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String()+path, nil)
							is.NoErr(err)
							response, err := transport.RoundTrip(request)
							if err != nil {
								is.True(path != "/whole")
								continue
							}
							_, err = io.ReadAll(response.Body)
							_ = response.Body.Close()
							if path != "/whole" {
								// What the target sends behind the head of a HEAD belongs to no request.
								transport.CloseIdleConnections()
							}
							if err == nil && path != "/whole" && cut < len(head) {
								t.Errorf("%s, after %d of %d bytes of the head: %d", method, cut, len(head), response.StatusCode)
							}
						}
					}
				}
			})
		}
	}
}

// serveCut responds to /whole with an empty response, and to a path that is a number with
// as many bytes of a response, after which the connection ends.
func serveCut(listener net.Listener, response string, isReset bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				request, readErr := http.ReadRequest(reader)
				if readErr != nil {
					return
				}
				var cut int
				if _, scanErr := fmt.Sscanf(strings.TrimPrefix(request.URL.Path, "/"), "%d", &cut); scanErr != nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				_, _ = io.WriteString(conn, response[:cut])
				if isReset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return
			}
		}()
	}
}
