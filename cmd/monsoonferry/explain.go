package main

import (
	"context"
	"io"
	"os"

	"github.com/gravitational/trace"
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
	logs := []io.Reader{}
	for _, name := range paths {
		file, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	timeline, err := trail.Read(id, logs...)
	if err != nil {
		return err
	}
	return timeline.Write(w)
}
