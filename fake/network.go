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
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
	// maxQueuedChunks is the maximum number of chunks in transit per direction of
	// a connection. A partitioned sender blocks when the queue is full.
	maxQueuedChunks = 256
)

// Path is one direction between two VMs.
type Path struct {
	From ferry.VM
	To   ferry.VM
}

// Network connects VMs. Each direction between two VMs can be partitioned and
// delayed separately. Bytes sent during a partition arrive when it heals, unless
// the connection has closed. The zero Network adds no delay. It is safe for
// concurrent use.
type Network struct {
	// Delay returns the latency of a path. Nil means none.
	Delay func(Path) time.Duration
	// Connect opens the underlying connections. Nil means TCP.
	Connect func(ctx context.Context, vm ferry.VM) (net.Conn, error)

	mu            sync.Mutex
	isPartitioned func(Path) bool
	changed       chan struct{}
}

// SetPartition partitions the paths for which isPartitioned returns true and
// heals all others. Nil heals all paths.
func (n *Network) SetPartition(isPartitioned func(Path) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// partitionState reports whether a path is partitioned and returns a channel that
// closes at the next call of SetPartition.
func (n *Network) partitionState(path Path) (isPartitioned bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.isPartitioned != nil && n.isPartitioned(path), n.changed
}

// waitUntilOpen waits until path is open. It reports false if stop closes first.
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

// networkDialer dials from the VM self.
type networkDialer struct {
	network *Network
	self    ferry.VM
}

// Dial implements ferry.Dialer. It waits until both directions are open.
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

// chunk holds bytes in transit, which arrive at the time due.
type chunk struct {
	body []byte
	due  time.Time
}

// readChunks reads chunks from a connection until a read fails.
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

// writeChunks writes the chunks to a connection and closes it after the last one.
// After a failed write it discards the remaining chunks.
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
