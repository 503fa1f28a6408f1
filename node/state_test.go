package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/platform"
)

// FuzzTargetRecord passes any record beside a good one from the store's form to the
// choice of a target: the good one stays in use, and costs stay within reason.
func FuzzTargetRecord(f *testing.F) {
	const good = `{"address":"10.0.0.9:8080","born":17,"info":{"service":"s","version":"v1","zone":"a","capacity":4},"status":{"state":"ready","sequence":1,"coldRemainingMs":0}}`
	f.Add("servers/odd", []byte(good))
	f.Add("servers/odd", []byte(`{"address":"10.0.0.9:8080","info":{"service":"s","zone":"a","capacity":10000},"status":{"state":"ready","sequence":1,"coldRemainingMs":1e300}}`))
	f.Add("servers/good", []byte(`{"address":"[::1]:0"`))
	f.Add("op/config", []byte(`{"version":"r3","routes":[{"kind":"safe","timeoutMs":1e300}]}`))
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		cache := recordCache{decoder: platform.RecordDecoder{}, log: slog.New(slog.DiscardHandler)}
		records := []ferry.Record{{Key: "servers/good", Revision: 1, Body: []byte(good)}}
		if key != records[0].Key {
			records = append(records, ferry.Record{Key: key, Revision: 2, Body: body})
		}
		targets := cache.decode(records).targets
		chooser := place.NewChooser("a", ferry.Regions{"a": "region"})
		chooser.Update(0, targets)
		used := map[ferry.TargetID]bool{}
		for i := range 40 {
			now := time.Duration(i) * 10 * time.Millisecond
			pick, ok := chooser.Choose(now, place.Attempt{Service: "s", IsRetryable: i%2 == 0})
			if !ok {
				t.Fatal("no target was chosen")
			}
			if pick.Wait < 0 || pick.Wait > time.Minute || pick.Cost > time.Minute {
				t.Fatalf("unreasonable cost of %s: %v, wait %v", pick.Target.ID, pick.Cost, pick.Wait)
			}
			used[pick.Target.ID] = true
			if i%4 == 3 {
				chooser.Release(now, pick, place.Report{Verdict: ferry.VerdictGood, Took: time.Millisecond, Load: ferry.TargetLoad{Known: true, Running: 1, Slots: 4}})
			}
		}
		if !used["good"] {
			t.Fatal("the good target was not used")
		}
	})
}

// The findings of the checks are logged by their rules, errors first, up to the bound.
func TestLogEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	inventory := &ferry.Inventory{Version: 7}
	for i := range maxLoggedFindings + 1 {
		inventory.Accounts = append(inventory.Accounts, ferry.Account{ID: ferry.AccountID(fmt.Sprintf("a%d", i))})
	}
	for i := range 2 {
		inventory.Accounts[i].Keys = []ferry.KeyHash{ferry.HashKey("key")}
	}
	var log bytes.Buffer
	logEntries(slog.New(slog.NewTextHandler(&log, nil)), inventory)
	is.Equal(strings.Count(log.String(), "rule=SharedKey"), 1)
	is.True(strings.Contains(strings.SplitAfter(log.String(), "\n")[0], "rule=SharedKey"))
	is.Equal(strings.Count(log.String(), "rule=NoKeys"), maxLoggedFindings-1)
	is.Equal(strings.Count(log.String(), "further configuration findings not logged"), 0)
	inventory.Accounts = append(inventory.Accounts, ferry.Account{ID: "last"})
	logEntries(slog.New(slog.NewTextHandler(&log, nil)), inventory)
	is.Equal(strings.Count(log.String(), "further configuration findings not logged"), 1)
}
