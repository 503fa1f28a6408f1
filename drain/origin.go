package drain

import (
	"context"
	"log/slog"
	"time"
)

// Origin tells how a request reached the VM.
type Origin struct {
	// IsKept reports that its connection has carried a request before.
	IsKept bool
	// Waited is the time for which the connection was idle, or new, before the first byte
	// of the request, and Header the time from that byte to the end of the header.
	Waited, Header time.Duration
}

// OriginOf returns the origin of a request that is being handled. ctx is the request's.
func OriginOf(ctx context.Context) Origin {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return Origin{}
	}
	waitsSince, partAt := time.Duration(c.waitsSince.Load()), time.Duration(c.partAt.Load())
	return Origin{
		IsKept: c.requests.Load() > 1, Waited: max(0, partAt-waitsSince),
		Header: time.Since(c.started) - max(partAt, waitsSince),
	}
}

// attributes describes the origin in the log.
func (o Origin) attributes() []slog.Attr {
	return []slog.Attr{slog.Bool("kept", o.IsKept), slog.Duration("waited", o.Waited), slog.Duration("header", o.Header)}
}
