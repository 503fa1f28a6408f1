package host

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/entry"
)

const (
	// stopGrace is the grace period of the VMs that these tests stop, and longWork how
	// long targets work on a request that can't be answered within it.
	stopGrace = 4 * time.Second
	longWork  = 6 * time.Second
	// settleTime is longer than a request needs to get from its caller to its target.
	settleTime = 150 * time.Millisecond
)

// Header fields that tell a workTarget what to do with a request.
const (
	testIDHeader = "Test-Id"
	workHeader   = "Test-Work-Ms"
	// shedHeader is the time after which the target sheds a request when it gets it for
	// the first time.
	shedHeader = "Test-Shed-Ms"
	// streamHeader makes the target send a part of its response before it works.
	streamHeader = "Test-Stream"
)

// workTarget is a target whose requests say how long it works on them.
type workTarget struct {
	mu         sync.Mutex
	runs, shed map[string]int
}

func (t *workTarget) count(counts map[string]int, id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts[id]++
	return counts[id]
}

// runsOf returns how often a request has run.
func (t *workTarget) runsOf(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// ServeHTTP implements http.Handler.
func (t *workTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(testIDHeader)
	wait := func(header string) {
		milliseconds, _ := strconv.Atoi(request.Header.Get(header))
		select {
		case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		case <-request.Context().Done():
		}
	}
	if request.Header.Get(shedHeader) != "" && t.count(t.shed, id) == 1 {
		wait(shedHeader)
		writer.Header().Set(ferry.HeaderRequest, request.Header.Get(ferry.HeaderRequest))
		writer.Header().Set(ferry.HeaderOutcome, ferry.OutcomeNotRun.String())
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.count(t.runs, id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get(streamHeader) != "" {
		_, _ = io.WriteString(writer, "begin ")
		_ = http.NewResponseController(writer).Flush()
	}
	wait(workHeader)
	_, _ = io.WriteString(writer, "done")
}

var stopIDs atomic.Int64

// stopLab is a fleet with one target of which one VM is stopped while callers use it.
type stopLab struct {
	*testFleet
	t         *testing.T
	is        *is.I
	vm        *testVM
	target    *workTarget
	tls       *tls.Config
	stoppedAt time.Time
}

// stopOptions describe a stopLab.
type stopOptions struct {
	isTLS bool
	// grace is the grace period, or zero for stopGrace.
	grace time.Duration
	// slots is the number of slots of the target, or zero for 8.
	slots int
	log   slog.Handler
}

func newStopLab(t *testing.T, options stopOptions) *stopLab {
	t.Helper()
	l := &stopLab{t: t, is: is.New(t), testFleet: newTestFleet(t, 2, 0), target: &workTarget{runs: map[string]int{}, shed: map[string]int{}}}
	l.gracePeriod, l.logHandler = cmp.Or(options.grace, stopGrace), options.log
	if options.isTLS {
		l.callerTLS = writeAuthority(t, t.TempDir())
		l.tls = &tls.Config{InsecureSkipVerify: true}
	}
	server := httptest.NewServer(l.target)
	t.Cleanup(server.CloseClientConnections)
	l.inventory.Targets = []ferry.Target{{
		ID: "t0", Service: "orders", Place: "p1", Slots: cmp.Or(options.slots, 8), MaxConnections: 300,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}}
	// The pauses of these targets are no stall.
	l.inventory.Services[0].Rules.StallAfter = 2 * longWork
	l.inventory.Routes[0].Deadline = ferry.DefaultDeadline
	l.start(2)
	l.vm = l.vms[0]
	l.await("the VM admits requests", func() bool {
		caller := l.connect()
		defer func() { _ = caller.conn.Close() }()
		caller.sendOrder(0)
		response := caller.read()
		return response != nil && response.StatusCode == http.StatusOK
	})
	return l
}

// stop starts the planned stop.
func (l *stopLab) stop() {
	l.vm.host.Drain()
	l.stoppedAt = time.Now()
}

// waitUntil returns at a time after the start of the planned stop.
func (l *stopLab) waitUntil(after time.Duration) { time.Sleep(time.Until(l.stoppedAt.Add(after))) }

// checkStopped checks that the VM stopped within its grace period.
func (l *stopLab) checkStopped() {
	l.t.Helper()
	select {
	case err := <-l.vm.done:
		l.is.NoErr(err)
	case <-time.After(time.Until(l.stoppedAt.Add(stopGrace))):
		l.t.Error("the VM still runs at the end of its grace period")
	}
}

// stopCaller is a caller with a connection of its own.
type stopCaller struct {
	*stopLab
	conn   net.Conn
	reader *bufio.Reader
}

func (l *stopLab) connect() *stopCaller {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.vm.settings.Callers.String())
	l.is.NoErr(err)
	if l.tls != nil {
		conn = tls.Client(conn, l.tls)
	}
	l.t.Cleanup(func() { _ = conn.Close() })
	return &stopCaller{stopLab: l, conn: conn, reader: bufio.NewReader(conn)}
}

// orderHead returns the head of an order with a body of five bytes, and its ID.
func orderHead(work time.Duration, fields ...string) (head, id string) {
	id = fmt.Sprint("stop-", stopIDs.Add(1))
	head = fmt.Sprintf("POST /orders/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 5\r\n",
		ferry.HeaderKey, key("one"), testIDHeader, id, workHeader, work.Milliseconds())
	return head + strings.Join(append(fields, "\r\n"), "\r\n"), id
}

// send sends a part of a request.
func (c *stopCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	c.is.NoErr(err)
}

// sendOrder sends a whole order and returns its ID.
func (c *stopCaller) sendOrder(work time.Duration, fields ...string) string {
	c.t.Helper()
	head, id := orderHead(work, fields...)
	c.send(head + "order")
	return id
}

// read returns the next response, or nil if none came by the end of the grace period.
func (c *stopCaller) read() *http.Response {
	c.t.Helper()
	deadline := time.Now().Add(stopGrace)
	if !c.stoppedAt.IsZero() {
		deadline = c.stoppedAt.Add(stopGrace)
	}
	c.is.NoErr(c.conn.SetReadDeadline(deadline))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		c.t.Logf("no response %v after the signal: %v", time.Since(c.stoppedAt), err)
		return nil
	}
	return response
}

// checkRefused checks that a request was refused as not run, and that its connection
// closes.
func (c *stopCaller) checkRefused(response *http.Response, id string) {
	c.t.Helper()
	c.is.True(response != nil) // the request was answered
	c.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	c.is.Equal(response.Header.Get(ferry.HeaderOutcome), "NotRun")
	c.is.Equal(response.Header.Get(ferry.HeaderReason), string(ferry.ReasonStopping))
	c.is.True(response.Close)
	c.is.Equal(c.target.runsOf(id), 0)
}

// checkUnknown checks that a request that its target has got was answered truthfully.
func (c *stopCaller) checkUnknown(response *http.Response, id string) {
	c.t.Helper()
	c.is.True(response != nil) // no silent end
	c.is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	c.is.Equal(response.Header.Get(ferry.HeaderOutcome), "Unknown")
	c.is.Equal(response.Header.Get(ferry.HeaderReason), string(ferry.ReasonStopping))
	c.is.True(response.Close)
	c.is.Equal(c.target.runsOf(id), 1)
	// The target had five sixths of the grace period.
	c.is.True(time.Since(c.stoppedAt) > stopGrace*5/6)
}

// eachTransport runs a test with callers that use plain text, and with TLS.
func eachTransport(t *testing.T, test func(t *testing.T, options stopOptions)) {
	t.Helper()
	t.Parallel()
	for name, isTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, stopOptions{isTLS: isTLS})
		})
	}
}

func TestResponseInFlightAtStopClosesItsConnection(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	caller.sendOrder(500 * time.Millisecond)
	time.Sleep(settleTime)
	caller.stop()
	response := caller.read()
	caller.is.True(response != nil)
	caller.is.Equal(response.StatusCode, http.StatusOK)
	caller.is.True(response.Close) // the caller learns to go elsewhere
	caller.checkStopped()
}

func TestLateRequestOnKeptConnectionIsNotCutByStop(t *testing.T) {
	eachTransport(t, func(t *testing.T, options stopOptions) {
		caller := newStopLab(t, options).connect()
		caller.sendOrder(2500 * time.Millisecond)
		time.Sleep(settleTime)
		caller.stop()
		first := caller.read()
		caller.is.True(first != nil)
		caller.is.Equal(first.StatusCode, http.StatusOK)
		head, id := orderHead(longWork)
		// The VM may have closed the connection.
		_, _ = io.WriteString(caller.conn, head+"order")
		if response := caller.read(); response != nil || !first.Close {
			caller.checkRefused(response, id)
		}
		caller.is.Equal(caller.target.runsOf(id), 0) // what crosses the close is passed on to no target
		caller.checkStopped()
	})
}

// The head of a response that began before the signal can't ask its caller to close.
func TestLateRequestBehindStreamIsNotCutByStop(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	caller.sendOrder(2500*time.Millisecond, streamHeader+": 1")
	caller.is.NoErr(caller.conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := caller.reader.Peek(1)
	caller.is.NoErr(err)
	caller.stop()
	first := caller.read()
	caller.is.True(first != nil)
	caller.is.Equal(first.StatusCode, http.StatusOK)
	caller.is.True(!first.Close)
	id := caller.sendOrder(longWork)
	caller.checkRefused(caller.read(), id)
	caller.checkStopped()
}

func TestSlowHeaderIsNotCutByStop(t *testing.T) {
	eachTransport(t, func(t *testing.T, options stopOptions) {
		caller := newStopLab(t, options).connect()
		head, id := orderHead(longWork)
		caller.send(head[:20])
		time.Sleep(settleTime)
		caller.stop()
		caller.waitUntil(2500 * time.Millisecond)
		caller.send(head[20:] + "order")
		caller.checkRefused(caller.read(), id)
		caller.checkStopped()
	})
}

// The target got the head before the signal and the body long after it.
func TestSlowBodyIsNotCutByStop(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	head, id := orderHead(longWork)
	caller.send(head + "or")
	time.Sleep(settleTime)
	caller.stop()
	caller.waitUntil(2500 * time.Millisecond)
	caller.send("der")
	caller.checkUnknown(caller.read(), id)
	caller.checkStopped()
}

func TestBodyWithoutEndIsAnsweredByStop(t *testing.T) {
	eachTransport(t, func(t *testing.T, options stopOptions) {
		caller := newStopLab(t, options).connect()
		head, id := orderHead(longWork)
		caller.send(head + "or")
		time.Sleep(settleTime)
		caller.stop()
		caller.checkUnknown(caller.read(), id)
		caller.checkStopped()
	})
}

// A request that can't be answered in the time left is refused before its body has come.
func TestLateUploadIsRefusedAtOnceByStop(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	head, id := orderHead(longWork)
	caller.send(head[:20])
	time.Sleep(settleTime)
	caller.stop()
	caller.waitUntil(stopGrace * 5 / 8)
	caller.send(head[20:] + "or")
	caller.checkRefused(caller.read(), id)
	caller.is.True(time.Since(caller.stoppedAt) < stopGrace*3/4)
	caller.checkStopped()
}

func TestRequestAtTargetIsAnsweredAtEndOfStop(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	id := caller.sendOrder(longWork)
	time.Sleep(settleTime)
	caller.stop()
	caller.checkUnknown(caller.read(), id)
	caller.checkStopped()
}

// The only slot becomes free when the time left is too short for the request that waits.
func TestRequestWaitingInQueueIsNotCutByStop(t *testing.T) {
	t.Parallel()
	l := newStopLab(t, stopOptions{slots: 1})
	busy, waiting := l.connect(), l.connect()
	busy.sendOrder(2500*time.Millisecond + settleTime)
	time.Sleep(settleTime)
	l.stop()
	l.waitUntil(1800 * time.Millisecond)
	id := waiting.sendOrder(longWork)
	waiting.checkRefused(waiting.read(), id)
	first := busy.read()
	l.is.True(first != nil)
	l.is.Equal(first.StatusCode, http.StatusOK)
	l.checkStopped()
}

func TestRetryAfterShedLateInStopIsNotSent(t *testing.T) {
	t.Parallel()
	caller := newStopLab(t, stopOptions{}).connect()
	caller.stop()
	caller.waitUntil(time.Second)
	id := caller.sendOrder(longWork, shedHeader+": 1500")
	caller.checkRefused(caller.read(), id)
	caller.checkStopped()
}

// What can be served in the time left is served, on new and on kept connections.
func TestQuickRequestsAreServedDuringStop(t *testing.T) {
	eachTransport(t, func(t *testing.T, options stopOptions) {
		l := newStopLab(t, options)
		kept := l.connect()
		for range 2 {
			kept.sendOrder(10 * time.Millisecond)
			l.is.True(kept.read() != nil)
		}
		l.stop()
		for caller := kept; time.Since(l.stoppedAt) < time.Second; caller = l.connect() {
			caller.sendOrder(10 * time.Millisecond)
			response := caller.read()
			l.is.True(response != nil)
			l.is.Equal(response.StatusCode, http.StatusOK)
			l.is.True(response.Close)
		}
		l.checkStopped()
	})
}

// Callers may keep an entry response that names the VM for five seconds.
func TestCallersWithOldEntryResponseAreServedDuringStop(t *testing.T) {
	t.Parallel()
	l := newStopLab(t, stopOptions{grace: 30 * time.Second})
	l.stop()
	l.waitUntil(entry.Lifetime)
	caller := l.connect()
	caller.sendOrder(10 * time.Millisecond)
	caller.is.NoErr(caller.conn.SetReadDeadline(time.Now().Add(stopGrace)))
	response, err := http.ReadResponse(caller.reader, nil)
	l.is.NoErr(err)
	l.is.Equal(response.StatusCode, http.StatusOK)
	l.is.NoErr(response.Body.Close())
}

func TestStopCutsNothingOnHTTP2(t *testing.T) {
	t.Parallel()
	l := newStopLab(t, stopOptions{isTLS: true})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: l.tls, ForceAttemptHTTP2: true}}
	t.Cleanup(client.CloseIdleConnections)
	order := func(work time.Duration) (response *http.Response, id string) {
		id = fmt.Sprint("stop-", stopIDs.Add(1))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+l.vm.settings.Callers.String()+"/orders/1", strings.NewReader("order"))
		l.is.NoErr(err)
		for name, value := range map[string]string{ferry.HeaderKey: key("one"), testIDHeader: id, workHeader: fmt.Sprint(work.Milliseconds())} {
			request.Header.Set(name, value)
		}
		if response, err = client.Do(request); err != nil {
			t.Logf("no response %v after the signal: %v", time.Since(l.stoppedAt), err)
			return nil, id
		}
		_, err = io.Copy(io.Discard, response.Body)
		l.is.NoErr(err)
		return response, id
	}
	statuses := make(chan int, 3)
	works := []time.Duration{2500 * time.Millisecond, longWork}
	first, _ := order(0)
	l.is.Equal(first.ProtoMajor, 2)
	var group sync.WaitGroup
	for _, work := range works {
		group.Go(func() {
			if response, _ := order(work); response != nil {
				statuses <- response.StatusCode
				return
			}
			statuses <- 0
		})
	}
	time.Sleep(settleTime)
	l.stop()
	l.waitUntil(stopGrace * 11 / 20)
	// The VM has told the client to use another connection, and takes no new one.
	late, id := order(longWork)
	l.is.True(late == nil || late.StatusCode == http.StatusServiceUnavailable)
	l.is.Equal(l.target.runsOf(id), 0)
	group.Wait()
	l.is.Equal(<-statuses, http.StatusOK)
	l.is.Equal(<-statuses, http.StatusGatewayTimeout)
	l.checkStopped()
}

// Connections without a request, also of HTTP/2, don't hold the stop up until its end.
func TestIdleConnectionsDoNotDelayStop(t *testing.T) {
	eachTransport(t, func(t *testing.T, options stopOptions) {
		l := newStopLab(t, options)
		kept := l.connect()
		kept.sendOrder(0)
		l.is.True(kept.read() != nil)
		if options.isTLS {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: l.tls, ForceAttemptHTTP2: true}}
			t.Cleanup(client.CloseIdleConnections)
			response, err := client.Get("https://" + l.vm.settings.Callers.String() + entryPath)
			l.is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			l.is.NoErr(err)
			l.is.Equal(response.ProtoMajor, 2)
		}
		l.stop()
		l.is.NoErr(<-l.vm.done)
		l.is.True(time.Since(l.stoppedAt) < stopGrace*9/10)
	})
}

func TestSecondSignalAnswersRequests(t *testing.T) {
	t.Parallel()
	l := newStopLab(t, stopOptions{slots: 1})
	atTarget, waiting := l.connect(), l.connect()
	sent := atTarget.sendOrder(longWork)
	time.Sleep(settleTime)
	l.stop()
	queued := waiting.sendOrder(longWork)
	time.Sleep(settleTime)
	l.vm.host.Hurry()
	waiting.checkRefused(waiting.read(), queued)
	response := atTarget.read()
	l.is.True(response != nil)
	l.is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	l.is.Equal(response.Header.Get(ferry.HeaderOutcome), "Unknown")
	l.is.Equal(l.target.runsOf(sent), 1)
	l.is.NoErr(<-l.vm.done)
	l.is.True(time.Since(l.stoppedAt) < settleTime+2*hurryTime)
}

// lockedLog is a log that may be read while it is written.
type lockedLog struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// count returns the number of lines that hold all the given texts.
func (l *lockedLog) count(texts ...string) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.buffer.String()) {
		isFound := true
		for _, text := range texts {
			isFound = isFound && strings.Contains(line, text)
		}
		if isFound {
			count++
		}
	}
	return count
}

// Every decision about a request of a stopping VM has a line with its id, and a counter.
func TestDecisionsOfStopAreLogged(t *testing.T) {
	t.Parallel()
	log := &lockedLog{}
	l := newStopLab(t, stopOptions{log: slog.NewTextHandler(log, nil)})
	atTarget, streamed, late := l.connect(), l.connect(), l.connect()
	atTarget.sendOrder(longWork)
	streamed.sendOrder(longWork, streamHeader+": 1")
	head, _ := orderHead(longWork)
	late.send(head[:20])
	time.Sleep(settleTime)
	l.stop()
	taken := l.connect()
	taken.sendOrder(10 * time.Millisecond)
	response := taken.read()
	l.is.True(response != nil)
	l.is.Equal(response.StatusCode, http.StatusOK)
	l.waitUntil(stopGrace * 5 / 8)
	late.send(head[20:] + "order")
	refused := late.read()
	l.is.True(refused != nil)
	answered := atTarget.read()
	l.is.True(answered != nil)
	l.checkStopped()
	for _, want := range []struct {
		id    string
		texts []string
	}{
		{texts: []string{"decision=Arrived", "stage=Waiting", "kept=false"}},
		{texts: []string{"decision=Sent", "stage=Sent", "target=t0"}},
		{id: refused.Header.Get(ferry.HeaderRequest), texts: []string{"decision=Arrived"}},
		{id: refused.Header.Get(ferry.HeaderRequest), texts: []string{"decision=Refused", "stage=Waiting", "longest="}},
		{id: answered.Header.Get(ferry.HeaderRequest), texts: []string{"decision=Ended", "stage=Sent", "target=t0"}},
		{texts: []string{"decision=Cut", "stage=Answered", "target=t0"}},
	} {
		count := log.count(append(want.texts, "request while stopping", "request="+want.id, "graceLeft=")...)
		l.is.True(count >= 1)
		if count < 1 || want.id != "" && count != 1 {
			t.Errorf("%v: %d lines", want, count)
		}
	}
	l.is.Equal(log.count("msg=refused", "reason=Stopping", "outcome=NotRun"), 1)
	l.is.Equal(log.count("msg=refused", "reason=Stopping", "outcome=Unknown"), 1)
	var text bytes.Buffer
	l.vm.host.metrics.WritePrometheus(&text)
	for decision, count := range map[string]int{"Arrived": 2, "Sent": 1, "Refused": 1, "Ended": 1, "Cut": 1} {
		l.is.True(strings.Contains(text.String(), fmt.Sprintf("ferry_stop_decisions_total{decision=%q} %d\n", decision, count)))
	}
}
