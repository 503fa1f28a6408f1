package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/demo"
	"monsoonferry.org/ferry/fake"
)

// serverFlag is the file of the measured program.
func serverFlag() cli.Flag {
	return &cli.StringFlag{Name: "server", Usage: "`FILE` of the monsoonferry program", Value: "bin/monsoonferry"}
}

func forwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "forward requests to one target, as the baseline of the pair command",
		Flags: []cli.Flag{listenFlag(), &cli.StringFlag{Name: "target", Usage: "`ADDRESS` of the target", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			var target netip.AddrPort
			var err error
			if target, err = netip.ParseAddrPort(command.String("target")); err != nil {
				return trace.BadParameter("%q is not an IP address and port", command.String("target"))
			}
			return serve(ctx, command.String("listen"), fake.NewForwarder(target))
		},
	}
}

func pairCommand() *cli.Command {
	return &cli.Command{
		Name:  "pair",
		Usage: "compare a VM with a plain forwarder in one run",
		Flags: []cli.Flag{serverFlag(), &cli.DurationFlag{Name: "period", Usage: "duration of the measurement", Value: 10 * time.Second}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return inTempDirectory(command.String("server"), func(config demo.Config) error {
				var result demo.PairResult
				var err error
				if result, err = demo.MeasurePair(ctx, config, command.Duration("period")); err != nil {
					return err
				}
				result.Print(os.Stdout)
				return nil
			})
		},
	}
}

// inTempDirectory runs a measurement in a temporary directory that it then removes.
func inTempDirectory(server string, measure func(demo.Config) error) (err error) {
	var executable, directory string
	if executable, err = os.Executable(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if directory, err = os.MkdirTemp("", "ferrylab-"); err != nil {
		return trace.ConvertSystemError(err)
	}
	err = measure(demo.Config{Server: server, Lab: executable, Directory: directory, Progress: os.Stderr})
	return errors.Join(err, os.RemoveAll(directory))
}

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure the control traffic and load of an idle VM in fleets of several sizes",
		Flags: []cli.Flag{
			serverFlag(),
			&cli.IntSliceFlag{Name: "vms", Usage: "`NUMBER` of VMs; may be given several times", Value: []int{6, 12, 24, 36}},
			&cli.IntFlag{Name: "accounts", Usage: "number of unused client accounts to publish"},
			&cli.IntFlag{Name: "targets", Usage: "number of unused targets to publish"},
			&cli.DurationFlag{Name: "period", Usage: "duration of each measurement", Value: 10 * time.Second},
		},
		Action: runScale,
	}
}

func runScale(ctx context.Context, command *cli.Command) error {
	for _, vms := range command.IntSlice("vms") {
		size := demo.ScaleConfig{VMs: vms, Accounts: command.Int("accounts"), Targets: command.Int("targets"), Period: command.Duration("period")}
		measure := func(config demo.Config) error { return measureScale(ctx, config, size) }
		if err := inTempDirectory(command.String("server"), measure); err != nil {
			return err
		}
	}
	return nil
}

// measureScale measures a fleet of one size and prints the result.
func measureScale(ctx context.Context, config demo.Config, size demo.ScaleConfig) (err error) {
	var result demo.ScaleResult
	if result, err = demo.MeasureScale(ctx, config, size); err != nil {
		return err
	}
	result.Print(os.Stdout)
	return nil
}
