// Command monsoonferry runs one VM of a proxy fleet and provides commands to operate it.
//
// Usage:
//
//	monsoonferry serve --settings FILE
//	monsoonferry node [--settings FILE]
//	monsoonferry explain --id ID [LOG FILE ...]
//	monsoonferry check [--settings FILE] [--inventory FILE [--against FILE]]
//	monsoonferry check --platform FILE [--against FILE | --against-store] [--targets FILE] [--settings FILE] [--format text|json]
//	monsoonferry status --admin ADDRESS --key KEY
//	monsoonferry drain --admin ADDRESS --key KEY
//	monsoonferry version
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/check"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/host"
)

func main() {
	command := &cli.Command{
		Name:                  "monsoonferry",
		Usage:                 "a proxy fleet for targets with gray failures",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), nodeCommand(), explainCommand(), checkCommand(), statusCommand(), drainCommand(), versionCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		var found findingsError
		if errors.As(err, &found) {
			os.Exit(found.severity.ExitCode())
		}
		fmt.Fprintln(os.Stderr, "monsoonferry:", trace.UserMessage(err))
		var unable unableError
		if errors.As(err, &unable) {
			os.Exit(check.Error.ExitCode())
		}
		os.Exit(1)
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "serve as one VM of the fleet",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("settings"))
		},
	}
}

// serve runs until the planned stop that SIGTERM or SIGINT starts is complete.
// A second signal refuses the requests in progress, and a third ends the process
// immediately.
func serve(ctx context.Context, path string) (err error) {
	var text []byte
	if text, err = os.ReadFile(path); err != nil {
		return trace.ConvertSystemError(err)
	}
	var settings conf.Settings
	if settings, err = conf.ParseSettings(text); err != nil {
		return trace.Wrap(err, "%s", path)
	}
	var h *host.Host
	if h, err = newHost(settings, os.Stderr); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 3)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		h.Drain()
		<-signals
		h.Hurry()
		<-signals
		cancel()
	}()
	return h.Run(ctx)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(command.Root().Writer, version)
			return err
		},
	}
}
