package auth

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// TestMain fixes the seed of the random tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naiveOwner finds the owner of a key by a linear search of all accounts.
func naiveOwner(accounts []ferry.Account, key ferry.KeyHash) *ferry.Account {
	for i := range accounts {
		for _, other := range accounts[i].Keys {
			if other == key {
				return &accounts[i]
			}
		}
	}
	return nil
}

// TestOwnerLikeNaive compares the index with a linear search.
func TestOwnerLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var accounts []ferry.Account
		lastKey := 0
		for i, count := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 8).Draw(t, "keys") {
			account := ferry.Account{ID: ferry.AccountID(fmt.Sprint(i))}
			for range count {
				lastKey++
				account.Keys = append(account.Keys, ferry.HashKey(fmt.Sprint(lastKey)))
			}
			accounts = append(accounts, account)
		}
		key := ferry.HashKey(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "asked")))
		if got, want := NewIndex(accounts).Owner(key), naiveOwner(accounts, key); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestScrubLeavesNoTrace puts a key into random headers and query parameters.
func TestScrubLeavesNoTrace(t *testing.T) {
	const key = "Sekret+Key/42"
	rapid.Check(t, func(t *rapid.T) {
		forms := rapid.SampledFrom([]string{key, "x" + key + "y", url.QueryEscape(key), "plain", "U2VrcmV0K0tleS80Mg=="})
		names := rapid.SampledFrom([]string{"Ferry-Key", "ferry_key", "FERRY-ACCOUNT", "Cookie", "X-Copy", "Authorization", "Accept"})
		header := http.Header{}
		for range rapid.IntRange(0, 8).Draw(t, "headers") {
			name := names.Draw(t, "name")
			header[name] = append(header[name], forms.Draw(t, "value"))
		}
		var parameters []string
		for range rapid.IntRange(0, 5).Draw(t, "parameters") {
			parameters = append(parameters, "p="+forms.Draw(t, "parameter"))
		}
		target := &url.URL{Path: "/a", RawQuery: strings.Join(parameters, "&")}
		if Scrub(header, target, key) {
			t.Fatal("Scrub reported a key in the path, which contains none")
		}
		all := target.RequestURI()
		for name, values := range header {
			if isFerryHeader(name) {
				t.Fatalf("header %s was not removed", name)
			}
			all += " " + strings.Join(values, " ")
		}
		plain, err := url.QueryUnescape(all)
		if err != nil || strings.Contains(all+plain, key) || strings.Contains(all, "U2VrcmV0K0tleS80Mg==") {
			t.Fatalf("the key was not removed from %q", all)
		}
	})
}

func TestKeyFromRequest(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		want   string
		reason ferry.Reason
	}{
		{"own header", http.Header{"Ferry-Key": {"k"}}, "k", ""},
		{"bearer token", http.Header{"Authorization": {"bEARER  k"}}, "k", ""},
		{"the same key twice", http.Header{"Ferry-Key": {"k", "k"}, "Authorization": {"Bearer k"}}, "k", ""},
		{"none", http.Header{}, "", ferry.ReasonNoKey},
		{"other scheme", http.Header{"Authorization": {"Basic k"}}, "", ferry.ReasonNoKey},
		{"two", http.Header{"Ferry-Key": {"k", "l"}}, "", ferry.ReasonAmbiguousKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := KeyFromRequest(&http.Request{Header: c.header})
			is.Equal(got, c.want)
			if c.reason != "" {
				refusal, ok := err.(*ferry.RefusalError)
				is.True(ok)
				is.Equal(refusal.Reason, c.reason)
				is.Equal(refusal.Outcome, ferry.OutcomeNotRun)
			}
		})
	}
}

// FuzzScrub searches for a request from which Scrub does not remove the key.
func FuzzScrub(f *testing.F) {
	f.Add("Cookie", "a=key-1", "x=key-1&y=2")
	f.Add("X", "%6bey-1", "%6b=%6bey-1")
	f.Fuzz(func(t *testing.T, name, value, query string) {
		const key = "key-1"
		header := http.Header{name: {value}}
		target := &url.URL{Path: "/", RawQuery: query}
		Scrub(header, target, key)
		for _, values := range header {
			if strings.Contains(strings.Join(values, ""), key) {
				t.Fatalf("the key was not removed from header values %q", values)
			}
		}
		for _, values := range target.Query() {
			if strings.Contains(strings.Join(values, "\n"), key) {
				t.Fatalf("the key was not removed from query %q", target.RawQuery)
			}
		}
	})
}
