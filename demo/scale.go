package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// ScaleConfig is the size of an idle fleet and the length of its measurement.
type ScaleConfig struct {
	VMs      int
	Accounts int
	Targets  int
	// Period is the duration of the measurement.
	Period time.Duration
}

// ScaleResult is the cost of control per VM, as the mean over all VMs.
type ScaleResult struct {
	VMs      int
	Accounts int
	Targets  int
	// CPUShare is the processor time as a share of one core.
	CPUShare   float64
	ResidentMB float64
	// SentPerSecond and ReceivedPerSecond are bytes between VMs.
	SentPerSecond     float64
	ReceivedPerSecond float64
	// PlatformCallsPerSecond counts the calls of the whole fleet.
	PlatformCallsPerSecond float64
	// ForceSeconds is the time until a change is in force on every VM.
	ForceSeconds float64
}

// settleDuration is the time until leases and views are stable after the start.
const settleDuration = 8 * time.Second

// MeasureScale runs a fleet without traffic and measures the cost of its control.
func MeasureScale(ctx context.Context, config Config, size ScaleConfig) (result ScaleResult, err error) {
	f := newFleet(config)
	f.size, f.extraAccounts, f.extraTargets = size.VMs, size.Accounts, size.Targets
	defer f.killProcesses()
	if err = f.start(ctx); err != nil {
		return result, err
	}
	if err = f.awaitReady(ctx); err != nil {
		return result, err
	}
	if err = sleep(ctx, settleDuration); err != nil {
		return result, err
	}
	var before usage
	if before, err = f.sampleUsage(ctx); err != nil {
		return result, err
	}
	if err = sleep(ctx, size.Period); err != nil {
		return result, err
	}
	var after usage
	if after, err = f.sampleUsage(ctx); err != nil {
		return result, err
	}
	seconds, vms := size.Period.Seconds(), float64(size.VMs)
	result = ScaleResult{
		VMs: size.VMs, Accounts: size.Accounts, Targets: size.Targets,
		CPUShare:               (after.cpuSeconds - before.cpuSeconds) / seconds / vms,
		ResidentMB:             after.residentMB / vms,
		SentPerSecond:          (after.sentBytes - before.sentBytes) / seconds / vms,
		ReceivedPerSecond:      (after.receivedBytes - before.receivedBytes) / seconds / vms,
		PlatformCallsPerSecond: (after.platformCalls - before.platformCalls) / seconds,
	}
	if err = f.publish(ctx); err != nil {
		return result, err
	}
	result.ForceSeconds, err = f.await(ctx, func() bool { return f.isInForce(ctx) }, readyTimeout)
	return result, err
}

// usage is the resource use of all VMs so far.
type usage struct {
	cpuSeconds, residentMB, sentBytes, receivedBytes, platformCalls float64
}

// callsResponse is the response of the platform at /control/calls.
type callsResponse struct{ Calls uint64 }

func (f *fleet) sampleUsage(ctx context.Context) (total usage, err error) {
	for _, v := range f.vms {
		var cpu, resident float64
		if cpu, resident, err = processUsage(v.command.Process.Pid); err != nil {
			return total, err
		}
		total.cpuSeconds += cpu
		total.residentMB += resident
		var sent, received float64
		if sent, received, err = f.peerBytes(ctx, v); err != nil {
			return total, err
		}
		total.sentBytes += sent
		total.receivedBytes += received
	}
	var response callsResponse
	if err = f.get(ctx, f.platform.address, "/control/calls", &response); err != nil {
		return total, err
	}
	total.platformCalls = float64(response.Calls)
	return total, nil
}

const (
	// clockTicksPerSecond is the resolution of processor time in a stat file.
	clockTicksPerSecond = 100
	// userTimeField is the index of the user time after the name in a stat file.
	// The system time follows.
	userTimeField = 11
)

// processUsage returns the processor seconds and resident megabytes of a process.
func processUsage(pid int) (cpu, resident float64, err error) {
	var stat, status []byte
	if stat, err = os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err != nil {
		return 0, 0, trace.ConvertSystemError(err)
	}
	if status, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err != nil {
		return 0, 0, trace.ConvertSystemError(err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	for _, field := range fields[userTimeField : userTimeField+2] {
		var ticks float64
		if ticks, err = strconv.ParseFloat(field, 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
		cpu += ticks / clockTicksPerSecond
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kilobytes float64
			if kilobytes, err = strconv.ParseFloat(strings.Fields(rest)[0], 64); err != nil {
				return 0, 0, trace.Wrap(err)
			}
			resident = kilobytes / 1024
		}
	}
	return cpu, resident, nil
}

// peerBytes reads the peer traffic of a VM in bytes from its metrics.
func (f *fleet) peerBytes(ctx context.Context, v *vm) (sent, received float64, err error) {
	var response *http.Response
	if response, err = (call{method: http.MethodGet, address: v.address, path: "/metrics", key: operatorKey}).do(ctx, f.client); err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(io.LimitReader(response.Body, 1<<20))
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), " ")
		value, _ := strconv.ParseFloat(text, 64)
		switch name {
		case "ferry_peer_sent_bytes":
			sent = value
		case "ferry_peer_received_bytes":
			received = value
		}
	}
	return sent, received, trace.Wrap(scanner.Err())
}

// Print writes the result as one line.
func (r ScaleResult) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "VMs %3d  accounts %6d  targets %5d  CPU %.2f%%  memory %.1f MB  sent %.0f B/s  received %.0f B/s  platform %.2f calls/s  in force %.2f s\n",
		r.VMs, r.Accounts, r.Targets, 100*r.CPUShare, r.ResidentMB, r.SentPerSecond, r.ReceivedPerSecond, r.PlatformCallsPerSecond, r.ForceSeconds)
}
