package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonferry.org/ferry"
)

// Fault describes how a target fails. The zero Fault is a healthy target.
type Fault struct {
	// ErrorShare is the share of requests that fail with status 500.
	ErrorShare float64
	// ResetShare is the share of requests whose connection is reset after
	// execution.
	ResetShare float64
	// CutShare is the share of responses truncated after half of the body.
	CutShare float64
	// StallShare is the share of requests that get no response.
	StallShare float64
	// SlowFactor multiplies the service time. Values below 1 count as 1.
	SlowFactor float64
	// FlapSeconds is the interval at which the fault toggles. Zero keeps it on.
	FlapSeconds float64
	// FrozenLoad makes the target always report a load of zero.
	FrozenLoad bool
}

// Run is one execution of a request.
type Run struct {
	ID      string
	Account string
	Method  string
	// AtNanos is the start time in nanoseconds since the Unix epoch.
	AtNanos int64
}

// TargetReport lists and counts the requests that a target received.
type TargetReport struct {
	// Runs lists the executions in order of start time.
	Runs []Run
	// Keys counts the requests that contained a key.
	Keys int
	// Shed counts the requests refused because all slots were busy.
	Shed int
	// MaxBusy is the maximum number of concurrent requests.
	MaxBusy int
}

// Target implements a target that runs up to slots requests concurrently.
type Target struct {
	name        string
	slots       int
	serviceTime time.Duration

	mu         sync.Mutex
	random     *rand.Rand
	fault      Fault
	faultSince time.Time
	busy       int
	report     TargetReport
}

// KeyPrefix begins every key that callers of the fakes use, so that a target
// detects a key in a request.
const KeyPrefix = "ferrykey-"

// NewTarget returns a healthy target. The mean service time is serviceTime.
func NewTarget(name string, slots int, serviceTime time.Duration, seed uint64) *Target {
	return &Target{
		name: name, slots: slots, serviceTime: serviceTime,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFault replaces the fault of the target.
func (t *Target) SetFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.faultSince = fault, time.Now()
}

// Report returns the report so far.
func (t *Target) Report() TargetReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	report.Runs = slices.Clone(t.report.Runs)
	return report
}

// behavior holds the faults, service time and reported load of one request.
type behavior struct {
	shed, fails, resets, truncates, stalls bool
	serviceTime                            time.Duration
	load                                   int
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/control/fault":
		t.serveFault(writer, request)
		return
	case "/control/report":
		if err := json.NewEncoder(writer).Encode(t.Report()); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	case "/health":
		// The health endpoint of a gray target reports no fault.
		return
	}
	writer.Header().Set(ferry.HeaderRequest, request.Header.Get(ferry.HeaderRequest))
	b := t.startRequest(request)
	if b.shed {
		writer.Header().Set(ferry.HeaderOutcome, ferry.OutcomeNotRun.String())
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.finishRequest()
	t.run(writer, request, b)
}

// run executes one request.
func (t *Target) run(writer http.ResponseWriter, request *http.Request, b behavior) {
	var bodyBytes int64
	var err error
	if bodyBytes, err = io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if b.stalls {
		<-request.Context().Done()
		return
	}
	select {
	case <-time.After(b.serviceTime):
	case <-request.Context().Done():
		return
	}
	if b.resets {
		resetConnection(writer)
		return
	}
	writer.Header().Set(ferry.HeaderLoad, strconv.Itoa(b.load))
	if b.fails {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	responseBody := fmt.Sprintf("%s %s by %s, %d bytes\n", request.Method, request.URL.RequestURI(), t.name, bodyBytes)
	writer.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
	if b.truncates {
		_, _ = io.WriteString(writer, responseBody[:len(responseBody)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, responseBody)
}

// resetConnection closes the connection with a TCP reset and sends no response.
func resetConnection(writer http.ResponseWriter) {
	var conn net.Conn
	var err error
	if conn, _, err = http.NewResponseController(writer).Hijack(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// startRequest counts a request, takes a slot and draws the behavior.
func (t *Target) startRequest(request *http.Request) behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	if containsKey(request) {
		t.report.Keys++
	}
	if t.busy >= t.slots {
		t.report.Shed++
		return behavior{shed: true}
	}
	t.busy++
	t.report.MaxBusy = max(t.report.MaxBusy, t.busy)
	t.report.Runs = append(t.report.Runs, Run{
		ID: request.Header.Get(ferry.HeaderRequest), Account: request.Header.Get(ferry.HeaderAccount),
		Method: request.Method, AtNanos: time.Now().UnixNano(),
	})
	fault := t.activeFault()
	// Half of the mean service time is fixed, the other half is exponential.
	spread := 0.5 + 0.5*t.random.ExpFloat64()
	factor := max(1, fault.SlowFactor)
	b := behavior{
		fails:       t.random.Float64() < fault.ErrorShare,
		resets:      t.random.Float64() < fault.ResetShare,
		truncates:   t.random.Float64() < fault.CutShare,
		stalls:      t.random.Float64() < fault.StallShare,
		serviceTime: time.Duration(float64(t.serviceTime) * spread * factor),
		load:        t.busy,
	}
	if fault.FrozenLoad {
		b.load = 0
	}
	return b
}

// activeFault returns the fault, or none while a flapping fault is off.
func (t *Target) activeFault() Fault {
	if t.fault.FlapSeconds > 0 {
		phase := int(time.Since(t.faultSince).Seconds() / t.fault.FlapSeconds)
		if phase%2 == 1 {
			return Fault{}
		}
	}
	return t.fault
}

func (t *Target) finishRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// containsKey reports whether the URI or a header of the request contains a key.
func containsKey(request *http.Request) bool {
	if strings.Contains(request.URL.RequestURI(), KeyPrefix) {
		return true
	}
	for name, values := range request.Header {
		if strings.Contains(name+strings.Join(values, " "), KeyPrefix) {
			return true
		}
	}
	return false
}

func (t *Target) serveFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFault(fault)
}
