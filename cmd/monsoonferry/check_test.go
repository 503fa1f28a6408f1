package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/check"
)

// runCheck runs the command check and returns its output.
func runCheck(arguments ...string) (string, error) {
	command := checkCommand()
	var output bytes.Buffer
	command.Writer, command.ErrWriter = &output, &output
	err := command.Run(context.Background(), append([]string{"check"}, arguments...))
	return output.String(), err
}

// severityOf returns the severity that sets the exit code.
func severityOf(err error) check.Severity {
	var found findingsError
	var unable unableError
	switch {
	case errors.As(err, &found):
		return found.severity
	case errors.As(err, &unable):
		return check.Error
	}
	return check.None
}

const testConfiguration = `{"version":"r%d","routes":[{"name":"a","host":"h","prefix":"/a/","kind":"safe","service":"s","timeoutMs":%d}],"services":[{"name":"s"}]}`

func TestCheckPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	inForce, lowered := write("old.json", fmt.Sprintf(testConfiguration, 1, 4000)), write("new.json", fmt.Sprintf(testConfiguration, 2, 3000))

	_, err := runCheck("--platform", inForce)
	is.NoErr(err)
	output, err := runCheck("--platform", lowered, "--against", inForce)
	is.Equal(severityOf(err), check.Warning)
	is.True(strings.Contains(output, "Warning DeadlineLowered routes[0].timeoutMs a: from 4s to 3s\n"))
	output, err = runCheck("--platform", inForce, "--against", lowered, "--format", "json")
	is.Equal(severityOf(err), check.Error)
	is.True(strings.Contains(output, `"Rule": "VersionNotHigher"`))

	for _, arguments := range [][]string{
		{"--platform", inForce + "x"},
		{"--platform", inForce, "--format", "xml"},
		{"--platform", inForce, "--against-store"},
		{"--unknown"},
	} {
		_, err = runCheck(arguments...)
		is.Equal(severityOf(err), check.Error)
	}
}

func TestCheckAgainstStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			t.Errorf("the store was called with %s", request.Method)
		}
		items := ""
		if request.URL.Query().Get("prefix") == "op/" {
			value := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, testConfiguration, 1, 4000))
			items = fmt.Sprintf(`{"key":"op/config","value":%q,"revision":3}`, value)
		}
		_, _ = fmt.Fprintf(w, `{"items":[%s],"truncated":false,"asOf":3}`, items)
	}))
	defer store.Close()
	directory := t.TempDir()
	settings, next := filepath.Join(directory, "node.json"), filepath.Join(directory, "new.json")
	is.NoErr(os.WriteFile(settings, fmt.Appendf(nil, `{"ID":"vm","Address":"127.0.0.1","PeerPorts":[1],"Store":%q,
		"Listen":{"Callers":"127.0.0.1:1","Ready":"127.0.0.1:1","Control":"127.0.0.1:1","Directory":"127.0.0.1:1"}}`,
		strings.TrimPrefix(store.URL, "http://")), 0o600))
	is.NoErr(os.WriteFile(next, fmt.Appendf(nil, testConfiguration, 2, 3000), 0o600))
	output, err := runCheck("--platform", next, "--settings", settings, "--against-store")
	is.Equal(severityOf(err), check.Warning)
	is.Equal(output, "Warning NoTargets routes[0].service a: the service \"s\" has no target that stays\n"+
		"Warning DeadlineLowered routes[0].timeoutMs a: from 4s to 3s\n0 errors, 2 warnings\n")
	store.Close()
	_, err = runCheck("--platform", next, "--settings", settings, "--against-store")
	is.Equal(severityOf(err), check.Error)
}
