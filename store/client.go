// Package store reads values from the platform over HTTP.
//
// # Concept
//
// The platform publishes named values with increasing versions. It can only be
// read and watched, and it counts every call; a watch is one call, however long
// it waits. A Client limits its calls to a read budget, so that a fault in the code
// that uses it cannot overload the platform. When an address of the platform
// fails, the next call goes to the next address.
//
// # Usage
//
//	client := store.NewClient(addresses)
//	value, err := client.Watch(ctx, "Manifest", lastVersion)
//
// GET /values/NAME?After=V&WaitMs=W returns 200 with the value and its version in
// the Value-Version header, 204 when the wait ended without a newer version, or
// 404 when the value does not exist.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/head"
)

// Limits of the calls to the platform.
const (
	// callsPerSecond and callBurst are the rate and burst of one VM's read budget.
	callsPerSecond = 4
	callBurst      = 128
	// watchWait is the time for which the platform holds a watch open.
	watchWait = 20 * time.Second
	// responseTimeout is the time after watchWait at which a call fails.
	responseTimeout = 2 * time.Second
	// maxValueBytes is the largest value that the platform holds.
	maxValueBytes = 1 << 20
	// maxHeaderBytes bounds the header of one response.
	maxHeaderBytes = 16 << 10
	// dialTimeout bounds the opening of a connection, and idleTimeout is how long an
	// unused one stays open.
	dialTimeout = 30 * time.Second
	idleTimeout = 90 * time.Second

	versionHeader = "Value-Version"
)

// ErrNoValue reports that the platform has no value with the requested name.
var ErrNoValue = errors.New("value does not exist on the platform")

// Client implements ferry.Store. It is safe for concurrent use.
type Client struct {
	addresses    []netip.AddrPort
	http         *http.Client
	budget       *rate.Limiter
	addressIndex atomic.Int64
	calls        atomic.Int64
}

// NewClient returns a client of the platform at the given addresses.
func NewClient(addresses []netip.AddrPort) *Client {
	return NewClientWithTransport(addresses, head.NewTransport(&http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}))
}

// NewClientWithTransport returns a client of the platform whose calls use the given
// transport.
func NewClientWithTransport(addresses []netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport},
		budget:    rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// Calls returns the number of calls that the client has started.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Watch implements ferry.Store. It returns ErrNoValue when the value does not
// exist, and the error of the call when it failed.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (value ferry.Value, err error) {
	for {
		if err = c.budget.Wait(ctx); err != nil {
			return ferry.Value{}, trace.Wrap(err, "waiting for the read budget")
		}
		var isNewer bool
		if value, isNewer, err = c.call(ctx, name, after); err != nil || isNewer {
			return value, err
		}
	}
}

// call makes one call. It reports whether the platform returned a version newer
// than after.
func (c *Client) call(ctx context.Context, name string, after uint64) (value ferry.Value, isNewer bool, err error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchWait+responseTimeout)
	defer cancel()
	index := c.addressIndex.Load()
	address := c.addresses[int(index)%len(c.addresses)]
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/values/" + name}
	query := url.Values{"After": {strconv.FormatUint(after, 10)}}
	if after > 0 {
		query.Set("WaitMs", strconv.FormatInt(watchWait.Milliseconds(), 10))
	}
	target.RawQuery = query.Encode()
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil); err != nil {
		return value, false, trace.Wrap(err)
	}
	var response *http.Response
	if response, err = c.http.Do(request); err != nil {
		c.addressIndex.CompareAndSwap(index, index+1)
		return value, false, trace.Wrap(err, "reading value %s from the platform", name)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		value, err = readValue(name, response)
		return value, err == nil && value.Version > after, err
	case http.StatusNoContent:
		return value, false, nil
	case http.StatusNotFound:
		return value, false, trace.Wrap(ErrNoValue, "%s", name)
	default:
		c.addressIndex.CompareAndSwap(index, index+1)
		return value, false, trace.Errorf("the platform returned status %d for value %s", response.StatusCode, name)
	}
}

func readValue(name string, response *http.Response) (value ferry.Value, err error) {
	value = ferry.Value{Name: name}
	if value.Version, err = strconv.ParseUint(response.Header.Get(versionHeader), 10, 64); err != nil {
		return value, trace.Wrap(err, "parsing the version of value %s", name)
	}
	if value.Body, err = io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1)); err != nil {
		return value, trace.Wrap(err, "reading the body of value %s", name)
	}
	if len(value.Body) > maxValueBytes {
		return value, fmt.Errorf("value %s is larger than %d bytes", name, maxValueBytes)
	}
	return value, nil
}
