package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings and inventory, or a configuration in the platform's form, before it is sent",
		Description: "With --platform, the exit code is 0 without findings, 1 with warnings and 2 with errors.\n" +
			"docs/CHECKS.md describes each rule.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`; with --platform, that of the command node"},
			&cli.StringFlag{Name: "inventory", Usage: "inventory `FILE`"},
			&cli.StringFlag{Name: "platform", Usage: "configuration `FILE` in the platform's form"},
			&cli.StringFlag{Name: "against", Usage: "`FILE` of the version in force to compare with"},
			&cli.BoolFlag{Name: "against-store", Usage: "read the version in force and the targets from the store of the settings"},
			&cli.StringFlag{Name: "targets", Usage: "`FILE` with a saved response of the store that lists targets"},
			&cli.StringFlag{Name: "format", Usage: "text or json", Value: formatText},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return unableError{trace.Wrap(err)}
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.String("platform") != "" {
				return checkPlatform(ctx, command)
			}
			return checkInventory(command.Root().Writer, command.String("settings"), command.String("inventory"), command.String("against"))
		},
	}
}

// checkInventory prints all problems of the given files, and returns an error if there are
// any. Otherwise it prints how inventory differs from against, if both are given.
func checkInventory(w io.Writer, settings, inventory, against string) (err error) {
	if settings == "" && inventory == "" {
		return trace.BadParameter("--settings, --inventory or --platform is required")
	}
	hasProblems := false
	if settings != "" {
		var text []byte
		if text, err = os.ReadFile(settings); err != nil {
			return trace.ConvertSystemError(err)
		}
		_, err = conf.ParseSettings(text)
		hasProblems = printProblems(w, settings, err)
	}
	var parsed, baseline *ferry.Inventory
	for _, file := range []struct {
		name   string
		result **ferry.Inventory
	}{{inventory, &parsed}, {against, &baseline}} {
		if file.name == "" {
			continue
		}
		var text []byte
		if text, err = os.ReadFile(file.name); err != nil {
			return trace.ConvertSystemError(err)
		}
		*file.result, err = conf.ParseInventory(text)
		hasProblems = printProblems(w, file.name, err) || hasProblems
	}
	if hasProblems {
		return errors.New("the check found problems")
	}
	if parsed != nil && baseline != nil {
		for _, change := range conf.Diff(baseline, parsed) {
			if _, err = fmt.Fprintln(w, change); err != nil {
				return trace.ConvertSystemError(err)
			}
		}
	}
	return nil
}

// printProblems prints the problems of a file and reports whether there are
// any.
func printProblems(w io.Writer, name string, err error) bool {
	if err == nil {
		_, _ = fmt.Fprintf(w, "%s: accepted\n", name)
		return false
	}
	var problems conf.ProblemsError
	if !errors.As(err, &problems) {
		problems = conf.ProblemsError{{Path: "$", Text: err.Error()}}
	}
	for _, problem := range problems {
		_, _ = fmt.Fprintf(w, "%s: %s: %s\n", name, problem.Path, problem.Text)
	}
	return true
}

// adminFlags are the address and the key of a VM's administration API.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "administration `ADDRESS` of the VM", Required: true},
		&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars("FERRY_OPERATOR_KEY"), Required: true},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of a VM",
		Flags: append(adminFlags(), &cli.StringFlag{Name: "part", Usage: "status, members, targets, inventory or metrics", Value: "status"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			return call(ctx, command, http.MethodGet, command.String("part"))
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start the planned stop of a VM",
		Flags: adminFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return call(ctx, command, http.MethodPost, "drain")
		},
	}
}

// callTimeout bounds a call to the administration API.
const callTimeout = 10 * time.Second

// call makes one call to the administration API and prints the response.
func call(ctx context.Context, command *cli.Command, method, part string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, method, "http://"+command.String("admin")+"/"+part, nil); err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set(ferry.HeaderKey, command.String("key"))
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(command.Root().Writer, response.Body); err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("the VM responded with status %d", response.StatusCode)
	}
	return nil
}
