package conf

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// validInventory is a small inventory without problems.
const validInventory = `{
  "Version": 7, "MaxVMs": 6,
  "Places": [{"ID": "p1", "Region": "r1"}, {"ID": "p2", "Region": "r2"}],
  "Services": [{"ID": "advice", "Floor": 0.5, "StallAfter": "1s"}],
  "Targets": [{"ID": "t1", "Service": "advice", "Place": "p1", "Address": "127.0.0.1:9001", "Slots": 4}],
  "Accounts": [{"ID": "coop", "Rate": 50, "Burst": 20, "Keys": ["` + keyDigest + `"]}],
  "Routes": [{"ID": "r", "Host": "api.example", "PathPrefix": "/advice/", "Service": "advice", "IdempotentMethods": ["GET"], "Deadline": "2s"}]
}`

const keyDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestParseInventory(t *testing.T) {
	is := is.New(t)
	inventory, err := ParseInventory([]byte(validInventory))
	is.NoErr(err)
	is.Equal(inventory.Version, uint64(7))
	is.Equal(inventory.Services[0].Rules.Floor, 0.5)
	is.Equal(inventory.Services[0].Rules.StallAfter, time.Second)
	is.Equal(inventory.Services[0].Rules.RetryBudget, ferry.DefaultRetryBudget)
	is.Equal(inventory.Targets[0].MaxConnections, DefaultMaxConnections)
	is.Equal(inventory.Accounts[0].Keys[0], ferry.HashKey("test"))
	is.Equal(inventory.Routes[0].BodyLimit, ferry.DefaultBodyLimit)
}

// TestProblems changes validInventory and expects a problem at a path.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, old, new, path, text string
	}{
		{"unknown field", `"MaxVMs": 6`, `"MaxVMs": 6, "Colour": "red"`, "Colour", "unknown field"},
		{"field in the wrong case", `"Slots": 4`, `"slots": 4`, "Targets[0].slots", "unknown field"},
		{"duplicate field", `"MaxVMs": 6`, `"MaxVMs": 6, "MaxVMs": 7`, "MaxVMs", "the field is given twice"},
		{"duplicate nested field", `"Slots": 4`, `"Slots": 4, "Slots": 5`, "Targets[0].Slots", "the field is given twice"},
		{"wrong type", `"Slots": 4`, `"Slots": "four"`, "Targets[0].Slots", "expected a number, found a string"},
		{"list for object", `[{"ID": "p1"`, `[[], {"ID": "p1"`, "Places[0]", "expected an object, found a list"},
		{"fraction", `"Slots": 4`, `"Slots": 4.5`, "Targets[0].Slots", "expected a whole number, found 4.5"},
		{"out of range", `"Rate": 50`, `"Rate": 1e999`, "Accounts[0].Rate", "the number 1e999 is out of range"},
		{"null", `"Slots": 4`, `"Slots": null`, "Targets[0].Slots", "null is not allowed; leave the field out"},
		{"zero slots", `"Slots": 4`, `"Slots": 0`, "Targets[0].Slots", "the number must be above zero"},
		{"negative rate", `"Rate": 50`, `"Rate": -1`, "Accounts[0].Rate", "the rate must be above zero"},
		{"burst below two", `"Burst": 20`, `"Burst": 1`, "Accounts[0].Burst", "the burst must be at least 2"},
		{"no version", `"Version": 7`, `"Version": 0`, "Version", "the version must be above zero"},
		{"no MaxVMs", `"MaxVMs": 6`, `"MaxVMs": 0`, "MaxVMs", "the number of VMs must be above zero"},
		{"dangling service", `"Service": "advice", "Place"`, `"Service": "none", "Place"`, "Targets[0].Service", `"none" does not exist`},
		{"dangling place", `"Place": "p1"`, `"Place": "p9"`, "Targets[0].Place", `"p9" does not exist`},
		{"duplicate ID", `{"ID": "p2"`, `{"ID": "p1"`, "Places[1].ID", `"p1" is used twice`},
		{"bad address", `127.0.0.1:9001`, `localhost:9001`, "Targets[0].Address", "expected an IP address and port"},
		{"bad duration", `"Deadline": "2s"`, `"Deadline": "2"`, "Routes[0].Deadline", "expected a duration"},
		{"negative duration", `"Deadline": "2s"`, `"Deadline": "-2s"`, "Routes[0].Deadline", "the duration must be above zero"},
		{"short digest", keyDigest, "abcd", "Accounts[0].Keys[0]", "expected a SHA-256 digest"},
		{"duplicate key", `["` + keyDigest, `["` + keyDigest + `", "` + keyDigest, "Accounts[0].Keys[1]", `the key belongs to "coop" already`},
		{"prefix without slash", `"/advice/"`, `"advice/"`, "Routes[0].PathPrefix", "the prefix must start with /"},
		{"host in upper case", `api.example`, `API.example`, "Routes[0].Host", "the host must be in lower case"},
		{"method in lower case", `["GET"]`, `["get"]`, "Routes[0].IdempotentMethods[0]", "the method must be in upper case"},
		{"floor above one", `"Floor": 0.5`, `"Floor": 1.5`, "Services[0].Floor", "the share must be between 0 and 1"},
		{"text after the document", `"Deadline": "2s"}]
}`, `"Deadline": "2s"}]
} {}`, "$", "there is text after the document"},
		{"not JSON", validInventory, `{"Version": `, "$", "the document is not JSON"},
		{"too large", `"MaxVMs": 6`, `"MaxVMs": 6` + strings.Repeat(" ", MaxValueBytes), "$", "more than"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validInventory, c.old, c.new, 1)
			is.True(text != validInventory) // the case changes the inventory
			_, err := ParseInventory([]byte(text))
			var problems ProblemsError
			is.True(errors.As(err, &problems))
			for _, problem := range problems {
				if problem.Path == c.path && strings.Contains(problem.Text, c.text) {
					return
				}
			}
			t.Errorf("no problem at %s with %q in:\n%v", c.path, c.text, err)
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"Slots": 4`, `"Slots": 0`, `"Rate": 50`, `"Rate": 0`, `"Place": "p1"`, `"Place": "x"`).Replace(validInventory)
	_, err := ParseInventory([]byte(text))
	var problems ProblemsError
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 3)
}

// TestSplitAndAssemble splits an inventory of 27,000 accounts and assembles it
// again.
func TestSplitAndAssemble(t *testing.T) {
	is := is.New(t)
	inventory, err := ParseInventory([]byte(validInventory))
	is.NoErr(err)
	for i := range 27000 {
		id := fmt.Sprintf("account-%05d", i)
		inventory.Accounts = append(inventory.Accounts, ferry.Account{
			ID: ferry.AccountID(id), Rate: 10, Burst: 5, Keys: []ferry.KeyHash{ferry.HashKey(id)},
		})
	}
	manifest, parts, err := Split(inventory)
	is.NoErr(err)
	for name, body := range parts {
		is.Equal(PartName(body), name)
		is.True(len(body) < MaxValueBytes)
	}
	text, err := FormatManifest(manifest)
	is.NoErr(err)
	parsed, err := ParseManifest(text)
	is.NoErr(err)
	joined, err := Assemble(parsed, parts)
	is.NoErr(err)
	is.Equal(len(joined.Accounts), len(inventory.Accounts))
	is.Equal(Diff(inventory, joined), nil)

	// The change of one account changes one part only.
	changed := *inventory
	changed.Accounts = append([]ferry.Account{}, inventory.Accounts...)
	changed.Accounts[500].Keys = nil
	_, partsAfter, err := Split(&changed)
	is.NoErr(err)
	newPartCount := 0
	for name := range partsAfter {
		if parts[name] == nil {
			newPartCount++
		}
	}
	is.Equal(newPartCount, 1)
}

func TestAssembleRefusesAlteredParts(t *testing.T) {
	is := is.New(t)
	inventory, err := ParseInventory([]byte(validInventory))
	is.NoErr(err)
	manifest, parts, err := Split(inventory)
	is.NoErr(err)
	parts[manifest.Parts[0]] = []byte(`{}`)
	_, err = Assemble(manifest, parts)
	is.True(strings.Contains(err.Error(), "missing or altered"))
	_, err = ParseManifest([]byte(`{"Version": 1, "MaxVMs": 1, "Parts": ["../../secrets"]}`))
	is.True(strings.Contains(err.Error(), "is not the name of a part"))
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	from, err := ParseInventory([]byte(validInventory))
	is.NoErr(err)
	to, err := ParseInventory([]byte(strings.NewReplacer(`"ID": "t1"`, `"ID": "t2"`, `"Rate": 50`, `"Rate": 60`, `"MaxVMs": 6`, `"MaxVMs": 8`).Replace(validInventory)))
	is.NoErr(err)
	var lines []string
	for _, change := range Diff(from, to) {
		lines = append(lines, change.String())
	}
	is.Equal(lines, []string{"Changed MaxVMs 6 -> 8", "Removed Target t1", "Added Target t2", "Changed Account coop"})
}

const validSettings = `{"ID": "vm-1", "Place": "p1", "Callers": "127.0.0.1:1", "Peers": "127.0.0.1:2", "Admin": "127.0.0.1:3",
 "Platform": ["127.0.0.1:4"], "LogLevel": "Debug", "LogFormat": "Json", "OperatorKey": "` + keyDigest + `", "PlainText": true, "GracePeriod": "20s"}`

func TestParseSettings(t *testing.T) {
	is := is.New(t)
	settings, err := ParseSettings([]byte(validSettings))
	is.NoErr(err)
	is.Equal(settings.ID, ferry.VMID("vm-1"))
	is.Equal(settings.OperatorKey, ferry.HashKey("test"))
	is.Equal(settings.StopPeriod(), 20*time.Second)
	unset, err := ParseSettings([]byte(strings.Replace(validSettings, `, "GracePeriod": "20s"`, "", 1)))
	is.NoErr(err)
	is.Equal(unset.StopPeriod(), DefaultStopPeriod)
	invalid := strings.NewReplacer(`"vm-1"`, `""`, `"Debug"`, `"Loud"`, `"Json"`, `"Xml"`, `true`, `false`, keyDigest, "x", `["127.0.0.1:4"]`, `[]`, `"20s"`, `"-1s"`).Replace(validSettings)
	_, err = ParseSettings([]byte(invalid))
	var problems ProblemsError
	is.True(errors.As(err, &problems))
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	is.Equal(paths, []string{"ID", "Platform", "PlainText", "GracePeriod", "LogLevel", "LogFormat", "OperatorKey"})
}

// TestReferencePage checks that docs/SETTINGS.md documents all fields that the
// decoder accepts, and no other.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	is.NoErr(err)
	documented := map[string]bool{}
	for line := range strings.SplitSeq(string(page), "\n") {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(rest, "`")
			documented[name] = true
		}
	}
	decoded := map[string]bool{}
	for prefix, document := range map[string]any{"": inventoryDocument{}, "Settings.": settingsDocument{}, "VMList.": vmListDocument{}, "Manifest.": manifestDocument{}} {
		collectFields(prefix, reflect.TypeOf(document), decoded)
	}
	for name := range decoded {
		is.True(documented[name]) // docs/SETTINGS.md lacks the field name
		if !documented[name] {
			t.Log(name)
		}
	}
	for name := range documented {
		if !decoded[name] {
			t.Errorf("docs/SETTINGS.md documents %s, which the decoder does not accept", name)
		}
	}
}

// collectFields adds the paths of all fields of a document to paths.
func collectFields(prefix string, kind reflect.Type, paths map[string]bool) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		path := prefix + field.Name
		paths[path] = true
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
			path += "[]"
		}
		if inner.Kind() == reflect.Struct {
			collectFields(path+".", inner, paths)
		}
	}
}

// FuzzParseInventory checks that the decoder does not panic, and that accepted
// text survives a round trip.
func FuzzParseInventory(f *testing.F) {
	f.Add([]byte(validInventory))
	f.Add([]byte(`{"Version":1,"MaxVMs":1}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		inventory, err := ParseInventory(text)
		if err != nil {
			return
		}
		encoded, err := FormatInventory(inventory)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := ParseInventory(encoded)
		if err != nil {
			t.Fatalf("%v\n%s", err, encoded)
		}
		if len(Diff(inventory, decoded)) > 0 {
			t.Fatal("the round trip changes the inventory")
		}
	})
}
