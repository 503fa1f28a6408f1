package relay

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Responses that end with their header, whatever length it states, are delivered, to
// HEAD with that length, and their connection is kept.
func TestResponseWithoutBodyIsDelivered(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		method, line, length string
		status               int
	}{
		{http.MethodHead, "Content-Length: 600", "600", http.StatusOK},
		{http.MethodHead, "Content-Length: 0", "0", http.StatusOK},
		{http.MethodHead, "Transfer-Encoding: chunked", "", http.StatusOK},
		{http.MethodHead, "Vary: x", "", http.StatusOK},
		{http.MethodHead, "Content-Length: 600", "600", http.StatusNotFound},
		// Package http leaves the length out.
		{http.MethodGet, "Content-Length: 600", "", http.StatusNotModified},
		{http.MethodGet, "Vary: x", "", http.StatusNotModified},
		{http.MethodGet, "Vary: x", "", http.StatusNoContent},
	} {
		t.Run(fmt.Sprint(c.method, " ", c.status, " ", c.line), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: yes\r\n%s\r\n\r\n", c.status, testID, request.Header.Get(testID), testSigned, c.line)
			})
			h := newHarness(t, target)
			for i := range 3 {
				got := h.call(t.Context(), c.method, "/unsafe/x", "", testID, strconv.Itoa(i))
				is.NoErr(got.err)
				is.NoErr(got.bodyErr)
				is.Equal(got.status, c.status)
				is.Equal(got.body, "")
				is.Equal(got.header.Get("Content-Length"), c.length)
			}
			is.Equal(int(target.dials.Load()), 1)
		})
	}
}
