package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// TestKeyCheck withdraws a key and moves it to another account while a request
// waits or runs. Both end the request.
func TestKeyCheck(t *testing.T) {
	is := is.New(t)
	inventory := testInventory()
	f := &fixture{snapshot: conf.NewSnapshot(inventory)}
	exchange := &ferry.Exchange{Account: &inventory.Accounts[0], Key: ferry.HashKey("secret-key")}
	check := keyCheck(exchange, f)
	is.NoErr(check())

	moved := testInventory()
	moved.Accounts[1].Keys, moved.Accounts[0].Keys = moved.Accounts[0].Keys, nil
	f.snapshot = conf.NewSnapshot(moved)
	is.True(errors.Is(check(), errKeyWithdrawn))

	withdrawn := testInventory()
	withdrawn.Accounts[0].Keys = nil
	f.snapshot = conf.NewSnapshot(withdrawn)
	is.True(errors.Is(check(), errKeyWithdrawn))
	is.NoErr(keyCheck(&ferry.Exchange{}, f)()) // an open route needs no key
}

// TestQueuedRequestOfAWithdrawnKey withdraws the key after the request passed
// the key filter and before a target was chosen. Nothing is sent.
func TestQueuedRequestOfAWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nContent-Length: 0\n\n\n"})
	withdrawn := testInventory()
	withdrawn.Accounts[0].Keys = nil
	f.whileQueued = func() { f.snapshot = conf.NewSnapshot(withdrawn) }
	response := f.roundTrip(t, wireText("GET /orders/1 HTTP/1.1\nHost: a\nFerry-Key: secret-key\nConnection: close\n\n\n"))
	is.True(strings.HasPrefix(response, "HTTP/1.1 401 "))
	is.True(strings.Contains(response, "Ferry-Outcome: NotRun"))
	is.Equal(f.received(), []string{""})
}

// TestReplay sends a small body again in full, and refuses to send a large one
// again.
func TestReplay(t *testing.T) {
	is := is.New(t)
	body := &replayBody{source: strings.NewReader("tooth"), checkKey: func() error { return nil }}
	first := body.nextAttempt()
	buffer := make([]byte, 3)
	_, err := io.ReadFull(first, buffer)
	is.NoErr(err)
	is.True(body.canReplay())
	text, err := io.ReadAll(body.nextAttempt())
	is.NoErr(err)
	is.Equal(string(text), "tooth")
	_, err = first.Read(buffer)
	is.True(err != nil) // the first attempt has ended

	large := &replayBody{source: strings.NewReader(strings.Repeat("x", maxReplayBytes+1)), checkKey: func() error { return nil }}
	_, err = io.ReadAll(large.nextAttempt())
	is.NoErr(err)
	is.True(!large.canReplay())
	is.True(len(large.buffered) <= maxReplayBytes) // memory is bounded
}

// TestLateReadAfterTheRequest reads the body after the request has ended, as
// the transport may when the target responded early. The read must not reach the
// caller's connection, which serves the next request by then.
func TestLateReadAfterTheRequest(t *testing.T) {
	is := is.New(t)
	reads := 0
	source := readerFunc(func([]byte) (int, error) {
		reads++
		return 0, io.EOF
	})
	body := &replayBody{source: source, checkKey: func() error { return nil }}
	attempt := body.nextAttempt()
	body.close(func() {})
	_, err := attempt.Read(make([]byte, 1))
	is.True(errors.Is(err, http.ErrBodyReadAfterClose))
	is.Equal(reads, 0)
}

// TestCloseEndsAWaitingRead closes a body whose read waits for the caller.
func TestCloseEndsAWaitingRead(t *testing.T) {
	is := is.New(t)
	reading, interrupted := make(chan struct{}), make(chan struct{})
	source := readerFunc(func([]byte) (int, error) {
		close(reading)
		<-interrupted
		return 0, os.ErrDeadlineExceeded
	})
	body := &replayBody{source: source, checkKey: func() error { return nil }}
	results := make(chan error, 1)
	attempt := body.nextAttempt()
	go func() {
		_, err := attempt.Read(make([]byte, 1))
		results <- err
	}()
	<-reading
	body.close(func() { close(interrupted) })
	is.True(errors.Is(<-results, os.ErrDeadlineExceeded))
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// deadlineWriter records the deadlines of a connection.
type deadlineWriter struct {
	http.ResponseWriter
	read, write time.Time
}

// SetReadDeadline implements the interface behind http.ResponseController.
func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.read = deadline
	return nil
}

// SetWriteDeadline implements the interface behind http.ResponseController.
func (w *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	w.write = deadline
	return nil
}

// TestDeadlinesDoNotOutlastTheRequest sends a request with a body and expects
// that the connection has no deadline afterwards.
func TestDeadlinesDoNotOutlastTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nContent-Length: 2\n\nok\n"})
	recorder := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
	request := httptest.NewRequest(http.MethodPost, "/orders/1", strings.NewReader("pay=1"))
	request.Header.Set(ferry.HeaderKey, "secret-key")
	f.server.Config.Handler.ServeHTTP(recorder, request)
	is.True(recorder.read.IsZero())
	is.True(recorder.write.IsZero())
}

// TestUnreadBodies sends many requests on one connection whose bodies are not
// read, because the requests are refused, and then one that is forwarded. Each
// gets its own response.
func TestUnreadBodies(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nContent-Length: 2\n\nok\n"})
	f.server.Config.Handler = fullDuplex(f.server.Config.Handler)
	client := f.server.Client()
	send := func(key string) int {
		request, err := http.NewRequest(http.MethodPost, f.server.URL+"/orders/1", strings.NewReader("pay=1"))
		is.NoErr(err)
		request.Header.Set(ferry.HeaderKey, key)
		response, err := client.Do(request)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	for range 50 {
		is.Equal(send("unknown"), http.StatusUnauthorized)
	}
	is.Equal(send("secret-key"), http.StatusOK)
}

// fullDuplex lets a handler write before it has read the request, as package
// host does.
func fullDuplex(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if err := http.NewResponseController(writer).EnableFullDuplex(); err != nil {
			panic(err)
		}
		next.ServeHTTP(writer, request)
	})
}
