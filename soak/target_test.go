//go:build !race

package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/spawn"
)

// Headers by which a caller tells a target what to do.
const (
	// workHeader is the time that the request takes, in milliseconds.
	workHeader = "Work-Ms"
	// answerHeader is the size of the response in bytes.
	answerHeader = "Answer-Bytes"
)

// spell is a state of a target.
type spell int32

const (
	spellNone spell = iota
	spellSlow
	spellHang
	spellShed
	spellFail
	spellReset
	spellTruncate
	spellCount
)

const (
	// slowFactor is the factor of the work of a slow target.
	slowFactor = 8
	// spellShare is the part of requests that a spell affects: one of so many is not.
	spellShare = 4
	// invalidPause is how long a target keeps a connection open after an invalid head.
	invalidPause = 500 * time.Millisecond
	// targetSlots is the number of requests that a target runs at a time.
	targetSlots = 24
)

// target is a target of a service.
type target struct {
	id, service, address string
	journal              *journal
	server               *http.Server
	spell                atomic.Int32
	requests, running    atomic.Int64
	// answers counts the requests that were worked on.
	answers atomic.Int64
	// isLeaving reports that it drains, isGone that it breaks off what is left.
	isLeaving, isGone atomic.Bool
	sequence          atomic.Int64
}

var targetIDs atomic.Int64

func startTarget(t testing.TB, j *journal, service string) *target {
	t.Helper()
	s := &target{id: fmt.Sprintf("i-%d", targetIDs.Add(1)), service: service, journal: j}
	var err error
	if s.server, s.address, err = spawn.Listen(s); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

func (s *target) close() {
	s.isGone.Store(true)
	_ = s.server.Close()
}

// entry returns what the target says of itself.
func (s *target) entry() string {
	state := "ready"
	if s.isLeaving.Load() {
		state = "draining"
	}
	text, err := json.Marshal(map[string]any{
		"address": s.address, "born": 1700000000000,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": "place-1", "capacity": targetSlots},
		"status": map[string]any{"state": state, "sequence": s.sequence.Add(1), "coldRemainingMs": 0},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// signature returns what proves that a response belongs to a request and is whole.
func signature(id string, status int, body string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %s", id, status, body))
	return hex.EncodeToString(sum[:])
}

// ServeHTTP implements http.Handler.
func (s *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), targetSlots))
	if s.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		if s.isLeaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer s.running.Add(-1)
	state := spell(s.spell.Load())
	if s.requests.Add(1)%spellShare == 0 {
		state = spellNone
	}
	if s.running.Add(1) > targetSlots || state == spellShed {
		s.journal.note(id, "%s sheds it", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.journal.note(id, "%s got %d bytes of the body: %v", s.id, len(body), err)
		panic(http.ErrAbortHandler)
	}
	begun, a := s.journal.begin(id, s.id, state != spellNone)
	if a == nil {
		s.journal.fail(id, "UNASKED: %s runs a request that no caller sent: %s %s", s.id, r.Method, r.RequestURI)
		return
	}
	if r.Method != a.method || r.RequestURI != a.path || string(body) != a.body {
		s.journal.fail(id, "UNASKED: %s runs %s %s with %d bytes", s.id, r.Method, r.RequestURI, len(body))
	}
	if r.Header.Get("Tenant-Id") != accountName || strings.Contains(fmt.Sprint(r.Header), a.key) {
		s.journal.fail(id, "UNASKED: %s got the account %q, header %v", s.id, r.Header.Get("Tenant-Id"), r.Header)
	}
	s.work(w, r, begun, state)
}

// work runs a request and answers it.
func (s *target) work(w http.ResponseWriter, r *http.Request, begun *run, state spell) {
	id := r.Header.Get("Request-Id")
	number := func(header string) int {
		value, err := strconv.Atoi(r.Header.Get(header))
		if err != nil {
			s.journal.fail(id, "UNASKED: %s got %s %q", s.id, header, r.Header.Get(header))
		}
		return value
	}
	takes, limit := time.Duration(number(workHeader))*time.Millisecond, time.Duration(number("Deadline-Ms"))*time.Millisecond
	s.journal.limitRun(begun, limit)
	s.journal.note(id, "%s needs %v, may work for %v, spell %d", s.id, takes, limit, state)
	if state == spellSlow {
		takes *= slowFactor
	}
	done, expired := time.After(takes), time.After(limit)
	if state == spellHang {
		done, expired = nil, nil
	}
	status := http.StatusOK
	select {
	case <-done:
	case <-expired:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		s.journal.end(id, begun, 0, s.isGone.Load(), fmt.Sprintf("saw its connection end, gone %v", s.isGone.Load()))
		return
	}
	if state == spellFail {
		status = http.StatusInternalServerError
	}
	if state == spellReset {
		s.journal.end(id, begun, 0, true, "resets its connection")
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	size := number(answerHeader)
	body := strings.Repeat(id+" ", size/(len(id)+1)+1)[:size]
	w.Header().Set("Response-Signature", signature(id, status, body))
	if size%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	if answers := s.answers.Add(1); state == spellTruncate && answers%2 == 0 {
		s.journal.end(id, begun, 0, true, "answers with an invalid head")
		s.answerInvalidly(w, id, int(answers/2))
		return
	}
	if state == spellTruncate && status == http.StatusOK && size > 1 {
		s.journal.end(id, begun, 0, true, "truncates its response")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body[:size/2])
		panic(http.ErrAbortHandler)
	}
	s.journal.end(id, begun, status, false, fmt.Sprintf("answers %d", status))
	w.WriteHeader(status)
	if _, err := io.WriteString(w, body); err != nil {
		s.journal.note(id, "%s could not write its response: %v", s.id, err)
	}
}

// answerInvalidly answers with an invalid head, the next of the table. Its signature proves no
// response, so that none that a caller gets is taken for a whole one.
func (s *target) answerInvalidly(w http.ResponseWriter, id string, number int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.journal.note(id, "%s could not write its response: %v", s.id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	heads := fake.InvalidHeads()
	head := heads[number%len(heads)]
	s.journal.note(id, "%s: %s", s.id, head.Name)
	_, _ = conn.Write(head.Encode("Request-Id: "+id, "Response-Signature: none"))
	// The other end closes the connection, or gets no end of the response for a while.
	_ = conn.SetReadDeadline(time.Now().Add(invalidPause))
	_, _ = io.Copy(io.Discard, conn)
}

// pool is the targets of the fleet.
type pool struct {
	mu      sync.Mutex
	targets []*target
	drains  map[string]time.Time
}

// setDraining notes that the store knows since a time that a target drains.
func (p *pool) setDraining(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drains == nil {
		p.drains = map[string]time.Time{}
	}
	p.drains[id] = at
}

func (p *pool) drainsAt(id string) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok = p.drains[id]
	return at, ok
}

func (p *pool) list() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*target(nil), p.targets...)
}

// awaitIdle waits until no target works, once no VM runs any more.
func (p *pool) awaitIdle() {
	for _, s := range p.list() {
		for s.running.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (p *pool) replace(i int, by *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[i] = by
}
