package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"
)

// entryCache caches the entry response of one caller.
type entryCache struct {
	seeds  []netip.AddrPort
	caller string
	client *http.Client

	mu      sync.Mutex
	current []string
	expires time.Time
}

// newEntryCache returns the cache of one caller of an account. The first request
// goes to a seed chosen by callerIndex, which spreads the callers over the VMs.
func newEntryCache(seeds []netip.AddrPort, account string, callerIndex int, client *http.Client) *entryCache {
	first := callerIndex % len(seeds)
	return &entryCache{
		seeds:  slices.Concat(seeds[first:], seeds[:first]),
		caller: fmt.Sprintf("%s-%d", account, callerIndex), client: client,
	}
}

// entryResponse is the response of a VM to an entry request.
type entryResponse struct {
	Addresses       []string
	LifetimeSeconds float64
}

// entryTimeout bounds one entry request.
const entryTimeout = time.Second

// addresses returns the addresses to try, in order, and refreshes expired ones.
func (c *entryCache) addresses(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.current
	}
	candidates := slices.Clone(c.current)
	for _, seed := range c.seeds {
		candidates = append(candidates, seed.String())
	}
	for _, address := range candidates {
		if response, err := c.fetch(ctx, address); err == nil {
			c.current = response.Addresses
			c.expires = time.Now().Add(time.Duration(response.LifetimeSeconds * float64(time.Second)))
			return c.current
		}
	}
	return c.current
}

// expire ends the lifetime of the entry response after a failed connection.
func (c *entryCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *entryCache) fetch(ctx context.Context, address string) (entry entryResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	target := "http://" + address + "/.ferry/entry?Caller=" + url.QueryEscape(c.caller)
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, target, nil); err != nil {
		return entry, err
	}
	var response *http.Response
	if response, err = c.client.Do(request); err != nil {
		return entry, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return entry, errors.New("the VM returned no entry response")
	}
	err = json.NewDecoder(response.Body).Decode(&entry)
	return entry, err
}

// isDialError reports whether no connection was established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
