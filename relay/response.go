package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
)

// deliver sends a response to the caller. A status that callers take as a
// promise that the request did not run is replaced by a refusal with status
// 502.
func (f *Forwarder) deliver(ctx context.Context, r *requestState, a *attempt) error {
	status := a.response.status
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.response.release(false)
		return f.refuse(r, http.StatusBadGateway, ferry.ReasonTargetFailed, 0, "the target failed with status "+strconv.Itoa(status))
	}
	// A planned stop that has ended the request would cut the rest of the response.
	if !drain.RequestOf(ctx).Enter(drain.StageAnswered) && a.response.rest != nil {
		a.response.release(false)
		return f.refuseStopping(r)
	}
	r.exchange.Status = status
	writer := r.exchange.Writer
	header := writer.Header()
	perConnection := connectionFields(a.response.header)
	for name, values := range a.response.header {
		if !hopByHop[name] && !perConnection[name] {
			header[name] = values
		}
	}
	suppressDefaults(header, "Date", "Content-Type")
	switch {
	case status == http.StatusNoContent:
	case a.response.isBodyless:
		// The length of the body that another request would get.
		if length, found := a.response.header["Content-Length"]; found {
			header["Content-Length"] = length
		}
	case a.response.rest == nil:
		header["Content-Length"] = []string{strconv.Itoa(len(a.response.buffered))}
	}
	if err := r.body.beginResponse(writer); err != nil {
		a.response.release(false)
		return trace.Wrap(err, "caller")
	}
	writer.WriteHeader(status)
	if _, err := writer.Write(a.response.buffered); err != nil {
		a.response.release(false)
		return trace.Wrap(err, "caller")
	}
	if a.response.rest == nil {
		return nil
	}
	// A stream to a caller that has left ends at once, though no write may fail: a
	// target may send slowly.
	stop := context.AfterFunc(ctx, func() { a.response.release(false) })
	copied := getChunk()
	defer putChunk(copied)
	_, err := io.CopyBuffer(writer, a.response.rest, (*copied)[:chunkSize])
	hasStopped := stop()
	f.metrics.countLost(err)
	f.metrics.countInvalidHead(err)
	a.response.release(err == nil && hasStopped)
	return trace.Wrap(err, "answer")
}

// suppressDefaults keeps package http from adding fields that the target did
// not send.
func suppressDefaults(header http.Header, names ...string) {
	for _, name := range names {
		if _, found := header[name]; !found {
			header[name] = nil
		}
	}
}
