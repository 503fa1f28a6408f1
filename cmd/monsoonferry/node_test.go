package main

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/conf"
)

// signaledNode counts what signals make a VM do.
type signaledNode struct{ drains, reloads atomic.Int64 }

func (n *signaledNode) Drain()                   { n.drains.Add(1) }
func (n *signaledNode) Reload(conf.NodeSettings) { n.reloads.Add(1) }

// The settings file can't be read for as long as nobody writes to the pipe.
func TestStopDoesNotWaitForReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	n := &signaledNode{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ready := make(chan struct{})
	go func() {
		close(ready)
		handleSignals(ctx, path, n, slog.New(slog.DiscardHandler))
	}()
	<-ready
	time.Sleep(50 * time.Millisecond)
	for range 6 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	for deadline := time.Now().Add(time.Second); n.drains.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(n.drains.Load(), int64(1))
}
