package fake

import (
	"io"
	"maps"
	"net/http"
	"net/netip"
)

// Forwarder forwards every request to one target without any other processing.
// It is the baseline for the cost of the data path.
type Forwarder struct {
	target    netip.AddrPort
	transport http.RoundTripper
}

// maxIdleConns is the maximum number of idle connections to the target.
const maxIdleConns = 64

// NewForwarder returns a forwarder to target.
func NewForwarder(target netip.AddrPort) *Forwarder {
	return &Forwarder{target: target, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns}}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	outgoing := request.Clone(request.Context())
	outgoing.URL.Scheme, outgoing.URL.Host, outgoing.RequestURI = "http", f.target.String(), ""
	var response *http.Response
	var err error
	if response, err = f.transport.RoundTrip(outgoing); err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	maps.Copy(writer.Header(), response.Header)
	writer.WriteHeader(response.StatusCode)
	if _, err = io.Copy(writer, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
