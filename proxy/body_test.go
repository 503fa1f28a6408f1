package proxy

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// TestKeyCheck withdraws a key and moves it to another account while a request
// waits or runs. Both end the request.
func TestKeyCheck(t *testing.T) {
	is := is.New(t)
	inventory := testInventory()
	f := &fixture{view: conf.NewView(inventory)}
	exchange := &ferry.Exchange{Account: &inventory.Accounts[0], Key: ferry.HashKey("secret-key")}
	check := keyCheck(exchange, f)
	is.NoErr(check())

	moved := testInventory()
	moved.Accounts[1].Keys, moved.Accounts[0].Keys = moved.Accounts[0].Keys, nil
	f.view = conf.NewView(moved)
	is.True(errors.Is(check(), errKeyWithdrawn))

	withdrawn := testInventory()
	withdrawn.Accounts[0].Keys = nil
	f.view = conf.NewView(withdrawn)
	is.True(errors.Is(check(), errKeyWithdrawn))
	is.NoErr(keyCheck(&ferry.Exchange{}, f)()) // an open route needs no key
}

// TestQueuedRequestOfAWithdrawnKey withdraws the key after the request passed
// the key filter and before a target was chosen. Nothing is sent.
func TestQueuedRequestOfAWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, []string{"HTTP/1.1 200 OK\nContent-Length: 0\n\n\n"})
	withdrawn := testInventory()
	withdrawn.Accounts[0].Keys = nil
	f.whileQueued = func() { f.view = conf.NewView(withdrawn) }
	answer := f.exchange(t, wireText("GET /orders/1 HTTP/1.1\nHost: a\nFerry-Key: secret-key\nConnection: close\n\n\n"))
	is.True(strings.HasPrefix(answer, "HTTP/1.1 401 "))
	is.True(strings.Contains(answer, "Ferry-Outcome: NotRun"))
	is.Equal(f.received(), []string{""})
}

// TestReplay sends a small body again in full, and refuses to send a large one
// again.
func TestReplay(t *testing.T) {
	is := is.New(t)
	body := &replayBody{source: strings.NewReader("tooth"), check: func() error { return nil }}
	first := body.next()
	buffer := make([]byte, 3)
	_, err := io.ReadFull(first, buffer)
	is.NoErr(err)
	is.True(body.canReplay())
	text, err := io.ReadAll(body.next())
	is.NoErr(err)
	is.Equal(string(text), "tooth")
	_, err = first.Read(buffer)
	is.True(err != nil) // the first attempt has ended

	large := &replayBody{source: strings.NewReader(strings.Repeat("x", replayLimit+1)), check: func() error { return nil }}
	_, err = io.ReadAll(large.next())
	is.NoErr(err)
	is.True(!large.canReplay())
	is.True(len(large.kept) <= replayLimit) // memory is bounded
}
