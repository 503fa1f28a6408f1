package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/flight"
)

const (
	// maxBodyWait bounds the wait of a new body for room in the budget: a part of an
	// objective, so that the caller can go elsewhere in time.
	maxBodyWait = 200 * time.Millisecond
	// bodyRetryInterval is the time between two tries while a body waits.
	bodyRetryInterval = 20 * time.Millisecond
	// stallTime is the time without a byte of its caller after which a body is ended
	// while others wait: longer than the repetition of two lost packets.
	stallTime = 2 * time.Second
	// unreadTimeout bounds the wait for the rest of a body after the refusal of its
	// request: package http reads it before the response.
	unreadTimeout = 500 * time.Millisecond
	// fullRetryAfter is the RetryAfter when the budget of bodies is used up.
	fullRetryAfter = 500 * time.Millisecond
)

// errStalled reports that a body was ended because others waited for room.
var errStalled = errors.New("the body made no progress while others waited")

// payloadKey is the context key of a request's payload.
type payloadKey struct{}

// BodyFilter reads the beginning of the body before the request waits for
// anything. Package http detects that a caller has disconnected only after the
// body was read. What is buffered comes out of Bytes; the nil Ledger has no limit.
type BodyFilter struct {
	Bytes *flight.Ledger
}

// Filter implements ferry.Filter.
func (f BodyFilter) Filter(ctx context.Context, exchange *ferry.Exchange, next ferry.Handler) error {
	hold := f.Bytes.Open(ownerOf(exchange))
	defer hold.Release()
	body, err := f.receive(ctx, exchange, hold)
	if err != nil {
		return err
	}
	body.hold = hold
	return next.Handle(context.WithValue(ctx, payloadKey{}, body), exchange)
}

// ownerOf returns who shares a budget: a client account, or an address.
func ownerOf(exchange *ferry.Exchange) string {
	if exchange.Account != nil {
		return "account " + string(exchange.Account.ID)
	}
	address, _, err := net.SplitHostPort(exchange.Request.RemoteAddr)
	if err != nil {
		return exchange.Request.RemoteAddr
	}
	return address
}

// receive reads the beginning of the body, at most until the deadline of the request.
func (f BodyFilter) receive(ctx context.Context, exchange *ferry.Exchange, hold *flight.Hold) (*payload, error) {
	if !hasBody(exchange.Request) {
		return &payload{}, nil
	}
	reception := newReception(exchange, hold)
	drain.SetReceiving(ctx, true)
	defer drain.SetReceiving(ctx, false)
	reception.setReadDeadline(time.Now().Add(timeLimit(exchange)))
	// A planned stop may end the wait for the body.
	defer context.AfterFunc(ctx, func() { reception.setReadDeadline(time.Unix(1, 0)) })()
	body, err := readPayload(exchange.Request, reception, exchange.Route.BodyLimit, func(from, to int64) error {
		return f.take(ctx, reception, from, to)
	})
	if errors.Is(err, errStalled) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &ferry.RefusalError{
			Status: http.StatusRequestTimeout, Reason: ferry.ReasonSlowBody, Outcome: ferry.OutcomeNotRun,
			RetryAfter: fullRetryAfter, Detail: "the body did not come in time",
		}
	}
	if err != nil {
		return nil, err
	}
	reception.setReadDeadline(time.Time{})
	return body, nil
}

// take makes room for a larger buffer. Only a body of which nothing was read waits.
func (f BodyFilter) take(ctx context.Context, reception *reception, from, to int64) error {
	hold := reception.hold
	switch {
	case from > 0 && to > minBuffered:
		if hold.TakeSpare(to - from) {
			return nil
		}
	case from > 0:
		if hold.Take(to - from) {
			return nil
		}
	case f.await(ctx, reception, to):
		return nil
	}
	return &ferry.RefusalError{
		Status: http.StatusServiceUnavailable, Reason: ferry.ReasonBodyBudget, Outcome: ferry.OutcomeNotRun,
		RetryAfter: fullRetryAfter, Detail: "the bodies in flight have used up their budget",
	}
}

// await waits for room. While it waits, the body that has stalled longest is ended.
func (f BodyFilter) await(ctx context.Context, reception *reception, size int64) bool {
	if reception.hold.Take(size) {
		return true
	}
	timeout := time.NewTimer(maxBodyWait)
	defer timeout.Stop()
	retry := time.NewTicker(bodyRetryInterval)
	defer retry.Stop()
	for {
		freed := f.Bytes.Freed()
		f.Bytes.EndStalled(reception.now(), stallTime)
		select {
		case <-freed:
		case <-retry.C:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
		if reception.hold.Take(size) {
			return true
		}
	}
}

// requestPayload returns the payload that BodyFilter read, or reads it.
func requestPayload(ctx context.Context, exchange *ferry.Exchange) (*payload, error) {
	if body, ok := ctx.Value(payloadKey{}).(*payload); ok {
		return body, nil
	}
	return BodyFilter{}.receive(ctx, exchange, nil)
}

// reception reads the body of a request. While a read waits for the caller, the hold of
// the request may be ended.
type reception struct {
	body       io.Reader
	hold       *flight.Hold
	controller *http.ResponseController
	// arrived is the monotonic time at which the request began, startedAt the same on
	// the clock of deadlines.
	arrived   time.Duration
	startedAt time.Time
}

func newReception(exchange *ferry.Exchange, hold *flight.Hold) *reception {
	return &reception{
		body: exchange.Request.Body, hold: hold, controller: http.NewResponseController(exchange.Writer),
		arrived: exchange.Arrived.Monotonic, startedAt: time.Now(),
	}
}

func (r *reception) now() time.Duration { return r.arrived + time.Since(r.startedAt) }

// setReadDeadline bounds reads. Without support for deadlines, they wait for the caller.
func (r *reception) setReadDeadline(deadline time.Time) { _ = r.controller.SetReadDeadline(deadline) }

// Read implements io.Reader.
func (r *reception) Read(p []byte) (int, error) {
	r.hold.Receive(r.now(), func() { r.setReadDeadline(time.Unix(1, 0)) })
	n, err := r.body.Read(p)
	if !r.hold.Received() {
		return n, errStalled
	}
	return n, err
}
