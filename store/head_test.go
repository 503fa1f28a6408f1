package store

import (
	"errors"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/head"
)

// rawClient returns a client of a platform that answers each call with bytes and ends the
// connection.
func rawClient(t *testing.T, response []byte) *Client {
	t.Helper()
	address, err := fake.Responder(func(*http.Request) ([]byte, bool) { return response, true }).Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return NewClient([]netip.AddrPort{address})
}

// A response of the platform whose head isn't valid is no value.
func TestInvalidHeadIsNoValue(t *testing.T) {
	t.Parallel()
	for _, invalid := range fake.InvalidHeads() {
		t.Run(invalid.Name, func(t *testing.T) {
			t.Parallel()
			value, err := rawClient(t, invalid.Encode(versionHeader+": 7")).Watch(t.Context(), "A", 0)
			var headErr *head.Error
			if !errors.As(err, &headErr) {
				t.Errorf("version %d with %q, %v", value.Version, value.Body, err)
			}
		})
	}
}

// A valid head of the platform is a response.
func TestValidHeadIsValue(t *testing.T) {
	t.Parallel()
	for _, valid := range fake.ValidHeads() {
		if valid.Status == "HTTP/1.1 299 Fine" {
			continue
		}
		t.Run(valid.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			value, err := rawClient(t, valid.Encode(versionHeader+": 7")).Watch(t.Context(), "A", 0)
			is.NoErr(err)
			is.Equal(value.Version, uint64(7))
			is.Equal(string(value.Body), fake.HeadBody)
		})
	}
}
