package relay

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
)

// deliver sends an answer to the caller. A status that callers take as a promise
// that the request did not run is replaced by a refusal with status 502.
func (f *Forwarder) deliver(r *requestState, a *attempt) error {
	status := a.answer.status
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.answer.release(false)
		return f.refuse(r, http.StatusBadGateway, ferry.ReasonTargetFailed, 0, "the target failed with status "+strconv.Itoa(status))
	}
	r.exchange.Status = status
	writer := r.exchange.Writer
	header := writer.Header()
	perConnection := connectionFields(a.answer.header)
	for name, values := range a.answer.header {
		if !hopByHop[name] && !perConnection[name] {
			header[name] = values
		}
	}
	suppressDefaults(header, "Date", "Content-Type")
	if a.answer.rest == nil {
		header["Content-Length"] = []string{strconv.Itoa(len(a.answer.buffered))}
	}
	writer.WriteHeader(status)
	if _, err := writer.Write(a.answer.buffered); err != nil {
		a.answer.release(false)
		return trace.Wrap(err, "caller")
	}
	if a.answer.rest == nil {
		return nil
	}
	if _, err := io.CopyBuffer(writer, a.answer.rest, make([]byte, chunkSize)); err != nil {
		a.answer.release(false)
		return trace.Wrap(err, "answer")
	}
	a.answer.release(true)
	return nil
}

// suppressDefaults keeps package http from adding fields that the target did not
// send.
func suppressDefaults(header http.Header, names ...string) {
	for _, name := range names {
		if _, found := header[name]; !found {
			header[name] = nil
		}
	}
}
