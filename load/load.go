// Package load sends requests to a fleet as its callers would and records the
// responses.
//
// # Concept
//
// Each client account has several callers. A caller fetches an entry response
// from a VM, caches its addresses for their lifetime and sends requests at random
// times, without waiting for earlier ones. When the connection to a VM fails, the
// caller tries the next address.
//
// # Usage
//
//	report := load.Run(ctx, load.Plan{SeedAddresses: addresses, Accounts: accounts, Duration: time.Minute})
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonferry.org/ferry"
)

// Account is the traffic of one client account.
type Account struct {
	ID  string
	Key string
	// Rate is the number of requests per second.
	Rate   float64
	Method string
	Path   string
	// BodyBytes is the size of each request body.
	BodyBytes int
	// Callers is the number of callers that share the rate. They send their entry
	// requests to different VMs. Zero stands for 1.
	Callers int
}

// Plan describes a run.
type Plan struct {
	// SeedAddresses are the addresses of VMs for the first entry request.
	SeedAddresses []netip.AddrPort
	Accounts      []Account
	Duration      time.Duration
	RandomSeed    uint64
}

// Result describes one request and its response.
type Result struct {
	Account string
	// ID is the request identifier, when the response carries one.
	ID string
	// At is the time of sending since the start of the run.
	At      time.Duration
	Latency time.Duration
	// Status is the HTTP status, or 0 without a response.
	Status  int
	Reason  string
	Outcome string
	// Whole reports that the response body is complete.
	Whole bool
	// Addresses is the number of addresses that were tried.
	Addresses int
}

// Report sums up a run.
type Report struct {
	Results []Result
	// Latency holds the latencies of complete 200 responses in microseconds.
	Latency *hdrhistogram.Histogram
}

// Limits of the callers and of the latency histogram.
const (
	requestTimeout      = 10 * time.Second
	maxRecordedLatency  = 60 * time.Second
	significantDigits   = 3
	maxIdleConnsPerHost = 64
	maxCallers          = 1024
)

// Run sends the traffic of the plan until its duration is over.
func Run(ctx context.Context, plan Plan) *Report {
	ctx, cancel := context.WithTimeout(ctx, plan.Duration)
	defer cancel()
	r := &runner{
		plan: plan, start: time.Now(),
		client: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true},
		},
		report: Report{Latency: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), significantDigits)},
	}
	var group sync.WaitGroup
	for i, account := range plan.Accounts {
		callers := max(1, account.Callers)
		account.Rate /= float64(callers)
		for j := range callers {
			random := rand.New(rand.NewPCG(plan.RandomSeed, uint64(i*maxCallers+j)))
			group.Go(func() { r.runCaller(ctx, account, j, random) })
		}
	}
	group.Wait()
	r.client.CloseIdleConnections()
	return &r.report
}

type runner struct {
	plan   Plan
	start  time.Time
	client *http.Client

	mu     sync.Mutex
	report Report
}

// runCaller sends the requests of one caller at random times.
func (r *runner) runCaller(ctx context.Context, account Account, callerIndex int, random *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	entries := newEntryCache(r.plan.SeedAddresses, account.ID, callerIndex, r.client)
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / account.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		// A started request completes even after the end of the run.
		group.Go(func() { r.record(r.send(context.WithoutCancel(ctx), account, entries)) })
	}
}

// send sends one request to the first address that accepts a connection.
func (r *runner) send(ctx context.Context, account Account, entries *entryCache) Result {
	result := Result{Account: account.ID, At: time.Since(r.start)}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, address := range entries.addresses(ctx) {
		result.Addresses++
		isConnected := r.sendTo(ctx, account, address, &result)
		if isConnected {
			break
		}
		entries.expire()
	}
	result.Latency = time.Since(start)
	return result
}

// sendTo sends the request to one address. It reports false when no connection
// was established, in which case the next address may be tried.
func (r *runner) sendTo(ctx context.Context, account Account, address string, result *Result) bool {
	body := io.Reader(http.NoBody)
	if account.BodyBytes > 0 {
		body = strings.NewReader(strings.Repeat("x", account.BodyBytes))
	}
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, account.Method, "http://"+address+account.Path, body); err != nil {
		return true
	}
	request.Header.Set(ferry.HeaderKey, account.Key)
	var response *http.Response
	if response, err = r.client.Do(request); err != nil {
		return !isDialError(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	result.Status, result.Whole = response.StatusCode, err == nil
	result.ID = response.Header.Get(ferry.HeaderRequest)
	result.Reason = response.Header.Get(ferry.HeaderReason)
	result.Outcome = response.Header.Get(ferry.HeaderOutcome)
	return true
}

func (r *runner) record(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Results = append(r.report.Results, result)
	if result.Status == http.StatusOK && result.Whole {
		// A latency above the range of the histogram counts as its maximum.
		_ = r.report.Latency.RecordValue(min(result.Latency.Microseconds(), maxRecordedLatency.Microseconds()))
	}
}
