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

// fleet simulates the token caches of many VMs with one issuer.
type fleet struct {
	random  *rand.Rand
	account ferry.Account
	issuer  Issuer
	share   float64
	caches  []*TokenCache
	// placeCaches, if any, forward between the token caches and the issuer.
	placeCaches []*PlaceCache
	now         time.Duration
	sequence    uint64
	// messages are in transit.
	messages []message
	admitted []time.Duration
	refused  int
	// requests is the number of token requests that reached the issuer.
	requests int
	waits    []time.Duration
	waiters  []waitingRequest
	loss     float64
}

// message is a token request or a token reply. With isPlaceCache set it goes
// between a place cache and the issuer, otherwise to or from a VM.
type message struct {
	arrivesAt    time.Duration
	vm           int
	placeCache   int
	isPlaceCache bool
	request      *TokenRequest
	reply        *TokenReply
}

type waitingRequest struct {
	vm     int
	waiter *Waiter
	since  time.Duration
}

func newFleet(seed uint64, vms int, rate, burst float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), account: ferry.Account{ID: "account", Rate: rate, Burst: burst}, share: 1}
	for range vms {
		f.caches = append(f.caches, &TokenCache{Account: "account"})
	}
	return f
}

// withPlaceCaches puts place caches between the token caches and the issuer.
func (f *fleet) withPlaceCaches(count int) *fleet {
	for range count {
		f.placeCaches = append(f.placeCaches, NewPlaceCache(TokenRequest{Account: f.account.ID}))
	}
	return f
}

// farDelay is the delay of a message between regions.
const farDelay = 9 * time.Millisecond

// delay returns the delay of a message: half a millisecond inside a region, nine
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
	m.arrivesAt = f.now + f.delay(m.vm)
	if len(f.placeCaches) > 0 {
		m.arrivesAt = f.now + 500*time.Microsecond
		if m.isPlaceCache {
			m.arrivesAt = f.now + f.delay(m.placeCache)
		}
	}
	f.messages = append(f.messages, m)
}

func (f *fleet) sendRequest(vm int) {
	f.sequence++
	if request, ok := f.caches[vm].NextRequest(f.now, f.sequence); ok {
		f.send(message{vm: vm, request: &request})
	}
}

// testAddress is the address of a VM.
func testAddress(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(vm)}), 1)
}

// servePlace sends the request and the replies that are due at a place cache.
func (f *fleet) servePlace(i int) {
	f.sequence++
	if request, ok := f.placeCaches[i].NextRequest(f.now, f.sequence); ok {
		f.send(message{placeCache: i, isPlaceCache: true, request: &request})
	}
	for _, addressed := range f.placeCaches[i].TakeReplies(f.now) {
		reply := addressed.Reply
		f.send(message{vm: int(addressed.To.Addr().As4()[3]), reply: &reply})
	}
}

// makeRequest makes one client request at a VM.
func (f *fleet) makeRequest(vm int) {
	waiter := f.caches[vm].Take(f.now)
	if waiter == nil {
		f.admitted = append(f.admitted, f.now)
		f.waits = append(f.waits, 0)
	} else {
		f.waiters = append(f.waiters, waitingRequest{vm: vm, waiter: waiter, since: f.now})
	}
	f.sendRequest(vm)
}

// advance simulates one millisecond.
func (f *fleet) advance() {
	f.now += time.Millisecond
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		switch {
		case m.arrivesAt > f.now:
			f.messages = append(f.messages, m)
		case m.request != nil && !m.isPlaceCache && len(f.placeCaches) > 0:
			i := m.vm % len(f.placeCaches)
			f.placeCaches[i].AddRequest(f.now, testAddress(m.vm), *m.request)
			f.servePlace(i)
		case m.isPlaceCache && m.request != nil:
			f.requests++
			reply := f.issuer.Grant(f.now, *m.request, &f.account, f.share)
			f.send(message{placeCache: m.placeCache, isPlaceCache: true, reply: &reply})
		case m.isPlaceCache:
			f.placeCaches[m.placeCache].HandleReply(f.now, *m.reply)
			f.servePlace(m.placeCache)
		case m.request != nil:
			f.requests++
			reply := f.issuer.Grant(f.now, *m.request, &f.account, f.share)
			f.send(message{vm: m.vm, reply: &reply})
		default:
			f.caches[m.vm].HandleReply(f.now, *m.reply)
		}
	}
	if f.now%(100*time.Millisecond) == 0 {
		for vm, cache := range f.caches {
			if cache.HasWaiters() {
				f.sendRequest(vm)
			}
		}
		for i := range f.placeCaches {
			f.servePlace(i)
		}
	}
	waiters := f.waiters
	f.waiters = nil
	for _, w := range waiters {
		select {
		case result := <-w.waiter.Result:
			if result.Granted {
				f.admitted = append(f.admitted, f.now)
				f.waits = append(f.waits, f.now-w.since)
			} else {
				f.refused++
			}
		default:
			f.waiters = append(f.waiters, w)
		}
	}
}

// run simulates the duration d with client requests at random times.
func (f *fleet) run(d time.Duration, requestsPerSecond float64) {
	for end := f.now + d; f.now < end; {
		for f.random.Float64() < requestsPerSecond/1000 {
			f.makeRequest(f.random.IntN(len(f.caches)))
			if f.random.Float64() < 0.5 {
				break
			}
		}
		f.advance()
	}
}

// maxExcess returns by how many requests the worst window exceeds rate and burst.
func (f *fleet) maxExcess() float64 {
	worst := 0.0
	for i := range f.admitted {
		for j := i; j < len(f.admitted); j++ {
			window := (f.admitted[j] - f.admitted[i]).Seconds()
			worst = max(worst, float64(j-i+1)-f.account.Rate*window-f.account.Burst)
		}
	}
	return worst
}

// No window admits more than rate and burst, whatever the load. A window at the VMs
// differs from the issuer's by the message delay, and a request is not divisible.
func TestNeverOverAllowance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 300).Draw(t, "rate")
		burst := rapid.Float64Range(2, 300).Draw(t, "burst")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 36).Draw(t, "vms"), rate, burst)
		f.withPlaceCaches(rapid.IntRange(0, 6).Draw(t, "placeCaches"))
		f.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		for range 4 {
			f.run(time.Second, rate*rapid.Float64Range(0.2, 8).Draw(t, "load"))
		}
		if excess := f.maxExcess(); excess > 1+rate*farDelay.Seconds() {
			t.Fatalf("a time window admitted %.1f requests more than rate and burst allow", excess)
		}
	})
}

// The same seed leads to the same admissions and messages.
func TestGrantsAreDeterministic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	play := func() string {
		f := newFleet(7, 24, 120, 30).withPlaceCaches(6)
		f.loss = 0.05
		for _, load := range []float64{60, 110, 400, 90} {
			f.run(time.Second, load)
		}
		return fmt.Sprint(f.admitted, f.waits, f.refused, f.requests, f.sequence)
	}
	is.Equal(play(), play())
}

// An account within its rate is refused at most half a percentage point more often
// than with a single counter.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		rate, burst float64
		vms         int
		load        float64
		placeCaches int
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
		t.Run(fmt.Sprintf("%.0f %d %.2f %d", c.rate, c.vms, c.load, c.placeCaches), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(7, c.vms, c.rate, c.burst).withPlaceCaches(c.placeCaches)
			f.run(2*time.Second, 0)
			f.run(20*time.Second, c.rate*c.load*0.66)
			share := float64(f.refused) / float64(f.refused+len(f.admitted))
			waited := 0
			for _, wait := range f.waits {
				if wait > 0 {
					waited++
				}
			}
			t.Logf("%d admitted, %.2f%% refused, %d waited, %d token requests", len(f.admitted), 100*share, waited, f.requests)
			is.True(share <= 0.005)
		})
	}
}

// An account at eight times its rate gets its rate.
func TestHotAccountGetsItsRate(t *testing.T) {
	t.Parallel()
	for _, placeCaches := range []int{0, 6} {
		t.Run(fmt.Sprint(placeCaches), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(8, 36, 50, 50).withPlaceCaches(placeCaches)
			f.run(10*time.Second, 400)
			admitted := float64(len(f.admitted))
			is.True(admitted > 0.95*(50*10))
			is.True(admitted <= 50*10+50+1)
		})
	}
}

// A place leader replies to most token requests of a large account without a
// request to the fleet leader.
func TestPlaceCachePrefetches(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(9, 36, 400, 400).withPlaceCaches(6)
	f.run(2*time.Second, 200)
	f.requests = 0
	before := len(f.admitted)
	f.run(10*time.Second, 200)
	t.Logf("%d admitted, %d token requests", len(f.admitted)-before, f.requests)
	is.True(f.requests < (len(f.admitted)-before)/2)
	is.Equal(f.refused, 0)
}

// Prefetched tokens count against the burst until they are reported as spent.
func TestSpentTokensLeaveTheBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var issuer Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 100}
	first := issuer.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 1, Prefetch: 30}, account, 1)
	is.Equal(first.Count, 31)
	second := issuer.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 200}, account, 1)
	is.True(first.Count+second.Count <= 101)
	var other Issuer
	first = other.Grant(20*time.Second, TokenRequest{Account: "account", Waiting: 1, Prefetch: 30}, account, 1)
	other.Grant(20*time.Second, TokenRequest{Account: "account", Spent: 30}, account, 1)
	second = other.Grant(23*time.Second, TokenRequest{Account: "account", Waiting: 200}, account, 1)
	is.True(second.Count >= 99)
	is.True(first.Count+second.Count <= 100+31)
}

// A timed-out request of a VM ends. Tokens that arrive for it are lost, since the
// issuer counts them as spent; prefetched tokens are cached.
func TestTimedOutRequestsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cache := NewPlaceCache(TokenRequest{Account: "account"})
	cache.AddRequest(0, testAddress(1), TokenRequest{Sequence: 1, Account: "account", Waiting: 2})
	request, isDue := cache.NextRequest(0, 1)
	is.True(isDue)
	is.Equal(request.Hops, 1)
	is.Equal(len(cache.TakeReplies(100*time.Millisecond)), 0)
	is.Equal(len(cache.TakeReplies(200*time.Millisecond)), 0)
	cache.HandleReply(200*time.Millisecond, TokenReply{Sequence: request.Sequence, Account: "account", Count: request.Waiting + request.Prefetch})
	cache.AddRequest(200*time.Millisecond, testAddress(1), TokenRequest{Sequence: 2, Account: "account", Waiting: request.Prefetch + 1})
	replies := cache.TakeReplies(200 * time.Millisecond)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Reply, TokenReply{Sequence: 2, Account: "account", Count: request.Prefetch, Partial: true})
}

// An issuer without a share grants nothing and replies Unavailable.
func TestIssuerWithoutShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var issuer Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 10}
	reply := issuer.Grant(time.Second, TokenRequest{Account: "account", Waiting: 3}, account, 0)
	is.True(reply.Unavailable)
	is.Equal(reply.Count, 0)
}

// An issuer starts with empty buckets, since earlier grants are not known.
func TestNewIssuerStartsEmpty(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var issuer Issuer
	issuer.Reset(10 * time.Second)
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 100}
	reply := issuer.Grant(10*time.Second, TokenRequest{Account: "account", Waiting: 50}, account, 1)
	is.True(reply.Count <= 1)
	is.True(reply.RetryAfter > 0)
	reply = issuer.Grant(12*time.Second, TokenRequest{Account: "account", Waiting: 50}, account, 1)
	is.True(reply.Count >= 18 && reply.Count <= 21)
}

// Each refused request gets a later RetryAfter than the one before.
func TestRetriesAreSpread(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var issuer Issuer
	account := &ferry.Account{ID: "account", Rate: 10, Burst: 2}
	last := time.Duration(0)
	for range 10 {
		reply := issuer.Grant(time.Second, TokenRequest{Account: "account", Waiting: 1}, account, 1)
		if reply.Count == 0 {
			is.True(reply.RetryAfter > last)
			last = reply.RetryAfter
		}
	}
	is.True(last >= 500*time.Millisecond)
}

// Shortly after a refusal requests are refused at once, spread in time; not while a token
// is cached, and the first one after that asks again.
func TestKnownEmptyAllowance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cache := &TokenCache{Account: "account"}
	refuse := func(now time.Duration, sequence uint64) {
		waiter := cache.Take(now)
		request, isDue := cache.NextRequest(now, sequence)
		is.True(isDue)
		cache.HandleReply(now, TokenReply{Sequence: request.Sequence, Account: "account", RetryAfter: 300 * time.Millisecond})
		is.Equal((<-waiter.Result).RetryAfter, 300*time.Millisecond)
	}
	refuse(0, 1)
	times := map[time.Duration]bool{}
	for i := range 20 {
		now := time.Duration(i) * time.Millisecond
		result := <-cache.Take(now).Result
		is.True(!result.Granted && result.RetryAfter >= 300*time.Millisecond-now && result.RetryAfter <= maxRetryAfter)
		times[(now + result.RetryAfter).Round(5*time.Millisecond)] = true
		_, isDue := cache.NextRequest(now, 2)
		is.True(!isDue)
	}
	is.True(len(times) >= 15)
	refuse(maxKnownEmpty, 3)
	cache.HandleReply(maxKnownEmpty, TokenReply{Sequence: 3, Account: "account"})
	cache.expiries = append(cache.expiries, time.Second)
	is.Equal(cache.Take(maxKnownEmpty+time.Millisecond), nil)
}

// Immediate refusals take nothing from an account that sends far beyond its rate, also
// when its burst is small.
func TestKnownEmptyCostsNoTokens(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		rate, burst float64
		vms, places int
	}{{50, 50, 36, 6}, {200, 40, 36, 6}, {200, 40, 3, 0}, {500, 50, 107, 6}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(8, c.vms, c.rate, c.burst).withPlaceCaches(c.places)
			f.run(10*time.Second, 7*c.rate)
			t.Logf("%d admitted of %.0f, %d refused, %d token requests", len(f.admitted), c.rate*10+c.burst, f.refused, f.requests)
			is.True(float64(len(f.admitted)) >= 0.95*c.rate*10)
		})
	}
}

// After a loss of power the issuer has empty buckets, and the shares of its followers
// arrive one after the other. Requests within the rate of their account that come in
// the first second wait and are granted as tokens accrue; one far beyond it is refused
// when the issuer has settled.
func TestSettlingIssuerRefusesNothing(t *testing.T) {
	is := is.New(t)
	account := &ferry.Account{ID: "a", Rate: 40, Burst: 40}
	issuer, cache := Issuer{}, TokenCache{Account: "a"}
	issuer.Reset(time.Minute)
	var waiters []*Waiter
	refused, granted := 0, 0
	for tick := range 60 { // 3 s in steps of 50 ms, with one request each: half of the rate
		now := time.Minute + time.Duration(tick)*50*time.Millisecond
		share := min(1, 0.02+float64(tick)/10)
		if waiter := cache.Take(now); waiter != nil {
			waiters = append(waiters, waiter)
		} else {
			granted++
		}
		if request, isDue := cache.NextRequest(now, uint64(tick+1)); isDue {
			cache.HandleReply(now, issuer.Grant(now, request, account, share))
		}
	}
	for _, waiter := range waiters {
		select {
		case result := <-waiter.Result:
			if result.Granted {
				granted++
			} else {
				refused++
			}
		default:
		}
	}
	is.Equal(refused, 0)
	is.True(granted >= 58) // all but the last
	reply := issuer.Grant(time.Minute+3*time.Second, TokenRequest{Account: "a", Waiting: 500}, account, 1)
	is.True(!reply.Unavailable && reply.RetryAfter > 0)
}
