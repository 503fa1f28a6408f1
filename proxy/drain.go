package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// drainBytes is the largest rest of a request body that is read so that the
	// connection can serve another request.
	drainBytes = 256 << 10
	// drainTime bounds the time to read it.
	drainTime = time.Second
)

// drainBody reads the rest of a request body and reports whether its end was
// reached. With full duplex, net/http must not find the end of the body after
// the handler has returned.
func drainBody(writer http.ResponseWriter, body io.Reader) bool {
	if body == http.NoBody {
		return true
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(drainTime))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, body, drainBytes)
	return errors.Is(err, io.EOF)
}
