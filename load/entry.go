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

// entryCache keeps the entry answer of one caller.
type entryCache struct {
	seeds  []netip.AddrPort
	caller string
	client *http.Client

	mu      sync.Mutex
	current []string
	expires time.Time
}

// newEntryCache returns the directory of one of an account's callers. Callers
// with different numbers first ask different VMs.
func newEntryCache(seeds []netip.AddrPort, account string, callerIndex int, client *http.Client) *entryCache {
	first := callerIndex % len(seeds)
	return &entryCache{
		seeds:  slices.Concat(seeds[first:], seeds[:first]),
		caller: fmt.Sprintf("%s-%d", account, callerIndex), client: client,
	}
}

// entryResponse is the answer of a VM to the question for addresses.
type entryResponse struct {
	Addresses       []string
	LifetimeSeconds float64
}

// entryTimeout bounds one question for addresses.
const entryTimeout = time.Second

// addresses returns the addresses to use, in order.
func (d *entryCache) addresses(ctx context.Context) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return d.current
	}
	candidates := slices.Clone(d.current)
	for _, seed := range d.seeds {
		candidates = append(candidates, seed.String())
	}
	for _, address := range candidates {
		if response, err := d.fetch(ctx, address); err == nil {
			d.current = response.Addresses
			d.expires = time.Now().Add(time.Duration(response.LifetimeSeconds * float64(time.Second)))
			return d.current
		}
	}
	return d.current
}

// expire ends the lifetime of the answer, because an address did not connect.
func (d *entryCache) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

func (d *entryCache) fetch(ctx context.Context, address string) (entry entryResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	target := "http://" + address + "/.ferry/entry?Caller=" + url.QueryEscape(d.caller)
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, target, nil); err != nil {
		return entry, err
	}
	var response *http.Response
	if response, err = d.client.Do(request); err != nil {
		return entry, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return entry, errors.New("the VM gives no addresses")
	}
	err = json.NewDecoder(response.Body).Decode(&entry)
	return entry, err
}

// isDialError reports whether no connection came about.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
