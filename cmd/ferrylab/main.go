// Command ferrylab runs fakes of the systems around a fleet, sends load, and runs
// the demonstration and measurements.
//
// Usage:
//
//	ferrylab platform --listen ADDRESS
//	ferrylab target --listen ADDRESS --name NAME
//	ferrylab load --seed-address ADDRESS --key KEY --path PATH
//	ferrylab demo --server FILE
//	ferrylab pair --server FILE
//	ferrylab scale --server FILE --vms 6 --vms 36
//	ferrylab losses LOG...
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/demo"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/load"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ferrylab:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// run executes the command line. SIGTERM and SIGINT cancel it.
func run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	command := &cli.Command{
		Name:                  "ferrylab",
		Usage:                 "run fakes, load, the demonstration and measurements of monsoonferry",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{platformCommand(), targetCommand(), loadCommand(), demoCommand(), scaleCommand(), pairCommand(), forwardCommand(), lossesCommand()},
	}
	return command.Run(ctx, os.Args)
}

// listenFlag is the address on which a fake listens.
func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true}
}

// readHeaderTimeout bounds the time to receive the header of a request.
const readHeaderTimeout = 5 * time.Second

// serve serves HTTP with a handler until ctx is canceled.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return trace.ConvertSystemError(err)
	}
	return nil
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a fake of the platform's service",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("listen"), fake.NewPlatform())
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a fake target",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the target", Required: true},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that run at once", Value: 4},
			&cli.DurationFlag{Name: "service-time", Usage: "mean service time of a request", Value: 10 * time.Millisecond},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			target := fake.NewTarget(command.String("name"), command.Int("slots"), command.Duration("service-time"), command.Uint64("seed"))
			return serve(ctx, command.String("listen"), target)
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests of one client account and print a summary of the responses",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "seed-address", Usage: "`ADDRESS` of a VM that returns the addresses of the fleet", Required: true},
			&cli.StringFlag{Name: "account", Usage: "`ID` of the client account", Value: "caller"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` of the client account", Sources: cli.EnvVars("FERRY_KEY")},
			&cli.StringFlag{Name: "method", Usage: "HTTP `METHOD`", Value: http.MethodGet},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the requests", Value: "/"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 50},
			&cli.IntFlag{Name: "body", Usage: "size of each request body in bytes"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the run", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1},
		},
		Action: runLoad,
	}
}

// summary is the printed result of a load run.
type summary struct {
	Sent     int
	Statuses map[int]int
	Reasons  map[string]int
	P50Ms    float64
	P99Ms    float64
}

func runLoad(ctx context.Context, command *cli.Command) error {
	plan := load.Plan{
		Accounts: []load.Account{{
			ID: command.String("account"), Key: command.String("key"), Rate: command.Float("rate"),
			Method: command.String("method"), Path: command.String("path"), BodyBytes: command.Int("body"),
		}},
		Duration: command.Duration("duration"), RandomSeed: command.Uint64("seed"),
	}
	for _, text := range command.StringSlice("seed-address") {
		var address netip.AddrPort
		var err error
		if address, err = netip.ParseAddrPort(text); err != nil {
			return trace.BadParameter("%q is not an IP address and port", text)
		}
		plan.SeedAddresses = append(plan.SeedAddresses, address)
	}
	report := load.Run(ctx, plan)
	printed := summary{
		Sent: len(report.Results), Statuses: map[int]int{}, Reasons: map[string]int{},
		P50Ms: float64(report.Latency.ValueAtQuantile(50)) / 1000,
		P99Ms: float64(report.Latency.ValueAtQuantile(99)) / 1000,
	}
	for _, result := range report.Results {
		printed.Statuses[result.Status]++
		if result.Reason != "" {
			printed.Reasons[result.Reason]++
		}
	}
	return writeJSON(os.Stdout, printed)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a fleet with failures and print the measurements",
		Flags: []cli.Flag{
			serverFlag(),
			&cli.StringFlag{Name: "output", Usage: "`FILE` for the result", Value: "demo.json"},
			&cli.StringFlag{Name: "directory", Usage: "`DIRECTORY` for settings and logs; a temporary one by default"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) (err error) {
	directory := command.String("directory")
	if directory == "" {
		if directory, err = os.MkdirTemp("", "ferrylab-"); err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
	}
	var executable string
	if executable, err = os.Executable(); err != nil {
		return trace.ConvertSystemError(err)
	}
	config := demo.Config{Server: command.String("server"), Lab: executable, Directory: directory, Progress: os.Stderr}
	var result *demo.Result
	if result, err = demo.Run(ctx, config); err != nil {
		return err
	}
	result.Print(os.Stdout)
	var file *os.File
	if file, err = os.Create(command.String("output")); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err = errors.Join(writeJSON(file, result), file.Close()); err != nil {
		return err
	}
	return result.Check()
}

// writeJSON writes a value as indented JSON.
func writeJSON(file *os.File, value any) error {
	encoder := json.NewEncoder(file)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}
