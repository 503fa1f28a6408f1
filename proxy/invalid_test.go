package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
)

// headTimeout is how long a caller waits: well below the deadline of the route.
const headTimeout = 5 * time.Second

// startHeadTarget starts a target that responds to the path /prices/first with an empty
// success, which keeps the connection, and to others with a head. After that the connection
// ends or stays open.
func startHeadTarget(t *testing.T, head fake.Head, isClosed bool) netip.AddrPort {
	t.Helper()
	address, err := fake.Responder(func(request *http.Request) ([]byte, bool) {
		name := ferry.HeaderRequest + ": " + request.Header.Get(ferry.HeaderRequest)
		if strings.HasSuffix(request.URL.Path, "/first") {
			return []byte("HTTP/1.1 200 OK\r\n" + name + "\r\nContent-Length: 0\r\n\r\n"), false
		}
		return head.Encode(name), isClosed
	}).Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// callHead sends a request through a server whose targets are all at the address. If isKept
// is set, the target's connection has carried another request.
func callHead(t *testing.T, address netip.AddrPort, method string, isKept bool) (response *http.Response, body string, err error) {
	t.Helper()
	f := newFixture(t, nil)
	for range 8 {
		f.targets = append(f.targets, &scriptedTarget{address: address})
	}
	client := &http.Client{Timeout: headTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	paths := []string{"/prices"}
	if isKept {
		paths = []string{"/prices/first", "/prices"}
	}
	for _, path := range paths {
		var text io.Reader
		if method == http.MethodPost {
			text = strings.NewReader("body")
		}
		request, requestErr := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, text)
		if requestErr != nil {
			t.Fatal(requestErr)
		}
		if response, err = client.Do(request); err != nil {
			return nil, "", err
		}
		var received []byte
		received, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		body = string(received)
	}
	return response, body, err
}

// A head that isn't valid is no response, on a new or a kept connection, whether the
// connection stays open or not: the caller gets 502 before its deadline, which promises nothing.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, head := range fake.InvalidHeads() {
		for _, isClosed := range []bool{false, true} {
			t.Run(head.Name+map[bool]string{true: ", closed"}[isClosed], func(t *testing.T) {
				t.Parallel()
				address := startHeadTarget(t, head, isClosed)
				for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
					for _, isKept := range []bool{false, true} {
						response, body, err := callHead(t, address, method, isKept)
						switch {
						case err != nil:
							t.Errorf("%s, kept %t: %v", method, isKept, err)
						case response.StatusCode != http.StatusBadGateway:
							t.Errorf("%s, kept %t: status %d with %q", method, isKept, response.StatusCode, body)
						case response.Header.Get(ferry.HeaderOutcome) != ferry.OutcomeUnknown.String():
							t.Errorf("%s, kept %t: outcome %q", method, isKept, response.Header.Get(ferry.HeaderOutcome))
						}
					}
				}
			})
		}
	}
}

// A valid head is a response, however unusual it is.
func TestValidHeadIsResponse(t *testing.T) {
	t.Parallel()
	for _, head := range fake.ValidHeads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := startHeadTarget(t, head, true)
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				for _, isKept := range []bool{false, true} {
					response, body, err := callHead(t, address, method, isKept)
					is.NoErr(err)
					is.Equal(response.StatusCode/100, 2)
					if method != http.MethodHead {
						is.Equal(body, fake.HeadBody)
					}
				}
			}
		})
	}
}

// An invalid head is logged with its request and target and counted, without what was sent.
func TestInvalidHeadIsLogged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nX-Y: v\nSECRET : v\n\n\n"})
	f.roundTrip(t, "POST /prices HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb")
	log := f.log.String()
	is.True(strings.Contains(log, `msg="response head invalid" request=request-1 target=target-1 fault=Name line=3`))
	is.True(!strings.Contains(log, "SECRET"))
	var page strings.Builder
	f.forwarder.config.Metrics.set.WritePrometheus(&page)
	is.True(strings.Contains(page.String(), `ferry_invalid_heads_total{fault="Name"} 1`+"\n"))
}

// Whatever a target changes in the head of its response, a caller that gets a whole success
// gets what a strict reader reads from the same bytes.
func TestMutatedHeads(t *testing.T) {
	t.Parallel()
	const seeds, calls = 4, 100
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			whole := 0
			for range calls {
				response := fake.MutateHead(random, ferry.HeaderRequest+": request-1")
				address, err := fake.Responder(func(*http.Request) ([]byte, bool) { return response, true }).Listen(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				got, body, err := callHead(t, address, http.MethodPost, false)
				if err != nil || got.StatusCode/100 != 2 {
					continue
				}
				whole++
				strict := fake.ReadStrictly(response)
				if !strict.IsWhole || got.StatusCode != strict.Status || body != string(strict.Body) {
					t.Errorf("%q: the caller got %d with %q, a strict reader %d with %q, whole %t",
						response, got.StatusCode, body, strict.Status, strict.Body, strict.IsWhole)
				}
			}
			if whole < calls/10 {
				t.Errorf("%d whole successes", whole)
			}
		})
	}
}
