package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/check"
	"monsoonferry.org/ferry/platform"
)

// Formats of the findings.
const (
	formatText = "text"
	formatJSON = "json"
)

// findingsError is returned when a check printed findings. It sets the exit code.
type findingsError struct{ severity check.Severity }

// Error implements error.
func (e findingsError) Error() string { return "the check found problems" }

// checkPlatform prints the findings about a configuration in the platform's form. What
// keeps the check from running counts as an error too.
func checkPlatform(ctx context.Context, command *cli.Command) error {
	findings, err := findPlatform(ctx, command)
	if err != nil {
		return unableError{trace.Wrap(err)}
	}
	write := check.WriteText
	if command.String("format") == formatJSON {
		write = check.WriteJSON
	}
	if err = write(command.Root().Writer, findings); err != nil {
		return unableError{trace.Wrap(err)}
	}
	if worst := check.Worst(findings); worst != check.None {
		return findingsError{worst}
	}
	return nil
}

// unableError is what kept a check from running. Its exit code differs from that of
// warnings.
type unableError struct{ error }

// Unwrap returns the cause.
func (e unableError) Unwrap() error { return e.error }

// findPlatform reads the files, and the store if that is asked for, and checks them.
func findPlatform(ctx context.Context, command *cli.Command) ([]check.Finding, error) {
	if format := command.String("format"); format != formatText && format != formatJSON {
		return nil, trace.BadParameter("--format is text or json, not %q", format)
	}
	if command.String("inventory") != "" {
		return nil, trace.BadParameter("--inventory and --platform exclude each other")
	}
	var input platform.CheckInput
	for _, file := range []struct {
		flag   string
		result *[]byte
	}{{"platform", &input.Configuration}, {"against", &input.InForce}, {"targets", &input.Targets}} {
		name := command.String(file.flag)
		if name == "" {
			continue
		}
		var err error
		if *file.result, err = os.ReadFile(name); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	if name := command.String("settings"); name != "" {
		settings, err := platform.ReadSettings(name)
		if err != nil {
			return nil, trace.Wrap(err, "%s", name)
		}
		input.Settings = &settings
	}
	if command.Bool("against-store") {
		listing, err := readStore(ctx, input)
		if err != nil {
			return nil, err
		}
		input.Listing = &listing
	}
	return platform.Check(input), nil
}

// readStore reads the store of the settings.
func readStore(ctx context.Context, input platform.CheckInput) (ferry.Listing, error) {
	if input.Settings == nil || input.InForce != nil {
		return ferry.Listing{}, trace.BadParameter("--against-store needs --settings, and excludes --against")
	}
	listing, err := platform.NewClient(input.Settings.Store).List(ctx)
	return listing, trace.Wrap(err)
}
