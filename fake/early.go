package fake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// narrowSegment is the segment size of an Ethernet, in bytes. On loopback, segments of
	// 64 KB let the kernel hold a whole upload.
	narrowSegment = 1460
	// narrowBuffer is the receive buffer of a connection, in bytes.
	narrowBuffer = 8 << 10
	// halfClosedFor is the time between the end of a target's stream and the reset of its
	// connection: longer than the end takes to arrive.
	halfClosedFor = 10 * time.Millisecond
	// maxDelivery bounds the wait until bytes have arrived.
	maxDelivery = 500 * time.Millisecond
)

// Ending is how an EarlyTarget ends a connection.
type Ending int

// The endings.
const (
	// EndingClosed is a close after the whole request was read.
	EndingClosed Ending = iota
	// EndingReset is a reset.
	EndingReset
	// EndingUnread is a close with a part of the request unread, which resets the connection.
	EndingUnread
	// EndingHalfClosed is the end of the target's own stream, and a reset after that.
	EndingHalfClosed
	// Endings is the number of endings.
	Endings
)

// String implements fmt.Stringer.
func (e Ending) String() string {
	if e < 0 || e >= Endings {
		return "unknown"
	}
	return [...]string{"closed", "reset", "unread", "half closed"}[e]
}

// EarlyTarget is a target that responds before it has read the body of a request. Its
// connections are narrow, so that a body that it does not read blocks the writer.
type EarlyTarget struct {
	// Respond returns the bytes of the response to a request.
	Respond func(request *http.Request) []byte
	// RespondFirst returns the bytes of a whole response to the first request of a connection,
	// which has no body. If it is nil, connections carry one request.
	RespondFirst func(request *http.Request) []byte
	// Ending is how the connection ends once the response has arrived.
	Ending Ending
}

// ListenNarrow returns a listener on loopback, until ctx ends, whose connections have the
// segments and the small windows of a network.
func ListenNarrow(ctx context.Context) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: narrow}
	opened, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener := opened.(*net.TCPListener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	return listener, nil
}

// Listen starts the target on loopback until ctx ends and returns its listener.
func (e EarlyTarget) Listen(ctx context.Context) (*net.TCPListener, error) {
	listener, err := ListenNarrow(ctx)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, acceptErr := listener.AcceptTCP()
			if acceptErr != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return listener, nil
}

// narrow sets the segment size and the receive buffer of a listener.
func narrow(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		if optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_MAXSEG, narrowSegment); optionErr == nil {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowBuffer)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// serve responds to one request and ends the connection.
func (e EarlyTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if e.RespondFirst != nil {
		first, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = conn.Write(e.RespondFirst(first)); err != nil {
			return
		}
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if e.Ending == EndingClosed {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if _, err = conn.Write(e.Respond(request)); err != nil {
		return
	}
	// A reset discards what has not been delivered.
	awaitQueue(conn, unix.SIOCOUTQ, func(bytes int) bool { return bytes == 0 })
	switch e.Ending {
	case EndingReset:
		_ = conn.SetLinger(0)
	case EndingUnread:
		awaitQueue(conn, unix.SIOCINQ, func(bytes int) bool { return bytes > 0 })
	case EndingHalfClosed:
		_ = conn.CloseWrite()
		time.Sleep(halfClosedFor)
	default:
	}
}

// awaitQueue waits until the number of bytes in a queue of the socket, SIOCOUTQ or SIOCINQ,
// meets a condition.
func awaitQueue(conn *net.TCPConn, queue uint, isMet func(bytes int) bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for deadline := time.Now().Add(maxDelivery); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		queued := 0
		err = raw.Control(func(descriptor uintptr) { queued, _ = unix.IoctlGetInt(int(descriptor), queue) })
		if err != nil || isMet(queued) {
			return
		}
	}
}
