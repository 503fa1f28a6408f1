package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

// replayLimit is the largest part of a request body that is kept in memory so
// that another attempt can send it again.
const replayLimit = 64 << 10

// callerStall is the longest time without progress on a caller's connection.
const callerStall = 10 * time.Second

var (
	errKeyWithdrawn = errors.New("the key was withdrawn during the transfer")
	errCallerBody   = errors.New("read the caller's body")
)

// replayBody feeds a caller's body to one attempt after another. It keeps the
// first replayLimit bytes.
type replayBody struct {
	source io.Reader
	check  func() error

	mu       sync.Mutex
	kept     []byte
	consumed int64
	ended    error
	current  int
	err      error
	closed   bool
}

// attemptBody is the body of one attempt. The transport may still read it
// after the attempt has ended; such reads fail.
type attemptBody struct {
	whole  *replayBody
	number int
	offset int64
}

// canReplay reports whether another attempt could send the whole body.
func (b *replayBody) canReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed == int64(len(b.kept)) && b.err == nil
}

// callerError returns the error with which reading the caller's body failed.
func (b *replayBody) callerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// closeGrace is the time that a read in progress has to end by itself.
const closeGrace = 100 * time.Millisecond

// close ends all reading. The server may only go on to the next request of a
// connection when nothing reads the body of this one. A read that waits for the
// caller is ended by interrupt.
func (b *replayBody) close(interrupt func()) {
	timer := time.AfterFunc(closeGrace, interrupt)
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// next returns the body for the next attempt and ends the one before.
func (b *replayBody) next() *attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current++
	return &attemptBody{whole: b, number: b.current}
}

// Read implements io.Reader.
func (a *attemptBody) Read(buffer []byte) (int, error) {
	b := a.whole
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || a.number != b.current {
		return 0, http.ErrBodyReadAfterClose
	}
	if a.offset < int64(len(b.kept)) {
		n := copy(buffer, b.kept[a.offset:])
		a.offset += int64(n)
		return n, nil
	}
	if b.ended != nil {
		return 0, b.ended
	}
	if err := b.check(); err != nil {
		b.err, b.ended = err, err
		return 0, err
	}
	n, err := b.source.Read(buffer)
	if b.consumed == int64(len(b.kept)) && len(b.kept)+n <= replayLimit {
		b.kept = append(b.kept, buffer[:n]...)
	}
	b.consumed += int64(n)
	a.offset += int64(n)
	if err != nil {
		b.ended = err
		if !errors.Is(err, io.EOF) {
			b.err = errors.Join(errCallerBody, err)
			b.ended = b.err
			err = b.err
		}
	}
	return n, err
}

// Close implements io.Closer. The caller's body is closed by net/http.
func (a *attemptBody) Close() error { return nil }

// timedReader extends the read deadline of the caller's connection before
// each read, so that a caller without progress is cut off. The end of the body
// clears the deadline, because the server goes on to watch the connection.
type timedReader struct {
	body       io.Reader
	controller *http.ResponseController
}

// Read implements io.Reader.
func (r timedReader) Read(buffer []byte) (int, error) {
	if err := r.controller.SetReadDeadline(time.Now().Add(callerStall)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	var n int
	var err error
	if n, err = r.body.Read(buffer); err != nil {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// keyCheck returns a function that fails once the key of the exchange is no
// longer in force.
func keyCheck(exchange *ferry.Exchange, snapshots Snapshots) func() error {
	if exchange.Account == nil {
		return func() error { return nil }
	}
	owner := exchange.Account.ID
	return func() error {
		account := snapshots.Snapshot().Account(exchange.Key)
		if account == nil || account.ID != owner {
			return errKeyWithdrawn
		}
		return nil
	}
}
