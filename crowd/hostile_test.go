package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections that send bodies, and bodySize the bytes of
	// each body: far more than the VM's memory in total.
	crowdSize = 300
	bodySize  = 1 << 20
	// pieceSize is the size of one write of a body sent piece by piece.
	pieceSize = 16 << 10
	// completeEvery is the share of callers that send their body whole: one of so many.
	completeEvery = 10
)

func lengthField(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

const chunkedField = "Transfer-Encoding: chunked\r\n"

// sendPieces writes a body piece by piece.
func sendPieces(connection io.Writer, body []byte) {
	for len(body) > 0 {
		n, err := connection.Write(body[:min(len(body), pieceSize)])
		if err != nil {
			return
		}
		body = body[n:]
		time.Sleep(time.Millisecond)
	}
}

// chunked returns a body in the chunked coding without its last byte and its end.
func chunked(size, chunk int) []byte {
	var encoded bytes.Buffer
	for left := size; left > 0; left -= chunk {
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", min(left, chunk), strings.Repeat("x", min(left, chunk)))
	}
	return encoded.Bytes()[:encoded.Len()-len("x\r\n")]
}

// isComplete reports whether caller i sends its body to its end.
func isComplete(i int) bool { return i%completeEvery == 0 }

func TestHostileWholeBodies(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/orders/hold", lengthField(bodySize)))
		_, _ = connection.Write(body)
	})
	l.check()
}

func TestHostilePiecewiseBodies(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/up/hold", lengthField(bodySize)))
		sendPieces(connection, body)
	})
	l.check()
}

func TestHostileBodiesOneByteShort(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize)
	l.crowd(crowdSize, callerPort, func(i int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/orders/1", lengthField(bodySize)))
		if !isComplete(i) {
			body := body[1:]
			sendPieces(connection, body)
			return
		}
		sendPieces(connection, body)
	})
	l.check()
}

// testChunks sends bodies in chunks of a size, most of which stop one byte short.
func testChunks(t *testing.T, count, size, chunk int) {
	l := startLab(t)
	body := chunked(size, chunk)
	l.crowd(count, callerPort, func(i int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/up/1", chunkedField))
		_, _ = connection.Write(body)
		if isComplete(i) {
			_, _ = io.WriteString(connection, "x\r\n0\r\n\r\n")
		}
	})
	l.check()
}

func TestHostileLargeChunksShort(t *testing.T) { testChunks(t, crowdSize, bodySize, 256<<10) }
func TestHostileTinyChunksShort(t *testing.T)  { testChunks(t, crowdSize, bodySize/2, 1) }

func TestHostileAnnouncedTooLarge(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/orders/1", lengthField(1<<30)))
		_, _ = connection.Write(body)
	})
	l.check()
}

func TestHostileSentTooLarge(t *testing.T) {
	l := startLab(t)
	body := chunked(2*maxBodyBytes, 64<<10)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/orders/1", chunkedField))
		_, _ = connection.Write(body)
	})
	l.check()
}

func TestHostileStuckTargets(t *testing.T) {
	l := startLab(t)
	body := make([]byte, 3*bodySize)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/up/stuck", lengthField(len(body))))
		_, _ = connection.Write(body)
	})
	l.check()
}

func TestHostileHeaders(t *testing.T) {
	l := startLab(t)
	field := "X: " + strings.Repeat("x", 1000) + "\r\n"
	l.crowd(2*crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n")
		for range 400 {
			if _, err := io.WriteString(connection, field); err != nil {
				return
			}
		}
	})
	l.check()
}

func TestHostileHeadersJustShort(t *testing.T) {
	l := startLab(t)
	fields := strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 240)
	l.crowd(2*crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"+fields)
	})
	l.check()
}

func TestHostileIdleConnections(t *testing.T) {
	l := startLab(t)
	l.crowd(maxDescriptors+crowdSize, callerPort, func(i int, connection net.Conn) {
		if i%2 == 0 {
			_, _ = io.WriteString(connection, "GET /orders/1 HTTP/1.1\r\nHost: shop")
		}
	})
	l.check()
}

func TestHostilePipelined(t *testing.T) {
	l := startLab(t)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		var requests strings.Builder
		for range 100 {
			requests.WriteString(head("GET", "/down/1", ""))
		}
		_, _ = io.WriteString(connection, requests.String())
		_, _ = io.WriteString(connection, head("GET", "/down/hold", "")+requests.String())
	})
	l.check()
}

func TestHostileSlowDownloads(t *testing.T) {
	l := startLab(t)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("GET", "/down/large", ""))
		go readSlowly(connection)
	})
	l.check()
}

func TestHostileOtherPorts(t *testing.T) {
	l := startLab(t)
	for _, port := range []int{directoryPort, readyPort, controlPort} {
		l.crowd(2*crowdSize, port, func(i int, connection net.Conn) {
			if i%2 == 0 {
				_, _ = io.WriteString(connection, "GET /-/ready HTTP/1.1\r\nHost: vm\r\nX: "+strings.Repeat("x", 200<<10))
			}
		})
	}
	l.check()
}

func TestHostileBodiesOnOtherPorts(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize-1)
	for _, port := range []int{directoryPort, readyPort, controlPort} {
		l.crowd(crowdSize/3, port, func(_ int, connection net.Conn) {
			_, _ = io.WriteString(connection, head("POST", "/-/ready", lengthField(bodySize)))
			_, _ = connection.Write(body)
		})
	}
	l.check()
}

// TestLargestBodyInCalm checks that the bounds against crowds don't meet one request
// inside the limits, with a length and in chunks.
func TestLargestBodyInCalm(t *testing.T) {
	l := startLab(t)
	l.await("a body with a length", func() error { return l.send(bytes.NewReader(make([]byte, maxBodyBytes))) })
	l.await("a body in chunks", func() error {
		return l.send(io.MultiReader(bytes.NewReader(make([]byte, maxBodyBytes))))
	})
	l.check()
}

// TestHostileBeforeStop checks that a planned stop ends beside callers whose bodies
// never do.
func TestHostileBeforeStop(t *testing.T) {
	l := startLab(t)
	body := make([]byte, bodySize-1)
	l.crowd(crowdSize, callerPort, func(_ int, connection net.Conn) {
		_, _ = io.WriteString(connection, head("POST", "/orders/1", lengthField(bodySize)))
		_, _ = connection.Write(body)
	})
	l.check()
	if err := l.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-l.exited:
	case <-time.After(answerLimit):
		t.Fatal("the planned stop did not end")
	}
	if !l.process.ProcessState.Success() {
		t.Fatalf("%v: %s", l.process.ProcessState, l.logTail())
	}
}
