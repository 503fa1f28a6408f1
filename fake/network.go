package fake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/peer"
)

const (
	// chunkBytes is the size of the pieces that a connection carries.
	chunkBytes = 32 << 10
	// maxQueuedChunks is the number of pieces that are on their way. A sender that
	// is cut off blocks when they are used up.
	maxQueuedChunks = 256
)

// Path is one direction between two VMs.
type Path struct {
	From ferry.VM
	To   ferry.VM
}

// Network connects VMs. Each direction between two VMs can be cut and
// delayed by itself. What is sent into a cut arrives after it, as long as the
// connection lives. The zero Network passes everything on at once. It is safe
// for concurrent use.
type Network struct {
	// Delay returns the time that bytes take on a path. Nil means none.
	Delay func(Path) time.Duration
	// Connect opens the connections that carry the bytes. Nil means TCP.
	Connect func(ctx context.Context, vm ferry.VM) (net.Conn, error)

	mu            sync.Mutex
	isPartitioned func(Path) bool
	changed       chan struct{}
}

// SetCut cuts the paths for which cut returns true and heals all others. Nil
// heals all.
func (n *Network) SetCut(isPartitioned func(Path) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// partitionState reports whether a path is cut and returns a channel that closes at the
// next change.
func (n *Network) partitionState(path Path) (isPartitioned bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.isPartitioned != nil && n.isPartitioned(path), n.changed
}

// waitUntilOpen waits until the path is open. It reports false when stop closes first.
func (n *Network) waitUntilOpen(path Path, stop <-chan struct{}) bool {
	for {
		isPartitioned, changed := n.partitionState(path)
		if !isPartitioned {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

func (n *Network) delay(path Path) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(path)
}

func (n *Network) connect(ctx context.Context, vm ferry.VM) (net.Conn, error) {
	if n.Connect != nil {
		return n.Connect(ctx, vm)
	}
	return peer.TCPDialer{}.Dial(ctx, vm)
}

// Dialer returns the dialer of one VM. It implements ferry.Dialer.
func (n *Network) Dialer(self ferry.VM) ferry.Dialer { return networkDialer{network: n, self: self} }

// networkDialer is the side of one VM.
type networkDialer struct {
	network *Network
	self    ferry.VM
}

// Dial implements ferry.Dialer. Both directions must be open.
func (d networkDialer) Dial(ctx context.Context, vm ferry.VM) (net.Conn, error) {
	outbound, inbound := Path{From: d.self, To: vm}, Path{From: vm, To: d.self}
	for _, path := range []Path{outbound, inbound} {
		if !d.network.waitUntilOpen(path, ctx.Done()) {
			return nil, trace.Wrap(ctx.Err())
		}
	}
	var remote net.Conn
	var err error
	if remote, err = d.network.connect(ctx, vm); err != nil {
		return nil, trace.Wrap(err)
	}
	local, relayed := net.Pipe()
	startCopy := func(path Path, from, to net.Conn) {
		chunks := make(chan chunk, maxQueuedChunks)
		go readChunks(from, chunks, d.network.delay(path))
		go d.network.writeChunks(path, to, chunks)
	}
	startCopy(outbound, relayed, remote)
	startCopy(inbound, remote, relayed)
	return local, nil
}

// chunk is a part of the bytes of a connection on its way.
type chunk struct {
	body []byte
	due  time.Time
}

// readChunks reads a connection until it ends.
func readChunks(from net.Conn, chunks chan<- chunk, delay time.Duration) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			chunks <- chunk{body: buffer[:count], due: time.Now().Add(delay)}
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes the pieces to a connection and closes it behind the last one.
// A failed write drops the rest.
func (n *Network) writeChunks(path Path, to net.Conn, chunks <-chan chunk) {
	var err error
	for pending := range chunks {
		if err != nil {
			continue
		}
		time.Sleep(time.Until(pending.due))
		if isPartitioned, _ := n.partitionState(path); isPartitioned {
			n.waitUntilOpen(path, nil)
			time.Sleep(n.delay(path))
		}
		_, err = to.Write(pending.body)
	}
	n.waitUntilOpen(path, nil)
	_ = to.Close()
}
