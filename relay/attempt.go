package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
)

const (
	// maxStrayAnswers is the number of answers to other requests that are
	// discarded on one connection.
	maxStrayAnswers = 3
	// maxIdleForUnsafe is the longest idle time of a connection for a request that
	// may run only once. The target may be about to close a connection that was
	// idle for longer.
	maxIdleForUnsafe = 6 * time.Second
)

// hopByHop lists the header fields that are valid for one connection only,
// following RFC 9110 section 7.6.1, and those that the package handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// answer is a target's answer to an attempt.
type answer struct {
	status int
	header http.Header
	reply  ferry.ResponseMetadata
	// buffered is the beginning of the body. rest reads the remainder; it is nil
	// when there is none.
	buffered []byte
	rest     io.Reader
	// release returns the connection to the pool or closes it. isComplete reports
	// that the whole body was read.
	release func(isComplete bool)
}

// attempt is one attempt to have a target run a request.
type attempt struct {
	pick     place.Pick
	sentAt   time.Duration
	outcome  ferry.Outcome
	verdict  ferry.Verdict
	answer   *answer
	err      error
	isReused bool
}

// send makes one attempt on the picked target. It returns when the answer, or
// its beginning, was read or when ctx ends.
func (f *Forwarder) send(ctx context.Context, exchange *ferry.Exchange, body *payload, pick place.Pick, mayRetry bool) *attempt {
	a := &attempt{pick: pick, outcome: ferry.OutcomeNotSent, verdict: ferry.VerdictDialRefused, sentAt: steadyTime(f.clock)}
	maxIdle := maxIdleForUnsafe
	if mayRetry {
		maxIdle = time.Hour
	}
	connection, err := f.pool.get(ctx, a.sentAt, pick.Target, maxIdle)
	if err != nil {
		a.err = err
		if ctx.Err() != nil {
			a.verdict = ferry.VerdictNone
		}
		return a
	}
	a.isReused = connection.isReused
	stop := context.AfterFunc(ctx, func() { discard(connection) })
	f.roundTrip(exchange, body, connection, a)
	isOpen := stop()
	switch {
	case a.answer == nil:
		discard(connection)
	case a.answer.rest == nil:
		a.answer.release(isOpen)
		a.answer.release = func(bool) {}
	case !isOpen:
		a.answer = nil
	default:
		f.setReadDeadline(ctx, connection)
	}
	if ctx.Err() != nil && a.answer == nil {
		a.err = ctx.Err()
		a.verdict = ferry.VerdictNone
	}
	return a
}

// setReadDeadline bounds the reading of an answer that is streamed to the caller
// by the deadline of its request.
func (f *Forwarder) setReadDeadline(ctx context.Context, connection *conn) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	if err := connection.SetReadDeadline(deadline); err != nil {
		f.log.Debug("read deadline not set on the target connection", "error", err)
	}
}

// roundTrip sends the request and reads the answer or its beginning.
func (f *Forwarder) roundTrip(exchange *ferry.Exchange, body *payload, connection *conn, a *attempt) {
	head := f.requestHead(exchange, body, a.pick.Target)
	a.outcome, a.verdict = ferry.OutcomeUnknown, ferry.VerdictReset
	if len(body.buffered) <= chunkSize {
		head = append(head, body.buffered...)
	}
	written, err := connection.Write(head)
	if err == nil && len(body.buffered) > chunkSize && body.rest == nil {
		_, err = connection.Write(body.buffered)
	}
	if err != nil {
		if written == 0 {
			a.outcome = ferry.OutcomeNotSent
		}
		a.err = err
		// A target that refuses a request may answer before it has read the body.
		if written == 0 || body.length <= chunkSize {
			return
		}
	}
	var sending chan error
	if body.rest != nil {
		sending = make(chan error, 1)
		go func() { sending <- f.writeRest(connection, body) }()
	}
	f.readAnswer(exchange, connection, a)
	if sending != nil {
		endSending(connection, sending, a)
	}
}

// endSending waits for the goroutine that sends a long body. When the answer came
// before the whole body was sent, the connection is not reused: the target would
// read the next request as the rest of the body.
func endSending(connection *conn, sending chan error, a *attempt) {
	select {
	case err := <-sending:
		if err == nil || a.answer == nil {
			return
		}
	default:
	}
	if a.answer == nil {
		discard(connection)
		<-sending
		return
	}
	release := a.answer.release
	a.answer.release = func(bool) { release(false) }
}

// writeRest sends the unsent part of a body that isn't wholly buffered.
func (f *Forwarder) writeRest(connection *conn, body *payload) error {
	var target io.Writer = connection
	if body.length < 0 {
		target = &chunkWriter{target: connection}
	}
	if len(body.buffered) > chunkSize || body.length < 0 {
		if _, err := target.Write(body.buffered); err != nil {
			return err
		}
	}
	if _, err := io.CopyBuffer(target, body.rest, make([]byte, chunkSize)); err != nil {
		discard(connection)
		return err
	}
	if body.length < 0 {
		_, err := connection.Write([]byte("0\r\n\r\n"))
		return err
	}
	return nil
}

// chunkWriter writes a body in the chunked transfer coding.
type chunkWriter struct{ target io.Writer }

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	framed := make([]byte, 0, len(p)+16)
	framed = fmt.Appendf(framed, "%x\r\n", len(p))
	framed = append(framed, p...)
	framed = append(framed, '\r', '\n')
	if _, err := w.target.Write(framed); err != nil {
		return 0, err
	}
	return len(p), nil
}

// requestHead encodes the request line and the header for the target.
func (f *Forwarder) requestHead(exchange *ferry.Exchange, body *payload, target *ferry.Target) []byte {
	request := exchange.Request
	header := make(http.Header, len(request.Header)+4)
	perConnection := connectionFields(request.Header)
	for name, values := range request.Header {
		if !hopByHop[name] && !perConnection[name] && !containsKey(values, exchange.Metadata.Key) {
			header[name] = values
		}
	}
	f.dialect.WriteRequest(header, ferry.ForwardMetadata{
		ID: exchange.Metadata.ID, Target: target.ID, Account: accountID(exchange), Deadline: f.deadline(exchange) - steadyTime(f.clock),
	})
	if body.length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		if body.length >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(body.length, 10)}
		} else {
			header["Transfer-Encoding"] = []string{"chunked"}
		}
	} else if body.length < 0 {
		header["Transfer-Encoding"] = []string{"chunked"}
	}
	var head bytes.Buffer
	head.Grow(bufferSize)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.RequestURI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	if err := header.Write(&head); err != nil {
		// A bytes.Buffer does not fail.
		f.log.Error("header of the forwarded request not encoded", "error", err)
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// connectionFields returns the fields that the Connection field names.
func connectionFields(header http.Header) map[string]bool {
	var fields map[string]bool
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if fields == nil {
				fields = map[string]bool{}
			}
			fields[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return fields
}

// containsKey reports whether a header value contains the caller's key.
func containsKey(values []string, key string) bool {
	if key == "" {
		return false
	}
	for _, value := range values {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}

// readAnswer reads answers until it finds the answer to this request.
func (f *Forwarder) readAnswer(exchange *ferry.Exchange, connection *conn, a *attempt) {
	for range maxStrayAnswers + 1 {
		// The body is read here or closed with the connection.
		response, err := http.ReadResponse(connection.reader, exchange.Request) //nolint:bodyclose // the connection is closed instead
		if err != nil {
			a.setError(err)
			return
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := f.dialect.ReadResponse(response.StatusCode, response.Header)
		if reply.ID != "" && reply.ID != exchange.Metadata.ID {
			// The answer to another request is discarded. The answer to this one may
			// follow.
			if isUnframed(response) {
				a.setError(errors.New("target sent an answer to another request without a length"))
				return
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil {
				a.setError(err)
				return
			}
			f.log.Debug("answer to another request discarded", "request", exchange.ID, "target", a.pick.Target.ID)
			continue
		}
		if reply.ID == "" && exchange.Metadata.ID != "" && !reply.NotRun {
			a.setError(errors.New("target sent an answer without a request ID"))
			a.verdict = ferry.VerdictCutBody
			return
		}
		f.acceptAnswer(response, reply, connection, a)
		return
	}
	a.setError(errors.New("target sent too many answers to other requests"))
}

// setError sets an error that came after the request was sent, and its verdict.
func (a *attempt) setError(err error) {
	a.err = err
	a.verdict = ferry.VerdictReset
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		a.verdict = ferry.VerdictStall
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		a.verdict = ferry.VerdictCutBody
	}
}

// isUnframed reports whether the body has neither a length nor chunks, so that
// it ends with the connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// acceptAnswer reads the beginning of the body and sets the attempt's answer.
func (f *Forwarder) acceptAnswer(response *http.Response, reply ferry.ResponseMetadata, connection *conn, a *attempt) {
	buffered, rest, err := bufferBody(response.Body, response.ContentLength)
	if err != nil {
		a.setError(err)
		a.verdict = ferry.VerdictCutBody
		return
	}
	a.err = nil
	a.outcome = ferry.OutcomeDone
	if reply.NotRun {
		a.outcome = ferry.OutcomeNotRun
	}
	a.verdict = classifyAnswer(response.StatusCode, reply)
	if timeout, ok := keepAliveTimeout(response.Header["Keep-Alive"]); ok {
		connection.idleTimeout = max(0, timeout-idleMargin)
	}
	isReusable := !response.Close && !isUnframed(response)
	target := a.pick.Target
	a.answer = &answer{
		status: response.StatusCode, header: response.Header, reply: reply, buffered: buffered, rest: rest,
		release: func(isComplete bool) {
			if isComplete && isReusable && connection.reader.Buffered() == 0 && connection.SetReadDeadline(time.Time{}) == nil {
				f.pool.put(steadyTime(f.clock), target, connection)
				return
			}
			discard(connection)
		},
	}
}

// bufferBody reads a body up to maxBufferedAnswer. rest is nil when buffered is
// the whole body.
func bufferBody(body io.Reader, length int64) (buffered []byte, rest io.Reader, err error) {
	if length == 0 {
		return nil, nil, nil
	}
	if length > 0 && length <= maxBufferedAnswer {
		buffered = make([]byte, length)
		_, err = io.ReadFull(body, buffered)
		return buffered, nil, err
	}
	var buffer bytes.Buffer
	_, err = io.CopyN(&buffer, body, maxBufferedAnswer)
	if errors.Is(err, io.EOF) {
		return buffer.Bytes(), nil, nil
	}
	return buffer.Bytes(), body, err
}

// classifyAnswer returns the verdict on an answer. A success without the target's
// signature counts as a truncated body, so that it isn't sent to the caller.
func classifyAnswer(status int, reply ferry.ResponseMetadata) ferry.Verdict {
	switch {
	case reply.Misdirected:
		return ferry.VerdictDialRefused
	case reply.NotRun:
		return ferry.VerdictShed
	case status >= http.StatusInternalServerError:
		return ferry.VerdictErrorStatus
	case status < http.StatusMultipleChoices && !reply.Signed:
		return ferry.VerdictCutBody
	}
	return ferry.VerdictGood
}
