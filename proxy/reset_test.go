package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

// A response without a length that is reset on the way while the upload is written is
// not taken for a whole one, whichever of the two goroutines of the transport gets the
// error of the socket.
func TestResetResponseWithoutLengthIsNotWhole(t *testing.T) {
	t.Parallel()
	const upload, response, calls = 2 << 20, 4000, 200
	for _, ending := range []fake.Ending{fake.EndingReset, fake.EndingUnread} {
		t.Run(fmt.Sprint(ending), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := fake.EarlyTarget{Ending: ending, Respond: func(*http.Request) []byte {
				return append([]byte("HTTP/1.1 200 OK\r\n\r\n"), make([]byte, response/2)...)
			}}.Listen(t.Context())
			is.NoErr(err)
			transport := newTransport(maxIdlePerTarget)
			defer transport.CloseIdleConnections()
			for range calls {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), bytes.NewReader(make([]byte, upload)))
				is.NoErr(err)
				got, err := transport.RoundTrip(request)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(got.Body)
				_ = got.Body.Close()
				if err == nil {
					t.Fatalf("%d of %d bytes were read as a whole response", len(body), response)
				}
			}
		})
	}
}

// A caller of HTTP/1.0 does not take a response that was cut for a whole one: it has no
// last chunk, so its connection is reset.
func TestCutResponseIsNotWholeForHTTP10(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n10\nonly the"})
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /prices HTTP/1.0\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.True(err != nil)
}
