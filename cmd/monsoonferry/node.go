package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/node"
	"monsoonferry.org/ferry/platform"
)

// heapPercent is the part of the VM's memory up to which the collector may let the
// heap grow; sockets and stacks need the rest.
const heapPercent = 70

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "serve as one VM of a fleet on the users' machines",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true,
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runNode(ctx, command.String("settings"))
		},
	}
}

// runNode runs until the planned stop that SIGTERM or SIGINT starts is
// complete.
func runNode(ctx context.Context, name string) error {
	settings, err := platform.ReadSettings(name)
	if err != nil {
		return trace.Wrap(err, "%s", name)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit / 100 * heapPercent)
	}
	writer := node.NewLogWriter(os.Stdout)
	stop := make(chan struct{})
	written := make(chan struct{})
	go func() {
		writer.Run(stop)
		close(written)
	}()
	defer func() {
		close(stop)
		<-written
	}()
	log := node.NewLogger(writer, string(settings.ID), slog.LevelInfo)
	n := newNode(settings, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go followSignals(ctx, name, n, log)
	return n.Run(ctx)
}

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = 2 * time.Second

// followSignals stops the VM on SIGTERM and SIGINT, and reads the settings
// again on SIGHUP and when the file has changed.
func followSignals(ctx context.Context, name string, n *node.Node, log *slog.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	changed := changedAt(name)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				n.Drain()
				continue
			}
			reload(name, n, log)
		case <-ticker.C:
			if at := changedAt(name); !at.Equal(changed) {
				changed = at
				reload(name, n, log)
			}
		}
	}
}

// changedAt returns the time of the last change of a file, or the zero time.
func changedAt(name string) time.Time {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again. Settings that can't be used change nothing.
func reload(name string, n *node.Node, log *slog.Logger) {
	settings, err := platform.ReadSettings(name)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	n.Reload(settings)
}

// newHandlers returns the platform's calls that reach a VM.
func newHandlers() node.Handlers {
	return node.Handlers{
		Ready:     platform.NewReadyHandler,
		Directory: func(directory *node.Directory) http.Handler { return platform.NewDirectoryHandler(directory) },
	}
}
