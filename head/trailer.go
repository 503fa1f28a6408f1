package head

import (
	"errors"
	"io"
	"net/http"
)

// CheckTrailer makes the body of a response end with an Error in place of io.EOF if its
// trailer has a field whose name is no token. Package http reports other faults of trailers.
func CheckTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
}

// trailedBody is a body that may have a trailer.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.response.Trailer {
		if !isToken([]byte(name)) {
			return n, &Error{Fault: FaultName}
		}
	}
	return n, err
}
