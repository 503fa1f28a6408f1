package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

const (
	// firstBody is refused, and its refusal comes once more where the response to
	// secondBody is due.
	firstBody  = "first"
	secondBody = "second"
)

// repeatingTarget writes the refusal of an earlier request once more.
type repeatingTarget struct {
	address netip.AddrPort
	// namesRequests reports that responses have the ID of their request.
	namesRequests bool
	// refuses reports that firstBody is refused, isTrue that secondBody is, too.
	refuses, isTrue bool

	mu    sync.Mutex
	runs  map[string]int
	dials int
}

func startRepeatingTarget(t *testing.T, target *repeatingTarget) *repeatingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target.runs = map[string]int{}
	target.address = netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.dials++
			target.mu.Unlock()
			go target.serve(conn)
		}
	}()
	return target
}

func (r *repeatingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, refusal := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		line := ""
		if r.namesRequests {
			line = ferry.HeaderRequest + ": " + request.Header.Get(ferry.HeaderRequest) + "\r\n"
		}
		if string(body) == firstBody && r.refuses || r.isTrue {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nFerry-Outcome: NotRun\r\n" + line + "Content-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		_, _ = io.WriteString(conn, refusal)
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		r.runs[string(body)]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\ndid %s", line, len("did ")+len(body), body)
	}
}

func (r *repeatingTarget) ran(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}

// A refusal that a target repeats on a kept connection is not taken for that of the next
// request.
func TestRepeatedRefusalIsNoClaim(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method          string
		namesRequests, isTrue bool
		status, dials         int
	}{
		{"without ID", http.MethodPost, false, false, http.StatusBadGateway, 1},
		{"without ID", http.MethodGet, false, false, http.StatusOK, 1},
		{"of the earlier request", http.MethodPost, true, false, http.StatusBadGateway, 1},
		{"of the earlier request", http.MethodGet, true, false, http.StatusOK, 1},
		{"true refusal", http.MethodPost, true, true, http.StatusOK, 1},
		{"true refusal", http.MethodGet, true, true, http.StatusOK, 1},
	} {
		t.Run(c.name+"/"+c.method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, nil)
			faulty := startRepeatingTarget(t, &repeatingTarget{namesRequests: c.namesRequests, refuses: true, isTrue: c.isTrue})
			sound := startRepeatingTarget(t, &repeatingTarget{namesRequests: c.namesRequests})
			f.targets = []*scriptedTarget{{address: faulty.address}, {address: sound.address}, {address: faulty.address}, {address: sound.address}}
			is.True(strings.HasPrefix(f.roundTrip(t, requestText(c.method, firstBody)), "HTTP/1.1 200 "))
			got := f.roundTrip(t, requestText(c.method, secondBody))
			time.Sleep(50 * time.Millisecond)
			if c.method == http.MethodPost {
				is.Equal(faulty.ran(secondBody)+sound.ran(secondBody), 1) // runs of a request that may run once
			}
			is.True(strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", c.status)))
			if c.status == http.StatusBadGateway {
				is.True(strings.Contains(got, "Ferry-Outcome: "+ferry.OutcomeUnknown.String()))
			}
			is.Equal(strings.Contains(f.log.String(), `msg="response not believed" request=request-2 target=target-3`), !c.isTrue)
			is.Equal(faulty.dialCount(), c.dials)
		})
	}
}

// A request that is sent to the same target again takes another connection, since
// responses to both would name the same ID.
func TestResendTakesNewConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, nil)
	faulty := startRepeatingTarget(t, &repeatingTarget{namesRequests: true, isTrue: true})
	sound := startRepeatingTarget(t, &repeatingTarget{namesRequests: true})
	f.targets = []*scriptedTarget{{address: faulty.address}, {address: faulty.address}, {address: sound.address}}
	is.True(strings.HasPrefix(f.roundTrip(t, requestText(http.MethodPost, firstBody)), "HTTP/1.1 200 "))
	is.Equal(faulty.dialCount(), 2)
	is.Equal(sound.ran(firstBody), 1)
}

func (r *repeatingTarget) dialCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials
}

func requestText(method, body string) string {
	return fmt.Sprintf("%s /orders/1 HTTP/1.1\r\nHost: api.example\r\nFerry-Key: secret-key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		method, len(body), body)
}
