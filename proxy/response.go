package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"monsoonferry.org/ferry"
)

// watchedBody reads the body of a target's response and cancels the attempt when
// the target makes no progress for stallTimeout. The time that the caller takes
// to receive the response does not count.
type watchedBody struct {
	body         io.Reader
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc
	checkKey     func() error

	isTargetFault bool
	isStalled     bool
	timer         *time.Timer
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	if err := b.checkKey(); err != nil {
		return 0, err
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(b.stallTimeout, func() { b.cancel(errStall) })
	} else {
		b.timer.Reset(b.stallTimeout)
	}
	n, err := b.body.Read(buffer)
	inTime := b.timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		b.isTargetFault = !errors.Is(err, context.Canceled) || !inTime
		b.isStalled = !inTime
	}
	return n, err
}

// verdict returns the verdict on the target after a failed read.
func (b *watchedBody) verdict() ferry.Verdict {
	if b.isStalled {
		return ferry.VerdictStall
	}
	return ferry.VerdictCutBody
}

// callerWriter writes the response to the caller. A write fails when the caller
// makes no progress for callerStallTimeout.
type callerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	mustFlush  bool
}

// Write implements io.Writer.
func (w *callerWriter) Write(buffer []byte) (int, error) {
	if err := w.controller.SetWriteDeadline(time.Now().Add(callerStallTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := w.writer.Write(buffer)
	if err == nil && w.mustFlush {
		err = w.controller.Flush()
	}
	return n, err
}
