package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// startingSnapshots has no configuration before arrives is closed.
type startingSnapshots struct{ arrives chan struct{} }

func (startingSnapshots) Snapshot() ferry.Snapshot { return nil }

func (s startingSnapshots) WaitFirst(ctx context.Context) ferry.Snapshot {
	select {
	case <-s.arrives:
		return conf.NewSnapshot(&ferry.Inventory{Version: 7})
	case <-ctx.Done():
		return nil
	}
}

// versionHandler responds with the version of the configuration of a request.
type versionHandler struct{ version uint64 }

func (h *versionHandler) Handle(_ context.Context, exchange *ferry.Exchange) error {
	h.version = exchange.Snapshot.Version()
	exchange.Status = http.StatusOK
	exchange.Writer.WriteHeader(http.StatusOK)
	return nil
}

// A request that arrives before the first configuration of a process waits for it, a
// part of its time at most, and is refused as not run if it doesn't come.
func TestWaitForFirstConfiguration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	serve := func(snapshots startingSnapshots, deadline string) (status int, version uint64) {
		handler := &versionHandler{}
		server := NewServer(handler, snapshots, testDialect{}, ferry.NewSystemClock(), slog.New(slog.DiscardHandler), NewMetrics(metrics.NewSet()))
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set(testDeadline, deadline)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		return recorder.Code, handler.version
	}
	arrives := make(chan struct{})
	time.AfterFunc(10*time.Millisecond, func() { close(arrives) })
	status, version := serve(startingSnapshots{arrives: arrives}, "60000")
	is.Equal(status, http.StatusOK)
	is.Equal(version, uint64(7))
	status, _ = serve(startingSnapshots{arrives: make(chan struct{})}, "200")
	is.Equal(status, http.StatusServiceUnavailable)
}
