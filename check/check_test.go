package check_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/check"
	"monsoonferry.org/ferry/platform"
)

var update = flag.Bool("update", false, "write the golden files and the page anew")

// readInput returns the input that an archive holds.
func readInput(t testing.TB, archive *txtar.Archive) platform.CheckInput {
	t.Helper()
	var input platform.CheckInput
	for _, file := range archive.Files {
		switch file.Name {
		case "configuration.json":
			input.Configuration = file.Data
		case "in-force.json":
			input.InForce = append([]byte{}, file.Data...)
		case "targets.json":
			input.Targets = file.Data
		case "settings.json":
			settings, err := platform.ParseSettings(file.Data)
			if err != nil {
				t.Fatal(err)
			}
			input.Settings = &settings
		}
	}
	return input
}

// TestRules checks that the archive of each rule, which has just that mistake, gives
// findings of that rule alone, and that the archive None gives none.
func TestRules(t *testing.T) {
	t.Parallel()
	names := []string{"None"}
	for _, rule := range check.Rules {
		names = append(names, rule.ID)
	}
	files, err := filepath.Glob("testdata/rules/*.txtar")
	if err != nil || len(files) != len(names) {
		t.Fatalf("%d files for %d rules: %v", len(files), len(names), err)
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := filepath.Join("testdata", "rules", name+".txtar")
			archive, err := txtar.ParseFile(path)
			is.NoErr(err)
			findings := platform.Check(readInput(t, archive))
			is.Equal(len(findings) == 0, name == "None")
			for _, finding := range findings {
				is.Equal(finding.Rule, name)
				is.Equal(finding.Severity, check.SeverityOf(name))
			}
			var text bytes.Buffer
			is.NoErr(check.WriteText(&text, findings))
			is.True(!strings.Contains(text.String(), "key-")) // keys are never printed
			last := &archive.Files[len(archive.Files)-1]
			is.Equal(last.Name, "findings")
			if *update {
				last.Data = text.Bytes()
				is.NoErr(os.WriteFile(path, txtar.Format(archive), 0o600))
				return
			}
			is.Equal(text.String(), string(last.Data))
		})
	}
}

// TestPage compares the table of rules with the page.
func TestPage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const path, head = "../docs/CHECKS.md", "| --- | --- | --- | --- |\n"
	page, err := os.ReadFile(path)
	is.NoErr(err)
	before, after, ok := strings.Cut(string(page), head)
	is.True(ok)
	table, rest, ok := strings.Cut(after, "\n\n")
	is.True(ok)
	rows := make([]string, 0, len(check.Rules))
	for _, rule := range check.Rules {
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s | %s |", rule.ID, rule.Severity, rule.Text, rule.Example))
	}
	if *update {
		is.NoErr(os.WriteFile(path, []byte(before+head+strings.Join(rows, "\n")+"\n\n"+rest), 0o600))
		return
	}
	is.Equal(strings.Split(table, "\n"), rows)
}

// TestJSON checks the machine's form, and that errors come first and entry 9 before 10.
func TestJSON(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var configuration strings.Builder
	configuration.WriteString(`{"version":"r7","tenants":[`)
	for i := range 11 {
		fmt.Fprintf(&configuration, `{"name":"a%d","apiKeys":[]},`, i)
	}
	configuration.WriteString(`7]}`)
	findings := platform.Check(platform.CheckInput{Configuration: []byte(configuration.String())})
	is.Equal(check.Worst(findings).ExitCode(), 2)
	var text bytes.Buffer
	is.NoErr(check.WriteJSON(&text, findings))
	var report struct {
		Errors, Warnings int
		Findings         []struct{ Severity, Rule, Path, Name, Text string }
	}
	decoder := json.NewDecoder(&text)
	decoder.DisallowUnknownFields()
	is.NoErr(decoder.Decode(&report))
	is.Equal(report.Errors, 1)
	is.Equal(report.Warnings, 11)
	is.Equal(report.Findings[0].Path, "tenants[11]")
	is.Equal(report.Findings[10].Path, "tenants[9].apiKeys")
	is.Equal(report.Findings[11].Path, "tenants[10].apiKeys")
	is.Equal(report.Findings[11].Severity, "Warning")
}

// FuzzCheck runs the decoder and all checks over any two configurations.
func FuzzCheck(f *testing.F) {
	for _, name := range []string{"None", "UnreadableRoute", "KeysWithdrawn", "RouteMoved"} {
		archive, err := txtar.ParseFile(filepath.Join("testdata", "rules", name+".txtar"))
		if err != nil {
			f.Fatal(err)
		}
		input := readInput(f, archive)
		f.Add(input.Configuration, input.InForce, input.Targets)
	}
	f.Add([]byte(`{"version":"7","routes":[7,{"prefix":""},{"prefix":"a","service":"s"}]}`), []byte(`{"version":""}`), []byte(`[{"key":"servers/t"}]`))
	f.Fuzz(func(t *testing.T, configuration, inForce, targets []byte) {
		input := platform.CheckInput{Configuration: configuration, InForce: inForce, Targets: targets}
		var first, second bytes.Buffer
		for _, text := range []*bytes.Buffer{&first, &second} {
			if err := check.WriteText(text, platform.Check(input)); err != nil {
				t.Fatal(err)
			}
		}
		if first.String() != second.String() {
			t.Fatalf("the output is not stable:\n%s\n%s", &first, &second)
		}
		for line := range strings.Lines(first.String()) {
			if !strings.HasSuffix(line, " warnings\n") && !strings.HasPrefix(line, "Error ") && !strings.HasPrefix(line, "Warning ") {
				t.Fatalf("a finding has more than one line: %q", line)
			}
		}
	})
}

// The size that determines the design.
const (
	largeRoutes   = 1400
	largeServices = 130
	largeAccounts = 27000
)

// largeConfiguration returns a configuration of that size.
func largeConfiguration(version int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"version":"r%d","routes":[`, version)
	for i := range largeRoutes {
		fmt.Fprintf(&text, `{"name":"r%d","host":"h%d.example","prefix":"/p%d/","kind":"safe","timeoutMs":4000,"targetLatencyMs":1200,"service":"s%d","maxAttempts":2},`,
			i, i%20, i, i%largeServices)
	}
	text.Truncate(text.Len() - 1)
	text.WriteString(`],"services":[`)
	for i := range largeServices {
		fmt.Fprintf(&text, `{"name":"s%d","maxConnections":70},`, i)
	}
	text.Truncate(text.Len() - 1)
	text.WriteString(`],"tenants":[`)
	for i := range largeAccounts {
		fmt.Fprintf(&text, `{"name":"a%d","apiKeys":["k%d","l%d"],"ratePerS":185,"burst":185,"allowedRegions":["north"]},`, i, i, i)
	}
	text.Truncate(text.Len() - 1)
	text.WriteString(`]}`)
	return text.Bytes()
}

// TestLarge checks a configuration of the largest size. BenchmarkLarge measures it.
func TestLarge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	findings := platform.Check(platform.CheckInput{Configuration: largeConfiguration(2), InForce: largeConfiguration(1)})
	is.Equal(len(findings), 0)
}

func BenchmarkLarge(b *testing.B) {
	input := platform.CheckInput{Configuration: largeConfiguration(2), InForce: largeConfiguration(1)}
	for b.Loop() {
		if findings := platform.Check(input); len(findings) != 0 {
			b.Fatal(findings[0])
		}
	}
}

// BenchmarkEntries measures what a VM adds to the decoding.
func BenchmarkEntries(b *testing.B) {
	inventory, _, err := platform.RecordDecoder{}.Inventory(configurationRecord(largeConfiguration(1)))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		check.Entries(inventory, check.Context{}, check.DefaultLocator{})
	}
}

func configurationRecord(text []byte) ferry.Record {
	return ferry.Record{Key: "op/config", Revision: 1, Body: text}
}
