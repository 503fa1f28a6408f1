package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/flight"
	"monsoonferry.org/ferry/retry"
)

const (
	// repeatDelay is the time between a response and the repetition of an earlier one.
	repeatDelay = 20 * time.Millisecond
	// runDelay is the time that a target takes to run a request.
	runDelay = 20 * time.Millisecond
)

// runs counts the runs of each request on all targets, by the request's body.
type runs struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runs) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[body]++
}

func (r *runs) of(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[body]
}

// runOK runs a request and answers it.
func (r *runs) runOK(conn net.Conn, request *http.Request, body []byte) {
	time.Sleep(runDelay)
	r.add(string(body))
	respondOK(conn, request, body)
}

// claim is a response that says that a request was not run.
type claim struct {
	status int
	id     string
}

func (c claim) write(conn net.Conn) { respond(conn, c.status, c.id, "", testNotRun+": 1") }

// heldClock is a Clock whose callers are held up after a connection to a target was
// opened, until the target has written.
type heldClock struct {
	ferry.Clock
	connections *flight.Ledger
	hasWritten  <-chan struct{}
}

// Now implements ferry.Clock.
func (c heldClock) Now() ferry.Moment {
	if c.connections.Usage().Used > 0 {
		<-c.hasWritten
	}
	return c.Clock.Now()
}

// claimCase is a claim that a target makes once it has read a request.
type claimCase struct {
	name string
	// isKept reports that the connection has carried a request that was refused.
	isKept bool
	// firstID and id are the IDs of that request and of the one under test.
	firstID, id string
	claim       claim
	// isEarly reports that the claim comes before the request is written.
	isEarly bool
	// isRepeated reports that the claim is an earlier one: the target runs the request.
	isRepeated bool
	// before is written before the claim, unless its status is zero.
	before claim
	// unsafe is the status of a request that may run once; others get 200.
	unsafe int
	// dials is the number of connections to the target, where it matters.
	dials int
}

var claimCases = []claimCase{
	{name: "refusal of the earlier request", isKept: true, firstID: "first", id: "second", claim: claim{503, "first"}, isRepeated: true, unsafe: 200, dials: 1},
	{name: "refusal of the earlier request before this one", isKept: true, isEarly: true, firstID: "first", id: "second", claim: claim{503, "first"}, isRepeated: true, unsafe: 200},
	{name: "refusal of the same ID sent again", isKept: true, firstID: "same", id: "same", claim: claim{503, "same"}, isRepeated: true, unsafe: 200, dials: 2},
	{name: "refusal of the same ID sent again before it is", isKept: true, isEarly: true, firstID: "same", id: "same", claim: claim{503, "same"}, isRepeated: true, unsafe: 200},
	{name: "refusal of a request of another connection", isKept: true, firstID: "first", id: "second", claim: claim{429, "other"}, isRepeated: true, unsafe: 200, dials: 1},
	{name: "refusal without ID", isKept: true, firstID: "first", id: "second", claim: claim{503, ""}, isRepeated: true, unsafe: 502},
	{name: "refusal without ID before the request", isKept: true, isEarly: true, firstID: "first", id: "second", claim: claim{400, ""}, isRepeated: true, unsafe: 200},
	{name: "misdirected earlier request", isKept: true, firstID: "first", id: "second", claim: claim{421, "first"}, isRepeated: true, unsafe: 200, dials: 1},
	{name: "misdirected same ID sent again", isKept: true, firstID: "same", id: "same", claim: claim{421, "same"}, isRepeated: true, unsafe: 200, dials: 2},
	{name: "misdirected without ID", isKept: true, firstID: "first", id: "second", claim: claim{421, ""}, isRepeated: true, unsafe: 502},
	{name: "request without ID, refusal without ID", isKept: true, claim: claim{400, ""}, isRepeated: true, unsafe: 200, dials: 2},
	{name: "request without ID after one with an ID, refusal without ID", isKept: true, firstID: "first", claim: claim{400, ""}, isRepeated: true, unsafe: 200, dials: 2},
	{name: "request with an ID after one without, refusal without ID", isKept: true, id: "second", claim: claim{400, ""}, isRepeated: true, unsafe: 200, dials: 2},
	{name: "true refusal", isKept: true, firstID: "first", id: "second", claim: claim{503, "second"}, unsafe: 200, dials: 1},
	{name: "truly misdirected", isKept: true, firstID: "first", id: "second", claim: claim{421, "second"}, unsafe: 200, dials: 1},

	{name: "true refusal", id: "second", claim: claim{503, "second"}, unsafe: 200},
	{name: "refusal without ID", id: "second", claim: claim{503, ""}, isRepeated: true, unsafe: 502},
	{name: "request without ID, true refusal without ID", claim: claim{400, ""}, unsafe: 200},
	{name: "truly misdirected", id: "second", claim: claim{421, "second"}, unsafe: 200},
	{name: "truly misdirected without ID", id: "second", claim: claim{421, ""}, unsafe: 200},
	{name: "refusal of another request", id: "second", claim: claim{503, "other"}, isRepeated: true, unsafe: 200},
	{name: "misdirected other request", id: "second", claim: claim{421, "other"}, isRepeated: true, unsafe: 200},
	{name: "refusal without ID before the request", isEarly: true, id: "second", claim: claim{503, ""}, isRepeated: true, unsafe: 200},
	{name: "misdirected without ID before the request", isEarly: true, id: "second", claim: claim{421, ""}, isRepeated: true, unsafe: 200},
	{name: "request without ID, refusal before it", isEarly: true, claim: claim{400, ""}, isRepeated: true, unsafe: 200},
	{name: "misdirected without ID after another request's refusal", id: "second", before: claim{503, "other"}, claim: claim{421, ""}, isRepeated: true, unsafe: 502},
	{name: "request without ID, refusal without ID after another request's", before: claim{503, "other"}, claim: claim{400, ""}, isRepeated: true, unsafe: 502},
}

// A claim that a request was not run counts only if it is of this sending of it.
func TestRepeatedRefusalIsNoClaim(t *testing.T) {
	for _, c := range claimCases {
		for _, path := range []string{"/safe/x", "/upload/x"} {
			connection := "new connection"
			if c.isKept {
				connection = "kept connection"
			}
			t.Run(connection+"/"+c.name+path, func(t *testing.T) {
				t.Parallel()
				c.test(t, path)
			})
		}
	}
}

func (c claimCase) test(t *testing.T, path string) {
	is := is.New(t)
	ran, hasWritten := &runs{}, make(chan struct{})
	faulty := c.startTarget(t, ran, hasWritten)
	sound := startTarget(t, "sound", ran.runOK)
	sound.target.Place = "far"
	h := newHarness(t, faulty)
	if c.isKept {
		got := h.call(t.Context(), http.MethodPost, path, "first", testID, c.firstID)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(ran.of("first"), 0)
		if c.isEarly {
			<-hasWritten
		}
	}
	h.chooser.Update(0, []ferry.Target{faulty.target, sound.target})
	if c.isEarly && !c.isKept {
		h.pool.Connections = flight.NewLedger(10)
		h.forwarder.clock = heldClock{h.forwarder.clock, h.pool.Connections, hasWritten}
	}
	got := h.call(t.Context(), http.MethodPost, path, "second", testID, c.id)
	h.eventually(t, func() bool { return ran.of("second") > 0 })
	time.Sleep(2 * runDelay)
	is.NoErr(got.err)
	want := http.StatusOK
	if path == "/upload/x" {
		want = c.unsafe
		is.Equal(ran.of("second"), 1) // runs of a request that may run once
	}
	is.Equal(got.status, want)
	if want == http.StatusOK {
		is.Equal(got.body, "did second")
	} else {
		is.Equal(got.header.Get("X-Outcome"), ferry.OutcomeUnknown.String())
	}
	if c.dials > 0 {
		is.Equal(int(faulty.dials.Load()), c.dials)
	}
	isChosen := c.isEarly && !c.isKept || faulty.requests.Load() > 0
	is.True(isChosen) // the target under test was chosen
}

// startTarget starts the target that makes the claim. It closes hasWritten after one that
// comes before the request.
func (c claimCase) startTarget(t *testing.T, ran *runs, hasWritten chan struct{}) *testTargetServer {
	t.Helper()
	var hasRefused sync.Map
	target := startTarget(t, "faulty", func(conn net.Conn, request *http.Request, body []byte) {
		if string(body) == "first" {
			hasRefused.Store(conn, true)
			claim{http.StatusServiceUnavailable, c.firstID}.write(conn)
			if c.isEarly {
				time.Sleep(repeatDelay)
				c.claim.write(conn)
				close(hasWritten)
			}
			return
		}
		_, isKept := hasRefused.Load(conn)
		if isKept == c.isKept && !c.isEarly {
			if c.before.status > 0 {
				c.before.write(conn)
			}
			c.claim.write(conn)
			if !c.isRepeated {
				return
			}
		}
		ran.runOK(conn, request, body)
	})
	if c.isEarly && !c.isKept {
		var once sync.Once
		target.greet.Store(new(func(conn net.Conn) {
			c.claim.write(conn)
			once.Do(func() { close(hasWritten) })
		}))
	}
	return target
}

// Requests that a target sheds, and those that follow, use the connection that is open.
func TestShedRequestsKeepTheConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var number atomic.Int32
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, body []byte) {
		if number.Add(1)%2 == 0 {
			respondNotRun(conn, request, body)
			return
		}
		respondOK(conn, request, body)
	})
	h := newHarness(t, target)
	for i := range 20 {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b", testID, strconv.Itoa(i))
		is.NoErr(got.err)
	}
	is.Equal(int(target.requests.Load()), 20)
	is.Equal(int(target.dials.Load()), 1)
}

// The body of a repeated response is not read as the response to a HEAD request.
func TestBodyOfRepeatedResponseIsNoResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	forged := "HTTP/1.1 503 Service Unavailable\r\n" + testID + ": second\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	ran := &runs{}
	target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		if request.Header.Get(testID) == "second" {
			ran.add("second") // before the caller can have a response
		}
		respond(conn, http.StatusServiceUnavailable, "first", forged, testNotRun+": 1")
		if request.Header.Get(testID) == "second" {
			respond(conn, http.StatusOK, "second", "")
		}
	})
	h := newHarness(t, target)
	is.Equal(h.call(t.Context(), http.MethodPost, "/upload/x", "", testID, "first").status, http.StatusServiceUnavailable)
	got := h.call(t.Context(), http.MethodHead, "/upload/x", "", testID, "second")
	is.Equal(ran.of("second"), 1)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get("X-Outcome"), ferry.OutcomeUnknown.String())
}

// A connection remembers a bounded number of IDs, and is replaced after that.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, "a", respondOK)
	h := newHarness(t, target)
	for i := range maxRequestsPerConnection + 1 {
		is.Equal(h.call(t.Context(), http.MethodPost, "/unsafe/x", "b", testID, strconv.Itoa(i)).status, http.StatusOK)
	}
	is.Equal(int(target.dials.Load()), 2)
}

// A refusal that is repeated while a body is sent is no response to its request.
func TestRefusalRepeatedDuringBody(t *testing.T) {
	const uploadSize = 2 << 20
	for _, c := range []struct {
		name, id string
		status   int
		// isRun reports that the target gets the whole body.
		isRun bool
	}{
		{"of the earlier request", "first", http.StatusOK, true},
		{"without ID", "", http.StatusBadGateway, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			target := startTarget(t, "a", respondOK)
			target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
			ended := make(chan error, 1)
			go func() { ended <- repeatDuringBody(listener, claim{http.StatusServiceUnavailable, c.id}) }()
			h := newHarness(t, target)
			got := h.call(t.Context(), http.MethodPost, "/upload/x", "first", testID, "first")
			is.Equal(got.status, http.StatusServiceUnavailable)
			caller := h.startUpload(t, uploadSize, false)
			go func() { _ = caller.send(make([]byte, uploadSize)) }()
			answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.Equal(answer.StatusCode, c.status)
			is.NoErr(answer.Body.Close())
			if !c.isRun {
				is.Equal(answer.Header.Get("X-Outcome"), ferry.OutcomeUnknown.String())
			}
			err = <-ended
			is.True(err == nil || !c.isRun)
		})
	}
}

// repeatDuringBody refuses a first request and sends a claim while it reads the body of a
// second one, which it then runs. It returns an error when the body is broken off.
func repeatDuringBody(listener net.Listener, repeated claim) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	claim{http.StatusServiceUnavailable, "first"}.write(conn)
	if request, err = http.ReadRequest(reader); err != nil {
		return err
	}
	if _, err = io.CopyN(io.Discard, request.Body, earlyAfter); err != nil {
		return err
	}
	repeated.write(conn)
	time.Sleep(repeatDelay)
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	respondOK(conn, request, nil)
	return nil
}

// repeatingTarget repeats responses on the connections on which it sent them. What it does
// with a request follows from the seed and the request.
type repeatingTarget struct {
	seed     uint64
	ran      *runs
	repeated *atomic.Int64
	mu       sync.Mutex
	// sent are the responses sent on each connection.
	sent map[net.Conn][]func()
}

func (r *repeatingTarget) serve(conn net.Conn, request *http.Request, body []byte) {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	random := rand.New(rand.NewPCG(r.seed, hash.Sum64()))
	if random.IntN(3) == 0 {
		r.repeat(conn, random)
	}
	write := func() { respondOK(conn, request, body) }
	if random.IntN(3) == 0 {
		refusal := claim{[]int{503, 429, 421}[random.IntN(3)], request.Header.Get(testID)}
		if random.IntN(8) == 0 {
			refusal.id = ""
		}
		write = func() { refusal.write(conn) }
	} else {
		r.ran.add(string(body))
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		if random.IntN(20) == 0 {
			// Long enough for a second attempt of an idempotent request.
			time.Sleep(2 * runDelay)
		}
	}
	r.mu.Lock()
	r.sent[conn] = append(r.sent[conn], write)
	r.mu.Unlock()
	write()
	if random.IntN(6) == 0 {
		// The next request may be written meanwhile.
		time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
		r.repeat(conn, random)
	}
}

// repeat sends a response once more that it sent on the connection before.
func (r *repeatingTarget) repeat(conn net.Conn, random *rand.Rand) {
	r.mu.Lock()
	sent := r.sent[conn]
	r.mu.Unlock()
	if len(sent) == 0 {
		return
	}
	r.repeated.Add(1)
	sent[random.IntN(len(sent))]()
}

// Whatever responses targets repeat, a caller who is told that a request did not run can
// rely on it, and what may run once runs once.
func TestRandomRepeatedRefusals(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			testRepeatedRefusals(t, seed)
		})
	}
}

func testRepeatedRefusals(t *testing.T, seed uint64) {
	const callers, requestsEach, sharedIDs = 4, 300, 20
	is := is.New(t)
	ran, repeated := &runs{}, &atomic.Int64{}
	var targets []*testTargetServer
	for i, id := range []ferry.TargetID{"a", "b", "c"} {
		faulty := &repeatingTarget{seed: seed<<8 + uint64(i), ran: ran, repeated: repeated, sent: map[net.Conn][]func(){}}
		targets = append(targets, startTarget(t, id, faulty.serve))
	}
	h := newHarness(t, targets...)
	h.budgets.SetBounds(retry.FleetBounds{Ratio: 1, Slack: 1000, VMs: 1, Age: time.Minute})
	type sent struct {
		body     string
		isUnsafe bool
		result   callResult
	}
	results := make([][]sent, callers)
	var group sync.WaitGroup
	for number := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(number)))
			for i := range requestsEach {
				request := sent{body: fmt.Sprintf("%d-%d", number, i), isUnsafe: random.IntN(3) > 0}
				id, path := "id-"+request.body, "/safe/x"
				switch random.IntN(10) {
				case 0:
					id = ""
				case 1, 2:
					// Callers use some IDs again.
					id = strconv.Itoa(random.IntN(sharedIDs))
				}
				if request.isUnsafe {
					path = "/unsafe/x"
				}
				request.result = h.call(t.Context(), http.MethodPost, path, request.body, testID, id)
				results[number] = append(results[number], request)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * runDelay)
	served := 0
	for _, request := range slices.Concat(results...) {
		is.NoErr(request.result.err)
		count := ran.of(request.body)
		if request.isUnsafe && count > 1 {
			t.Errorf("request %s, which may run once, ran %d times", request.body, count)
		}
		if isPromise(request.result) && count > 0 {
			t.Errorf("request %s got %d, outcome %s, and ran", request.body, request.result.status, request.result.header.Get("X-Outcome"))
		}
		if request.result.status == http.StatusOK {
			served++
			if request.result.body != "did "+request.body {
				t.Errorf("request %s got the response %q", request.body, request.result.body)
			}
		}
	}
	// A third is refused by each target and few IDs are used again: most are served.
	is.True(served > callers*requestsEach/2)
	is.True(repeated.Load() > 50)
}

// isPromise reports whether a caller may take a response to mean that the request did
// not run.
func isPromise(result callResult) bool {
	switch result.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return result.header.Get("X-Outcome") == ferry.OutcomeNotRun.String()
}

// A response that isn't believed is logged with its request and counted.
func TestDisbelievedResponseIsLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	log := &lockedBuffer{}
	target := startTarget(t, "a", sequence(respondOK, respondOtherRequestFirst, func(conn net.Conn, _ *http.Request, _ []byte) {
		claim{http.StatusServiceUnavailable, ""}.write(conn)
	}))
	h := newLoggedHarness(t, slog.NewTextHandler(log, nil), target)
	for i, status := range []int{http.StatusOK, http.StatusOK, http.StatusBadGateway} {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b", testID, "id-"+strconv.Itoa(i))
		is.Equal(got.status, status)
	}
	is.Equal(len(log.linesWith(`msg="response not believed"`)), 2)
	is.Equal(len(log.linesWith(`msg="response not believed" request=id-1 target=a why=OtherRequest status=200`)), 1)
	is.Equal(len(log.linesWith(`msg="response not believed" request=id-2 target=a why=NoID status=503`)), 1)
	var page bytes.Buffer
	h.metrics.WritePrometheus(&page)
	is.True(strings.Contains(page.String(), `ferry_responses_not_believed_total{why="OtherRequest"} 1`+"\n"))
	is.True(strings.Contains(page.String(), `ferry_responses_not_believed_total{why="NoID"} 1`+"\n"))
}
