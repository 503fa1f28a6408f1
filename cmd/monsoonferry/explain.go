package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry/trail"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the timeline of a request from the logs of VMs",
		ArgsUsage: "[LOG FILE ...]",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "id", Usage: "`ID` of the request", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			return explain(command.Root().Writer, command.String("id"), command.Args().Slice())
		},
	}
}

// explain prints a request's timeline from the logs at paths, or standard input.
func explain(w io.Writer, id string, paths []string) error {
	logs, closeAll, err := trail.Open(paths)
	if err != nil {
		return err
	}
	defer closeAll()
	timeline, err := trail.Read(id, logs...)
	if err != nil {
		return err
	}
	return timeline.Write(w)
}
