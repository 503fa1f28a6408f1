//go:build !race

package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry/spawn"
)

const (
	// quickWork is the longest work of an ordinary request.
	quickWork = 60 * time.Millisecond
	// minBudget and maxBudget bound the time that callers have.
	minBudget = time.Second
	maxBudget = 12 * time.Second
	// dialTimeout bounds a new connection, and resolveTimeout a question for addresses.
	dialTimeout    = time.Second
	resolveTimeout = time.Second
	// maxResolves is the number of VMs that a caller asks for addresses.
	maxResolves = 3
	// furtherTries is the number of times that a caller tries a request again.
	furtherTries = 2
	// maxPipelined is the number of requests that a caller sends at once.
	maxPipelined = 4
	// maxHeaderPause is the longest pause within a header, and maxBodyPause within a body.
	maxHeaderPause = 2500 * time.Millisecond
	maxBodyPause   = 3 * time.Second
	// slowRead and slowPause are the pace of a caller that reads slowly.
	slowRead  = 2 << 10
	slowPause = 20 * time.Millisecond
)

// caller sends requests, one session after the other.
type caller struct {
	lab    *lab
	random *rand.Rand
	// keepsLonger reports that it keeps an answer of the directory three times as long.
	keepsLonger bool
	// isStubborn reports that it uses a connection until it ends, whatever responses say.
	isStubborn bool
	readsSlow  bool

	addresses []string
	expiresAt time.Time
}

func (c *caller) chance(percent int) bool { return c.random.IntN(100) < percent }

func (c *caller) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)+1))
}

func (c *caller) run() {
	for !c.lab.isOver() {
		c.session()
	}
}

// resolve returns the addresses of VMs.
func (c *caller) resolve() []string {
	if time.Now().Before(c.expiresAt) && len(c.addresses) > 0 {
		return c.addresses
	}
	client := &http.Client{Timeout: resolveTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {hostName}, "region": {"region-1"}, "zone": {"place-1"}}.Encode()
	for _, i := range c.random.Perm(len(c.lab.vms))[:maxResolves] {
		response, err := client.Get("http://" + c.lab.vms[i].Address(spawn.DirectoryPort) + "/-/resolve?" + query)
		if err != nil {
			continue
		}
		var document struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&document)
		_ = response.Body.Close()
		if err != nil || len(document.Addresses) == 0 {
			continue
		}
		lifetime := time.Duration(document.TTLS * float64(time.Second))
		if c.keepsLonger {
			lifetime *= 3
		}
		c.addresses, c.expiresAt = document.Addresses, time.Now().Add(lifetime)
		return c.addresses
	}
	return c.addresses
}

// connection is a connection of a caller.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	process *process
	// isClosing reports that a response has closed the connection.
	isClosing atomic.Bool
}

// slowReader reads little at a time.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return r.Conn.Read(p[:min(len(p), slowRead)])
}

// dial connects to one of the VMs, or returns nil.
func (c *caller) dial() *connection {
	addresses := append([]string(nil), c.resolve()...)
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		vm := c.lab.vmAt(address)
		before := vm.current()
		conn, err := net.DialTimeout("tcp4", address, dialTimeout)
		if err != nil {
			c.lab.countDialFailure(before)
			continue
		}
		if vm.current() != before || before == nil {
			// It isn't known which process has the connection.
			_ = conn.Close()
			continue
		}
		dialed := &connection{Conn: conn, process: before}
		dialed.reader = bufio.NewReader(conn)
		if c.readsSlow {
			dialed.reader = bufio.NewReaderSize(slowReader{conn}, slowRead)
		}
		return dialed
	}
	// The next connection begins with a new question.
	c.expiresAt = time.Time{}
	return nil
}

// operation is a request as its sender sees it: an attempt, and further ones if it fails.
type operation struct {
	// prototype is copied for each attempt.
	prototype attempt
	// isPieced reports that the first attempt is sent in pieces.
	isPieced bool
	work     time.Duration
	answer   int
	begunAt  time.Time
	endedAt  time.Time
	tries    []*attempt
}

func (o *operation) hasSucceeded() bool {
	return len(o.tries) > 0 && o.tries[len(o.tries)-1].status == http.StatusOK && o.tries[len(o.tries)-1].isWhole
}

// newOperation draws a request. Only idempotent ones are sent several at once.
func (c *caller) newOperation(isPipelined bool) *operation {
	o := &operation{work: c.duration(time.Millisecond, quickWork), answer: 1 + c.random.IntN(2000), begunAt: time.Now()}
	o.prototype = attempt{budget: c.duration(minBudget, maxBudget), key: c.lab.key(c.random)}
	if c.chance(5) {
		o.answer = 100_000 + c.random.IntN(100_000)
	}
	o.isPieced = !isPipelined && c.chance(40)
	isLong := c.chance(40)
	// What waits for other requests, or for its caller, may take as long as its caller has.
	o.prototype.isOrdinary = !isLong && !isPipelined && !o.isPieced
	if isLong {
		o.work = c.duration(quickWork, 2*c.lab.grace)
	}
	p := &o.prototype
	switch kind := c.random.IntN(10); {
	case kind < 5 || isPipelined:
		p.isIdempotent, p.method, p.path = true, http.MethodGet, "/status/"
		if isLong {
			p.path = "/report/"
		}
	case kind < 9:
		p.method, p.path, p.body = http.MethodPost, "/orders/", strings.Repeat("order ", 1+c.random.IntN(2000))
		if isLong && c.chance(80) {
			p.path = "/work/"
		}
	default:
		p.method, p.path, p.body = http.MethodPost, "/files/", strings.Repeat("file ", 1+c.random.IntN(60_000))
	}
	if extra := c.lab.extraRoute(); extra != "" && p.method == http.MethodPost && c.chance(20) {
		p.path, p.isOrdinary = extra, false
	}
	return o
}

var requestIDs atomic.Int64

// newAttempt returns the next attempt of an operation and its bytes.
func (c *caller) newAttempt(o *operation, process *process) (a *attempt, head, body string) {
	next := o.prototype
	a = &next
	a.id = fmt.Sprintf("soak-%d-%d", c.lab.seed, requestIDs.Add(1))
	a.path += a.id + "?x=1"
	a.process, a.begunAt = process, time.Now()
	// What is stated in the header is the budget.
	a.budget = max(a.budget-a.begunAt.Sub(o.begunAt), 0).Truncate(time.Millisecond)
	var fields strings.Builder
	fmt.Fprintf(&fields, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s: %d\r\n%s: %d\r\n",
		a.method, a.path, hostName, a.id, a.budget.Milliseconds(), a.key, workHeader, o.work.Milliseconds(), answerHeader, o.answer)
	switch {
	case a.method == http.MethodGet:
	case c.chance(40):
		fields.WriteString("Transfer-Encoding: chunked\r\n")
		body = c.chunks(a.body)
	default:
		fmt.Fprintf(&fields, "Content-Length: %d\r\n", len(a.body))
		body = a.body
	}
	fields.WriteString("\r\n")
	o.tries = append(o.tries, a)
	c.lab.journal.expect(a)
	return a, fields.String(), body
}

// chunks encodes a body in chunks.
func (c *caller) chunks(body string) string {
	var encoded strings.Builder
	for len(body) > 0 {
		size := min(len(body), 1+c.random.IntN(8192))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	encoded.WriteString("0\r\n\r\n")
	return encoded.String()
}

// session sends requests on one connection.
func (c *caller) session() {
	conn := c.dial()
	if conn == nil {
		time.Sleep(c.duration(20*time.Millisecond, 200*time.Millisecond))
		c.lab.countUnreachable()
		return
	}
	isOpen := true
	for left := 1 + c.random.IntN(20); left > 0 && isOpen && !c.lab.isOver(); left-- {
		count := 1
		if c.chance(20) {
			count = 2 + c.random.IntN(maxPipelined-1)
		}
		operations := make([]*operation, count)
		for i := range operations {
			operations[i] = c.newOperation(count > 1)
		}
		isOpen = c.exchange(conn, operations)
		for _, o := range operations {
			c.tryAgain(o)
			o.endedAt = time.Now()
			c.lab.addOperation(o)
		}
		pause := c.duration(0, 150*time.Millisecond)
		if c.chance(15) {
			pause = c.duration(0, 2*time.Second)
		}
		time.Sleep(pause)
	}
	_ = conn.Close()
}

// tryAgain sends a request again while that is allowed.
func (c *caller) tryAgain(o *operation) {
	for range furtherTries {
		last := o.tries[len(o.tries)-1]
		left := o.prototype.budget - time.Since(o.begunAt)
		if !c.mayTryAgain(last) || left <= 0 || o.hasSucceeded() {
			return
		}
		time.Sleep(min(last.retryAfter, left/3))
		conn := c.dial()
		if conn == nil {
			return
		}
		c.exchange(conn, []*operation{o})
		_ = conn.Close()
	}
}

// mayTryAgain reports whether a request may be sent again after an attempt.
func (c *caller) mayTryAgain(a *attempt) bool {
	switch {
	case a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && a.isWhole, a.hasGivenUp:
		return false
	case a.isIdempotent:
		return a.status != http.StatusUnauthorized && a.status != http.StatusNotFound
	}
	return a.isRefusedAsNotRun() || a.status == 0 && !c.lab.journal.hasRun(a.id)
}

// exchange sends requests at once and reads their responses. It reports whether the
// connection may be used for more.
func (c *caller) exchange(conn *connection, operations []*operation) bool {
	attempts := make([]*attempt, len(operations))
	pieces := make([][]string, len(operations))
	for i, o := range operations {
		var head, body string
		attempts[i], head, body = c.newAttempt(o, conn.process)
		attempts[i].isBehind = i > 0 || conn.isClosing.Load()
		pieces[i] = []string{head + body}
		if o.isPieced && len(o.tries) == 1 {
			pieces[i] = c.pieces(head, body)
		}
	}
	var answered atomic.Int64
	done := make(chan bool)
	go func() { done <- c.readAll(conn, attempts, &answered) }()
	isSent := true
	for i, a := range attempts {
		isSent = isSent && c.send(conn, a, pieces[i], func() bool { return answered.Load() > int64(i) })
	}
	isOpen := <-done && isSent
	if isOpen && conn.reader.Buffered() > 0 {
		rest, _ := conn.reader.Peek(conn.reader.Buffered())
		if text := string(rest); !strings.HasPrefix(text, "HTTP/1.1 408") {
			c.lab.journal.fail(attempts[len(attempts)-1].id, "MIXED: bytes after the response: %.80q", text)
		}
	}
	return isOpen
}

// pieces cuts a header and a body.
func (c *caller) pieces(head, body string) []string {
	first := c.random.IntN(len(head))
	cut := []string{head[:first], head[first:]}
	if len(body) > 1 && c.chance(70) {
		second := c.random.IntN(len(body))
		cut = append(cut, body[:second], body[second:])
	} else {
		cut[1] += body
	}
	return cut
}

// send sends the pieces of a request. It reports whether the whole was sent.
func (c *caller) send(conn *connection, a *attempt, pieces []string, isAnswered func() bool) bool {
	for i, piece := range pieces {
		if i > 0 {
			pause := maxHeaderPause
			if i > 1 {
				pause = maxBodyPause
			}
			time.Sleep(min(c.duration(0, pause), time.Until(a.begunAt.Add(a.budget))))
			if isAnswered() && !c.isStubborn {
				return false
			}
		}
		now := time.Now()
		if _, err := io.WriteString(conn, piece); err != nil {
			c.lab.journal.note(a.id, "caller could not send: %v", err)
			return false
		}
		c.lab.journal.noteSent(a, now, i == len(pieces)-1)
	}
	return true
}

// readAll reads the responses to requests in their order. It reports whether the
// connection may be used for more.
func (c *caller) readAll(conn *connection, attempts []*attempt, answered *atomic.Int64) bool {
	isOpen := true
	for i, a := range attempts {
		err := conn.SetReadDeadline(a.begunAt.Add(a.budget))
		if err == nil {
			err = c.read(conn, a)
		}
		answered.Add(1)
		if err != nil {
			hasGivenUp := errors.Is(err, os.ErrDeadlineExceeded)
			if hasGivenUp {
				_ = conn.Close()
			}
			for _, unanswered := range attempts[i:] {
				c.lab.journal.noteEnd(unanswered, hasGivenUp, err)
			}
			return false
		}
		if a.isClosing {
			isOpen = false
			conn.isClosing.Store(true)
			if !c.isStubborn {
				for _, unanswered := range attempts[i+1:] {
					c.lab.journal.noteEnd(unanswered, false, errClosing)
				}
				return false
			}
		}
	}
	return isOpen || c.isStubborn
}

// errClosing reports that an earlier response closed the connection.
var errClosing = errors.New("an earlier response closed the connection")

// read reads one response.
func (c *caller) read(conn *connection, a *attempt) error {
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	j := c.lab.journal
	j.noteResponse(a, response, err)
	if err != nil {
		return err
	}
	id, signed := response.Header.Get("Request-Id"), response.Header.Get("Response-Signature")
	isSuccess := response.StatusCode < http.StatusMultipleChoices
	switch {
	case id != "" && id != a.id:
		j.fail(a.id, "MIXED: got the response to %s", id)
	case isSuccess && signed == "":
		j.fail(a.id, "MIXED: a success without signature")
	case signed != "" && signed != signature(a.id, response.StatusCode, string(body)):
		j.fail(a.id, "MIXED: %d with %d bytes isn't what the target answered", response.StatusCode, len(body))
	}
	return nil
}

// noteSent notes that a piece of a request was sent, and whether it was the last one.
func (j *journal) noteSent(a *attempt, at time.Time, isLast bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := "caller sent a part"
	if isLast {
		a.sentAt, a.isSent, text = at, true, "caller sent the last byte"
	}
	j.records[a.id].events = append(j.records[a.id].events, event{at: at, text: text})
}

// noteResponse notes the response that a caller got. err is that of its body.
func (j *journal) noteResponse(a *attempt, response *http.Response, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.endedAt, a.status, a.isWhole = time.Now(), response.StatusCode, err == nil
	a.isSigned, a.isClosing = response.Header.Get("Response-Signature") != "", response.Close
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text := fmt.Sprintf("caller got %d, signed %v, closing %v, error of its body %v", a.status, a.isSigned, a.isClosing, err)
	j.records[a.id].events = append(j.records[a.id].events, event{at: a.endedAt, text: text})
}

// noteEnd notes that a request has no whole response.
func (j *journal) noteEnd(a *attempt, hasGivenUp bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.endedAt, a.hasGivenUp, a.err = time.Now(), hasGivenUp, err
	j.records[a.id].events = append(j.records[a.id].events, event{at: a.endedAt, text: fmt.Sprintf("caller got no whole response, gave up %v: %v", hasGivenUp, err)})
}
