// Package store reads the platform's service over HTTP.
//
// # Concept
//
// The platform publishes named values with rising versions. It can only be
// read and watched, and it counts every call; a waiting watch is one call. A
// Client spends each call from a read budget, so that a fault in its callers
// cannot flood the platform. It goes on to the next address of the platform
// when one fails.
//
// # Usage
//
//	client := store.NewClient(addresses)
//	value, err := client.Watch(ctx, "Manifest", lastVersion)
//
// The GET of /values/NAME?After=V&WaitMs=W answers 200 with the value and its
// version in the Value-Version header, 204 when the wait ended without a
// newer version, or 404 when there is no such value.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"monsoonferry.org/ferry"
)

// Bounds of the calls to the platform.
const (
	// callsPerSecond and callBurst are the read budget of one VM.
	callsPerSecond = 4
	callBurst      = 128
	// watchTime is the time for which the platform holds a watch open.
	watchTime = 20 * time.Second
	// answerTime is the time beyond watchTime after which a call has failed.
	answerTime = 2 * time.Second
	// maxValueBytes is the largest value that the platform holds.
	maxValueBytes = 1 << 20

	versionHeader = "Value-Version"
)

// ErrNoValue reports that the platform has no value of the name.
var ErrNoValue = errors.New("the platform has no such value")

// Client implements ferry.Store. It is safe for concurrent use.
type Client struct {
	addresses []netip.AddrPort
	http      *http.Client
	budget    *rate.Limiter
	preferred atomic.Int64
	calls     atomic.Int64
}

// NewClient returns a reader of the platform at the given addresses.
func NewClient(addresses []netip.AddrPort) *Client {
	return NewClientOver(addresses, http.DefaultTransport)
}

// NewClientOver returns a reader of the platform whose calls go over the given
// transport.
func NewClientOver(addresses []netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{
		addresses: addresses,
		http:      &http.Client{Transport: transport},
		budget:    rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// Calls returns the number of calls that the client has made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Watch implements ferry.Store. It returns ErrNoValue when the value does not
// exist, and the error of the platform when the call failed.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (value ferry.Value, err error) {
	for {
		if err = c.budget.Wait(ctx); err != nil {
			return ferry.Value{}, trace.Wrap(err, "wait for the read budget")
		}
		var found bool
		if value, found, err = c.call(ctx, name, after); err != nil || found {
			return value, err
		}
	}
}

// call makes one call. It reports false when the watch ended without a newer
// version.
func (c *Client) call(ctx context.Context, name string, after uint64) (value ferry.Value, found bool, err error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTime+answerTime)
	defer cancel()
	index := c.preferred.Load()
	address := c.addresses[int(index)%len(c.addresses)]
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/values/" + name}
	query := url.Values{"After": {strconv.FormatUint(after, 10)}}
	if after > 0 {
		query.Set("WaitMs", strconv.FormatInt(watchTime.Milliseconds(), 10))
	}
	target.RawQuery = query.Encode()
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil); err != nil {
		return value, false, trace.Wrap(err)
	}
	var answer *http.Response
	if answer, err = c.http.Do(request); err != nil {
		c.preferred.CompareAndSwap(index, index+1)
		return value, false, trace.Wrap(err, "read %s from the platform", name)
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
		value, err = readValue(name, answer)
		return value, err == nil && value.Version > after, err
	case http.StatusNoContent:
		return value, false, nil
	case http.StatusNotFound:
		return value, false, trace.Wrap(ErrNoValue, "%s", name)
	default:
		c.preferred.CompareAndSwap(index, index+1)
		return value, false, trace.Errorf("the platform answered status %d for %s", answer.StatusCode, name)
	}
}

func readValue(name string, answer *http.Response) (value ferry.Value, err error) {
	value = ferry.Value{Name: name}
	if value.Version, err = strconv.ParseUint(answer.Header.Get(versionHeader), 10, 64); err != nil {
		return value, trace.Wrap(err, "version of %s", name)
	}
	if value.Body, err = io.ReadAll(io.LimitReader(answer.Body, maxValueBytes+1)); err != nil {
		return value, trace.Wrap(err, "body of %s", name)
	}
	if len(value.Body) > maxValueBytes {
		return value, fmt.Errorf("the value %s has more than %d bytes", name, maxValueBytes)
	}
	return value, nil
}
