package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	unframedRequests = 200
	unframedClients  = 8
	// uploadBytes is below the largest upload of the site, 360,000 bytes.
	uploadBytes = 300_000
	// unframedBytes is the size of a backend's whole answer.
	unframedBytes = 5000
	// All answers have no length. Two in five are early, and one in twenty of the first
	// backend is broken off.
	earlyCycle  = 5
	brokenCycle = 20
)

// networkSegment is the segment size of an Ethernet. Loopback has 64 KB, and buffers grow
// with it.
const networkSegment = 1460

// listenAsOnNetwork listens on a loopback address with the segments of a network and a
// small window, so that a backend that does not read blocks the writer.
func listenAsOnNetwork() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			if err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_MAXSEG, networkSegment); err == nil {
				err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}

// unframedLab counts what the backends did.
type unframedLab struct {
	record     *record
	hasTrouble bool

	mu sync.Mutex
	// whole holds the whole body of each answer, by the ID of its request.
	whole map[string][]byte
	// broken holds the requests whose answer was broken off.
	broken map[string]bool
	runs   map[string]int
}

// plan decides what becomes of the next request of a backend.
func (u *unframedLab) plan(backend, id string, isFaulty bool) (body []byte, isEarly, isBroken bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[backend]++
	n := u.runs[backend]
	body = bytes.Repeat([]byte(id[:8]+" moisture\n"), unframedBytes/18+1)[:unframedBytes]
	u.whole[id] = body
	isEarly = n%earlyCycle == 0 || n%earlyCycle == 2
	isBroken = isFaulty && u.hasTrouble && n%brokenCycle == brokenCycle/2
	u.broken[id] = isBroken
	return body, isEarly, isBroken
}

// serve answers the request of one connection.
func (u *unframedLab) serve(backend string, conn net.Conn, isFaulty bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := readHead(reader)
	if err != nil {
		return
	}
	id := r.header["request-id"]
	if r.header["expect-instance"] != backend {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	body, isEarly, isBroken := u.plan(backend, id, isFaulty)
	u.record.line("backend %s runs %s %s %s of %d bytes", backend, r.method, r.uri, id, r.length)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.1\r\n", id, id)
	if !isEarly {
		if _, err = io.CopyN(io.Discard, reader, r.length); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "%s\r\n%s", head, body)
		return
	}
	sent := body
	if isBroken {
		sent = body[:unframedBytes/2]
	}
	_, _ = io.WriteString(conn, head+"\r\n"+string(sent))
	// The backend works on while the rest of the upload comes.
	time.Sleep(150 * time.Millisecond)
	if isBroken {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		u.record.line("backend %s resets the connection of %s after %d of %d bytes of its answer", backend, id, len(sent), len(body))
		return
	}
	_, _ = io.CopyN(io.Discard, reader, r.length)
	u.record.line("backend %s ends its whole answer to %s with the connection", backend, id)
}

// playResetUnframed sends uploads to two backends whose answers have no length, and some of
// which begin before the upload is in. The first backend breaks some of these off: its
// connection is reset in the middle of the answer.
func playResetUnframed(r *record, hasTrouble bool) (broken string, err error) {
	l, err := newLab(r, 1)
	if err != nil {
		return "", err
	}
	defer l.close()
	u := &unframedLab{record: r, hasTrouble: hasTrouble, whole: map[string][]byte{}, broken: map[string]bool{}, runs: map[string]int{}}
	for i := range 2 {
		listener, listenErr := listenAsOnNetwork()
		if listenErr != nil {
			return "", listenErr
		}
		id := fmt.Sprintf("i-%d", i)
		go func() {
			for {
				conn, acceptErr := listener.Accept()
				if acceptErr != nil {
					return
				}
				go u.serve(id, conn, i == 0)
			}
		}()
		l.register(id, "sonda", listener.Addr().String(), 4, 1, "ready", time.Now().UnixMilli())
	}
	l.configure(3, []route{{name: "r-upload", prefix: "/pule252/", kind: "upload", service: "sonda", timeoutMs: 6000, targetMs: 800, isPublic: true}}, nil)
	if err = l.start(l.vms[0], true); err != nil {
		return "", err
	}
	if err = l.awaitReady(); err != nil {
		return "", err
	}
	ids := make(chan string)
	go func() {
		defer close(ids)
		for range unframedRequests {
			ids <- newID()
		}
	}()
	var wait sync.WaitGroup
	var mu sync.Mutex
	whole, cut, failed := 0, 0, 0
	for range unframedClients {
		wait.Go(func() {
			for id := range ids {
				got := sendUpload(l.vms[0].front(), id)
				u.mu.Lock()
				expected := u.whole[id]
				u.mu.Unlock()
				r.line("client got status %d for %s, signature %q, %d of %d bytes, complete %v (%v)",
					got.status, id, got.signature, len(got.body), len(expected), got.err == nil, got.err)
				mu.Lock()
				switch {
				case got.err != nil || got.status/100 != 2:
					failed++
				case bytes.Equal(got.body, expected):
					whole++
				default:
					cut++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	reset := 0
	for _, isBroken := range u.broken {
		if isBroken {
			reset++
		}
	}
	r.line("%d requests, %d answers reset in the middle; clients got %d whole answers, %d cut ones as whole, %d failures",
		unframedRequests, reset, whole, cut, failed)
	if whole < unframedRequests*3/4 || hasTrouble && reset == 0 {
		return "", fmt.Errorf("%d whole answers and %d resets are too few for a verdict", whole, reset)
	}
	if cut > 0 {
		return fmt.Sprintf("MIXED: for %d of %d answers that were reset in the middle, the client got a success with a part of the backend's body as the whole one", cut, reset), nil
	}
	return "", nil
}

// sendUpload sends one upload on a new connection and reads the answer.
func sendUpload(address, id string) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
		_, _ = conn.Write(bytes.Repeat([]byte("u"), uploadBytes))
	}()
	return readAnswer(bufio.NewReader(conn))
}
