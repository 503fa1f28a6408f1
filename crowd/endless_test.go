package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessTime is the time for which something sends without end.
	endlessTime = 3 * time.Second
	// headSize is what a target sends of a head, within the bytes that a VM reads.
	headSize = 15 << 10
)

const (
	statusLine  = "HTTP/1.1 200 OK\r\n"
	ownHead     = statusLine + "Request-Id: ID\r\nResponse-Signature: signed\r\n"
	chunkedHead = ownHead + chunkedField + "\r\n"
)

// shortFields returns as many header fields with different names as a size in bytes holds.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size-len("ffff:\r\n"); i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// longFields returns fewer header fields, of the same size in total.
func longFields(size int) string {
	const fieldSize = 100
	var fields strings.Builder
	for i := 0; fields.Len() < size-fieldSize; i++ {
		_, _ = fmt.Fprintf(&fields, "X-%04x: %s\r\n", i, strings.Repeat("x", fieldSize-len("X-ffff: \r\n")))
	}
	return fields.String()
}

// endlessResponse is a beginning in which ID stands for the request's, and a part that is
// repeated until the connection ends. Without a part the connection stays silent.
type endlessResponse struct{ name, beginning, part string }

func endlessResponses() []endlessResponse {
	fields := shortFields(headSize)
	return []endlessResponse{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", statusLine + "X: ", "x"},
		{"header fields", statusLine, fields},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n"},
		{"response to another request", statusLine + "Request-Id: other\r\n" + chunkedField + "\r\n", "4\r\nxxxx\r\n"},
		{"unsigned body", statusLine + "Request-Id: ID\r\n\r\n", "x"},
		{"chunk extension", chunkedHead + "2;", "x"},
		{"trailers", chunkedHead + "2\r\nok\r\n0\r\n", "X: y\r\n"},
		{"signed body without a length", ownHead + "\r\n", "x"},
		{"signed body in chunks", chunkedHead, "4\r\nxxxx\r\n"},
		{"signed body with a length", ownHead + lengthField(1<<40) + "\r\n", "x"},
	}
}

// startFaulty starts targets of the service that is faulty, whose requests below .../I get
// response I, and adds their records. It returns the number of requests that they got.
func (l *lab) startFaulty(items map[string]any, responses []endlessResponse) *atomic.Int64 {
	l.t.Helper()
	var requests atomic.Int64
	for i := range 2 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			l.t.Fatal(err)
		}
		l.t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				connection, acceptErr := listener.Accept()
				if acceptErr != nil {
					return
				}
				go l.answerEndlessly(connection, responses, &requests)
			}
		}()
		items[fmt.Sprintf("servers/f-%d", i)] = targetRecord(listener.Addr(), "faulty")
	}
	return &requests
}

func (l *lab) answerEndlessly(connection net.Conn, responses []endlessResponse, requests *atomic.Int64) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	requests.Add(1)
	index, err := strconv.Atoi(request.URL.Path[strings.LastIndexByte(request.URL.Path, '/')+1:])
	if err != nil || index >= len(responses) {
		return
	}
	response := responses[index]
	repeat(connection, strings.ReplaceAll(response.beginning, "ID", request.Header.Get("Request-Id")), response.part)
	if response.part == "" {
		<-l.release
	}
}

// repeat writes a beginning and then a part, if there is one, until that fails.
func repeat(w io.Writer, beginning, part string) {
	_, err := io.WriteString(w, beginning)
	if part == "" {
		return
	}
	for repeated := []byte(strings.Repeat(part, 1+pieceSize/len(part))); err == nil; {
		_, err = w.Write(repeated)
	}
}

// TestTargetsSendEndlessly has bytes without end sent to the VM in every part of a response,
// in 300 requests at once.
func TestTargetsSendEndlessly(t *testing.T) {
	l := newLab(t)
	items, responses := l.items(), endlessResponses()
	requests := l.startFaulty(items, responses)
	l.start(startStore(t, items))
	end := time.Now().Add(endlessTime)
	l.crowd(crowdSize, callerPort, func(i int, connection net.Conn) {
		reader := bufio.NewReader(connection)
		if connection.SetReadDeadline(end) != nil {
			return
		}
		prefix := []string{"/faulty/", "/faulty-safe/"}[i%2]
		for ; time.Now().Before(end); i++ {
			_, err := io.WriteString(connection, head("GET", prefix+strconv.Itoa(i%len(responses)), ""))
			if err != nil {
				return
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil {
				return
			}
		}
	})
	if requests.Load() < crowdSize {
		t.Errorf("the targets got %d requests", requests.Load())
	}
	l.check()
}

// testHeldResponses holds as many responses at the VM as it takes.
func testHeldResponses(t *testing.T, response endlessResponse) {
	l := newLab(t)
	items := l.items()
	requests := l.startFaulty(items, []endlessResponse{response})
	l.start(startStore(t, items))
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("GET", "/faulty/0", ""))
	})
	l.await("requests at targets", func() error {
		if got := requests.Load(); got < crowdSize/2 {
			return fmt.Errorf("%d requests", got)
		}
		return nil
	})
	// The VM reads what has come of the responses.
	time.Sleep(time.Second)
	l.check()
}

// TestTargetsStopInHeads has targets fall silent in heads that are as long as a VM reads.
func TestTargetsStopInHeads(t *testing.T) {
	t.Run("many fields", func(t *testing.T) {
		testHeldResponses(t, endlessResponse{beginning: statusLine + shortFields(headSize)})
	})
	t.Run("long fields", func(t *testing.T) {
		testHeldResponses(t, endlessResponse{beginning: statusLine + longFields(headSize)})
	})
}

// TestEndlessBodiesBehindLongHeads has callers read nothing of responses that have no end.
func TestEndlessBodiesBehindLongHeads(t *testing.T) {
	t.Run("many fields", func(t *testing.T) {
		testHeldResponses(t, endlessResponse{beginning: ownHead + shortFields(headSize) + "\r\n", part: "x"})
	})
	t.Run("long fields", func(t *testing.T) {
		testHeldResponses(t, endlessResponse{beginning: ownHead + longFields(headSize) + "\r\n", part: "x"})
	})
	t.Run("long fields, chunks", func(t *testing.T) {
		testHeldResponses(t, endlessResponse{
			beginning: ownHead + longFields(headSize) + chunkedField + "\r\n", part: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n",
		})
	})
}
