// Package demo runs a whole fleet as processes on one machine, brings about
// failures and measures what the brief's promises are about.
//
// # Concept
//
// A run starts a platform, six VMs in three regions of two places and the
// targets of both workloads, each as a process. It sends traffic for a fixed
// time while it turns one target gray, kills one VM, withdraws a key, takes the
// platform away and freezes another VM. At the end it compares what callers and targets saw.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Config{Server: "bin/monsoonferry", Lab: "bin/ferrylab"})
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/load"
)

// Config describes a run. All fields are required.
type Config struct {
	// Server and Lab are the paths of the two programs.
	Server string
	Lab    string
	// Directory receives settings and logs.
	Directory string
	Progress  io.Writer
}

// Result is what a run measured.
type Result struct {
	// DetectionSeconds is the time from the fault to the ejection.
	DetectionSeconds float64
	FalseEjections   int
	WorstAccount     string
	WorstSuccess     float64
	WrongfulRefusals int
	WrongfulShare    float64
	// WithdrawalSeconds is the time until a withdrawn key was refused.
	WithdrawalSeconds float64
	// ForceSeconds is the time until the changed configuration was in force on
	// every live VM.
	ForceSeconds float64
	// StopCut is the number of requests that the planned stop left without a
	// whole answer from the first VM they were sent to.
	StopCut      int
	AddedP50Ms   float64
	AddedP99Ms   float64
	LatencyP50Ms float64
	LatencyP99Ms float64
	Requests     int
	Promises     load.Promises
	Accounts     []load.AccountReport
	// Broken lists the promises that were broken.
	Broken []string
}

// Times of a run.
const (
	readyTimeout = 30 * time.Second
	trafficTime  = 30 * time.Second
	stopAt       = 500 * time.Millisecond
	grayAt       = 3 * time.Second
	restartBy    = 12 * time.Second
	killAt       = 13 * time.Second
	replaceAt    = 15 * time.Second
	withdrawAt   = 17 * time.Second
	platformAt   = 21 * time.Second
	freezeAt     = 22 * time.Second
	wakeAt       = 26 * time.Second
	// requestMargin is longer than a request takes.
	requestMargin = time.Second
	pollInterval  = 50 * time.Millisecond
	changeTimeout = 7 * time.Second
	// detectionTimeout is the time after which a gray target counts as missed.
	detectionTimeout = 5 * time.Second
	warmUpTime       = 4 * time.Second
)

// Run carries out a run. It returns an error when the fleet could not be run;
// broken promises are part of the result.
func Run(ctx context.Context, config Config) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	f := newFleet(config)
	defer f.stop()
	defer cancel()
	f.say("starting platform, targets and %d VMs", vmCount)
	if err = f.start(ctx); err != nil {
		return nil, err
	}
	if err = f.awaitReady(ctx); err != nil {
		return nil, err
	}
	f.say("ready; shares are on their way")
	if err = sleep(ctx, warmUpTime); err != nil {
		return nil, err
	}
	result = &Result{}
	if err = f.measureAdded(ctx, result); err != nil {
		return nil, err
	}
	f.say("sending traffic for %v", trafficTime)
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(ctx, load.Plan{Seeds: f.seeds(), Accounts: f.traffic(), Duration: trafficTime, Seed: 1})
	}()
	if err = f.bringAboutFailures(ctx, result); err != nil {
		return nil, err
	}
	report := <-reports
	if err = f.judge(ctx, report, result); err != nil {
		return nil, err
	}
	return result, nil
}

// bringAboutFailures follows the timetable of a run.
func (f *fleet) bringAboutFailures(ctx context.Context, result *Result) (err error) {
	start := time.Now()
	at := func(d time.Duration) error { return sleep(ctx, d-time.Since(start)) }
	if err = at(stopAt); err != nil {
		return err
	}
	stopped := f.vms[stoppedVM]
	f.say("%v: VM %s is stopped as planned", stopAt, stopped.id)
	if err = stopped.stop(); err != nil {
		return err
	}
	if err = at(grayAt); err != nil {
		return err
	}
	gray := f.targets[0]
	f.say("%v: target %s answers 20%% of its requests with errors", grayAt, gray.id)
	if err = f.post(ctx, gray.address, "/control/fault", `{"ErrorShare": 0.2}`); err != nil {
		return err
	}
	if result.DetectionSeconds, err = f.await(ctx, func() bool { return f.stageOf(ctx, gray.id) == "Ejected" }, detectionTimeout); err != nil {
		f.say("the target was not ejected in time")
		result.Broken = append(result.Broken, "gray target not ejected")
	}
	if _, err = f.await(ctx, stopped.hasEnded, restartBy-time.Since(start)); err != nil {
		return trace.Wrap(err, "VM %s did not stop", stopped.id)
	}
	f.say("VM %s has ended by itself and is started again", stopped.id)
	if err = f.launchVM(stopped); err != nil {
		return err
	}
	if err = at(killAt); err != nil {
		return err
	}
	f.say("%v: VM %s is killed", killAt, f.vms[vmCount-1].id)
	f.vms[vmCount-1].kill()
	if err = at(replaceAt); err != nil {
		return err
	}
	f.say("%v: VM %s is replaced", replaceAt, f.vms[vmCount-1].id)
	if err = f.launchVM(f.vms[vmCount-1]); err != nil {
		return err
	}
	if err = at(withdrawAt); err != nil {
		return err
	}
	return f.changeAndLosePlatform(ctx, result, at)
}

// changeAndLosePlatform withdraws a key and then takes the platform away.
func (f *fleet) changeAndLosePlatform(ctx context.Context, result *Result, at func(time.Duration) error) (err error) {
	f.say("%v: the key of %s is withdrawn", withdrawAt, withdrawnAccount)
	f.withdrawn = true
	if err = f.publish(ctx); err != nil {
		return err
	}
	if result.WithdrawalSeconds, err = f.await(ctx, func() bool { return f.isRefused(ctx) }, changeTimeout); err != nil {
		result.Broken = append(result.Broken, "withdrawn key still works")
	}
	rest, err := f.await(ctx, func() bool { return f.inForce(ctx) }, changeTimeout)
	if err != nil {
		result.Broken = append(result.Broken, "configuration not in force everywhere")
	}
	result.ForceSeconds = result.WithdrawalSeconds + rest
	if err = at(platformAt); err != nil {
		return err
	}
	f.say("%v: the platform is taken away", platformAt)
	if err = f.post(ctx, f.platform.address, "/control/mode", string(fake.ModeDown)); err != nil {
		return err
	}
	return f.freezeVM(f.vms[frozenVM], at)
}

// freezeVM suspends a VM for longer than its leases and grants live. It wakes
// with an old view and with requests that it had accepted.
func (f *fleet) freezeVM(v *vm, at func(time.Duration) error) (err error) {
	if err = at(freezeAt); err != nil {
		return err
	}
	f.say("%v: VM %s is frozen", freezeAt, v.id)
	if err = v.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err = at(wakeAt); err != nil {
		return err
	}
	f.say("%v: VM %s wakes", wakeAt, v.id)
	return trace.ConvertSystemError(v.command.Process.Signal(syscall.SIGCONT))
}

// judge compares what callers and targets saw.
func (f *fleet) judge(ctx context.Context, report *load.Report, result *Result) (err error) {
	var targets []fake.TargetReport
	for _, t := range f.targets {
		var seen fake.TargetReport
		if err = f.get(ctx, t.address, "/control/report", &seen); err != nil {
			return err
		}
		targets = append(targets, seen)
	}
	result.Accounts, result.Promises = load.Judge(report, targets, f.allowances())
	result.Requests = len(report.Results)
	result.LatencyP50Ms = float64(report.Latency.ValueAtQuantile(50)) / 1000
	result.LatencyP99Ms = float64(report.Latency.ValueAtQuantile(99)) / 1000
	result.FalseEjections = f.falseEjections(ctx)
	result.StopCut = f.stopCut(report)
	if result.StopCut > 0 {
		result.Broken = append(result.Broken, "a planned stop cut requests")
	}
	ideal := 0
	result.WorstSuccess = 1
	for _, account := range result.Accounts {
		if account.ID == withdrawnAccount {
			continue
		}
		ideal += account.Ideal
		result.WrongfulRefusals += account.Wrongful
		if account.Success <= result.WorstSuccess {
			result.WorstAccount, result.WorstSuccess = account.ID, account.Success
		}
	}
	result.WrongfulShare = float64(result.WrongfulRefusals) / float64(max(1, ideal))
	result.Broken = append(result.Broken, broken(result.Promises)...)
	result.Broken = append(result.Broken, f.crashed()...)
	return nil
}

// stopCut counts the requests that got no whole answer from the first VM they
// were sent to, as long as the planned stop is the only event among the VMs.
func (f *fleet) stopCut(report *load.Report) int {
	count := 0
	for _, r := range report.Results {
		if r.At < killAt-requestMargin && (r.Addresses > 1 || r.Status == 0 || !r.Whole) {
			count++
		}
	}
	return count
}

// crashed names the VMs that ended by themselves.
func (f *fleet) crashed() []string {
	var names []string
	for _, v := range f.vms {
		if v.hasEnded() && !v.isKilled() {
			names = append(names, fmt.Sprintf("VM %s ended by itself", v.id))
		}
	}
	return names
}

// broken names the promises of which a breach was counted.
func broken(promises load.Promises) []string {
	var names []string
	for _, p := range []struct {
		count int
		name  string
	}{
		{promises.Doubled, "a request that is not idempotent ran twice"},
		{promises.Untrue, "a refusal said NotRun of a request that ran"},
		{promises.Cut, "an answer was cut and looked good"},
		{promises.Over, "a client account received more than its allowance"},
		{promises.Keys, "a target saw a key"},
		{promises.Misplaced, "a request ran for another client account"},
	} {
		if p.count > 0 {
			names = append(names, fmt.Sprintf("%s (%d times)", p.name, p.count))
		}
	}
	return names
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await polls until the condition holds and returns the time that it took.
func (f *fleet) await(ctx context.Context, condition func() bool, limit time.Duration) (seconds float64, err error) {
	start := time.Now()
	for time.Since(start) < limit {
		if condition() {
			return time.Since(start).Seconds(), nil
		}
		if err = sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return limit.Seconds(), trace.LimitExceeded("the condition did not hold within %v", limit)
}

// awaitReady waits until every VM serves.
func (f *fleet) awaitReady(ctx context.Context) error {
	_, err := f.await(ctx, func() bool {
		for _, vm := range f.vms {
			if status, ok := f.status(ctx, vm); !ok || !status.Ready || status.Up != f.count {
				return false
			}
		}
		return true
	}, readyTimeout)
	return err
}

// inForce reports whether every live VM has the published version in force.
func (f *fleet) inForce(ctx context.Context) bool {
	for _, vm := range f.vms {
		if vm.isKilled() {
			continue
		}
		if status, ok := f.status(ctx, vm); !ok || !hasVersion(status.Stamp, f.version) {
			return false
		}
	}
	return true
}

// isRefused reports whether every live VM refuses the withdrawn key.
func (f *fleet) isRefused(ctx context.Context) bool {
	for _, vm := range f.vms {
		if vm.isKilled() {
			continue
		}
		if code := f.probe(ctx, vm.callers, withdrawnAccount); code != http.StatusUnauthorized {
			return false
		}
	}
	return true
}

// addedRounds is the number of pairs of requests that measure the added time.
const addedRounds = 400

// measureAdded compares requests through a VM with requests to a target.
func (f *fleet) measureAdded(ctx context.Context, result *Result) error {
	f.say("measuring the added time")
	direct, through := newLatencies(), newLatencies()
	for range addedRounds {
		if err := f.timed(ctx, f.echo.address, direct); err != nil {
			return err
		}
		if err := f.timed(ctx, f.vms[0].callers, through); err != nil {
			return err
		}
	}
	result.AddedP50Ms = float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)) / 1000
	result.AddedP99Ms = float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)) / 1000
	return nil
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	rows := []struct {
		name  string
		value string
	}{
		{"requests", fmt.Sprint(r.Requests)},
		{"detection time", fmt.Sprintf("%.2f s", r.DetectionSeconds)},
		{"false ejections", fmt.Sprint(r.FalseEjections)},
		{"worst-served client account", fmt.Sprintf("%s, %.2f%% of its ideal", r.WorstAccount, 100*r.WorstSuccess)},
		{"wrongful refusals", fmt.Sprintf("%d (%.3f%%)", r.WrongfulRefusals, 100*r.WrongfulShare)},
		{"withdrawn key refused everywhere", fmt.Sprintf("%.2f s", r.WithdrawalSeconds)},
		{"change in force everywhere", fmt.Sprintf("%.2f s", r.ForceSeconds)},
		{"added time p50 / p99", fmt.Sprintf("%.2f ms / %.2f ms", r.AddedP50Ms, r.AddedP99Ms)},
		{"latency p50 / p99", fmt.Sprintf("%.2f ms / %.2f ms", r.LatencyP50Ms, r.LatencyP99Ms)},
		{"requests over allowance", fmt.Sprint(r.Promises.Over)},
		{"doubled runs", fmt.Sprint(r.Promises.Doubled)},
		{"untrue refusals", fmt.Sprint(r.Promises.Untrue)},
		{"requests cut by a planned stop", fmt.Sprint(r.StopCut)},
		{"cut answers", fmt.Sprint(r.Promises.Cut)},
		{"keys seen by targets", fmt.Sprint(r.Promises.Keys)},
		{"runs for another client account", fmt.Sprint(r.Promises.Misplaced)},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%-34s %s\n", row.name, row.value)
	}
	for _, name := range r.Broken {
		_, _ = fmt.Fprintf(w, "BROKEN: %s\n", name)
	}
}

// ErrBroken reports that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Check returns ErrBroken when a promise was broken.
func (r *Result) Check() error {
	if len(r.Broken) > 0 {
		return ErrBroken
	}
	return nil
}

// operatorKey is the key of the administration APIs of a run.
const operatorKey = "demo-operator"

func mustAddress(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

// accountKey returns the key of a client account of a run.
func accountKey(id string) string { return fake.KeyMark + id }

// hashOf returns the published form of a client account's key.
func hashOf(id string) ferry.KeyHash { return ferry.HashKey(accountKey(id)) }

// makeDirectory creates the directory of settings and logs.
func makeDirectory(name string) error {
	return trace.ConvertSystemError(os.MkdirAll(name, 0o750))
}
