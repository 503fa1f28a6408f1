package head

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

// testServer is a server of fake.Responder that counts.
type testServer struct {
	url string
	// requests counts the requests that were read.
	requests atomic.Int32

	mu    sync.Mutex
	conns map[string]bool
}

// startServer starts a server that answers requests with bytes.
func startServer(t *testing.T, respond func(request *http.Request) []byte) *testServer {
	t.Helper()
	s := &testServer{conns: map[string]bool{}}
	address, err := fake.Responder(func(request *http.Request) ([]byte, bool) {
		s.requests.Add(1)
		s.mu.Lock()
		s.conns[request.RemoteAddr] = true
		s.mu.Unlock()
		return respond(request), false
	}).Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s.url = "http://" + address.String()
	return s
}

// dials returns the number of connections that carried a request.
func (s *testServer) dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// get sends a request without a body, which http.Transport may send again.
func get(t *testing.T, transport http.RoundTripper, method, url string) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// An invalid head is an Error, on a new connection and on one that is kept, and the request
// isn't sent again.
func TestTransportRefusesInvalidHeads(t *testing.T) {
	t.Parallel()
	for _, invalid := range fake.InvalidHeads() {
		for _, isKept := range []bool{false, true} {
			t.Run(fmt.Sprint(invalid.Name, ", kept ", isKept), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := startServer(t, func(request *http.Request) []byte {
					if request.URL.Path == "/first" {
						return []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
					return invalid.Encode()
				})
				transport := NewTransport(&http.Transport{})
				defer transport.CloseIdleConnections()
				for _, method := range []string{http.MethodGet, http.MethodHead} {
					if isKept {
						_, _, err := get(t, transport, method, server.url+"/first")
						is.NoErr(err)
					}
					before := server.requests.Load()
					status, body, err := get(t, transport, method, server.url)
					var headErr *Error
					if !errors.As(err, &headErr) {
						t.Errorf("%s: %d with %q, %v", method, status, body, err)
					}
					is.Equal(server.requests.Load()-before, int32(1))
				}
			})
		}
	}
}

// A valid head is a response, and its connection is kept.
func TestTransportKeepsConnections(t *testing.T) {
	t.Parallel()
	for _, valid := range fake.ValidHeads() {
		if valid.Name == "no length" {
			continue
		}
		t.Run(valid.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := startServer(t, func(*http.Request) []byte { return valid.Encode("Connection: keep-alive") })
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			for range 3 {
				status, body, err := get(t, transport, http.MethodGet, server.url)
				is.NoErr(err)
				is.Equal(status/100, 2)
				is.Equal(body, fake.HeadBody)
			}
			is.Equal(server.dials(), 1)
		})
	}
}

// Bytes that follow a response belong to no request: one that waits for the same connection
// doesn't get them for its response, valid or not.
func TestResponseBeforeItsRequestIsNone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// Package http logs each of these responses.
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	server := startServer(t, func(request *http.Request) []byte {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		return []byte(response + response)
	})
	transport := NewTransport(&http.Transport{MaxConnsPerHost: 1})
	defer transport.CloseIdleConnections()
	const workers, requests = 16, 500
	var right, wrong, unasked atomic.Int32
	var waiting sync.WaitGroup
	for worker := range workers {
		waiting.Go(func() {
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", worker, i)
				_, body, err := get(t, transport, http.MethodGet, server.url+path)
				var headErr *Error
				switch {
				case errors.As(err, &headErr) && headErr.Fault == FaultUnasked:
					unasked.Add(1)
				case err == nil && body == path:
					right.Add(1)
				case err == nil:
					wrong.Add(1)
				}
			}
		})
	}
	waiting.Wait()
	is.Equal(wrong.Load(), int32(0))
	is.True(right.Load() > workers*requests/2)
	t.Logf("%d responses were of no request", unasked.Load())
}

// A body whose trailer has a blank in the name of a field does not end as a whole one.
func TestInvalidTrailerIsNoEndOfBody(t *testing.T) {
	t.Parallel()
	for line, isValid := range map[string]bool{"X-Sum: 1\r\n": true, "": true, "X Sum: 1\r\n": false, "X-Sum : 1\r\n": false, "X\x01Sum: 1\r\n": false, ": 1\r\n": false} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := startServer(t, func(*http.Request) []byte {
				return []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n")
			})
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			_, body, err := get(t, transport, http.MethodGet, server.url)
			is.Equal(err == nil, isValid)
			is.Equal(body, "body")
		})
	}
}

// Requests over a Transport, many at a time over few connections, each get their own response.
// The connection of a response without a body carries another request before its own returns.
func TestTransportServesManyRequests(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		if strings.HasSuffix(r.URL.Path, "/empty") {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	t.Cleanup(server.Close)
	transport := NewTransport(&http.Transport{MaxConnsPerHost: 2})
	t.Cleanup(transport.CloseIdleConnections)
	const workers, requests = 16, 500
	for worker := range workers {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", worker, i)
				wantedStatus, wantedBody := http.StatusOK, path
				if i%2 == 0 {
					path += "/empty"
					wantedStatus, wantedBody = http.StatusNoContent, ""
				}
				status, body, err := get(t, transport, http.MethodGet, server.URL+path)
				if err != nil || status != wantedStatus || body != wantedBody {
					t.Fatalf("%s: %d with %q, %v", path, status, body, err)
				}
			}
		})
	}
}
