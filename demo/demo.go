// Package demo runs a fleet as processes on one machine, injects failures and
// checks the guarantees of the fleet.
//
// # Concept
//
// A run starts a platform, six VMs in three regions of two places (data centres)
// and the targets of both workloads, each as a process. It sends traffic for a
// fixed time, in which it stops one VM as planned, turns one target gray, kills
// one VM, withdraws a key, makes the platform unavailable and freezes another VM.
// At the end it compares the results of callers with the reports of targets.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Config{Server: server, Lab: lab, Directory: directory, Progress: os.Stdout})
package demo

import (
	"context"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/load"
)

// Config describes a run. All fields are required.
type Config struct {
	// Server and Lab are the paths of the programs monsoonferry and ferrylab.
	Server string
	Lab    string
	// Directory is where settings and logs are written.
	Directory string
	Progress  io.Writer
}

// Times of a run. restartDeadline and the At times count from the start of traffic.
const (
	readyTimeout    = 30 * time.Second
	trafficDuration = 30 * time.Second
	stopAt          = 500 * time.Millisecond
	grayAt          = 3 * time.Second
	restartDeadline = 12 * time.Second
	killAt          = 13 * time.Second
	replaceAt       = 15 * time.Second
	withdrawAt      = 17 * time.Second
	platformDownAt  = 21 * time.Second
	freezeAt        = 22 * time.Second
	resumeAt        = 26 * time.Second
	// requestMargin exceeds the duration of a request.
	requestMargin = time.Second
	pollInterval  = 50 * time.Millisecond
	changeTimeout = 7 * time.Second
	// detectionTimeout is the maximum time to the ejection of the gray target.
	detectionTimeout = 5 * time.Second
	warmUpDuration   = 4 * time.Second
)

// Run executes a run. It returns an error when the fleet can't be run; violated
// guarantees are part of the result.
func Run(ctx context.Context, config Config) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	f := newFleet(config)
	defer f.killProcesses()
	defer cancel()
	f.logProgress("starting platform, targets and %d VMs", vmCount)
	if err = f.start(ctx); err != nil {
		return nil, err
	}
	if err = f.awaitReady(ctx); err != nil {
		return nil, err
	}
	f.logProgress("all VMs are ready; waiting for the shares of the allowances")
	if err = sleep(ctx, warmUpDuration); err != nil {
		return nil, err
	}
	result = &Result{}
	if err = f.measureAddedLatency(ctx, result); err != nil {
		return nil, err
	}
	f.logProgress("sending traffic for %v", trafficDuration)
	reports := make(chan *load.Report, 1)
	go func() {
		reports <- load.Run(ctx, load.Plan{SeedAddresses: f.seedAddresses(), Accounts: f.traffic(), Duration: trafficDuration, RandomSeed: 1})
	}()
	if err = f.injectFailures(ctx, result); err != nil {
		return nil, err
	}
	report := <-reports
	if err = f.evaluate(ctx, report, result); err != nil {
		return nil, err
	}
	return result, nil
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

// await polls until the condition holds and returns the time in seconds.
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
	return limit.Seconds(), trace.LimitExceeded("condition did not hold within %v", limit)
}

// awaitReady waits until every VM is ready and all are up in its view.
func (f *fleet) awaitReady(ctx context.Context) error {
	_, err := f.await(ctx, func() bool {
		for _, vm := range f.vms {
			if status, ok := f.status(ctx, vm); !ok || !status.Ready || status.Up != f.size {
				return false
			}
		}
		return true
	}, readyTimeout)
	return err
}

// isInForce reports whether the published version is in force on every live VM.
func (f *fleet) isInForce(ctx context.Context) bool {
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

// addedLatencyRounds is the number of request pairs for the added latency.
const addedLatencyRounds = 400

// measureAddedLatency compares requests through a VM with direct ones to a target.
func (f *fleet) measureAddedLatency(ctx context.Context, result *Result) error {
	f.logProgress("measuring the added latency")
	direct, viaVM := newLatencyHistogram(), newLatencyHistogram()
	for range addedLatencyRounds {
		if err := f.measureLatency(ctx, f.echo.address, direct); err != nil {
			return err
		}
		if err := f.measureLatency(ctx, f.vms[0].callers, viaVM); err != nil {
			return err
		}
	}
	result.AddedP50Ms = float64(viaVM.ValueAtQuantile(50)-direct.ValueAtQuantile(50)) / 1000
	result.AddedP99Ms = float64(viaVM.ValueAtQuantile(99)-direct.ValueAtQuantile(99)) / 1000
	return nil
}

// operatorKey is the operator key of the administration API.
const operatorKey = "demo-operator"

func mustParseAddress(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

// accountKey returns the key of a client account.
func accountKey(id string) string { return fake.KeyPrefix + id }

// accountKeyHash returns the published hash of a client account's key.
func accountKeyHash(id string) ferry.KeyHash { return ferry.HashKey(accountKey(id)) }

// makeDirectory creates the directory for settings and logs.
func makeDirectory(name string) error {
	return trace.ConvertSystemError(os.MkdirAll(name, 0o750))
}
