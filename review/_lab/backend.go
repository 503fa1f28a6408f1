package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend stands in for one backend. handle serves one request that expects this
// instance; it has to read the body. It reports whether the connection stays open.
type backend struct {
	id, service, zone string
	address           string
	capacity          int
	handle            func(b *backend, conn net.Conn, request *http.Request) bool

	mu   sync.Mutex
	busy int
}

func (l *lab) startBackend(s *store, b *backend) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	go func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	s.put("servers/"+b.id, map[string]any{
		"address": b.address, "born": time.Now().Add(-time.Minute).UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "capacity": b.capacity},
		"status": map[string]any{"state": "ready", "sequence": 4, "coldRemainingMs": 0},
	})
	l.note("backend %s of service %s registered", b.id, b.service)
	return nil
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b.id, request.Header.Get("Request-Id"))
			return
		}
		if !b.take() {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request.Header.Get("Request-Id"))
			return
		}
		isOpen := b.handle(b, conn, request)
		b.release()
		if !isOpen {
			return
		}
	}
}

// take takes a slot or a place in the queue, which holds 16 requests.
func (b *backend) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy >= b.capacity+16 {
		return false
	}
	b.busy++
	return true
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// load is the value of Backend-Load.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(b.busy, b.capacity), max(0, b.busy-b.capacity), b.capacity)
}

// head returns the head of a success.
func (b *backend) head(request *http.Request, length int) string {
	id := request.Header.Get("Request-Id")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nBackend-Load: %s\r\nContent-Length: %d\r\n\r\n", id, b.id, id, b.load(), length)
}
