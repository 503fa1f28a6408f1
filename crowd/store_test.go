package crowd

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// storePage is the size of a page of the store, within the bytes that a VM reads.
const storePage = 4<<20 - 1024

// storeFault is what a faulty store sends instead of a response, until it was called a
// number of times.
type storeFault struct {
	name  string
	calls int64
	serve func(w io.Writer, request *http.Request)
}

// writePage writes a response of the store, with as many items as fit.
func writePage(w io.Writer, list string, item func(i int) string, isTruncated bool) {
	var page strings.Builder
	_, _ = fmt.Fprintf(&page, `{"truncated":%t,"asOf":7,"%s":[%s`, isTruncated, list, item(0))
	for i := 1; page.Len() < storePage; i++ {
		page.WriteString("," + item(i))
	}
	page.WriteString("]}")
	_, _ = io.WriteString(w, statusLine+lengthField(page.Len())+"Connection: close\r\n\r\n"+page.String())
}

func storeFaults() []storeFault {
	isWatch := func(request *http.Request) bool { return strings.HasSuffix(request.URL.Path, "watch") }
	gone := func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
	const pageCalls = 8
	empty := func(int) string { return "{}" }
	value := base64.StdEncoding.EncodeToString(make([]byte, headSize))
	return []storeFault{
		{"header fields", 1, func(w io.Writer, _ *http.Request) { repeat(w, statusLine, shortFields(headSize)) }},
		{"interim responses", 1, func(w io.Writer, _ *http.Request) { repeat(w, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") }},
		{"body", 1, func(w io.Writer, _ *http.Request) { repeat(w, statusLine+"\r\n", " ") }},
		{"events", 2, func(w io.Writer, _ *http.Request) { writePage(w, "events", empty, false) }},
		{"items", 2, func(w io.Writer, request *http.Request) {
			if isWatch(request) {
				gone(w)
				return
			}
			writePage(w, "items", empty, false)
		}},
		{"pages", pageCalls, func(w io.Writer, request *http.Request) {
			if isWatch(request) {
				gone(w)
				return
			}
			after := request.URL.Query().Get("after")
			writePage(w, "items", func(i int) string {
				return fmt.Sprintf(`{"key":"%s%04d","value":"%s","revision":7}`, request.URL.Query().Get("prefix")+strings.Repeat("z", 1+len(after)/8), i, value)
			}, true)
		}},
	}
}

// TestStoreSendsEndlessly has the store send bytes, items and pages without end, and more
// than a VM bears in what it reads.
func TestStoreSendsEndlessly(t *testing.T) {
	l := newLab(t)
	good := storeHandler(l.items())
	var fault atomic.Pointer[storeFault]
	var calls atomic.Int64
	l.start(serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := fault.Load()
		if current == nil {
			good.ServeHTTP(w, r)
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		calls.Add(1)
		current.serve(connection, r)
	})))
	for _, current := range storeFaults() {
		calls.Store(0)
		fault.Store(&current)
		l.await(current.name, func() error {
			if calls.Load() < current.calls {
				return fmt.Errorf("%d calls", calls.Load())
			}
			return nil
		})
		t.Logf("%s: %d calls, peak resident memory %d MB", current.name, calls.Load(), l.peakMemory()>>20)
	}
	fault.Store(nil)
	l.check()
}
