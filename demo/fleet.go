package demo

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// Sizes of a run.
const (
	vmCount           = 6
	adviceTargets     = 6
	orderTargets      = 6
	targetSlots       = 4
	adviceServiceTime = "8ms"
	orderServiceTime  = "12ms"
	withdrawnAccount  = "clinic-4"
	// frozenVM is the index of the VM that is frozen.
	frozenVM = 1
	// stoppedVM is the index of the VM with the planned stop.
	stoppedVM = 3
	// pairAccount has an allowance that a pair does not exhaust.
	pairAccount = "pair"
)

// vm is a VM that runs as a process.
type vm struct {
	process
	place   ferry.PlaceID
	callers string
	peers   string
}

// target is a fake target that runs as a process.
type target struct {
	process
	service string
	place   ferry.PlaceID
}

// fleet holds the processes and the published version of a run.
type fleet struct {
	config         Config
	started        time.Time
	client         *http.Client
	platform       process
	echo           *target
	targets        []*target
	vms            []*vm
	version        uint64
	isKeyWithdrawn bool
	// size is the number of VMs to start.
	size int
	// extraAccounts and extraTargets are the numbers published without traffic.
	extraAccounts int
	extraTargets  int
}

func newFleet(config Config) *fleet {
	return &fleet{
		config: config, started: time.Now(), size: vmCount,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: pairWorkers}},
	}
}

// logProgress writes a progress line with the time since the start.
func (f *fleet) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(f.config.Progress, "[%5.1f s] %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// places returns two places in each of three regions.
func places() []ferry.Place {
	var list []ferry.Place
	for _, region := range []ferry.RegionID{"slavonia", "dalmatia", "istria"} {
		for i := 1; i <= 2; i++ {
			list = append(list, ferry.Place{ID: ferry.PlaceID(fmt.Sprintf("%s-%d", region, i)), Region: region})
		}
	}
	return list
}

// start starts every process and publishes the first configuration.
func (f *fleet) start(ctx context.Context) (err error) {
	if err = makeDirectory(f.config.Directory); err != nil {
		return err
	}
	if err = f.startPlatform(); err != nil {
		return err
	}
	all := places()
	for i := range adviceTargets {
		if err = f.startTarget(fmt.Sprintf("advice-%d", i), "advice", adviceServiceTime, all[i%len(all)].ID); err != nil {
			return err
		}
	}
	for i := range orderTargets {
		if err = f.startTarget(fmt.Sprintf("orders-%d", i), "orders", orderServiceTime, all[i%len(all)].ID); err != nil {
			return err
		}
	}
	if err = f.startTarget("echo-0", "echo", "1us", all[0].ID); err != nil {
		return err
	}
	f.echo = f.targets[len(f.targets)-1]
	if err = f.awaitListening(ctx); err != nil {
		return err
	}
	for i := range f.size {
		if err = f.prepareVM(fmt.Sprintf("vm-%d", i), all[i%len(all)].ID); err != nil {
			return err
		}
	}
	if err = f.publish(ctx); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err = f.launchVM(v); err != nil {
			return err
		}
	}
	return nil
}

// launchVM starts a VM, or restarts one that was stopped or killed.
func (f *fleet) launchVM(v *vm) error {
	v.killed.Store(false)
	return f.launch(&v.process, f.config.Server, "serve", "--settings", f.settingsPath(v))
}

func (f *fleet) startPlatform() (err error) {
	f.platform.id = "platform"
	if f.platform.address, err = freeAddress(); err != nil {
		return err
	}
	return f.launch(&f.platform, f.config.Lab, "platform", "--listen", f.platform.address)
}

func (f *fleet) startTarget(id, service, serviceTime string, place ferry.PlaceID) (err error) {
	t := &target{service: service, place: place}
	t.id = id
	if t.address, err = freeAddress(); err != nil {
		return err
	}
	f.targets = append(f.targets, t)
	return f.launch(&t.process, f.config.Lab, "target", "--listen", t.address, "--name", id,
		"--slots", fmt.Sprint(targetSlots), "--service-time", serviceTime, "--seed", fmt.Sprint(len(f.targets)))
}

// awaitListening waits until the fakes accept connections.
func (f *fleet) awaitListening(ctx context.Context) error {
	_, err := f.await(ctx, func() bool {
		addresses := []string{f.platform.address}
		for _, t := range f.targets {
			addresses = append(addresses, t.address)
		}
		for _, address := range addresses {
			if !isListening(ctx, address) {
				return false
			}
		}
		return true
	}, readyTimeout)
	return err
}

func (f *fleet) settingsPath(v *vm) string {
	return filepath.Join(f.config.Directory, v.id+".json")
}

// settingsFile is the JSON document of a VM's settings.
type settingsFile struct {
	ID, Place, Callers, Peers, Admin string
	Platform                         []string
	LogLevel, LogFormat, OperatorKey string
	PlainText                        bool
}

// prepareVM adds a VM and writes its settings.
func (f *fleet) prepareVM(id string, place ferry.PlaceID) (err error) {
	v := &vm{place: place}
	v.id = id
	for _, address := range []*string{&v.callers, &v.peers, &v.address} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	hash := ferry.HashKey(operatorKey)
	var text []byte
	if text, err = json.MarshalIndent(settingsFile{
		ID: v.id, Place: string(place), Callers: v.callers, Peers: v.peers, Admin: v.address,
		Platform: []string{f.platform.address}, LogLevel: "Info", LogFormat: string(conf.LogJSON),
		OperatorKey: hex.EncodeToString(hash[:]), PlainText: true,
	}, "", "  "); err != nil {
		return trace.Wrap(err)
	}
	f.vms = append(f.vms, v)
	return trace.ConvertSystemError(os.WriteFile(f.settingsPath(v), text, 0o600))
}

// seedAddresses returns the addresses for the callers' first entry requests.
func (f *fleet) seedAddresses() (seeds []netip.AddrPort) {
	for _, v := range f.vms {
		seeds = append(seeds, mustParseAddress(v.callers))
	}
	return seeds
}

// killProcesses kills every started process.
func (f *fleet) killProcesses() {
	var processes []*process
	for _, v := range f.vms {
		processes = append(processes, &v.process)
	}
	for _, t := range f.targets {
		processes = append(processes, &t.process)
	}
	processes = append(processes, &f.platform)
	for _, p := range processes {
		if p.command != nil && p.command.Process != nil {
			p.kill()
		}
	}
}
