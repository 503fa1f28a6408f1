package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/flight"
)

// shortFields returns as many header fields with different names as a size in bytes holds.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size-len("ffff:\r\n"); i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// A head of short fields costs many times its bytes once it is parsed.
func TestHeadsOfManyFieldsHeldByTargets(t *testing.T) {
	const status, signed = "HTTP/1.1 200 OK\r\n", testID + ": ID\r\n" + testSigned + ": yes\r\n"
	fields := shortFields(maxHeadBytes - 1024)
	cases := []struct{ name, response string }{
		{"head without its end", status + fields},
		{"body without its end", status + signed + fields + "\r\nbody"},
		{"head of one read", status + signed + shortFields(bufferSize/2) + "\r\nbody"},
		{"head behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + status + signed + fields + "\r\nbody"},
	}
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ended atomic.Int64
			release := make(chan struct{})
			target := startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
				defer ended.Add(1)
				if _, err := io.WriteString(conn, strings.Replace(c.response, "ID", request.Header.Get(testID), 1)); err != nil {
					return
				}
				<-release
			})
			h := newHarness(t, target)
			results := make([]callResult, endlessCallers)
			var callers sync.WaitGroup
			grown := memoryDuring(func() {
				for i := range results {
					callers.Go(func() { results[i] = h.call(t.Context(), http.MethodPost, "/unsafe/x", "b") })
				}
				callers.Wait()
			})
			close(release)
			if grown > 8<<20 {
				t.Errorf("the heap grew by %d KB", grown>>10)
			}
			lost := 0
			for _, got := range results {
				is.NoErr(got.err)
				if got.status == http.StatusServiceUnavailable {
					is.Equal(got.header.Get("X-Outcome"), "NotRun")
					continue
				}
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.header.Get("X-Outcome"), "Unknown")
				is.True(got.took < 500*time.Millisecond) // not only at the deadline
				lost++
			}
			is.Equal(lost, int(target.requests.Load()))
			is.True(lost > endlessCallers/2)
			is.Equal(int(h.metrics.GetOrCreateCounter(`ferry_target_excess_total{kind="Lines"}`).Get()), lost)
		})
	}
}

// The lines of a body that comes with its head don't count.
func TestLinesOfBodyAreNoHead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	lines := strings.Repeat("\n", 2*maxHeadLines)
	h := newHarness(t, startTarget(t, "a", func(conn net.Conn, request *http.Request, _ []byte) {
		respond(conn, http.StatusOK, request.Header.Get(testID), lines, "Link: x", "Link: y")
	}))
	for range 3 {
		got := h.call(t.Context(), http.MethodPost, "/unsafe/x", "b")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, lines)
		is.Equal(got.header["Link"], []string{"x", "y"})
	}
}

// endlessReader reads without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// What is held of a response is what was taken of the budget, with a length or without.
func TestBufferOfEndlessBodyIsWithinBudget(t *testing.T) {
	t.Parallel()
	for _, length := range []int64{-1, 1 << 40} {
		is := is.New(t)
		hold := flight.NewLedger(4 * maxBufferedResponse).Open("owner")
		buffered, rest, err := bufferBody(endlessReader{}, length, hold)
		is.NoErr(err)
		is.True(rest != nil)
		is.Equal(len(buffered), maxBufferedResponse)
		is.Equal(cap(buffered), maxBufferedResponse)
	}
}
