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

// awaitTimeout bounds every wait of a test. Tests check what happens, not when.
const awaitTimeout = 40 * time.Second

// testFleet is a fleet in one process, with a fake platform and fake targets.
type testFleet struct {
	t         testing.TB
	platform  *fake.Platform
	server    *httptest.Server
	targets   []*fake.Target
	inventory *ferry.Inventory
	vms       []*testVM
	peerTLS   conf.TLSFiles
	callerTLS conf.TLSFiles
	network   fake.Network
	// gracePeriod is the grace period of the VMs, or zero for the default.
	gracePeriod time.Duration
	// logHandler gets the log of the VMs, or is nil.
	logHandler slog.Handler
}

// testVM is one VM of a test fleet.
type testVM struct {
	settings conf.Settings
	host     *Host
	cancel   context.CancelFunc
	done     chan error
	// isPlatformUnreachable makes the reads of this VM from the platform fail.
	isPlatformUnreachable atomic.Bool
}

// unreachableStore is a platform store whose reads fail while isUnreachable is set.
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

var errPlatformUnreachable = errors.New("the platform is unreachable")

// listEntry returns the entry of the VM in the platform's list.
func (v *testVM) listEntry() ferry.VM {
	s := v.settings
	return ferry.VM{ID: s.ID, Place: s.Place, Callers: s.Callers, Peers: s.Peers, Admin: s.Admin}
}

func key(account string) string { return fake.KeyPrefix + account }

// newTestFleet starts a platform and targets and builds their inventory.
func newTestFleet(t testing.TB, vms, targets int) *testFleet {
	t.Helper()
	return newTestFleetWith(t, vms, targets, 8, 2*time.Millisecond)
}

// newTestFleetWith is newTestFleet with the given slots and service time of targets.
func newTestFleetWith(t testing.TB, vms, targets, slots int, serviceTime time.Duration) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, platform: fake.NewPlatform()}
	fleet.server = httptest.NewServer(fleet.platform)
	t.Cleanup(fleet.server.CloseClientConnections)
	fleet.inventory = &ferry.Inventory{
		Version: 1, MaxVMs: vms,
		Places:   []ferry.Place{{ID: "p1", Region: "r1"}, {ID: "p2", Region: "r2"}},
		Services: []ferry.Service{{ID: "orders", Rules: ferry.Rules{}.WithDefaults()}},
		Routes: []ferry.Route{
			{ID: "orders", PathPrefix: "/orders", Service: "orders", Deadline: 20 * time.Second, BodyLimit: 1 << 30},
			{ID: "advice", PathPrefix: "/advice", Service: "orders", IdempotentMethods: []string{http.MethodGet}, Deadline: 20 * time.Second, BodyLimit: 1},
		},
	}
	for _, id := range []string{"one", "two"} {
		fleet.inventory.Accounts = append(fleet.inventory.Accounts, ferry.Account{
			ID: ferry.AccountID(id), Rate: 500, Burst: 500, Keys: []ferry.KeyHash{ferry.HashKey(key(id))},
		})
	}
	for i := range targets {
		target := fake.NewTarget(fmt.Sprintf("t%d", i), slots, serviceTime, uint64(i))
		server := httptest.NewServer(target)
		t.Cleanup(server.CloseClientConnections)
		fleet.targets = append(fleet.targets, target)
		fleet.inventory.Targets = append(fleet.inventory.Targets, ferry.Target{
			ID: ferry.TargetID(fmt.Sprintf("t%d", i)), Service: "orders", Place: "p1", Slots: slots, MaxConnections: 300,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	return fleet
}

// start starts the VMs and waits until all of them serve.
func (f *testFleet) start(count int) {
	f.t.Helper()
	for i := range count {
		f.vms = append(f.vms, &testVM{settings: conf.Settings{
			ID: ferry.VMID(fmt.Sprintf("vm-%d", i)), Place: f.inventory.Places[i%len(f.inventory.Places)].ID,
			Callers: freePort(f.t), Peers: freePort(f.t), Admin: freePort(f.t),
			Platform:    []netip.AddrPort{netip.MustParseAddrPort(f.server.Listener.Addr().String())},
			OperatorKey: ferry.HashKey("operator"), PlainText: true, PeerTLS: f.peerTLS, CallerTLS: f.callerTLS, GracePeriod: f.gracePeriod,
		}})
	}
	f.publish()
	for _, v := range f.vms {
		f.launch(v)
	}
	f.await("every VM serves", func() bool {
		for _, v := range f.vms {
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

// launch starts a new process of a VM.
func (f *testFleet) launch(v *testVM) {
	f.t.Helper()
	logger := Logger{Log: slog.New(slog.DiscardHandler), Level: &slog.LevelVar{}}
	if f.logHandler != nil {
		logger.Log = slog.New(f.logHandler)
	}
	host, err := New(v.settings, ferry.NewSystemClock(), logger, unreachableStore{Store: store.NewClient(v.settings.Platform), isUnreachable: &v.isPlatformUnreachable}, f.network.Dialer(v.listEntry()), metrics.NewSet())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.host, v.cancel, v.done = host, cancel, make(chan error, 1)
	ended := make(chan struct{})
	done := v.done
	go func() {
		done <- host.Run(ctx)
		close(ended)
	}()
	f.t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(awaitTimeout):
			f.t.Errorf("VM %s did not stop", v.settings.ID)
		}
	})
}

// publish writes the inventory and the list of VMs to the platform.
func (f *testFleet) publish() {
	f.t.Helper()
	list := ferry.VMList{Version: f.inventory.Version}
	for _, v := range f.vms {
		list.VMs = append(list.VMs, v.listEntry())
	}
	if err := f.platform.PublishInventory(f.inventory, list); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) await(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(ferry.HeaderOutcome)
}

// awaitAllowance waits until every VM admits requests.
func (f *testFleet) awaitAllowance() {
	f.t.Helper()
	for _, v := range f.vms {
		f.await("VM "+string(v.settings.ID)+" admits requests", func() bool {
			status, _ := v.call(http.MethodGet, "/advice/x", key("one"))
			return status == http.StatusOK
		})
	}
}

func (f *testFleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, v := range f.vms {
		seeds = append(seeds, v.settings.Callers)
	}
	return seeds
}

// traffic sends requests of both accounts for the given time.
func (f *testFleet) traffic(d time.Duration) <-chan *load.Report {
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(context.Background(), load.Plan{
			SeedAddresses: f.seeds(), Duration: d, RandomSeed: 1,
			Accounts: []load.Account{
				{ID: "one", Key: key("one"), Rate: 100, Method: http.MethodPost, Path: "/orders/new", BodyBytes: 100, Callers: len(f.vms)},
				{ID: "two", Key: key("two"), Rate: 100, Method: http.MethodGet, Path: "/advice/x", Callers: len(f.vms)},
			},
		})
	}()
	return reports
}

func (f *testFleet) evaluate(report *load.Report) ([]load.AccountReport, load.Violations) {
	return f.evaluateWith(report, map[string]load.Allowance{"one": {Rate: 500, Burst: 500}, "two": {Rate: 500, Burst: 500}})
}

func (f *testFleet) evaluateWith(report *load.Report, allowances map[string]load.Allowance) ([]load.AccountReport, load.Violations) {
	var targets []fake.TargetReport
	for _, target := range f.targets {
		targets = append(targets, target.Report())
	}
	return load.Evaluate(report, targets, allowances)
}

// TestPlannedStopCutsNothing starts the planned stop of one VM under load. No
// request is aborted, refused or lost.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3, 4)
	fleet.start(3)
	fleet.awaitAllowance()
	reports := fleet.traffic(12 * time.Second)
	time.Sleep(time.Second)
	fleet.vms[0].host.Drain()
	is.NoErr(<-fleet.vms[0].done) // the VM ends without cancellation
	report := <-reports
	for _, result := range report.Results {
		if result.Status != http.StatusOK {
			t.Logf("not served: %+v", result)
		}
	}
	accounts, violations := fleet.evaluate(report)
	is.True(violations.IsEmpty())
	for _, account := range accounts {
		is.True(account.Sent > 500)
		is.Equal(account.Good, account.Sent)
	}
}

// TestKilledVM kills a VM under load. Callers recover and no guarantee is violated;
// requests in flight on that VM may fail.
func TestKilledVM(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3, 4)
	fleet.start(3)
	fleet.awaitAllowance()
	reports := fleet.traffic(8 * time.Second)
	time.Sleep(time.Second)
	fleet.vms[2].cancel()
	report := <-reports
	_, violations := fleet.evaluate(report)
	is.True(violations.IsEmpty())
	servedAtEnd := 0
	for _, result := range report.Results {
		if result.At > 7*time.Second && result.Status == http.StatusOK {
			servedAtEnd++
		}
	}
	is.True(servedAtEnd > 50) // the callers use the other VMs
}

// TestWithdrawnKey withdraws a key during an upload on an open connection. The
// upload is aborted, and all VMs refuse later requests.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 2, 2)
	fleet.start(2)
	fleet.awaitAllowance()
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.vms[0].settings.Callers.String()+"/orders/scan", reader)
	is.NoErr(err)
	request.Header.Set(ferry.HeaderKey, key("two"))
	statuses := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	chunk := make([]byte, 100<<10)
	_, err = writer.Write(chunk)
	is.NoErr(err)
	fleet.inventory.Version, fleet.inventory.Accounts = 2, fleet.inventory.Accounts[:1]
	fleet.publish()
	fleet.await("all VMs refuse the key", func() bool {
		for _, v := range fleet.vms {
			if status, outcome := v.call(http.MethodGet, "/advice/x", key("two")); status != http.StatusUnauthorized || outcome != "NotRun" {
				return false
			}
		}
		return true
	})
	go func() {
		for range 100 {
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	is.True(<-statuses != http.StatusOK)
	for _, target := range fleet.targets {
		is.Equal(target.Report().Keys, 0)
	}
	status, _ := fleet.vms[0].call(http.MethodGet, "/advice/x", key("one"))
	is.Equal(status, http.StatusOK) // the other account is served
}

// TestRestartBesideStalePlatform restarts a VM while the platform serves an old
// version. The VM fetches the new version from its peers and never serves the old.
func TestRestartBesideStalePlatform(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3, 2)
	fleet.start(3)
	fleet.awaitAllowance()
	fleet.platform.SetMode(fake.ModeStale)
	fleet.platform.SetMode(fake.ModeUp)
	old := fleet.inventory.Accounts
	fleet.inventory.Version, fleet.inventory.Accounts = 2, old[:1]
	fleet.publish()
	fleet.await("version 2 is in force", func() bool {
		for _, v := range fleet.vms {
			if !strings.HasPrefix(v.host.Status().Stamp, "2-") {
				return false
			}
		}
		return true
	})
	// The platform serves version 1 again.
	fleet.inventory.Version, fleet.inventory.Accounts = 1, old
	fleet.publish()
	v := fleet.vms[1]
	v.cancel()
	<-v.done
	fleet.launch(v)
	oldServed := 0
	fleet.await("the VM serves again", func() bool {
		if snapshot := v.host.Snapshot(); snapshot != nil && snapshot.Version() == 1 {
			oldServed++
		}
		return v.host.Status().Ready && v.host.Status().Up == 3
	})
	is.Equal(oldServed, 0) // no request used the old version
	is.True(strings.HasPrefix(v.host.Status().Stamp, "2-"))
	status, _ := v.call(http.MethodGet, "/advice/x", key("two"))
	is.Equal(status, http.StatusUnauthorized)
}

// TestPlatformUnavailable restarts every VM in turn while the platform is down.
func TestPlatformUnavailable(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3, 2)
	fleet.start(3)
	fleet.awaitAllowance()
	fleet.platform.SetMode(fake.ModeDown)
	for _, v := range fleet.vms {
		v.cancel()
		<-v.done
		fleet.launch(v)
		fleet.await("the VM serves without the platform", func() bool { return v.host.Status().Ready })
		is.True(strings.HasPrefix(v.host.Status().Stamp, "1-"))
	}
	fleet.awaitAllowance()
}

// TestUntrustedPeers sends malformed data and a certificate of another authority
// to the listener for peers. The VMs stay connected.
func TestUntrustedPeers(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 2, 1)
	fleet.peerTLS = writeAuthority(t, t.TempDir())
	fleet.start(2)
	fleet.awaitAllowance()
	address := fleet.vms[0].settings.Peers.String()
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 100), strings.Repeat("\xff", 1<<16)} {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, _ = io.WriteString(conn, garbage)
		is.NoErr(conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err = io.Copy(io.Discard, conn)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the VM closes the connection
		_ = conn.Close()
	}
	untrusted, err := cert.Load(writeAuthority(t, t.TempDir()))
	is.NoErr(err)
	dial, _ := untrusted.PeerConfigs()
	dial.VerifyConnection = nil
	conn, err := tls.Dial("tcp", address, dial)
	if err == nil {
		// In TLS 1.3 the client sees the refusal of its certificate at the first read.
		is.NoErr(conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err = conn.Read(make([]byte, 1))
	}
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(fleet.vms[0].host.Status().Up, 2)
}

// TestAdmin calls the administration API with and without the operator key.
func TestAdmin(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 1, 1)
	fleet.start(1)
	do := func(method, path, keyText, body string) (int, []byte) {
		request, err := http.NewRequest(method, "http://"+fleet.vms[0].settings.Admin.String()+path, strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Content-Type", "application/json")
		if keyText != "" {
			request.Header.Set(ferry.HeaderKey, keyText)
		}
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, text
	}
	for _, keyText := range []string{"", "wrong"} {
		status, _ := do(http.MethodGet, "/status", keyText, "")
		is.Equal(status, http.StatusUnauthorized)
	}
	for _, path := range []string{"/status", "/members", "/targets", "/inventory"} {
		status, text := do(http.MethodGet, path, "operator", "")
		is.Equal(status, http.StatusOK)
		is.True(json.Valid(text))
		is.True(!strings.Contains(string(text), fake.KeyPrefix)) // the API never returns keys
	}
	status, text := do(http.MethodGet, "/metrics", "operator", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(string(text), "ferry_requests_total"))
	status, _ = do(http.MethodPut, "/log-level", "operator", `{"Level": "Loud"}`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = do(http.MethodPut, "/log-level", "operator", `{"Level": "Debug"}`)
	is.Equal(status, http.StatusOK)
	is.Equal(fleet.vms[0].host.level.Level(), slog.LevelDebug)
}
