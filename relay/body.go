package relay

import (
	"errors"
	"io"
	"net/http"
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
	rest io.Reader
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
	return &payload{buffered: buffered, rest: body, length: request.ContentLength}, nil
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
