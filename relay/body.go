package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/flight"
)

const (
	// maxBufferedRequest bounds the part of a request body that is buffered so
	// that it can be sent again, in bytes.
	maxBufferedRequest = 1 << 20
	// firstBuffer is the first part of a body that is read, and minBuffered what is
	// buffered of a longer one even if little is left of the budget, in bytes.
	firstBuffer = 16 << 10
	minBuffered = 64 << 10
	// growth is the factor by which a buffer grows.
	growth = 4
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
	// hold accounts for the buffers of the request and its responses.
	hold *flight.Hold
}

// isReplayable reports whether the body can be sent more than once.
func (p *payload) isReplayable() bool { return p.rest == nil }

// hasBody reports whether a request has a body.
func hasBody(request *http.Request) bool {
	return request.Body != nil && request.Body != http.NoBody && request.ContentLength != 0
}

// readPayload buffers the beginning of a request body. A body of more than limit bytes
// is refused; a limit of zero means no limit. take is called before bytes are buffered,
// with the size of the buffer before and after; where it fails, the rest is streamed.
func readPayload(request *http.Request, body io.Reader, limit int64, take func(from, to int64) error) (*payload, error) {
	if limit > 0 && request.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	if !hasBody(request) {
		return &payload{}, nil
	}
	if limit > 0 {
		body = &limitedBody{source: body, left: limit}
	}
	var buffered []byte
	for {
		if len(buffered) == cap(buffered) {
			size := nextBuffer(int64(len(buffered)), request.ContentLength)
			if size == int64(len(buffered)) {
				break
			}
			if err := take(int64(len(buffered)), size); err != nil {
				if len(buffered) > 0 {
					break
				}
				return nil, err
			}
			buffered = append(make([]byte, 0, size), buffered...)
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

// nextBuffer returns the size of the buffer that follows a full one of the given size,
// for a body of a length, or -1 if that is not known.
func nextBuffer(size, length int64) int64 {
	next := min(max(size*growth, firstBuffer), maxBufferedRequest)
	if length >= 0 {
		next = min(next, length)
	}
	return next
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
	// isStarted reports that an attempt reads the body, isWhole that it has read all of
	// it, and isFailed that reads fail from now on.
	isStarted, isWhole, isFailed atomic.Bool

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
	r.isFailed.Store(err != nil && !errors.Is(err, io.EOF))
	return n, err
}

// hasFailed reports whether the body can't be read to its end.
func (r *bodyRest) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil && !errors.Is(r.err, io.EOF)
}

// isIncomplete reports whether the caller has not sent all of the body, or can't.
func (r *bodyRest) isIncomplete() bool { return r != nil && !r.isWhole.Load() }

// isBroken reports whether a read has failed, without a wait for one in progress.
func (r *bodyRest) isBroken() bool { return r != nil && r.isFailed.Load() }

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
		r.isFailed.Store(true)
	}
	if r.isBeingRead() && !isInterrupted {
		interrupt()
	}
}

// tooLarge returns the refusal of a body that exceeded its limit while it was streamed,
// or nil.
func (r *bodyRest) tooLarge() *ferry.RefusalError {
	// A read in progress has not failed.
	if r == nil || !r.mu.TryLock() {
		return nil
	}
	defer r.mu.Unlock()
	var refusal *ferry.RefusalError
	errors.As(r.err, &refusal)
	return refusal
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
