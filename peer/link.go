package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/peer/peerpb"
)

// link is the sending side towards one VM.
type link struct {
	mesh   *Mesh
	vm     ferry.VM
	cancel context.CancelFunc
	small  chan Message
	values chan Message
	// heard tells that the VM has opened a session, so that it can be dialed.
	heard chan struct{}
}

// run keeps a session open until ctx ends.
func (l *link) run(ctx context.Context) {
	jitter := l.jitter()
	wait := redialMin
	for ctx.Err() == nil {
		started := time.Now()
		if err := l.session(ctx); err != nil && ctx.Err() == nil {
			l.mesh.config.Log.Debug("peer link down", slog.String("peer", string(l.vm.ID)), slog.Any("error", err))
		}
		if time.Since(started) > redialMax {
			wait = redialMin
		}
		select {
		case <-time.After(wait + jitter):
		case <-l.heard:
		case <-ctx.Done():
		}
		wait = min(2*wait, redialMax)
	}
}

// jitter keeps the VMs from dialing a returning VM at the same moment. Each
// pair of VMs has its own.
func (l *link) jitter() time.Duration {
	pair := xxhash.Sum64String(string(l.mesh.self.VM) + "|" + string(l.vm.ID))
	return time.Duration(pair % uint64(redialMin))
}

// session dials the VM and sends until something fails.
func (l *link) session(ctx context.Context) (err error) {
	var conn net.Conn
	if conn, err = l.dial(ctx); err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if l.mesh.config.DialTLS != nil {
		conn = tls.Client(conn, l.mesh.config.DialTLS)
	}
	var session *yamux.Session
	if session, err = yamux.Client(countedConn{Conn: conn, mesh: l.mesh}, sessionConfig()); err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = session.Close() }()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.pump(groupCtx, session, l.small) })
	group.Go(func() error { return l.pump(groupCtx, session, l.values) })
	group.Go(func() error {
		select {
		case <-session.CloseChan():
			return errors.New("the other side closed the session")
		case <-groupCtx.Done():
			return session.Close()
		}
	})
	return group.Wait()
}

// dial connects within dialTimeout.
func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.mesh.config.Dialer.Dial(ctx, l.vm)
}

// TCPDialer implements ferry.Dialer.
type TCPDialer struct{}

// Dial implements ferry.Dialer.
func (TCPDialer) Dial(ctx context.Context, vm ferry.VM) (net.Conn, error) {
	var dialer net.Dialer
	var conn net.Conn
	var err error
	if conn, err = dialer.DialContext(ctx, "tcp", vm.Peers.String()); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return conn, nil
}

// pump sends the messages of one queue on a stream of its own.
func (l *link) pump(ctx context.Context, session *yamux.Session, queue <-chan Message) (err error) {
	var stream *yamux.Stream
	if stream, err = session.OpenStream(); err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	writer := bufio.NewWriter(stream)
	hello := Hello{VM: l.mesh.config.Self, Incarnation: l.mesh.config.Incarnation}
	if err = write(writer, hello); err != nil {
		return err
	}
	for {
		if err = stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return trace.Wrap(err)
		}
		if len(queue) == 0 {
			if err = writer.Flush(); err != nil {
				return trace.Wrap(err)
			}
		}
		select {
		case message := <-queue:
			if err = stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return trace.Wrap(err)
			}
			if err = write(writer, message); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func write(writer io.Writer, message Message) error {
	var frame *peerpb.Frame
	var err error
	if frame, err = encode(message); err != nil {
		return err
	}
	if _, err = protodelim.MarshalTo(writer, frame); err != nil {
		return trace.Wrap(err)
	}
	return nil
}
