package host

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/cert"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/load"
	"monsoonferry.org/ferry/store"
)

// awaitTimeout bounds every wait of a test. Tests assert what happened, not when.
const awaitTimeout = 40 * time.Second

// testFleet is a small fleet in one process with a platform and targets.
type testFleet struct {
	t         testing.TB
	platform  *fake.Platform
	server    *httptest.Server
	targets   []*fake.Target
	inventory *ferry.Inventory
	vms       []*testVM
	peerTLS   conf.TLSFiles
	network   fake.Network
}

// testVM is one VM of a bench.
type testVM struct {
	settings conf.Settings
	host     *Host
	cancel   context.CancelFunc
	done     chan error
	// isPlatformUnreachable cuts this VM off from the platform.
	isPlatformUnreachable atomic.Bool
}

// unreachableStore is a platform whose answers one VM does not get while isLost.
type unreachableStore struct {
	ferry.Store
	isUnreachable *atomic.Bool
}

// Watch implements ferry.Store.
func (s unreachableStore) Watch(ctx context.Context, name string, after uint64) (ferry.Value, error) {
	value, err := s.Store.Watch(ctx, name, after)
	if s.isUnreachable.Load() {
		return ferry.Value{}, errPlatformUnreachable
	}
	return value, err
}

var errPlatformUnreachable = errors.New("the platform is cut off")

// listEntry returns the VM as the platform lists it.
func (v *testVM) listEntry() ferry.VM {
	s := v.settings
	return ferry.VM{ID: s.ID, Place: s.Place, Callers: s.Callers, Peers: s.Peers, Admin: s.Admin}
}

func key(account string) string { return fake.KeyMark + account }

// newTestFleet starts a platform and targets and publishes an inventory.
func newTestFleet(t testing.TB, vms, targets int) *testFleet {
	t.Helper()
	return newTestFleetWith(t, vms, targets, 8, 2*time.Millisecond)
}

// newTestFleetWith gives each target a number of slots and a service time.
func newTestFleetWith(t testing.TB, vms, targets, slots int, serviceTime time.Duration) *testFleet {
	t.Helper()
	b := &testFleet{t: t, platform: fake.NewPlatform()}
	b.server = httptest.NewServer(b.platform)
	t.Cleanup(b.server.CloseClientConnections)
	b.inventory = &ferry.Inventory{
		Version: 1, MaxVMs: vms,
		Places:   []ferry.Place{{ID: "p1", Region: "r1"}, {ID: "p2", Region: "r2"}},
		Services: []ferry.Service{{ID: "orders", Rules: ferry.Rules{}.WithDefaults()}},
		Routes: []ferry.Route{
			{ID: "orders", PathPrefix: "/orders", Service: "orders", Deadline: 20 * time.Second, BodyLimit: 1 << 30},
			{ID: "advice", PathPrefix: "/advice", Service: "orders", IdempotentMethods: []string{http.MethodGet}, Deadline: 20 * time.Second, BodyLimit: 1},
		},
	}
	for _, id := range []string{"one", "two"} {
		b.inventory.Accounts = append(b.inventory.Accounts, ferry.Account{
			ID: ferry.AccountID(id), Rate: 500, Burst: 500, Keys: []ferry.KeyHash{ferry.HashKey(key(id))},
		})
	}
	for i := range targets {
		target := fake.NewTarget(fmt.Sprintf("t%d", i), slots, serviceTime, uint64(i))
		server := httptest.NewServer(target)
		t.Cleanup(server.CloseClientConnections)
		b.targets = append(b.targets, target)
		b.inventory.Targets = append(b.inventory.Targets, ferry.Target{
			ID: ferry.TargetID(fmt.Sprintf("t%d", i)), Service: "orders", Place: "p1", Slots: slots, MaxConnections: 300,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	return b
}

// start starts the VMs and waits until all of them serve.
func (b *testFleet) start(count int) {
	b.t.Helper()
	for i := range count {
		b.vms = append(b.vms, &testVM{settings: conf.Settings{
			ID: ferry.VMID(fmt.Sprintf("vm-%d", i)), Place: b.inventory.Places[i%len(b.inventory.Places)].ID,
			Callers: freePort(b.t), Peers: freePort(b.t), Admin: freePort(b.t),
			Platform:    []netip.AddrPort{netip.MustParseAddrPort(b.server.Listener.Addr().String())},
			OperatorKey: ferry.HashKey("operator"), PlainText: true, PeerTLS: b.peerTLS,
		}})
	}
	b.publish()
	for _, v := range b.vms {
		b.launch(v)
	}
	b.await("every VM serves", func() bool {
		for _, v := range b.vms {
			if status := v.host.Status(); !status.Ready || status.Up != count || len(v.host.control.view.Load().Serving()) != count {
				return false
			}
		}
		return true
	})
}

func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// launch starts the process of a VM anew.
func (b *testFleet) launch(v *testVM) {
	b.t.Helper()
	logger := Logger{Log: slog.New(slog.DiscardHandler), Level: &slog.LevelVar{}}
	host, err := New(v.settings, ferry.NewSystemClock(), logger, unreachableStore{Store: store.NewClient(v.settings.Platform), isUnreachable: &v.isPlatformUnreachable}, b.network.Dialer(v.listEntry()), metrics.NewSet())
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.host, v.cancel, v.done = host, cancel, make(chan error, 1)
	ended := make(chan struct{})
	done := v.done
	go func() {
		done <- host.Run(ctx)
		close(ended)
	}()
	b.t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(awaitTimeout):
			b.t.Errorf("VM %s does not end", v.settings.ID)
		}
	})
}

// publish writes the inventory and the list of VMs to the platform.
func (b *testFleet) publish() {
	b.t.Helper()
	list := ferry.VMList{Version: b.inventory.Version}
	for _, v := range b.vms {
		list.VMs = append(list.VMs, v.listEntry())
	}
	if err := b.platform.PublishInventory(b.inventory, list); err != nil {
		b.t.Fatal(err)
	}
}

func (b *testFleet) await(what string, condition func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); {
		if time.Now().After(deadline) {
			b.t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends one request and returns its status and outcome.
func (v *testVM) call(method, path, keyText string) (status int, outcome string) {
	request, err := http.NewRequest(method, "http://"+v.settings.Callers.String()+path, http.NoBody)
	if err != nil {
		return 0, ""
	}
	request.Header.Set(ferry.HeaderKey, keyText)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get(ferry.HeaderOutcome)
}

// awaitAllowance waits until every VM admits requests.
func (b *testFleet) awaitAllowance() {
	b.t.Helper()
	for _, v := range b.vms {
		b.await("VM "+string(v.settings.ID)+" admits requests", func() bool {
			status, _ := v.call(http.MethodGet, "/advice/x", key("one"))
			return status == http.StatusOK
		})
	}
}

func (b *testFleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, v := range b.vms {
		seeds = append(seeds, v.settings.Callers)
	}
	return seeds
}

// traffic sends requests of both accounts for the given time.
func (b *testFleet) traffic(d time.Duration) <-chan *load.Report {
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(context.Background(), load.Plan{
			Seeds: b.seeds(), Duration: d, Seed: 1,
			Accounts: []load.Account{
				{ID: "one", Key: key("one"), Rate: 100, Method: http.MethodPost, Path: "/orders/new", BodyBytes: 100, Callers: len(b.vms)},
				{ID: "two", Key: key("two"), Rate: 100, Method: http.MethodGet, Path: "/advice/x", Callers: len(b.vms)},
			},
		})
	}()
	return reports
}

func (b *testFleet) judge(report *load.Report) ([]load.AccountReport, load.Promises) {
	return b.judgeWith(report, map[string]load.Allowance{"one": {Rate: 500, Burst: 500}, "two": {Rate: 500, Burst: 500}})
}

func (b *testFleet) judgeWith(report *load.Report, allowances map[string]load.Allowance) ([]load.AccountReport, load.Promises) {
	var seen []fake.TargetReport
	for _, target := range b.targets {
		seen = append(seen, target.Report())
	}
	return load.Judge(report, seen, allowances)
}

// TestPlannedStopCutsNothing stops one VM under load as planned. No request is
// cut, refused or lost.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 3, 4)
	b.start(3)
	b.awaitAllowance()
	reports := b.traffic(12 * time.Second)
	time.Sleep(time.Second)
	b.vms[0].host.Drain()
	is.NoErr(<-b.vms[0].done) // the process ends by itself
	report := <-reports
	for _, result := range report.Results {
		if result.Status != http.StatusOK {
			t.Logf("not served: %+v", result)
		}
	}
	accounts, promises := b.judge(report)
	is.True(promises.IsKept())
	for _, account := range accounts {
		is.True(account.Sent > 500)
		is.Equal(account.Good, account.Sent)
	}
}

// TestKilledVM ends a VM without warning. Callers recover and no promise
// breaks; requests that the VM worked on may fail.
func TestKilledVM(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 3, 4)
	b.start(3)
	b.awaitAllowance()
	reports := b.traffic(8 * time.Second)
	time.Sleep(time.Second)
	b.vms[2].cancel()
	report := <-reports
	_, promises := b.judge(report)
	is.True(promises.IsKept())
	late := 0
	for _, result := range report.Results {
		if result.At > 7*time.Second && result.Status == http.StatusOK {
			late++
		}
	}
	is.True(late > 50) // the callers go on with the other VMs
}

// TestWithdrawnKey withdraws a key during an upload on an open connection. The
// upload is cut off, and later requests are refused everywhere.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 2, 2)
	b.start(2)
	b.awaitAllowance()
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+b.vms[0].settings.Callers.String()+"/orders/scan", reader)
	is.NoErr(err)
	request.Header.Set(ferry.HeaderKey, key("two"))
	statuses := make(chan int, 1)
	go func() {
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			statuses <- 0
			return
		}
		_ = answer.Body.Close()
		statuses <- answer.StatusCode
	}()
	piece := make([]byte, 100<<10)
	_, err = writer.Write(piece)
	is.NoErr(err)
	b.inventory.Version, b.inventory.Accounts = 2, b.inventory.Accounts[:1]
	b.publish()
	b.await("the key is refused everywhere", func() bool {
		for _, v := range b.vms {
			if status, outcome := v.call(http.MethodGet, "/advice/x", key("two")); status != http.StatusUnauthorized || outcome != "NotRun" {
				return false
			}
		}
		return true
	})
	go func() {
		for range 100 {
			if _, err := writer.Write(piece); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	is.True(<-statuses != http.StatusOK)
	for _, target := range b.targets {
		is.Equal(target.Report().Keys, 0)
	}
	status, _ := b.vms[0].call(http.MethodGet, "/advice/x", key("one"))
	is.Equal(status, http.StatusOK) // the other account is served
}

// TestRestartBesideStalePlatform restarts a VM while the platform serves the
// old version. The VM takes the new one from its peers and never serves the old.
func TestRestartBesideStalePlatform(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 3, 2)
	b.start(3)
	b.awaitAllowance()
	b.platform.SetMode(fake.ModeStale)
	b.platform.SetMode(fake.ModeUp)
	old := b.inventory.Accounts
	b.inventory.Version, b.inventory.Accounts = 2, old[:1]
	b.publish()
	b.await("version 2 is in force", func() bool {
		for _, v := range b.vms {
			if !strings.HasPrefix(v.host.Status().Stamp, "2-") {
				return false
			}
		}
		return true
	})
	// The platform goes back to version 1.
	b.inventory.Version, b.inventory.Accounts = 1, old
	b.publish()
	v := b.vms[1]
	v.cancel()
	<-v.done
	b.launch(v)
	served := 0
	b.await("the VM serves again", func() bool {
		if snapshot := v.host.Snapshot(); snapshot != nil && snapshot.Version() == 1 {
			served++
		}
		return v.host.Status().Ready && v.host.Status().Up == 3
	})
	is.Equal(served, 0) // requests never saw the old version
	is.True(strings.HasPrefix(v.host.Status().Stamp, "2-"))
	status, _ := v.call(http.MethodGet, "/advice/x", key("two"))
	is.Equal(status, http.StatusUnauthorized)
}

// TestPlatformUnavailable takes the platform away and restarts every VM in turn.
func TestPlatformUnavailable(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 3, 2)
	b.start(3)
	b.awaitAllowance()
	b.platform.SetMode(fake.ModeDown)
	for _, v := range b.vms {
		v.cancel()
		<-v.done
		b.launch(v)
		b.await("the VM serves without the platform", func() bool { return v.host.Status().Ready })
		is.True(strings.HasPrefix(v.host.Status().Stamp, "1-"))
	}
	b.awaitAllowance()
}

// TestUntrustedPeers sends nonsense and foreign certificates to the listener for
// peers. The fleet goes on.
func TestUntrustedPeers(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 2, 1)
	b.peerTLS = writeAuthority(t, t.TempDir())
	b.start(2)
	b.awaitAllowance()
	address := b.vms[0].settings.Peers.String()
	for _, nonsense := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 100), strings.Repeat("\xff", 1<<16)} {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, _ = io.WriteString(conn, nonsense)
		is.NoErr(conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err = io.Copy(io.Discard, conn)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the connection is ended
		_ = conn.Close()
	}
	foreign, err := cert.Load(writeAuthority(t, t.TempDir()))
	is.NoErr(err)
	dial, _ := foreign.PeerConfigs()
	dial.VerifyConnection = nil
	conn, err := tls.Dial("tcp", address, dial)
	if err == nil {
		// In TLS 1.3 the refusal of the client's certificate shows at the first read.
		is.NoErr(conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err = conn.Read(make([]byte, 1))
	}
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(b.vms[0].host.Status().Up, 2)
}

// TestAdmin asks the administration API with and without the operator key.
func TestAdmin(t *testing.T) {
	is := is.New(t)
	b := newTestFleet(t, 1, 1)
	b.start(1)
	get := func(method, path, keyText, body string) (int, []byte) {
		request, err := http.NewRequest(method, "http://"+b.vms[0].settings.Admin.String()+path, strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Content-Type", "application/json")
		if keyText != "" {
			request.Header.Set(ferry.HeaderKey, keyText)
		}
		answer, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		return answer.StatusCode, text
	}
	for _, keyText := range []string{"", "wrong"} {
		status, _ := get(http.MethodGet, "/status", keyText, "")
		is.Equal(status, http.StatusUnauthorized)
	}
	for _, path := range []string{"/status", "/members", "/targets", "/inventory"} {
		status, text := get(http.MethodGet, path, "operator", "")
		is.Equal(status, http.StatusOK)
		is.True(json.Valid(text))
		is.True(!strings.Contains(string(text), fake.KeyMark)) // keys are never shown
	}
	status, text := get(http.MethodGet, "/metrics", "operator", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(string(text), "ferry_requests_total"))
	status, _ = get(http.MethodPut, "/log-level", "operator", `{"Level": "Loud"}`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = get(http.MethodPut, "/log-level", "operator", `{"Level": "Debug"}`)
	is.Equal(status, http.StatusOK)
	is.Equal(b.vms[0].host.level.Level(), slog.LevelDebug)
}
