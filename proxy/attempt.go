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
)

// attempt is one request to one target, up to the head of its answer.
type attempt struct {
	exchange *ferry.Exchange
	pick     ferry.Pick
	stall    time.Duration
	body     *attemptBody

	cancel  context.CancelCauseFunc
	conn    atomic.Pointer[countedConn]
	before  int64
	started time.Time
}

var errStall = errors.New("the target made no progress")

// send writes the request and waits for the head of the answer. On success the
// caller owns the answer's body and must call cancel afterwards.
func (a *attempt) send(ctx context.Context, transport http.RoundTripper) (answer *http.Response, result ferry.Result) {
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancelCause(ctx)
	a.started = time.Now()
	request := a.request(httptrace.WithClientTrace(attemptCtx, a.trace()))
	var watchdog *time.Timer
	if a.exchange.Route.IsIdempotent(a.exchange.Request.Method) {
		// Other requests wait for their deadline, as they must not run twice.
		watchdog = time.AfterFunc(a.stall, func() { a.cancel(errStall) })
		defer watchdog.Stop()
	}
	var err error
	if answer, err = transport.RoundTrip(request); err != nil {
		result = a.classify(attemptCtx, err)
		a.cancel(nil)
		return nil, result
	}
	return answer, a.classifyAnswer(answer)
}

// trace remembers the connection and how much it had carried before.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				a.before = conn.written.Load()
				a.conn.Store(conn)
			}
		},
	}
}

// request builds the request for the target.
func (a *attempt) request(ctx context.Context) *http.Request {
	in := a.exchange.Request
	target := &url.URL{
		Scheme: "http", Host: a.pick.Target.Address.String(),
		Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery,
	}
	header := in.Header.Clone()
	removeHopByHop(header)
	header.Del("Expect")
	setForwarded(header, in.RemoteAddr, in.Host, in.TLS != nil)
	header.Set(ferry.HeaderRequest, a.exchange.ID)
	if a.exchange.Account != nil {
		header.Set(ferry.HeaderAccount, string(a.exchange.Account.ID))
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(ferry.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	request := &http.Request{
		Method: in.Method, URL: target, Host: in.Host, Header: header,
		ContentLength: in.ContentLength, Body: a.body,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return request.WithContext(ctx)
}

// classify turns a failed attempt into its outcome and its evidence.
func (a *attempt) classify(ctx context.Context, err error) ferry.Result {
	result := ferry.Result{Outcome: ferry.OutcomeNotSent, Load: -1}
	if conn := a.conn.Load(); conn != nil && conn.written.Load() > a.before {
		result.Outcome = ferry.OutcomeUnknown
	}
	cause := context.Cause(ctx)
	switch {
	case a.body.whole.callerError() != nil:
		result.Verdict = ferry.VerdictNone
	case errors.Is(cause, errStall), errors.Is(cause, context.DeadlineExceeded):
		result.Verdict = ferry.VerdictStall
		if time.Since(a.started) < a.stall {
			// The caller's deadline left the target too little time.
			result.Verdict = ferry.VerdictNone
		}
	case cause != nil:
		result.Verdict = ferry.VerdictNone
	case a.conn.Load() == nil, errors.Is(err, syscall.ECONNREFUSED):
		result.Verdict = ferry.VerdictDialRefused
	case result.Outcome == ferry.OutcomeNotSent:
		// A kept connection that its target closed while idle is no fault.
		result.Verdict = ferry.VerdictNone
	default:
		result.Verdict = ferry.VerdictReset
	}
	return result
}

// classifyAnswer turns the head of an answer into outcome and evidence.
func (a *attempt) classifyAnswer(answer *http.Response) ferry.Result {
	result := ferry.Result{
		Verdict: ferry.VerdictGood, Outcome: ferry.OutcomeDone,
		FirstByte: time.Since(a.started), Load: reportedLoad(answer.Header),
	}
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(ferry.HeaderOutcome) == ferry.OutcomeNotRun.String():
		result.Verdict, result.Outcome = ferry.VerdictShed, ferry.OutcomeNotRun
	case answer.StatusCode >= http.StatusInternalServerError && answer.StatusCode != http.StatusNotImplemented:
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
