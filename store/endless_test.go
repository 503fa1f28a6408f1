package store

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A platform that sends header fields, interim responses or a compressed value without
// end makes a call fail within a bounded amount of memory.
func TestEndlessResponsesOfPlatform(t *testing.T) {
	const maxAllocated = 16 << 20
	for name, handler := range map[string]http.HandlerFunc{
		"header fields": func(w http.ResponseWriter, _ *http.Request) {
			sendEndlessly(w, "HTTP/1.1 200 OK\r\n", func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
		},
		"interim responses": func(w http.ResponseWriter, _ *http.Request) {
			sendEndlessly(w, "", func(int) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" })
		},
		"value": func(w http.ResponseWriter, _ *http.Request) {
			sendEndlessly(w, "HTTP/1.1 200 OK\r\n"+versionHeader+": 7\r\n\r\n", func(int) string { return "x" })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			client := NewClient([]netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Watch(t.Context(), "A", 0)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d MB were allocated", allocated>>20)
			}
		})
	}
}

func sendEndlessly(w http.ResponseWriter, beginning string, part func(i int) string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	const partsPerWrite = 1 << 12
	_, err = io.WriteString(connection, beginning)
	for i := 0; err == nil; {
		var parts strings.Builder
		for range partsPerWrite {
			parts.WriteString(part(i))
			i++
		}
		_, err = io.WriteString(connection, parts.String())
	}
}
