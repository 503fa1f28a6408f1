package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/flight"
	"monsoonferry.org/ferry/place"
)

const (
	// maxStrayResponses is the number of interim responses and responses to other
	// requests that are discarded before the response to a request.
	maxStrayResponses = 3
	// unsentTimeout bounds the sending of a buffered body after its response: an upload over
	// a slow link, well within the usual deadlines.
	unsentTimeout = 500 * time.Millisecond
	// maxIdleForUnsafe is the longest idle time of a connection for a request that
	// may run only once: the target may be about to close an older connection.
	maxIdleForUnsafe = 6 * time.Second
)

// errTargetClosed reports that the target stopped taking requests while the
// connection to it was opened.
var errTargetClosed = errors.New("the target stopped taking requests of this VM")

// errNoConnection reports that the VM has no connection left for the request.
var errNoConnection = errors.New("the connections to targets have used up their budget")

// errEarlyBytes reports that a target sent bytes, or closed the connection, before it
// had a request.
var errEarlyBytes = errors.New("the target sent bytes before it had a request")

// hopByHop lists the header fields that are valid for one connection only,
// following RFC 9110 section 7.6.1, and those that the package handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// targetResponse is the response to an attempt.
type targetResponse struct {
	status   int
	header   http.Header
	metadata ferry.ResponseMetadata
	// isBodyless reports that a response of its status, or to its method, has no body,
	// whatever length its header states.
	isBodyless bool
	// buffered is the beginning of the body; rest reads the remainder or is nil.
	buffered []byte
	rest     io.Reader
	// release returns the connection to the pool or closes it. isComplete reports
	// that the whole body was read.
	release func(isComplete bool)
}

// attempt is the sending of a request to one target, and its result.
type attempt struct {
	pick     place.Pick
	sentAt   time.Duration
	outcome  ferry.Outcome
	verdict  ferry.Verdict
	response *targetResponse
	err      error
	isReused bool
	// isShortened reports that a planned stop has shortened the deadline of the target.
	isShortened bool
	// isEarly reports that the response came before the request was sent whole.
	isEarly bool
}

// obeysStop reports whether the target gave the request up at a deadline that a planned
// stop had shortened, which says nothing about the target.
func (a *attempt) obeysStop() bool {
	return a.isShortened && a.response != nil && a.response.status == http.StatusGatewayTimeout
}

// send makes one attempt on the picked target. It returns when the response, or
// its beginning, was read or when ctx ends.
func (f *Forwarder) send(ctx context.Context, exchange *ferry.Exchange, body *payload, pick place.Pick, isRetryable bool) *attempt {
	a := &attempt{pick: pick, outcome: ferry.OutcomeNotSent, verdict: ferry.VerdictDialRefused, sentAt: monotonicTime(f.clock)}
	maxIdle := maxIdleForUnsafe
	if isRetryable {
		maxIdle = time.Hour
	}
	// The buffers are in use as long as the attempt, also when the caller has left.
	if body.hold.Retain() {
		defer body.hold.Release()
	}
	if pick.Wait > 0 {
		// Others wait for slots of targets.
		body.hold.EndStalled(a.sentAt, stallTime)
	}
	slot := f.pool.Connections.Open(ownerOf(exchange))
	if !slot.Take(1) {
		// Bodies that stall while they are streamed hold connections too.
		body.hold.EndStalled(a.sentAt, stallTime)
		a.err, a.verdict = errNoConnection, ferry.VerdictNone
		return a
	}
	connection, err := f.pool.get(ctx, a.sentAt, pick.Target, maxIdle, exchange.Metadata.ID)
	f.chooser.SetIdleUntil(pick, f.pool.idleUntil(pick.Target))
	if err != nil {
		slot.Release()
		a.err = err
		if ctx.Err() != nil {
			a.verdict = ferry.VerdictNone
		}
		return a
	}
	connection.slot = slot
	if !f.chooser.MaySend(monotonicTime(f.clock), pick) {
		a.err, a.verdict = errTargetClosed, ferry.VerdictNone
		discard(connection)
		return a
	}
	if !connection.isReused && !connection.isIdle() {
		a.err = errEarlyBytes
		discard(connection)
		return a
	}
	a.isReused = connection.isReused
	connection.carry(exchange.Metadata.ID)
	stop := context.AfterFunc(ctx, func() { discard(connection) })
	f.roundTrip(exchange, body, connection, a)
	switch {
	case a.response == nil:
		stop()
		discard(connection)
	case a.response.rest == nil:
		a.response.release(stop())
		a.response.release = func(bool) {}
	case ctx.Err() != nil:
		a.response = nil
	default:
		// The connection is closed at the end of ctx, or when the caller has left, unless
		// the response is released.
		release := a.response.release
		keep := context.AfterFunc(exchange.Request.Context(), func() { discard(connection) }) //nolint:contextcheck // ctx may outlast the caller
		a.response.release = func(isComplete bool) {
			hasCaller := keep()
			release(stop() && hasCaller && isComplete)
		}
		f.setReadDeadline(ctx, connection)
	}
	if ctx.Err() != nil && a.response == nil {
		a.err = ctx.Err()
		a.verdict = ferry.VerdictNone
	}
	return a
}

// setReadDeadline bounds the reading of a response that is streamed to the
// caller by the deadline of its request.
func (f *Forwarder) setReadDeadline(ctx context.Context, connection *conn) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	if err := connection.SetReadDeadline(deadline); err != nil {
		f.log.Debug("read deadline not set on the target connection", "error", err)
	}
}

// roundTrip sends the request and reads the response or its beginning.
func (f *Forwarder) roundTrip(exchange *ferry.Exchange, body *payload, connection *conn, a *attempt) {
	var deadline time.Duration
	deadline, a.isShortened = f.targetTime(exchange)
	head := f.requestHead(exchange, body, a.pick.Target, deadline)
	a.outcome, a.verdict = ferry.OutcomeUnknown, ferry.VerdictReset
	if len(body.buffered) <= chunkSize && (body.rest == nil || body.length >= 0) {
		head = append(head, body.buffered...)
	}
	written, err := connection.Write(head)
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
	var rest *transfer
	if err == nil && (body.rest != nil || len(body.buffered) > chunkSize) {
		rest = f.startTransfer(connection, body)
	}
	f.readResponse(exchange, body.hold, connection, a)
	if a.response == nil && body.rest.isBroken() {
		// The caller broke its body off, which says nothing about the target.
		a.verdict = ferry.VerdictNone
	}
	a.isEarly = a.response != nil && (err != nil || !rest.isWhole())
	switch {
	case !a.isEarly:
	case err != nil || body.rest != nil:
		// The target would read the next request as the rest of the body.
		release := a.response.release
		a.response.release = func(bool) { release(false) }
		f.metrics.countEarly(false)
	default:
		a.response.release = f.releaseAfter(rest, a.response.release)
	}
}

// transfer is the sending of what was not sent of a body with the head of its request. It
// goes on beside the reading of the response: a target that responds early may send no more
// before its response is read. The nil transfer has ended.
type transfer struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

func (f *Forwarder) startTransfer(connection *conn, body *payload) *transfer {
	t := &transfer{done: make(chan struct{})}
	isHeld := false
	if body.rest != nil {
		body.rest.start()
	} else {
		isHeld = body.hold.Retain()
	}
	go func() {
		defer close(t.done)
		if isHeld {
			defer body.hold.Release()
		}
		t.err = f.writeRest(connection, body)
	}()
	return t
}

// isWhole reports whether everything was sent.
func (t *transfer) isWhole() bool {
	if t == nil {
		return true
	}
	select {
	case <-t.done:
		return t.err == nil
	default:
		return false
	}
}

// releaseAfter returns how a connection is released whose response came before everything
// was sent: a target that reads on gets the rest, while the response is delivered.
func (f *Forwarder) releaseAfter(t *transfer, release func(isComplete bool)) func(isComplete bool) {
	return func(isComplete bool) {
		if !isComplete {
			f.metrics.countEarly(false)
			release(false)
			return
		}
		go func() {
			timeout := time.NewTimer(unsentTimeout)
			defer timeout.Stop()
			select {
			case <-t.done:
			case <-timeout.C:
			}
			isSent := t.isWhole()
			f.metrics.countEarly(isSent)
			release(isSent)
		}()
	}
}

// writeRest sends the part of a body that was not sent with the head.
func (f *Forwarder) writeRest(connection *conn, body *payload) error {
	if body.rest == nil {
		_, err := connection.Write(body.buffered)
		return err
	}
	copied, framed := getChunk(), getChunk()
	defer putChunk(copied)
	defer putChunk(framed)
	var target io.Writer = connection
	if body.length < 0 {
		target = &chunkWriter{target: connection, framed: *framed}
	}
	if len(body.buffered) > chunkSize || body.length < 0 {
		if _, err := target.Write(body.buffered); err != nil {
			return err
		}
	}
	if _, err := io.CopyBuffer(target, body.rest, (*copied)[:chunkSize]); err != nil {
		if body.rest.hasFailed() {
			discard(connection)
		}
		// A target that closes the connection may have responded before.
		return err
	}
	if body.length < 0 {
		_, err := connection.Write([]byte("0\r\n\r\n"))
		return err
	}
	return nil
}

// maxChunkFrame is the size of what encloses one chunk, in bytes.
const maxChunkFrame = 32

// chunks holds buffers for streamed bodies: a new one for every piece would leave
// garbage faster than it is collected on a VM with little memory.
var chunks = sync.Pool{New: func() any { return new(make([]byte, chunkSize+maxChunkFrame)) }}

func getChunk() *[]byte {
	buffer, ok := chunks.Get().(*[]byte)
	if !ok {
		return new(make([]byte, chunkSize+maxChunkFrame))
	}
	return buffer
}

func putChunk(buffer *[]byte) { chunks.Put(buffer) }

// chunkWriter writes a body in the chunked transfer coding. framed is its buffer.
type chunkWriter struct {
	target io.Writer
	framed []byte
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (written int, err error) {
	for len(p) > written && err == nil {
		piece := p[written:min(len(p), written+chunkSize)]
		framed := fmt.Appendf(w.framed[:0], "%x\r\n", len(piece))
		framed = append(framed, piece...)
		framed = append(framed, '\r', '\n')
		if _, err = w.target.Write(framed); err == nil {
			written += len(piece)
		}
	}
	return written, err
}

// requestHead encodes the request line and the header for the target.
func (f *Forwarder) requestHead(exchange *ferry.Exchange, body *payload, target *ferry.Target, deadline time.Duration) []byte {
	request := exchange.Request
	header := make(http.Header, len(request.Header)+4)
	perConnection := connectionFields(request.Header)
	for name, values := range request.Header {
		if !hopByHop[name] && !perConnection[name] && !containsKey(values, exchange.Metadata.Key) {
			header[name] = values
		}
	}
	f.dialect.WriteRequest(header, ferry.ForwardMetadata{
		ID: exchange.Metadata.ID, Target: target.ID, Account: accountID(exchange), Deadline: deadline,
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

// isOwn reports whether a response is of this sending of the request. The connection
// carries its ID once, so a response that names it is. One without an ID may be an
// earlier response sent once more, except on a new connection. There it answers a request
// without an ID, or is of a process that took over the target's address.
func isOwn(id string, metadata ferry.ResponseMetadata, isFirst bool) bool {
	if metadata.ID != "" {
		return metadata.ID == id
	}
	return isFirst && (id == "" || metadata.Misdirected)
}

// readResponse reads responses until it finds the response to this request.
func (f *Forwarder) readResponse(exchange *ferry.Exchange, hold *flight.Hold, connection *conn, a *attempt) {
	for i := range maxStrayResponses + 1 {
		// The body is read here or closed with the connection.
		response, err := connection.readHead(exchange.Request) //nolint:bodyclose // the connection is closed instead
		if err != nil {
			a.setError(err)
			return
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		metadata := f.dialect.ReadResponse(response.StatusCode, response.Header)
		if isOwn(exchange.Metadata.ID, metadata, i == 0 && !connection.isReused) {
			f.acceptResponse(response, metadata, hold, connection, a)
			return
		}
		f.logDisbelieved(exchange, a.pick.Target, response.StatusCode, metadata)
		if metadata.ID == "" {
			a.setError(errors.New("target sent a response without a request ID"))
			a.verdict = ferry.VerdictCutBody
			return
		}
		// The response to this request may follow.
		if isUnframed(response) || exchange.Request.Method == http.MethodHead && response.ContentLength != 0 {
			a.setError(errors.New("target sent a response to another request whose end is unknown"))
			return
		}
		connection.limit.begin(maxStrayBytes)
		if _, err = io.Copy(io.Discard, response.Body); err != nil {
			a.setError(err)
			return
		}
	}
	a.setError(errors.New("target sent too many responses to other requests"))
}

// logDisbelieved logs and counts a response that is not of this sending of the request.
func (f *Forwarder) logDisbelieved(exchange *ferry.Exchange, target *ferry.Target, status int, metadata ferry.ResponseMetadata) {
	why := "OtherRequest"
	if metadata.ID == "" {
		why = "NoID"
	}
	f.metrics.countDisbelieved(why)
	if !f.disbelievedLines.allows(monotonicTime(f.clock)) {
		return
	}
	f.log.Info("response not believed", slog.String("request", exchange.Metadata.ID), slog.String("target", string(target.ID)),
		slog.String("why", why), slog.Int("status", status), slog.Bool("notRun", metadata.NotRun))
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

// isUnframed reports whether the body ends only with the connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// isBodyless reports whether a response ends with its header, following RFC 9112 section 6.3.
func isBodyless(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusNoContent, http.StatusNotModified:
		return true
	}
	return response.Request.Method == http.MethodHead
}

// acceptResponse reads the beginning of the body and sets a.response.
func (f *Forwarder) acceptResponse(response *http.Response, metadata ferry.ResponseMetadata, hold *flight.Hold, connection *conn, a *attempt) {
	body, isUsable, isBodyless := response.Body, isUsable(response.StatusCode, metadata), isBodyless(response)
	if !isUsable || isBodyless {
		// The caller does not get a body that isn't usable, so it is not read either.
		body, response.ContentLength = http.NoBody, 0
	}
	buffered, rest, err := bufferBody(body, response.ContentLength, hold)
	if err != nil {
		a.setError(err)
		a.verdict = ferry.VerdictCutBody
		return
	}
	a.err = nil
	a.outcome = ferry.OutcomeDone
	if metadata.NotRun {
		a.outcome = ferry.OutcomeNotRun
	}
	a.verdict = classifyResponse(response.StatusCode, metadata)
	if timeout, ok := keepAliveTimeout(response.Header["Keep-Alive"]); ok {
		connection.idleTimeout = max(0, timeout-idleMargin)
	}
	// Without an ID, a response that comes once more would look like the next one.
	isReusable := isUsable && !response.Close && !isUnframed(response) && !metadata.Leaving && metadata.ID != "" && !connection.isWornOut()
	pick := a.pick
	a.response = &targetResponse{
		status: response.StatusCode, header: response.Header, metadata: metadata, isBodyless: isBodyless, buffered: buffered, rest: rest,
		release: func(isComplete bool) {
			if isComplete && isReusable && connection.reader.Buffered() == 0 && connection.SetReadDeadline(time.Time{}) == nil {
				f.pool.put(monotonicTime(f.clock), pick.Target, connection)
				f.chooser.SetIdleUntil(pick, f.pool.idleUntil(pick.Target))
				return
			}
			discard(connection)
		},
	}
}

// bufferBody reads the beginning of a body, up to maxBufferedResponse bytes, or
// firstBuffer while little is left of the budget. rest is nil at its end.
func bufferBody(body io.Reader, length int64, hold *flight.Hold) (buffered []byte, rest io.Reader, err error) {
	if length == 0 {
		return nil, nil, nil
	}
	size := int64(maxBufferedResponse)
	if length > 0 {
		size = min(size, length)
	}
	if size > firstBuffer && !hold.TakeSpare(size) {
		size = firstBuffer
	}
	if length > 0 && length <= size {
		buffered = make([]byte, length)
		_, err = io.ReadFull(body, buffered)
		return buffered, nil, err
	}
	if length > 0 {
		buffered = make([]byte, size)
		_, err = io.ReadFull(body, buffered)
		return buffered, body, err
	}
	for int64(len(buffered)) < size {
		if len(buffered) == cap(buffered) {
			next := min(max(int64(len(buffered))*growth, bufferSize), size)
			buffered = append(make([]byte, 0, next), buffered...)
		}
		var n int
		n, err = body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return buffered, nil, nil
		}
		if err != nil {
			return buffered, body, err
		}
	}
	return buffered, body, nil
}

// isUsable reports whether a caller may get the response: a success needs the
// signature.
func isUsable(status int, metadata ferry.ResponseMetadata) bool {
	return status >= http.StatusMultipleChoices || metadata.Signed
}

// classifyResponse returns the verdict on a response. One that is not usable counts
// as truncated.
func classifyResponse(status int, metadata ferry.ResponseMetadata) ferry.Verdict {
	switch {
	case metadata.Misdirected:
		return ferry.VerdictDialRefused
	case metadata.NotRun:
		return ferry.VerdictShed
	case status >= http.StatusInternalServerError:
		return ferry.VerdictErrorStatus
	case !isUsable(status, metadata):
		return ferry.VerdictCutBody
	}
	return ferry.VerdictGood
}
