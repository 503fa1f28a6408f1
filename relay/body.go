package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// maxBufferedRequest bounds the part of a request body that is buffered so
	// that it can be sent again, in bytes.
	maxBufferedRequest = 1 << 20
	// maxBufferedResponse bounds the part of a response's body that is read before
	// the caller gets the first byte, in bytes.
	maxBufferedResponse = 256 << 10
	// chunkSize is the size of one read of a body, in bytes.
	chunkSize = 16 << 10
)

// payload is a request body.
type payload struct {
	// buffered is the beginning of the body.
	buffered []byte
	// rest reads the remainder, or is nil when buffered is the whole body.
	rest *bodyRest
	// length is the length of the whole body in bytes, or -1 when it is not known.
	length int64
}

// isReplayable reports whether the body can be sent more than once.
func (p *payload) isReplayable() bool { return p.rest == nil }

// readPayload buffers the beginning of a request body. A body of more than
// limit bytes is refused; a limit of zero means no limit.
func readPayload(request *http.Request, limit int64) (*payload, error) {
	if limit > 0 && request.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return &payload{}, nil
	}
	body := io.Reader(request.Body)
	if limit > 0 {
		body = &limitedBody{source: body, left: limit}
	}
	size := int64(chunkSize)
	if request.ContentLength > 0 {
		size = min(request.ContentLength, maxBufferedRequest)
	}
	buffered := make([]byte, 0, size)
	for len(buffered) < maxBufferedRequest {
		if len(buffered) == cap(buffered) {
			if request.ContentLength >= 0 && int64(len(buffered)) >= request.ContentLength {
				break
			}
			buffered = append(buffered, make([]byte, chunkSize)...)[:len(buffered)]
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return &payload{buffered: buffered, length: int64(len(buffered))}, nil
		}
		if err != nil {
			return nil, err
		}
	}
	if request.ContentLength >= 0 && int64(len(buffered)) == request.ContentLength {
		return &payload{buffered: buffered, length: request.ContentLength}, nil
	}
	return &payload{buffered: buffered, rest: &bodyRest{source: body}, length: request.ContentLength}, nil
}

// beginResponse is called before a response to the caller begins. If an attempt is
// still reading the body, package http must not read it as well: it would discard up
// to 256 KB of it. The connection of the caller can't be kept then.
func (p *payload) beginResponse(writer http.ResponseWriter) error {
	if p.rest == nil || !p.rest.isBeingRead() {
		return nil
	}
	writer.Header().Set("Connection", "close")
	return http.NewResponseController(writer).EnableFullDuplex()
}

// endReading is called before the handler returns: package http reads what is left of
// the body from then on. No attempt reads the body any more when endReading returns.
func (p *payload) endReading(writer http.ResponseWriter) {
	if p.rest == nil {
		return
	}
	p.rest.end(func() {
		writer.Header().Set("Connection", "close")
		// Without support for deadlines, the end waits for bytes of the caller.
		_ = http.NewResponseController(writer).SetReadDeadline(time.Unix(1, 0))
	})
}

// errBodyEnded reports that the handler of a request ended before its body was read.
var errBodyEnded = errors.New("the request ended before its body was sent")

// bodyRest is the part of a request body that isn't buffered. Only one attempt reads it,
// since a request whose body isn't wholly buffered is sent to one target only.
type bodyRest struct {
	source io.Reader
	// isStarted reports that an attempt reads the body, and isWhole that it has read
	// all of it.
	isStarted, isWhole atomic.Bool

	// mu is held while source is read.
	mu  sync.Mutex
	err error
}

// start is called before an attempt begins to send the body.
func (r *bodyRest) start() { r.isStarted.Store(true) }

func (r *bodyRest) isBeingRead() bool { return r.isStarted.Load() && !r.isWhole.Load() }

// Read implements io.Reader. Every call after an error returns that error.
func (r *bodyRest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.err = err
	r.isWhole.Store(errors.Is(err, io.EOF))
	return n, err
}

// hasFailed reports whether the body can't be read to its end.
func (r *bodyRest) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil && !errors.Is(r.err, io.EOF)
}

// end makes further reads fail and returns when none is in progress. If an attempt has
// begun to read the body and hasn't read it whole, interrupt is called: it has to end a
// read that waits for the caller.
func (r *bodyRest) end(interrupt func()) {
	isInterrupted := !r.mu.TryLock()
	if isInterrupted {
		interrupt()
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = errBodyEnded
	}
	if r.isBeingRead() && !isInterrupted {
		interrupt()
	}
}

// limitedBody fails with a refusal once more bytes than its limit were read.
type limitedBody struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, bodyTooLarge()
	}
	return n, err
}

func bodyTooLarge() error {
	return &ferry.RefusalError{
		Status: http.StatusRequestEntityTooLarge, Reason: ferry.ReasonBodyTooLarge,
		Outcome: ferry.OutcomeNotRun, Detail: "the body is larger than the limit",
	}
}

// monotonicTime returns the current monotonic time of a clock.
func monotonicTime(clock ferry.Clock) time.Duration { return clock.Now().Monotonic }
