package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxDrainBytes bounds the rest of a request body that is read so that the
	// connection can serve another request.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds the time for reading this rest.
	drainTimeout = time.Second
)

// drainBody reads the rest of a request body and reports whether it reached the
// end. With full duplex, net/http must not reach the end of the body after the
// handler has returned.
func drainBody(writer http.ResponseWriter, body io.Reader) bool {
	if body == http.NoBody {
		return true
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(drainTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, body, maxDrainBytes)
	return errors.Is(err, io.EOF)
}
