package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that leaves before the response to a request that may run only once leaves no
// connection behind on which a body without end comes.
func TestEndlessBodyAfterCallerLeft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	arrived, left, ended := make(chan struct{}), make(chan struct{}), make(chan time.Time, 1)
	h := newHarness(t, startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		close(arrived)
		<-left
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testID+": "+request.Header.Get(testID)+"\r\n"+testSigned+": yes\r\n\r\n"+
			strings.Repeat("x", 2*maxBufferedResponse))
		for ; err == nil; time.Sleep(20 * time.Millisecond) {
			_, err = io.WriteString(conn, "xxxx")
		}
		ended <- time.Now()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	got := h.call(ctx, http.MethodPost, "/upload/x", "b")
	is.True(got.err != nil)
	h.eventually(t, func() bool { return h.server.InFlight() == 0 })
	leftAt := time.Now()
	close(left)
	is.True((<-ended).Sub(leftAt) < 500*time.Millisecond)
	is.True(h.chooser.List(time.Minute / 10)[0].LogOdds < 0) // the target is not blamed
}
