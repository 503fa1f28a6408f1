package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/peer/peerpb"
)

// Bounds of queues, frames and sessions.
const (
	// smallQueueLength and valueQueueLength bound the messages to one peer.
	smallQueueLength = 1024
	valueQueueLength = 64
	// inboundQueueLength bounds the received messages that wait for Next.
	inboundQueueLength = 4096
	// maxFrameBytes is the largest frame: a value of the platform and its name.
	maxFrameBytes = 1<<20 + 1<<12
	// maxSessions bounds the sessions that other VMs may open.
	maxSessions = 1024
	// maxStreams bounds the streams of one session.
	maxStreams = 4

	dialTimeout  = time.Second
	helloTimeout = 3 * time.Second
	writeTimeout = 2 * time.Second
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Config describes this VM's side of a mesh.
type Config struct {
	Self        ferry.VM
	Incarnation uint64
	// DialTLS and ServeTLS secure the sessions. Nil means plain text.
	DialTLS  *tls.Config
	ServeTLS *tls.Config
	// Dialer opens the sessions. Nil means TCP.
	Dialer ferry.Dialer
	Log    *slog.Logger
}

// Mesh is the set of sessions with the other VMs. It is safe for concurrent
// use.
type Mesh struct {
	config  Config
	self    limit.Process
	inbound chan Inbound

	mu    sync.Mutex
	links map[ferry.VMID]*link

	sessions  atomic.Int64
	dropped   atomic.Uint64
	sentBytes atomic.Uint64
	readBytes atomic.Uint64
}

// NewMesh returns a mesh without sessions.
func NewMesh(config Config) *Mesh {
	if config.Dialer == nil {
		config.Dialer = TCPDialer{}
	}
	return &Mesh{
		config:  config,
		self:    limit.Process{VM: config.Self.ID, Incarnation: config.Incarnation},
		inbound: make(chan Inbound, inboundQueueLength),
		links:   map[ferry.VMID]*link{},
	}
}

// Usage returns the bytes sent and received and the messages dropped so far.
func (m *Mesh) Usage() (sent, received, dropped uint64) {
	return m.sentBytes.Load(), m.readBytes.Load(), m.dropped.Load()
}

// Next returns the next received message. It returns the error of ctx if ctx
// ends first.
func (m *Mesh) Next(ctx context.Context) (Inbound, error) {
	select {
	case inbound := <-m.inbound:
		return inbound, nil
	case <-ctx.Done():
		return Inbound{}, ctx.Err()
	}
}

// SetPeers opens sessions to the given VMs and closes the sessions to all
// others. The sessions end with ctx.
func (m *Mesh) SetPeers(ctx context.Context, vms []ferry.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[ferry.VMID]bool{}
	for _, vm := range vms {
		wanted[vm.ID] = true
		old := m.links[vm.ID]
		if old != nil && old.vm.Peers == vm.Peers {
			continue
		}
		if old != nil {
			old.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{
			mesh: m, vm: vm, cancel: cancel,
			smallMessages: make(chan Message, smallQueueLength),
			values:        make(chan Message, valueQueueLength),
			connected:     make(chan struct{}, 1),
		}
		m.links[vm.ID] = l
		go l.run(linkCtx)
	}
	for id, l := range m.links {
		if !wanted[id] {
			l.cancel()
			delete(m.links, id)
		}
	}
}

// Send queues a message for a VM. It reports false when the VM is unknown or
// its queue is full.
func (m *Mesh) Send(to ferry.VMID, message Message) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	queue := l.smallMessages
	if _, isValue := message.(Value); isValue {
		queue = l.values
	}
	select {
	case queue <- message:
		return true
	default:
		m.dropped.Add(1)
		return false
	}
}

// endBackoff ends the backoff of the link to a VM before its next dial.
func (m *Mesh) endBackoff(id ferry.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[id]; l != nil {
		select {
		case l.connected <- struct{}{}:
		default:
		}
	}
}

// Serve accepts sessions from other VMs until ctx ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		var conn net.Conn
		var err error
		if conn, err = listener.Accept(); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "accept a session of a peer")
		}
		if m.sessions.Add(1) > maxSessions {
			m.sessions.Add(-1)
			_ = conn.Close()
			continue
		}
		go func() {
			defer m.sessions.Add(-1)
			if err := m.serveSession(ctx, conn); err != nil && !errors.Is(err, io.EOF) {
				m.config.Log.Debug("session from peer ended", slog.String("remote", conn.RemoteAddr().String()), slog.Any("error", err))
			}
		}()
	}
}

// sessionConfig returns the limits of a yamux session.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = maxStreams
	config.KeepAliveInterval = 10 * time.Second
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

func (m *Mesh) serveSession(ctx context.Context, conn net.Conn) (err error) {
	defer func() { _ = conn.Close() }()
	if m.config.ServeTLS != nil {
		conn = tls.Server(conn, m.config.ServeTLS)
	}
	var session *yamux.Session
	if session, err = yamux.Server(countedConn{Conn: conn, mesh: m}, sessionConfig()); err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	streamErrors := make(chan error, maxStreams)
	var firstHello sync.Once
	for range maxStreams {
		var stream *yamux.Stream
		if stream, err = session.AcceptStreamWithContext(ctx); err != nil {
			break
		}
		go func() { streamErrors <- m.serveStream(ctx, stream, &firstHello) }()
		if session.NumStreams() >= maxStreams {
			break
		}
	}
	if err != nil {
		return err
	}
	return <-streamErrors
}

// serveStream reads frames until the stream ends or violates the protocol. The
// first hello of a session ends the backoff of the link to its sender.
func (m *Mesh) serveStream(ctx context.Context, stream *yamux.Stream, firstHello *sync.Once) (err error) {
	defer func() { _ = stream.Session().Close() }()
	if err = stream.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return trace.Wrap(err)
	}
	reader := bufio.NewReader(stream)
	var from limit.Process
	for {
		var frame peerpb.Frame
		if err = (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(reader, &frame); err != nil {
			return err
		}
		var message Message
		if message, err = decode(&frame, from, m.self); err != nil {
			return err
		}
		hello, isHello := message.(Hello)
		switch {
		case from == (limit.Process{}) && !isHello:
			return trace.BadParameter("the first frame is %s instead of a hello", typeName(message))
		case from == (limit.Process{}):
			from = limit.Process{VM: hello.VM.ID, Incarnation: hello.Incarnation}
			firstHello.Do(func() { m.endBackoff(from.VM) })
			if err = stream.SetReadDeadline(time.Time{}); err != nil {
				return trace.Wrap(err)
			}
		case isHello:
			return trace.BadParameter("the stream has a second hello")
		}
		select {
		case m.inbound <- Inbound{From: from, Message: message}:
		case <-ctx.Done():
			return nil
		}
	}
}

// countedConn counts the bytes sent to and received from other VMs.
type countedConn struct {
	net.Conn
	mesh *Mesh
}

// Read implements io.Reader.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mesh.readBytes.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.mesh.sentBytes.Add(uint64(n))
	return n, err
}
