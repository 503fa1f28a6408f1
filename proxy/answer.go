package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
)

// watchedBody reads a target's answer and cancels the attempt when the target
// makes no progress for the stall time. Time that the caller takes to receive
// the answer does not count.
type watchedBody struct {
	body   io.Reader
	stall  time.Duration
	cancel context.CancelCauseFunc
	check  func() error

	failed  bool
	stalled bool
	timer   *time.Timer
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(b.stall, func() { b.cancel(errStall) })
	} else {
		b.timer.Reset(b.stall)
	}
	n, err := b.body.Read(buffer)
	inTime := b.timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = !errors.Is(err, context.Canceled) || !inTime
		b.stalled = !inTime
	}
	return n, err
}

// verdict returns the evidence of a failed read.
func (b *watchedBody) verdict() ferry.Verdict {
	if b.stalled {
		return ferry.VerdictStall
	}
	return ferry.VerdictCutBody
}

// callerSink writes the answer to the caller. A caller without progress is cut
// off.
type callerSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	flush      bool
}

// Write implements io.Writer.
func (s *callerSink) Write(buffer []byte) (int, error) {
	if err := s.controller.SetWriteDeadline(time.Now().Add(callerStall)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := s.writer.Write(buffer)
	if err == nil && s.flush {
		err = s.controller.Flush()
	}
	return n, err
}
