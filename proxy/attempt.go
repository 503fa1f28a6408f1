package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/head"
)

// attempt is one request to one target, up to the head of its response.
type attempt struct {
	exchange     *ferry.Exchange
	pick         ferry.Pick
	stallTimeout time.Duration
	body         *attemptBody
	clock        ferry.Clock
	grace        *drain.Grace
	// disbelieved is called for a response that is not of this attempt.
	disbelieved func(why string, status int)
	// invalid is called for a response with an invalid head.
	invalid func(err *head.Error)

	cancel        context.CancelCauseFunc
	conn          atomic.Pointer[countedConn]
	writtenBefore int64
	// isReused reports that the connection has carried another request before.
	isReused atomic.Bool
	started  time.Time
}

var errStall = errors.New("the target made no progress")

// send writes the request and waits for the head of the response. On success,
// the response's body must be closed and cancel called afterwards.
func (a *attempt) send(ctx context.Context, transport http.RoundTripper) (response *http.Response, result ferry.Result) {
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancelCause(ctx)
	a.started = time.Now()
	request := a.request(httptrace.WithClientTrace(attemptCtx, a.trace()))
	var watchdog *time.Timer
	if a.exchange.Route.IsIdempotent(a.exchange.Request.Method) {
		// Other requests wait until their deadline, as they must not run twice.
		watchdog = time.AfterFunc(a.stallTimeout, func() { a.cancel(errStall) })
		defer watchdog.Stop()
	}
	var err error
	if response, err = transport.RoundTrip(request); err != nil {
		result = a.classifyError(attemptCtx, err)
		if headErr := (*head.Error)(nil); errors.As(err, &headErr) {
			a.invalid(headErr)
			// The bytes of the request may be on their way, though they are not counted yet.
			result.Verdict, result.Outcome = ferry.VerdictReset, ferry.OutcomeUnknown
		}
		a.cancel(nil)
		return nil, result
	}
	if why := a.doubt(response); why != "" {
		a.discard(response, why)
		a.cancel(nil)
		return nil, ferry.Result{Verdict: ferry.VerdictReset, Outcome: ferry.OutcomeUnknown, Load: -1}
	}
	return response, a.classifyResponse(response)
}

// doubt returns why a response is not of this attempt, or nothing. A target may send a
// refusal once more where the next response is due, and need not repeat request IDs:
// without one, its refusal proves something only on a new connection.
func (a *attempt) doubt(response *http.Response) (why string) {
	id := response.Header.Get(ferry.HeaderRequest)
	switch {
	case id != "" && id != a.exchange.ID:
		return "OtherRequest"
	case id == "" && isShed(response) && a.isReused.Load():
		return "NoID"
	}
	return ""
}

// discard closes the connection on which a doubtful response came: the response to this
// attempt may follow.
func (a *attempt) discard(response *http.Response, why string) {
	_ = response.Body.Close()
	if conn := a.conn.Load(); conn != nil {
		_ = conn.Close()
	}
	a.disbelieved(why, response.StatusCode)
}

// isShed reports whether the target declares that it did not run the request.
func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(ferry.HeaderOutcome) == ferry.OutcomeNotRun.String()
}

// trace records the connection and the bytes written to it before the attempt.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := countedConnOf(info.Conn); ok {
				a.writtenBefore = conn.written.Load()
				a.conn.Store(conn)
				a.isReused.Store(info.Reused)
			}
		},
	}
}

// request builds the request for the target.
func (a *attempt) request(ctx context.Context) *http.Request {
	incoming := a.exchange.Request
	target := &url.URL{
		Scheme: "http", Host: a.pick.Target.Address.String(),
		Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
	}
	header := incoming.Header.Clone()
	removeHopByHop(header)
	header.Del("Expect")
	setForwarded(header, incoming.RemoteAddr, incoming.Host, incoming.TLS != nil)
	header.Set(ferry.HeaderRequest, a.exchange.ID)
	if a.exchange.Account != nil {
		header.Set(ferry.HeaderAccount, string(a.exchange.Account.ID))
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := a.grace.TargetTime(a.clock.Now(), time.Until(deadline))
		header.Set(ferry.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	request := &http.Request{
		Method: incoming.Method, URL: target, Host: incoming.Host, Header: header,
		ContentLength: incoming.ContentLength, Body: a.body,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return request.WithContext(ctx)
}

// classifyError returns the outcome and the verdict of a failed attempt.
func (a *attempt) classifyError(ctx context.Context, err error) ferry.Result {
	result := ferry.Result{Outcome: ferry.OutcomeNotSent, Load: -1}
	if conn := a.conn.Load(); conn != nil && conn.written.Load() > a.writtenBefore {
		result.Outcome = ferry.OutcomeUnknown
	}
	cause := context.Cause(ctx)
	switch {
	case a.body.replay.callerError() != nil:
		result.Verdict = ferry.VerdictNone
	case errors.Is(cause, errStall), errors.Is(cause, context.DeadlineExceeded):
		result.Verdict = ferry.VerdictStall
		if time.Since(a.started) < a.stallTimeout {
			// The request's deadline left the target too little time.
			result.Verdict = ferry.VerdictNone
		}
	case cause != nil:
		result.Verdict = ferry.VerdictNone
	case a.conn.Load() == nil, errors.Is(err, syscall.ECONNREFUSED):
		result.Verdict = ferry.VerdictDialRefused
	case result.Outcome == ferry.OutcomeNotSent:
		// A target may close an idle connection; this is no fault.
		result.Verdict = ferry.VerdictNone
	default:
		result.Verdict = ferry.VerdictReset
	}
	return result
}

// classifyResponse returns the outcome and the verdict of a response's head.
func (a *attempt) classifyResponse(response *http.Response) ferry.Result {
	result := ferry.Result{
		Verdict: ferry.VerdictGood, Outcome: ferry.OutcomeDone,
		FirstByte: time.Since(a.started), Load: reportedLoad(response.Header),
	}
	switch {
	case isShed(response):
		result.Verdict, result.Outcome = ferry.VerdictShed, ferry.OutcomeNotRun
	case response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusNotImplemented:
		result.Verdict = ferry.VerdictErrorStatus
	}
	return result
}

func reportedLoad(header http.Header) int {
	var load int
	var err error
	if load, err = strconv.Atoi(header.Get(ferry.HeaderLoad)); err != nil || load < 0 {
		return -1
	}
	return load
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
