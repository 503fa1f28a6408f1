package relay

import (
	"bufio"
	"bytes"
	"context"
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

	"github.com/VictoriaMetrics/metrics"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/flight"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/retry"
)

// Headers of testDialect.
const (
	testID        = "X-Id"
	testNotRun    = "X-Not-Run"
	testSigned    = "X-Signed"
	testTarget    = "X-Target"
	testDeadline  = "X-Deadline"
	testAccount   = "X-Account"
	testKeyHeader = "X-Key"
	testLeaving   = "X-Leaving"
	testBackoff   = "X-Backoff"
	testLoad      = "X-Load"
)

// testDialect implements ferry.Dialect.
type testDialect struct{}

func (testDialect) ReadRequest(header http.Header) ferry.RequestMetadata {
	metadata := ferry.RequestMetadata{ID: header.Get(testID), Key: header.Get(testKeyHeader)}
	if milliseconds, err := strconv.Atoi(header.Get(testDeadline)); err == nil {
		metadata.Deadline = time.Duration(milliseconds) * time.Millisecond
	}
	return metadata
}

func (testDialect) WriteRequest(header http.Header, metadata ferry.ForwardMetadata) {
	header.Del(testKeyHeader)
	header.Del(testAccount)
	if metadata.Account != "" {
		header.Set(testAccount, string(metadata.Account))
	}
	header.Set(testTarget, string(metadata.Target))
	header.Set(testDeadline, strconv.FormatInt(metadata.Deadline.Milliseconds(), 10))
}

func (testDialect) ReadResponse(status int, header http.Header) ferry.ResponseMetadata {
	backoff, _ := time.ParseDuration(header.Get(testBackoff))
	var load ferry.TargetLoad
	if _, err := fmt.Sscanf(header.Get(testLoad), "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots); err == nil {
		load.Known = true
	}
	return ferry.ResponseMetadata{
		Load: load, Leaving: header.Get(testLeaving) != "", Backoff: backoff,
		ID: header.Get(testID), NotRun: header.Get(testNotRun) != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Signed: header.Get(testSigned) != "",
	}
}

func (testDialect) WriteRefusal(header http.Header, id string, refusal *ferry.RefusalError) {
	header.Set(testID, id)
	header.Set("X-Outcome", refusal.Outcome.String())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
}

// script answers one request. Its body has been read.
type script func(conn net.Conn, request *http.Request, body []byte)

// testTargetServer is a target that answers each request by a script.
type testTargetServer struct {
	listener net.Listener
	target   ferry.Target
	script   script
	requests atomic.Int32
	dials    atomic.Int32
	// greet is called on a new connection before a request is read, unless it is nil.
	greet   atomic.Pointer[func(net.Conn)]
	mu      sync.Mutex
	headers []http.Header
	bodies  [][]byte
}

// startTarget starts a target in the VM's place.
func startTarget(t testing.TB, id ferry.TargetID, script script) *testTargetServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testTargetServer{listener: listener, script: script}
	s.target = ferry.Target{
		ID: id, Service: "service", Place: "here", Slots: 4, Incarnation: 1,
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

// header returns the header of the first request.
func (s *testTargetServer) header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[0].Clone()
}

func (s *testTargetServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dials.Add(1)
		go s.serve(conn)
	}
}

func (s *testTargetServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if greet := s.greet.Load(); greet != nil {
		(*greet)(conn)
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.headers = append(s.headers, request.Header.Clone())
		s.bodies = append(s.bodies, body)
		s.mu.Unlock()
		s.script(conn, request, body)
	}
}

// respond sends a response. lines are additional header lines.
func respond(conn net.Conn, status int, id, body string, lines ...string) {
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + testID + ": " + id + "\r\n")
	if status < 300 {
		response.WriteString(testSigned + ": yes\r\n")
	}
	for _, line := range lines {
		response.WriteString(line + "\r\n")
	}
	response.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_, _ = conn.Write(response.Bytes())
}

// respondOK answers with a signed success that repeats the request's body.
func respondOK(conn net.Conn, request *http.Request, body []byte) {
	respond(conn, http.StatusOK, request.Header.Get(testID), "did "+string(body))
}

// sequence answers each request by the next script, and the rest by the last.
func sequence(scripts ...script) script {
	var next atomic.Int32
	return func(conn net.Conn, request *http.Request, body []byte) {
		scripts[min(len(scripts)-1, int(next.Add(1))-1)](conn, request, body)
	}
}

// testGuard implements Guard and Freshness. Both refuse while isClosed is set.
type testGuard struct{ isClosed atomic.Bool }

func (g *testGuard) MayRun(*ferry.Exchange) bool   { return !g.isClosed.Load() }
func (g *testGuard) IsCurrent(ferry.Snapshot) bool { return !g.isClosed.Load() }

type testReporter struct{}

func (testReporter) Report(ferry.TargetID, float64) {}

type testSnapshots struct{ view *conf.Snapshot }

func (s testSnapshots) Snapshot() ferry.Snapshot                 { return s.view }
func (s testSnapshots) WaitFirst(context.Context) ferry.Snapshot { return s.view }

// harness is the request path of a VM with scripted targets.
type harness struct {
	httpServer *httptest.Server
	server     *Server
	budgets    *retry.FleetBudgets
	chooser    *place.Chooser
	guard      *testGuard
	targets    []*testTargetServer
	limiter    atomic.Pointer[slowLimiter]
	metrics    *metrics.Set
	forwarder  *Forwarder
	pool       *Pool
	grace      drain.Grace
	// bytes is the budget of bodies in flight; nil has no limit.
	bytes atomic.Pointer[flight.Ledger]
}

// Filter implements ferry.Filter as a BodyFilter with the present budget.
func (h *harness) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	return BodyFilter{Bytes: h.bytes.Load()}.Filter(ctx, exchange, next)
}

// eventually waits until a condition is met.
func (h *harness) eventually(t *testing.T, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met")
		}
	}
}

// Admit implements ferry.Limiter. Without a limiter it admits every request.
func (h *harness) Admit(ctx context.Context, account *ferry.Account) (ferry.Permit, error) {
	if limiter := h.limiter.Load(); limiter != nil {
		return limiter.Admit(ctx, account)
	}
	return nil, nil
}

func newHarness(t testing.TB, targets ...*testTargetServer) *harness {
	t.Helper()
	return newLoggedHarness(t, slog.DiscardHandler, targets...)
}

func newLoggedHarness(t testing.TB, handler slog.Handler, targets ...*testTargetServer) *harness {
	t.Helper()
	h := &harness{targets: targets, budgets: &retry.FleetBudgets{}, guard: &testGuard{}, pool: &Pool{}}
	h.budgets.SetBounds(retry.FleetBounds{Ratio: 1, Slack: 100, VMs: 1, Age: time.Minute})
	h.chooser = place.NewChooser("here", ferry.Regions{"here": "region", "near": "region", "far": "other"})
	list := make([]ferry.Target, 0, len(targets))
	for _, target := range targets {
		list = append(list, target.target)
	}
	h.chooser.Update(0, list)
	key := ferry.HashKey("secret")
	inventory := &ferry.Inventory{
		Version: 7,
		Routes: []ferry.Route{
			{ID: "safe", PathPrefix: "/safe/", Service: "service", Kind: ferry.KindSafe, Deadline: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Open: true},
			{ID: "unsafe", PathPrefix: "/unsafe/", Service: "service", Kind: ferry.KindUnsafe, Deadline: 600 * time.Millisecond, Objective: 200 * time.Millisecond, Attempts: 2, Open: true},
			{ID: "upload", PathPrefix: "/upload/", Service: "service", Kind: ferry.KindUpload, Deadline: 5 * time.Second, Attempts: 2, Open: true, BodyLimit: 8 << 20},
			{ID: "homed", PathPrefix: "/homed/", Service: "service", Kind: ferry.KindSafe, Deadline: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 3, Open: true, Regions: []ferry.RegionID{"region"}},
			{ID: "keyed", PathPrefix: "/keyed/", Service: "service", Kind: ferry.KindUnsafe, Deadline: time.Second, Attempts: 2},
		},
		Accounts: []ferry.Account{
			{ID: "account", Rate: 1000, Burst: 1000, Keys: []ferry.KeyHash{key}},
			{ID: "homed", Rate: 1000, Burst: 1000, Keys: []ferry.KeyHash{ferry.HashKey("homed")}, Regions: []ferry.RegionID{"other"}},
		},
	}
	log := slog.New(handler)
	clock := ferry.NewSystemClock()
	h.metrics = metrics.NewSet()
	counters := NewMetrics(h.metrics)
	forwarder := NewForwarder(clock, testDialect{}, h.chooser, h.budgets, h.pool, h.guard, testReporter{}, log, counters)
	h.forwarder = forwarder
	forwarder.SetGrace(&h.grace)
	chain := ferry.Chain(forwarder, RouteFilter{Freshness: h.guard}, AccountFilter{Freshness: h.guard}, StopFilter{Forwarder: forwarder}, h, AllowanceFilter{Limiter: h})
	h.server = NewServer(chain, testSnapshots{view: conf.NewSnapshot(inventory)}, testDialect{}, clock, log, counters)
	h.server.SetGrace(&h.grace)
	// As on a VM, the listener keeps a response from being lost when its connection closes.
	h.httpServer = httptest.NewUnstartedServer(h.server)
	listener := drain.NewListener(h.httpServer.Listener.(*net.TCPListener))
	h.httpServer.Listener, h.httpServer.Config.ConnState = listener, listener.SetState
	h.httpServer.Config.ConnContext = listener.Context
	h.httpServer.Start()
	t.Cleanup(h.httpServer.Close)
	return h
}

// callResult is the response or the error that a caller got.
type callResult struct {
	status  int
	header  http.Header
	body    string
	err     error
	took    time.Duration
	bodyErr error
}

// call sends one request on a new connection.
func (h *harness) call(ctx context.Context, method, path, body string, header ...string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, h.httpServer.URL+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set(testID, "id-"+path)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err, took: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), bodyErr: err, took: time.Since(started)}
}

// received returns the number of requests that reached the targets.
func (h *harness) received() int {
	sum := 0
	for _, target := range h.targets {
		sum += int(target.requests.Load())
	}
	return sum
}

func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	return address
}
