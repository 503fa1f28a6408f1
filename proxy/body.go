package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

// maxReplayBytes bounds the part of a request body that is buffered so that
// another attempt can send it again.
const maxReplayBytes = 64 << 10

// callerStallTimeout bounds the time without progress on a caller's connection.
const callerStallTimeout = 10 * time.Second

var (
	errKeyWithdrawn = errors.New("the key was withdrawn during the transfer")
	errCallerBody   = errors.New("read the caller's body")
)

// replayBody provides a caller's body to one attempt after another. It keeps the
// first maxReplayBytes.
type replayBody struct {
	source   io.Reader
	checkKey func() error

	mu             sync.Mutex
	buffered       []byte
	bytesRead      int64
	endErr         error
	currentAttempt int
	callerErr      error
	isClosed       bool
}

// attemptBody is the body of one attempt. The transport may still read it
// after the attempt has ended; such reads fail.
type attemptBody struct {
	replay *replayBody
	number int
	offset int64
}

// canReplay reports whether another attempt can send the whole body.
func (b *replayBody) canReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesRead == int64(len(b.buffered)) && b.callerErr == nil
}

// callerError returns the error that ended the reading of the caller's body, or nil.
func (b *replayBody) callerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callerErr
}

// closeGracePeriod is the time after which close interrupts a read in progress.
const closeGracePeriod = 100 * time.Millisecond

// close ends all reading. The server may only read the next request of a
// connection when nothing reads the body of this one. The function interrupt
// must end a read that waits for the caller.
func (b *replayBody) close(interrupt func()) {
	timer := time.AfterFunc(closeGracePeriod, interrupt)
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isClosed = true
}

// nextAttempt returns the body for the next attempt. Reads of earlier ones then fail.
func (b *replayBody) nextAttempt() *attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentAttempt++
	return &attemptBody{replay: b, number: b.currentAttempt}
}

// Read implements io.Reader.
func (a *attemptBody) Read(buffer []byte) (int, error) {
	b := a.replay
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isClosed || a.number != b.currentAttempt {
		return 0, http.ErrBodyReadAfterClose
	}
	if a.offset < int64(len(b.buffered)) {
		n := copy(buffer, b.buffered[a.offset:])
		a.offset += int64(n)
		return n, nil
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	if err := b.checkKey(); err != nil {
		b.callerErr, b.endErr = err, err
		return 0, err
	}
	n, err := b.source.Read(buffer)
	if b.bytesRead == int64(len(b.buffered)) && len(b.buffered)+n <= maxReplayBytes {
		b.buffered = append(b.buffered, buffer[:n]...)
	}
	b.bytesRead += int64(n)
	a.offset += int64(n)
	if err != nil {
		b.endErr = err
		if !errors.Is(err, io.EOF) {
			b.callerErr = errors.Join(errCallerBody, err)
			b.endErr = b.callerErr
			err = b.callerErr
		}
	}
	return n, err
}

// Close implements io.Closer. The caller's body is closed by net/http.
func (a *attemptBody) Close() error { return nil }

// timedReader extends the read deadline of the caller's connection before each
// read, so that the read fails if the caller makes no progress. It clears the
// deadline at the end of the body, as the server keeps monitoring the connection.
type timedReader struct {
	// ctx ends with the time of the request; reads fail then.
	ctx        context.Context //nolint:containedctx // It is the request's, as the reader is.
	body       io.Reader
	controller *http.ResponseController
}

// Read implements io.Reader.
func (r timedReader) Read(buffer []byte) (int, error) {
	if err := r.controller.SetReadDeadline(time.Now().Add(callerStallTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	if r.ctx.Err() != nil {
		interruptRead(r.controller)
	}
	var n int
	var err error
	if n, err = r.body.Read(buffer); err != nil {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// interruptRead ends a read of the caller's connection that is in progress.
func interruptRead(controller *http.ResponseController) {
	// Without support for deadlines, the read waits for bytes of the caller.
	_ = controller.SetReadDeadline(time.Unix(0, 1))
}

// keyCheck returns a function that returns an error once the key of the exchange
// no longer belongs to its client account.
func keyCheck(exchange *ferry.Exchange, snapshots Snapshots) func() error {
	if exchange.Account == nil {
		return func() error { return nil }
	}
	ownerID := exchange.Account.ID
	return func() error {
		account := snapshots.Snapshot().Account(exchange.Key)
		if account == nil || account.ID != ownerID {
			return errKeyWithdrawn
		}
		return nil
	}
}
