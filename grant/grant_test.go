package grant

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// fleet plays purses of many VMs against one holder.
type fleet struct {
	random  *rand.Rand
	account ferry.Account
	holder  Issuer
	share   float64
	purses  []*TokenCache
	// branches, if any, stand between the purses and the holder.
	branches []*PlaceCache
	now      time.Duration
	sequence uint64
	// messages are due at their time.
	messages []message
	admitted []time.Duration
	refused  int
	asks     int
	waits    []time.Duration
	tickets  []waiting
	loss     float64
}

// message is an ask or an answer. It goes to or from a VM, or a branch and the
// holder.
type message struct {
	at       time.Duration
	vm       int
	branch   int
	isBranch bool
	ask      *TokenRequest
	answer   *TokenReply
}

type waiting struct {
	vm     int
	ticket *Waiter
	since  time.Duration
}

func newFleet(seed uint64, vms int, rate, burst float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), account: ferry.Account{ID: "account", Rate: rate, Burst: burst}, share: 1}
	for range vms {
		f.purses = append(f.purses, &TokenCache{Account: "account"})
	}
	return f
}

// withBranches puts branches between the purses and the holder.
func (f *fleet) withBranches(count int) *fleet {
	for range count {
		f.branches = append(f.branches, NewPlaceCache(TokenRequest{Account: f.account.ID}))
	}
	return f
}

// farDelay is the time of a message between regions.
const farDelay = 9 * time.Millisecond

// delay is that of a message: half a millisecond to nine, inside a region or
// between two.
func (f *fleet) delay(vm int) time.Duration {
	if vm%3 == 0 {
		return 500 * time.Microsecond
	}
	return farDelay
}

func (f *fleet) send(m message) {
	if f.random.Float64() < f.loss {
		return
	}
	m.at = f.now + f.delay(m.vm)
	if len(f.branches) > 0 {
		m.at = f.now + 500*time.Microsecond
		if m.isBranch {
			m.at = f.now + f.delay(m.branch)
		}
	}
	f.messages = append(f.messages, m)
}

func (f *fleet) ask(vm int) {
	f.sequence++
	if ask, ok := f.purses[vm].NextRequest(f.now, f.sequence); ok {
		f.send(message{vm: vm, ask: &ask})
	}
}

// testAddress is the address of a VM.
func testAddress(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(vm)}), 1)
}

// serve sends what is due at a branch.
func (f *fleet) serve(i int) {
	f.sequence++
	if ask, ok := f.branches[i].NextRequest(f.now, f.sequence); ok {
		f.send(message{branch: i, isBranch: true, ask: &ask})
	}
	for _, reply := range f.branches[i].TakeReplies(f.now) {
		answer := reply.Reply
		f.send(message{vm: int(reply.To.Addr().As4()[3]), answer: &answer})
	}
}

// request makes one request at a VM.
func (f *fleet) request(vm int) {
	ticket := f.purses[vm].Take(f.now)
	if ticket == nil {
		f.admitted = append(f.admitted, f.now)
		f.waits = append(f.waits, 0)
	} else {
		f.tickets = append(f.tickets, waiting{vm: vm, ticket: ticket, since: f.now})
	}
	f.ask(vm)
}

// advance lets a millisecond pass.
func (f *fleet) advance() {
	f.now += time.Millisecond
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		switch {
		case m.at > f.now:
			f.messages = append(f.messages, m)
		case m.ask != nil && !m.isBranch && len(f.branches) > 0:
			i := m.vm % len(f.branches)
			f.branches[i].AddRequest(f.now, testAddress(m.vm), *m.ask)
			f.serve(i)
		case m.isBranch && m.ask != nil:
			f.asks++
			answer := f.holder.Grant(f.now, *m.ask, &f.account, f.share)
			f.send(message{branch: m.branch, isBranch: true, answer: &answer})
		case m.isBranch:
			f.branches[m.branch].HandleReply(f.now, *m.answer)
			f.serve(m.branch)
		case m.ask != nil:
			f.asks++
			answer := f.holder.Grant(f.now, *m.ask, &f.account, f.share)
			f.send(message{vm: m.vm, answer: &answer})
		default:
			f.purses[m.vm].HandleReply(f.now, *m.answer)
		}
	}
	if f.now%(100*time.Millisecond) == 0 {
		for vm, purse := range f.purses {
			if purse.HasWaiters() {
				f.ask(vm)
			}
		}
		for i := range f.branches {
			f.serve(i)
		}
	}
	tickets := f.tickets
	f.tickets = nil
	for _, w := range tickets {
		select {
		case verdict := <-w.ticket.Result:
			if verdict.Granted {
				f.admitted = append(f.admitted, f.now)
				f.waits = append(f.waits, f.now-w.since)
			} else {
				f.refused++
			}
		default:
			f.tickets = append(f.tickets, w)
		}
	}
}

// play sends requests at random times at the rate given.
func (f *fleet) play(d time.Duration, perSecond float64) {
	for end := f.now + d; f.now < end; {
		for f.random.Float64() < perSecond/1000 {
			f.request(f.random.IntN(len(f.purses)))
			if f.random.Float64() < 0.5 {
				break
			}
		}
		f.advance()
	}
}

// mostOver returns by how much the admitted requests exceed rate and burst in
// the worst window.
func (f *fleet) mostOver() float64 {
	worst := 0.0
	for i := range f.admitted {
		for j := i; j < len(f.admitted); j++ {
			window := (f.admitted[j] - f.admitted[i]).Seconds()
			worst = max(worst, float64(j-i+1)-f.account.Rate*window-f.account.Burst)
		}
	}
	return worst
}

// Whatever is sent, no window admits more than rate and burst. A window at the
// VMs differs from the holder's by the time of messages, and a request is whole.
func TestNeverOverAllowance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 300).Draw(t, "rate")
		burst := rapid.Float64Range(2, 300).Draw(t, "burst")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 36).Draw(t, "vms"), rate, burst)
		f.withBranches(rapid.IntRange(0, 6).Draw(t, "branches"))
		f.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		for range 4 {
			f.play(time.Second, rate*rapid.Float64Range(0.2, 8).Draw(t, "load"))
		}
		if over := f.mostOver(); over > 1+rate*farDelay.Seconds() {
			t.Fatalf("%.1f over", over)
		}
	})
}

// An account within its rate is refused as seldom as by a single counter: half
// a point more at most.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		rate, burst float64
		vms         int
		load        float64
		branches    int
	}{
		{20, 20, 36, 0.62, 0},
		{60, 60, 36, 0.62, 0},
		{200, 200, 36, 0.8, 0},
		{60, 60, 2, 0.8, 0},
		{60, 60, 36, 0.9, 0},
		{20, 20, 36, 0.62, 6},
		{60, 60, 36, 0.62, 6},
		{200, 200, 36, 0.8, 6},
		{60, 60, 12, 0.9, 6},
		{500, 250, 120, 0.8, 9},
	} {
		t.Run(fmt.Sprintf("%.0f %d %.2f %d", c.rate, c.vms, c.load, c.branches), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(7, c.vms, c.rate, c.burst).withBranches(c.branches)
			f.play(2*time.Second, 0)
			f.play(20*time.Second, c.rate*c.load*0.66)
			share := float64(f.refused) / float64(f.refused+len(f.admitted))
			waited := 0
			for _, wait := range f.waits {
				if wait > 0 {
					waited++
				}
			}
			t.Logf("%d admitted, %.2f%% refused, %d waited, %d asks", len(f.admitted), 100*share, waited, f.asks)
			is.True(share <= 0.005)
		})
	}
}

// An account at eight times its rate gets its rate.
func TestHotAccountGetsItsRate(t *testing.T) {
	t.Parallel()
	for _, branches := range []int{0, 6} {
		t.Run(fmt.Sprint(branches), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(8, 36, 50, 50).withBranches(branches)
			f.play(10*time.Second, 400)
			got := float64(len(f.admitted))
			is.True(got > 0.95*(50*10))
			is.True(got <= 50*10+50+1)
		})
	}
}

// The lead of a place answers most asks of a large account without asking the
// first lead.
func TestBranchAsksAhead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(9, 36, 400, 400).withBranches(6)
	f.play(2*time.Second, 200)
	f.asks = 0
	before := len(f.admitted)
	f.play(10*time.Second, 200)
	t.Logf("%d admitted, %d asks", len(f.admitted)-before, f.asks)
	is.True(f.asks < (len(f.admitted)-before)/2)
	is.Equal(f.refused, 0)
}

// Tokens that were given ahead and not spent are inside the burst, and those
// that were spent are outside.
func TestSpentTokensLeaveTheBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var h Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 100}
	given := h.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 1, Prefetch: 30}, account, 1)
	is.Equal(given.Count, 31)
	most := h.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 200}, account, 1)
	is.True(given.Count+most.Count <= 101)
	var other Issuer
	given = other.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 1, Prefetch: 30}, account, 1)
	other.Grant(20*time.Second, TokenRequest{Account: "account", Spent: 30}, account, 1)
	most = other.Grant(23*time.Second, TokenRequest{Account: "account", Waiting: 200}, account, 1)
	is.True(most.Count >= 99)
	is.True(given.Count+most.Count <= 100+31)
}

// An ask that its VM has given up ends. The tokens that come for it are lost, as
// the holder counts them as spent; those that were given ahead are kept.
func TestLateClaimsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := NewPlaceCache(TokenRequest{Account: "account"})
	b.AddRequest(0, testAddress(1), TokenRequest{Sequence: 1, Account: "account", Waiting: 2})
	ask, isDue := b.NextRequest(0, 1)
	is.True(isDue)
	is.Equal(ask.Hops, 1)
	is.Equal(len(b.TakeReplies(100*time.Millisecond)), 0)
	is.Equal(len(b.TakeReplies(200*time.Millisecond)), 0)
	b.HandleReply(200*time.Millisecond, TokenReply{Sequence: ask.Sequence, Account: "account", Count: ask.Waiting + ask.Prefetch})
	b.AddRequest(200*time.Millisecond, testAddress(1), TokenRequest{Sequence: 2, Account: "account", Waiting: ask.Prefetch + 1})
	replies := b.TakeReplies(200 * time.Millisecond)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Reply, TokenReply{Sequence: 2, Account: "account", Count: ask.Prefetch, Partial: true})
}

// A holder without a share grants nothing and says so.
func TestHolderWithoutShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var h Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 10}
	answer := h.Grant(time.Second, TokenRequest{Account: "account", Waiting: 3}, account, 0)
	is.True(answer.Unavailable)
	is.Equal(answer.Count, 0)
}

// A holder that has just started does not know what the last one granted.
func TestNewHolderStartsEmpty(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var h Issuer
	h.Reset(10 * time.Second)
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 100}
	answer := h.Grant(10*time.Second, TokenRequest{Account: "account", Waiting: 50}, account, 1)
	is.True(answer.Count <= 1)
	is.True(answer.RetryAfter > 0)
	answer = h.Grant(12*time.Second, TokenRequest{Account: "account", Waiting: 50}, account, 1)
	is.True(answer.Count >= 18 && answer.Count <= 21)
}

// Refused requests are told to come back one after the other.
func TestReturnsAreSpread(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var h Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 2}
	last := time.Duration(0)
	for range 10 {
		answer := h.Grant(time.Second, TokenRequest{Account: "account", Waiting: 1}, account, 1)
		if answer.Count == 0 {
			is.True(answer.RetryAfter > last)
			last = answer.RetryAfter
		}
	}
	is.True(last >= 500*time.Millisecond)
}
