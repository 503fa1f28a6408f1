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

// link sends messages to one VM.
type link struct {
	mesh          *Mesh
	vm            ferry.VM
	cancel        context.CancelFunc
	smallMessages chan Message
	values        chan Message
	// connected signals that the VM has opened a session, so that it can be dialed.
	connected chan struct{}
}

// run keeps a session open until ctx ends.
func (l *link) run(ctx context.Context) {
	jitter := l.jitter()
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		if err := l.runSession(ctx); err != nil && ctx.Err() == nil {
			l.mesh.config.Log.Debug("session to peer failed", slog.String("peer", string(l.vm.ID)), slog.Any("error", err))
		}
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff + jitter):
		case <-l.connected:
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// jitter returns an addition to the backoff, fixed for each pair of VMs. It
// keeps the VMs from all dialing a VM at the moment that it is reachable again.
func (l *link) jitter() time.Duration {
	pair := xxhash.Sum64String(string(l.mesh.self.VM) + "|" + string(l.vm.ID))
	return time.Duration(pair % uint64(minBackoff))
}

// runSession dials the VM and sends messages until an error occurs.
func (l *link) runSession(ctx context.Context) (err error) {
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
	group.Go(func() error { return l.sendQueue(groupCtx, session, l.smallMessages) })
	group.Go(func() error { return l.sendQueue(groupCtx, session, l.values) })
	group.Go(func() error {
		select {
		case <-session.CloseChan():
			return errors.New("the peer closed the session")
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

// sendQueue sends the messages of one queue on their own stream.
func (l *link) sendQueue(ctx context.Context, session *yamux.Session, queue <-chan Message) (err error) {
	var stream *yamux.Stream
	if stream, err = session.OpenStream(); err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	writer := bufio.NewWriter(stream)
	hello := Hello{VM: l.mesh.config.Self, Incarnation: l.mesh.config.Incarnation}
	if err = writeMessage(writer, hello); err != nil {
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
			if err = writeMessage(writer, message); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func writeMessage(writer io.Writer, message Message) error {
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
