package proxy

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/auth"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/retry"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestSessions runs sessions from golden files. Each file holds the bytes that
// the caller sends, the scripts of the targets and the expected results: the
// bytes at the targets, the bytes of the response and the log.
func TestSessions(t *testing.T) {
	names, err := filepath.Glob("testdata/session/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatalf("no session files: %v", err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(name)
			is.NoErr(err)
			result := runSession(t, archive)
			if *update {
				is.NoErr(os.WriteFile(name, txtar.Format(result), 0o600))
				return
			}
			is.Equal(string(txtar.Format(result)), string(txtar.Format(archive)))
		})
	}
}

// runSession returns the archive with the results of the session.
func runSession(t *testing.T, archive *txtar.Archive) *txtar.Archive {
	t.Helper()
	scripts := map[string]string{}
	result := &txtar.Archive{Comment: archive.Comment}
	for _, file := range archive.Files {
		if strings.HasPrefix(file.Name, "want-") {
			continue
		}
		scripts[file.Name] = string(file.Data)
		result.Files = append(result.Files, file)
	}
	fixture := newFixture(t, []string{scripts["target-1"], scripts["target-2"]})
	response := fixture.roundTrip(t, wireText(scripts["caller"]))
	fixture.awaitTargets(t)
	for i, received := range fixture.received() {
		if received != "" {
			result.Files = append(result.Files, txtar.File{Name: fmt.Sprintf("want-target-%d", i+1), Data: []byte(normalize(received))})
		}
	}
	result.Files = append(result.Files,
		txtar.File{Name: "want-answer", Data: []byte(normalize(response))},
		txtar.File{Name: "want-log", Data: []byte(normalize(fixture.log.String()))})
	return result
}

// wireText converts lines of a golden file to HTTP line endings.
func wireText(text string) string {
	return strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\r\n")
}

var volatileHeaders = regexp.MustCompile(`(?m)^(Date|Ferry-Deadline-Ms): .*\n`)

// normalize removes the values that differ between two runs.
func normalize(text string) string {
	text = volatileHeaders.ReplaceAllString(strings.ReplaceAll(text, "\r\n", "\n"), "")
	text = regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(text, "ADDRESS")
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text
}

// fixture is a server with scripted targets.
type fixture struct {
	server   *httptest.Server
	targets  []*scriptedTarget
	log      *syncBuffer
	snapshot *conf.Snapshot
	// proxyServer and forwarder are those of the server.
	proxyServer *Server
	forwarder   *Forwarder
	// handling counts the requests that the server works on.
	handling sync.WaitGroup

	mu         sync.Mutex
	nextTarget int
	// whileQueued is called while a request waits for a target.
	whileQueued func()
}

// Snapshot implements Snapshots.
func (f *fixture) Snapshot() ferry.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Choose implements Queue: each attempt goes to the next target.
func (f *fixture) Choose(_ context.Context, _ *ferry.Account, choice ferry.Choice) (ferry.Pick, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.whileQueued != nil {
		f.whileQueued()
	}
	if f.nextTarget >= len(f.targets) {
		return ferry.Pick{}, newRefusal(http.StatusServiceUnavailable, ferry.ReasonNoTarget, "no target is left")
	}
	target := f.targets[f.nextTarget]
	f.nextTarget++
	return ferry.Pick{Target: &ferry.Target{
		ID: ferry.TargetID(fmt.Sprintf("target-%d", f.nextTarget)), Service: choice.Service, Place: "place-1", Address: target.address,
	}, Reason: ferry.ReasonOwnPlace}, nil
}

// Release implements Queue.
func (f *fixture) Release(ferry.Moment, ferry.Pick, ferry.Result) {}

// Observe implements ferry.Observer.
func (f *fixture) Observe(ferry.Moment, *ferry.Target, ferry.Result) {}

// Admit implements ferry.Limiter.
func (f *fixture) Admit(_ context.Context, account *ferry.Account) (ferry.Permit, error) {
	if account.ID == "empty" {
		return nil, &ferry.RefusalError{
			Status: http.StatusTooManyRequests, Reason: ferry.ReasonOverAllowance, Outcome: ferry.OutcomeNotRun,
			RetryAfter: 1500 * time.Millisecond, Detail: "the client account has used up its rate and burst",
		}
	}
	return validPermit{}, nil
}

type validPermit struct{}

func (validPermit) Spend(ferry.Moment) bool { return true }
func (validPermit) Return(ferry.Moment)     {}

type fixedClock struct{}

func (fixedClock) Now() ferry.Moment { return ferry.Moment{} }

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Stall timeouts of the test service. Only sessions with a stalled target use the
// short one, so that a busy machine does not change the results of the others.
const (
	shortStallTimeout = time.Second
	longStallTimeout  = time.Minute
)

func testInventory() *ferry.Inventory {
	get := []string{http.MethodGet, http.MethodHead}
	return &ferry.Inventory{
		Version: 1, MaxVMs: 1,
		Services: []ferry.Service{{ID: "orders", Rules: ferry.Rules{StallAfter: longStallTimeout, RetryBudget: 1}.WithDefaults()}},
		Accounts: []ferry.Account{
			{ID: "clinic", Rate: 10, Burst: 10, Keys: []ferry.KeyHash{ferry.HashKey("secret-key")}},
			{ID: "empty", Rate: 10, Burst: 10, Keys: []ferry.KeyHash{ferry.HashKey("empty-key")}},
		},
		Routes: []ferry.Route{
			{ID: "orders", PathPrefix: "/orders", Service: "orders", IdempotentMethods: get, Deadline: 20 * time.Second, BodyLimit: 64},
			{ID: "open", PathPrefix: "/prices", Service: "orders", Open: true, IdempotentMethods: get, Deadline: 20 * time.Second, BodyLimit: 64},
		},
	}
}

func newFixture(t *testing.T, scripts []string) *fixture {
	t.Helper()
	inventory := testInventory()
	f := &fixture{log: &syncBuffer{}, snapshot: conf.NewSnapshot(inventory)}
	for _, script := range scripts {
		if strings.Contains(script, scriptStall) {
			inventory.Services[0].Rules.StallAfter = shortStallTimeout
		}
		if script != "" {
			f.targets = append(f.targets, newScriptedTarget(t, script))
		}
	}
	log := slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
		if attr.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attr
	}}))
	counters := NewMetrics(metrics.NewSet())
	forwarder := NewForwarder(Config{
		Queue: f, Limiter: f, Observer: f, Snapshots: f, Budgets: &retry.Budgets{}, Clock: fixedClock{}, Log: log, Metrics: counters,
	})
	chain := ferry.Chain(forwarder, RouteFilter{}, auth.Filter{}, BodyFilter{}, LimitFilter{Limiter: f, Clock: fixedClock{}})
	var requests atomic.Int32
	newID := func() string { return fmt.Sprintf("request-%d", requests.Add(1)) }
	server := NewServer(chain, f, fixedClock{}, newID, log, counters)
	f.proxyServer, f.forwarder = server, forwarder
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		f.handling.Add(1)
		defer f.handling.Done()
		server.ServeHTTP(writer, request)
	}))
	listener := drain.NewListener(f.server.Listener.(*net.TCPListener))
	f.server.Listener, f.server.Config.ConnState, f.server.Config.ConnContext = listener, listener.SetState, listener.Context
	f.server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

// awaitTargets waits until every target that was chosen has read its request.
// A target may still read after the caller has its response.
func (f *fixture) awaitTargets(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	chosen := f.targets[:f.nextTarget]
	f.mu.Unlock()
	for _, target := range chosen {
		select {
		case <-target.served:
		case <-time.After(10 * time.Second):
			t.Fatalf("the target at %v served no connection", target.address)
		}
	}
}

// received returns the bytes that each target received.
func (f *fixture) received() []string {
	var all []string
	for _, target := range f.targets {
		all = append(all, target.received.String())
	}
	return all
}

// roundTrip sends raw bytes and returns everything that comes back.
func (f *fixture) roundTrip(t *testing.T, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err = conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err = io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		response = append(response, []byte("\n[connection reset]")...)
	}
	f.handling.Wait()
	return string(response)
}

// scriptedTarget responds to one request of each connection with given bytes.
type scriptedTarget struct {
	address  netip.AddrPort
	received *syncBuffer
	// served is closed when the target has served its first connection.
	served     chan struct{}
	servedOnce sync.Once
}

// Scripts other than the bytes of a response.
const (
	scriptReset  = "[reset]\n"
	scriptStall  = "[stall]\n"
	scriptRefuse = "[refuse]\n"
)

func newScriptedTarget(t *testing.T, script string) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &scriptedTarget{address: netip.MustParseAddrPort(listener.Addr().String()), received: &syncBuffer{}, served: make(chan struct{})}
	if script == scriptRefuse {
		close(target.served)
		_ = listener.Close()
		return target
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn, script)
		}
	}()
	return target
}

// serve reads one request and runs the script.
func (s *scriptedTarget) serve(conn net.Conn, script string) {
	defer s.servedOnce.Do(func() { close(s.served) })
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, s.received)))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	switch script {
	case scriptReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case scriptStall:
		_, _ = io.Copy(io.Discard, conn)
	default:
		head, isStalled := strings.CutSuffix(script, scriptStall)
		_, _ = io.WriteString(conn, wireText(head))
		if isStalled {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}
