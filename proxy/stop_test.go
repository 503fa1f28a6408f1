package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// stopAt ends all requests of a server as a planned stop does at its end.
func stopAt(f *fixture, at time.Duration) {
	f.proxyServer.Requests().EndOverdue(context.Background(), ferry.Moment{Monotonic: at, Wall: at})
}

// roundTripFunc is an http.RoundTripper.
type roundTripFunc func(request *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

const stopRequest = "POST /orders/1 HTTP/1.1\nHost: a\nFerry-Key: secret-key\nConnection: close\nContent-Length: 1\n\nb\n"

func newStopFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nContent-Length: 0\n\n\n"})
	var grace drain.Grace
	grace.Begin(ferry.Moment{}, time.Minute)
	f.proxyServer.SetGrace(&grace)
	f.forwarder.config.Grace = &grace
	return f
}

// The stop ends a request between the last check and the send: it is not sent.
func TestRequestEndedByStopIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newStopFixture(t)
	f.whileQueued = func() { stopAt(f, 59*time.Second) }
	sends := 0
	f.forwarder.transport = roundTripFunc(func(*http.Request) (*http.Response, error) {
		sends++
		return nil, io.ErrUnexpectedEOF
	})
	response := f.roundTrip(t, wireText(stopRequest))
	is.True(strings.HasPrefix(response, "HTTP/1.1 503 "))
	is.True(strings.Contains(response, "Ferry-Outcome: NotRun"))
	is.Equal(sends, 0)
}

// The stop ends a request when its response has just come: it is not begun and then cut.
func TestResponseIsNotBegunAfterStopEndedItsRequest(t *testing.T) {
	is := is.New(t)
	f := newStopFixture(t)
	f.forwarder.transport = roundTripFunc(func(request *http.Request) (*http.Response, error) {
		stopAt(f, 59*time.Second)
		body := io.NopCloser(strings.NewReader("done"))
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: 4, Request: request}, nil
	})
	response := f.roundTrip(t, wireText(stopRequest))
	is.True(strings.HasPrefix(response, "HTTP/1.1 504 "))
	is.True(strings.Contains(response, "Ferry-Outcome: Unknown"))
}
