package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/trail"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count refusals and failed attempts by cause in the logs of VMs",
		ArgsUsage: "[LOG FILE ...]",
		Flags:     []cli.Flag{&cli.DurationFlag{Name: "window", Usage: "`TIME` of one line of the course", Value: 2 * time.Second}},
		Action: func(_ context.Context, command *cli.Command) error {
			return printLosses(command.Root().Writer, command.Duration("window"), command.Args().Slice())
		},
	}
}

// printLosses prints the losses in the logs at paths, or standard input.
func printLosses(w io.Writer, window time.Duration, paths []string) error {
	logs, closeAll, err := trail.Open(paths)
	if err != nil {
		return err
	}
	defer closeAll()
	losses, err := trail.ReadLosses(window, logs...)
	if err != nil {
		return err
	}
	return losses.Write(w)
}
