package crowd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonferry.org/ferry/spawn"
)

const (
	// memoryMegabytes and maxDescriptors are the limits of the VM under test.
	memoryMegabytes = 96
	maxDescriptors  = 1000
	// reservedDescriptors is the part of maxDescriptors that sockets may not use.
	reservedDescriptors = 200
	// maxBodyBytes and maxHeaderBytes are limits of the deployment.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// sendLimit ends the sending of a caller that the VM no longer reads from, and
	// answerLimit the wait for the ordinary answer; both are only for what hangs.
	sendLimit   = 15 * time.Second
	answerLimit = 60 * time.Second
	callLimit   = 20 * time.Second
	// The ports of the VM.
	callerPort, readyPort, controlPort, directoryPort = spawn.CallerPort, spawn.ReadyPort, spawn.ControlPort, spawn.DirectoryPort
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	if isRace {
		// The memory of a race detector would count as the process's.
		os.Exit(0)
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	built, remove, err := spawn.Build()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	program = built
	return m.Run()
}

// lab is one VM with a store and targets.
type lab struct {
	t       testing.TB
	host    string
	logPath string
	process *spawn.Process
	exited  chan struct{}
	// seeds are the hosts of other VMs.
	seeds []string
	// release ends the requests that targets hold.
	release         chan struct{}
	peakDescriptors atomic.Int64

	mu          sync.Mutex
	connections []net.Conn
}

var nextHost, requestIDs atomic.Int64

func startLab(t testing.TB) *lab {
	t.Helper()
	l := newLab(t)
	l.start(startStore(t, l.items()))
	return l
}

// newLab returns a lab whose VM isn't started.
func newLab(t testing.TB) *lab {
	return &lab{t: t, host: fmt.Sprintf("127.32.7.%d", nextHost.Add(1)), release: make(chan struct{})}
}

// items starts the targets and returns what the store holds.
func (l *lab) items() map[string]any {
	items := map[string]any{"op/config": configuration()}
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		items["servers/"+id] = l.startTarget(id)
	}
	return items
}

// start starts the VM and waits until it serves.
func (l *lab) start(store string) {
	l.t.Helper()
	l.startProcess(store)
	l.t.Cleanup(l.stop)
	l.await("readiness", func() error { return l.get(readyPort, "/-/ready") })
	l.await("the first ordinary request", l.ordinary)
}

func (l *lab) stop() {
	close(l.release)
	l.mu.Lock()
	for _, connection := range l.connections {
		_ = connection.Close()
	}
	l.mu.Unlock()
	_ = l.process.Process.Kill()
	<-l.exited
}

func (l *lab) address(port int) string { return fmt.Sprintf("%s:%d", l.host, port) }

func (l *lab) startProcess(store string) {
	l.t.Helper()
	vm := spawn.VM{
		Program: program, ID: "vm-1", Place: "place-1", Places: map[string]string{"place-1": "region-1"},
		Host: l.host, Seeds: append([]string{l.host}, l.seeds...), Store: store,
		MemoryMegabytes: memoryMegabytes, MaxDescriptors: maxDescriptors, ProcessorShare: 0.32, First: true,
		Bounds:    map[string]any{"configApplyMs": 2000, "revokeMs": 5000, "graceS": 6, "ttl_max_s": 5},
		Directory: l.t.TempDir(),
	}
	err := vm.WriteSettings()
	if err != nil {
		l.t.Fatal(err)
	}
	if l.process, err = vm.Start(); err != nil {
		l.t.Fatal(err)
	}
	l.logPath, l.exited = vm.LogPath(), l.process.Exited
	go l.watchDescriptors()
}

func (l *lab) watchDescriptors() {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", l.process.Process.Pid)); err == nil {
			l.peakDescriptors.Store(max(l.peakDescriptors.Load(), int64(len(entries))))
		}
		select {
		case <-l.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// await repeats a call until it succeeds.
func (l *lab) await(name string, call func() error) {
	l.t.Helper()
	err := call()
	for deadline := time.Now().Add(answerLimit); err != nil && time.Now().Before(deadline); err = call() {
		select {
		case <-l.exited:
			l.t.Fatalf("%s: the process ended: %s", name, l.logTail())
		case <-time.After(50 * time.Millisecond):
		}
	}
	if err != nil {
		l.t.Errorf("%s: no answer: %v", name, err)
	}
}

// logTail returns the end of the VM's log.
func (l *lab) logTail() string {
	text, err := os.ReadFile(l.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

func (l *lab) get(port int, path string) error {
	return expectOK(http.NewRequest(http.MethodGet, "http://"+l.address(port)+path, http.NoBody))
}

// ordinary sends one ordinary request, as a caller of an account of its own.
func (l *lab) ordinary() error { return l.send(strings.NewReader("order")) }

func (l *lab) send(body io.Reader) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+l.address(callerPort)+"/orders/1", body)
	if err != nil {
		return err
	}
	request.Host = "shop.example"
	request.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", requestIDs.Add(1)))
	request.Header.Set("Deadline-Ms", "20000")
	request.Header.Set("Authorization", "Bearer key-ordinary")
	return expectOK(request, nil)
}

func expectOK(request *http.Request, err error) error {
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}

// crowd opens connections to a port and runs one caller on each. It returns when every
// caller has sent what it sends; the connections stay open.
func (l *lab) crowd(count, port int, caller func(i int, connection net.Conn)) {
	var group sync.WaitGroup
	for i := range count {
		dialer := net.Dialer{Timeout: sendLimit}
		connection, err := dialer.DialContext(context.Background(), "tcp4", l.address(port))
		if err != nil {
			// A VM may refuse the connections of a crowd.
			continue
		}
		l.mu.Lock()
		l.connections = append(l.connections, connection)
		l.mu.Unlock()
		if err = connection.SetWriteDeadline(time.Now().Add(sendLimit)); err != nil {
			l.t.Fatal(err)
		}
		group.Go(func() { caller(i, connection) })
	}
	group.Wait()
}

// check checks what must hold while the crowd's connections are open.
func (l *lab) check() {
	l.t.Helper()
	l.await("an ordinary request", l.ordinary)
	l.await("readiness", func() error { return l.get(readyPort, "/-/ready") })
	l.await("directory", func() error {
		return l.get(directoryPort, "/-/resolve?name=shop.example&region=region-1&zone=place-1")
	})
	select {
	case <-l.exited:
		l.t.Fatalf("the process ended: %s", l.logTail())
	default:
	}
	peak, descriptors := l.peakMemory(), l.peakDescriptors.Load()
	l.t.Logf("peak resident memory %d MB of %d, descriptors %d of %d", peak>>20, memoryMegabytes, descriptors, maxDescriptors-reservedDescriptors)
	if peak > memoryMegabytes<<20 {
		l.t.Errorf("peak resident memory %d MB, the VM has %d MB", peak>>20, memoryMegabytes)
	}
	if descriptors > maxDescriptors-reservedDescriptors {
		l.t.Errorf("%d descriptors, sockets may use %d", descriptors, maxDescriptors-reservedDescriptors)
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (l *lab) peakMemory() int64 {
	l.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.process.Process.Pid))
	if err != nil {
		l.t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, parseErr := strconv.ParseInt(fields[1], 10, 64)
			if parseErr != nil {
				l.t.Fatal(parseErr)
			}
			return kilobytes << 10
		}
	}
	l.t.Fatal("no VmHWM")
	return 0
}

func configuration() any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 60000, "targetLatencyMs": 800,
			"priority": 1, "service": service, "maxAttempts": 2, "public": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false}
	}
	account := func(name string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{"key-" + name}, "priority": 1, "ratePerS": 100000, "burst": 100000}
	}
	return map[string]any{
		"version": "r2", "baseVersion": "r1",
		"routes": []any{
			route("r-1", "/orders/", "unsafe", "orders"), route("r-2", "/down/", "safe", "orders"), route("r-3", "/up/", "upload", "orders"),
			route("r-4", "/faulty/", "unsafe", "faulty"), route("r-5", "/faulty-safe/", "safe", "faulty"),
		},
		"services": []any{service("orders"), service("faulty")},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 10000, "idleTimeoutMs": 30000},
		"tenants":  []any{account("ordinary"), account("crowd")},
	}
}

// startTarget starts a target of the service and returns its record.
func (l *lab) startTarget(id string) any {
	l.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	server := &http.Server{Handler: &target{id: id, release: l.release}, ReadHeaderTimeout: answerLimit}
	go func() { _ = server.Serve(listener) }()
	l.t.Cleanup(func() { _ = server.Close() })
	return targetRecord(listener.Addr(), "orders")
}

// targetRecord returns the record of a target.
func targetRecord(address net.Addr, service string) any {
	return map[string]any{
		"address": address.String(), "born": 1700000000000,
		"info":   map[string]any{"service": service, "version": "v1", "zone": "place-1", "capacity": 1000},
		"status": map[string]any{"state": "ready", "sequence": 4, "coldRemainingMs": 0},
	}
}

// target serves requests. Below .../hold it reads the body and answers only when it is
// released, below .../stuck it doesn't even read the body, and below .../large it sends
// a large body.
type target struct {
	id      string
	release chan struct{}
}

// largeResponse is the size of a large response in bytes.
const largeResponse = 4 << 20

// ServeHTTP implements http.Handler.
func (s *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isHeld, isStuck := strings.HasSuffix(r.URL.Path, "/hold"), strings.HasSuffix(r.URL.Path, "/stuck")
	if !isStuck {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if isHeld || isStuck {
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed."+s.id)
	w.Header().Set("Backend-Load", "1,0,1000")
	if strings.HasSuffix(r.URL.Path, "/large") {
		w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
		_, _ = w.Write(make([]byte, largeResponse))
		return
	}
	_, _ = io.WriteString(w, "done")
}

// startStore starts a store whose records don't change, and returns its address.
func startStore(t testing.TB, items map[string]any) string {
	t.Helper()
	return serve(t, storeHandler(items))
}

// storeHandler returns the handler of a store whose records don't change.
func storeHandler(items map[string]any) http.Handler {
	const revision = 7
	documents := map[string]map[string]any{}
	for key, item := range items {
		value, err := json.Marshal(item)
		if err != nil {
			panic(err)
		}
		documents[key] = map[string]any{"key": key, "value": value, "revision": revision, "created": revision, "lease": 0, "asOf": revision}
	}
	respond := func(w http.ResponseWriter, document any) {
		encoded, err := json.Marshal(document)
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(encoded)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", func(w http.ResponseWriter, r *http.Request) {
		if document, ok := documents[r.URL.Query().Get("key")]; ok {
			respond(w, document)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	mux.HandleFunc("GET /-/kv-range", func(w http.ResponseWriter, r *http.Request) {
		found := []any{}
		for key, document := range documents {
			if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
				found = append(found, document)
			}
		}
		respond(w, map[string]any{"items": found, "truncated": false, "asOf": revision})
	})
	mux.HandleFunc("GET /-/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
			respond(w, map[string]any{"events": []any{}, "asOf": revision})
		case <-r.Context().Done():
		}
	})
	return mux
}

// serve starts a server and returns its address.
func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: answerLimit}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// head returns the head of a request of the crowd.
func head(method, path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 60000\r\nAuthorization: Bearer key-crowd\r\n%s\r\n",
		method, path, requestIDs.Add(1), fields)
}

// readSlowly reads a byte now and then until the connection ends.
func readSlowly(connection net.Conn) {
	reader := bufio.NewReaderSize(connection, 16)
	for {
		if _, err := reader.ReadByte(); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}
