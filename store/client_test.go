package store

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

func startPlatform(t *testing.T) (*fake.Platform, netip.AddrPort) {
	t.Helper()
	platform := fake.NewPlatform()
	server := httptest.NewServer(platform)
	t.Cleanup(server.CloseClientConnections)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	platform, address := startPlatform(t)
	client := NewClient([]netip.AddrPort{address})
	_, err := client.Watch(t.Context(), "A", 0)
	is.True(errors.Is(err, ErrNoValue))
	platform.Publish("A", []byte("one"))
	first, err := client.Watch(t.Context(), "A", 0)
	is.NoErr(err)
	is.Equal(string(first.Body), "one")
	results := make(chan string, 1)
	go func() {
		second, err := client.Watch(context.Background(), "A", first.Version)
		if err != nil {
			results <- err.Error()
			return
		}
		results <- string(second.Body)
	}()
	platform.Publish("B", []byte("other"))
	platform.Publish("A", []byte("two"))
	is.Equal(<-results, "two")
}

// TestWatchIgnoresStaleValue watches a platform that returns an older version
// than the last known one.
func TestWatchIgnoresStaleValue(t *testing.T) {
	is := is.New(t)
	platform, address := startPlatform(t)
	platform.Publish("A", []byte("old"))
	platform.SetMode(fake.ModeStale)
	client := NewClient([]netip.AddrPort{address})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := client.Watch(ctx, "A", 10)
	is.True(err != nil) // the deadline has passed without an older value
}

// TestSecondAddress uses the second address after a failed call to the first.
func TestSecondAddress(t *testing.T) {
	is := is.New(t)
	closedAddress, err := fake.FreeAddress()
	is.NoErr(err)
	platform, address := startPlatform(t)
	platform.Publish("A", []byte("one"))
	client := NewClient([]netip.AddrPort{closedAddress, address})
	_, err = client.Watch(t.Context(), "A", 0)
	is.True(err != nil)
	value, err := client.Watch(t.Context(), "A", 0)
	is.NoErr(err)
	is.Equal(string(value.Body), "one")
}

// TestReadBudget reads a value in a loop. The calls stay within the read budget.
func TestReadBudget(t *testing.T) {
	is := is.New(t)
	platform, address := startPlatform(t)
	platform.Publish("A", []byte("one"))
	client := NewClient([]netip.AddrPort{address})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	started := time.Now()
	for ctx.Err() == nil {
		if _, err := client.Watch(ctx, "A", 0); err != nil {
			break
		}
	}
	allowed := callBurst + callsPerSecond*time.Since(started).Seconds() + 1
	is.True(float64(platform.Calls()) <= allowed)
	is.True(client.Calls() >= callBurst)
}
