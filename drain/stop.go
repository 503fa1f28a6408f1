package drain

import (
	"context"
	"log/slog"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// closeInterval is the time between two checks for requests that are overdue and for
	// quiet connections.
	closeInterval = 20 * time.Millisecond
	// quietBeforeClose is the time without input after which a connection without a
	// request is closed: a round trip with a lost packet.
	quietBeforeClose = 500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process: a VM
	// with little processor time may be held up for as long as half of it.
	exitMargin = 300 * time.Millisecond
)

// Connections are the connections of callers, as a Listener keeps them.
type Connections interface {
	StopAccepting() error
	CloseQuiet(quiet time.Duration) int
	CloseUnread()
	Remaining() int
}

// Stop carries out a planned stop whose grace period has begun. All fields are required.
type Stop struct {
	Clock       ferry.Clock
	Requests    *Requests
	Connections Connections
	// MayClose reports whether callers have learned to go elsewhere, so that no more
	// connections need to be accepted. remaining is the rest of the grace period.
	MayClose func(now ferry.Moment, remaining time.Duration) bool
	Log      *slog.Logger
}

// Run serves the requests that can be answered in the grace period and refuses the
// others. It returns true when no connection is left, and false when the grace period is
// over, or ctx has ended.
func (s Stop) Run(ctx context.Context) (isComplete bool) {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for isListening := true; ; {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		now := s.Clock.Now()
		ended := s.Requests.EndOverdue(ctx, now)
		remaining, _ := s.Requests.Grace.Remaining(now)
		if ended > 0 && remaining > 0 {
			// Their answers are written first, also by a VM that was held up until the end.
			continue
		}
		if remaining <= exitMargin {
			s.Requests.LogCut(ctx, now)
			return false
		}
		if isListening && s.MayClose(now, remaining) {
			isListening = false
			if err := s.Connections.StopAccepting(); err != nil {
				s.Log.Warn("listener for callers not stopped", "error", err)
			}
		}
		if isListening {
			continue
		}
		s.closeQuiet(now)
		if s.Connections.Remaining() == 0 {
			return true
		}
	}
}

// closeQuiet closes the connections of callers that have no request. Once the time of
// targets is over, none is waited for: it would be refused.
func (s Stop) closeQuiet(now ferry.Moment) {
	if left, _ := s.Requests.Grace.Left(now); left <= 0 {
		s.Connections.CloseUnread()
		return
	}
	s.Connections.CloseQuiet(quietBeforeClose)
}
