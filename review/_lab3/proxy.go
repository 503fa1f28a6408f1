package main

import (
	"net"
	"sync"
)

// proxy is a path to the store that can be cut: then it passes nothing on, in both
// directions, and closes nothing.
type proxy struct {
	address string

	mu   sync.Mutex
	open chan struct{}
}

// newProxy starts a proxy in front of an address.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(from, to)
		}
	}()
	return p, nil
}

// cut cuts the path, heal mends it.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// wait returns when the path isn't cut.
func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve(from net.Conn, address string) {
	p.wait()
	to, err := net.Dial("tcp4", address)
	if err != nil {
		_ = from.Close()
		return
	}
	pass := func(out, in net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := in.Read(buffer)
			p.wait()
			if n > 0 {
				if _, writeErr := out.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				_ = out.Close()
				_ = in.Close()
				return
			}
		}
	}
	go pass(to, from)
	pass(from, to)
}
