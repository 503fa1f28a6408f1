package fake

import (
	"io"
	"maps"
	"net/http"
	"net/netip"
)

// Forwarder passes every request to one target and does nothing else. It is
// the baseline for the cost of the data path.
type Forwarder struct {
	target    netip.AddrPort
	transport http.RoundTripper
}

// maxIdleConns is the number of connections to the target that are kept.
const maxIdleConns = 64

// NewForwarder returns a forwarder to the target.
func NewForwarder(target netip.AddrPort) *Forwarder {
	return &Forwarder{target: target, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns}}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	out := request.Clone(request.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", f.target.String(), ""
	var answer *http.Response
	var err error
	if answer, err = f.transport.RoundTrip(out); err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	maps.Copy(writer.Header(), answer.Header)
	writer.WriteHeader(answer.StatusCode)
	if _, err = io.Copy(writer, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
