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

	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/node"
	"monsoonferry.org/ferry/platform"
)

// heapPercent is the part of the VM's memory that the garbage collector lets the
// heap use; sockets and stacks need the rest.
const heapPercent = 70

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "serve as one VM of a fleet on the operators' platform",
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
func runNode(ctx context.Context, path string) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return trace.Wrap(err, "%s", path)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit / 100 * heapPercent)
	}
	writer := node.NewLogWriter(os.Stdout)
	stopWriter := make(chan struct{})
	writerDone := make(chan struct{})
	go func() {
		writer.Run(stopWriter)
		close(writerDone)
	}()
	defer func() {
		close(stopWriter)
		<-writerDone
	}()
	log := node.NewLogger(writer, string(settings.ID), slog.LevelInfo)
	n := newNode(settings, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go handleSignals(ctx, path, n, log)
	return n.Run(ctx)
}

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// signaled is what signals act on.
type signaled interface {
	Drain()
	Reload(settings conf.NodeSettings)
}

// handleSignals starts the planned stop on SIGTERM and SIGINT. Settings are reloaded
// beside it, since a disk may hold up the read of their file.
func handleSignals(ctx context.Context, path string, n signaled, log *slog.Logger) {
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	go handleReloads(ctx, path, reloads, n, log)
	for {
		select {
		case <-ctx.Done():
			return
		case <-stops:
			n.Drain()
		}
	}
}

// handleReloads reloads the settings on a signal and when the file has changed.
func handleReloads(ctx context.Context, path string, reloads <-chan os.Signal, n signaled, log *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTimeOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			reload(path, n, log)
		case <-ticker.C:
			if modTime := modTimeOf(path); !modTime.Equal(lastModTime) {
				lastModTime = modTime
				reload(path, n, log)
			}
		}
	}
}

// modTimeOf returns the modification time of a file, or the zero time on error.
func modTimeOf(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload rereads the settings. Invalid settings are logged and change nothing.
func reload(path string, n signaled, log *slog.Logger) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	n.Reload(settings)
}

// newHandlers returns the handlers of the platform's calls to a VM.
func newHandlers() node.Handlers {
	return node.Handlers{
		Ready:     platform.NewReadyHandler,
		Directory: func(directory *node.Directory) http.Handler { return platform.NewDirectoryHandler(directory) },
	}
}
