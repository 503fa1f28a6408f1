package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// PairResult compares a VM with a bare forwarder in one run.
type PairResult struct {
	Requests int
	// Forward and VM are the measurements of the forwarder and of the VM.
	Forward PairSide
	VM      PairSide
}

// PairSide is the measurement of one side.
type PairSide struct {
	P50Ms float64
	P99Ms float64
	// CPUMicros is the processor time per request.
	CPUMicros float64
}

// Workers of a pair.
const (
	// pairWorkers is the number of workers. Each sends to both sides in turn.
	pairWorkers = 4
	// pairPause is the pause of a worker after each pair.
	pairPause = 4 * time.Millisecond
)

// MeasurePair sends the same requests through a VM, with key and allowance, and
// through a bare forwarder, alternately, for the given period.
func MeasurePair(ctx context.Context, config Config, period time.Duration) (result PairResult, err error) {
	f := newFleet(config)
	f.size = 1
	defer f.killProcesses()
	if err = f.start(ctx); err != nil {
		return result, err
	}
	forwarder := &target{}
	forwarder.id = "forwarder"
	if forwarder.address, err = freeAddress(); err != nil {
		return result, err
	}
	f.targets = append(f.targets, forwarder)
	if err = f.launch(&forwarder.process, config.Lab, "forward", "--listen", forwarder.address, "--target", f.echo.address); err != nil {
		return result, err
	}
	if err = f.awaitReady(ctx); err != nil {
		return result, err
	}
	if err = sleep(ctx, warmUpDuration); err != nil {
		return result, err
	}
	return f.pair(ctx, forwarder, period)
}

// pair runs the workers and measures the processor time of both sides.
func (f *fleet) pair(ctx context.Context, forwarder *target, period time.Duration) (result PairResult, err error) {
	sides := []*pairSide{
		{process: &forwarder.process, address: forwarder.address, latency: newLatencyHistogram()},
		{process: &f.vms[0].process, address: f.vms[0].callers, latency: newLatencyHistogram()},
	}
	for _, side := range sides {
		if side.cpuSecondsBefore, _, err = processUsage(side.process.command.Process.Pid); err != nil {
			return result, err
		}
	}
	deadline := time.Now().Add(period)
	var group sync.WaitGroup
	errs := make(chan error, pairWorkers)
	for range pairWorkers {
		group.Go(func() {
			for time.Now().Before(deadline) {
				for _, side := range sides {
					if err := side.request(ctx, f.client); err != nil {
						errs <- err
						return
					}
				}
				time.Sleep(pairPause)
			}
		})
	}
	group.Wait()
	close(errs)
	if err = <-errs; err != nil {
		return result, err
	}
	result.Requests = int(sides[0].latency.TotalCount())
	for i, side := range []*PairSide{&result.Forward, &result.VM} {
		if *side, err = sides[i].result(); err != nil {
			return result, err
		}
	}
	return result, nil
}

// pairSide is the state of one side during the measurement.
type pairSide struct {
	process          *process
	address          string
	cpuSecondsBefore float64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

func (s *pairSide) request(ctx context.Context, client *http.Client) (err error) {
	start := time.Now()
	var status int
	if status, err = (call{method: http.MethodGet, address: s.address, path: "/paired", key: accountKey(pairAccount)}).doAndDiscard(ctx, client); err != nil {
		return err
	}
	if status != http.StatusOK {
		return trace.Errorf("%s returned status %d", s.process.id, status)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.RecordValue(time.Since(start).Microseconds())
}

func (s *pairSide) result() (PairSide, error) {
	var cpuSecondsAfter float64
	var err error
	if cpuSecondsAfter, _, err = processUsage(s.process.command.Process.Pid); err != nil {
		return PairSide{}, err
	}
	return PairSide{
		P50Ms:     float64(s.latency.ValueAtQuantile(50)) / 1000,
		P99Ms:     float64(s.latency.ValueAtQuantile(99)) / 1000,
		CPUMicros: (cpuSecondsAfter - s.cpuSecondsBefore) / float64(s.latency.TotalCount()) * 1e6,
	}, nil
}

// Print writes the result as a table.
func (r PairResult) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d pairs\n", r.Requests)
	for _, row := range []struct {
		name string
		side PairSide
	}{{"bare forwarder", r.Forward}, {"VM", r.VM}} {
		_, _ = fmt.Fprintf(w, "%-16s p50 %.3f ms  p99 %.3f ms  CPU %.0f us per request\n", row.name, row.side.P50Ms, row.side.P99Ms, row.side.CPUMicros)
	}
	_, _ = fmt.Fprintf(w, "%-16s p50 %.3f ms  p99 %.3f ms  CPU x%.2f\n", "added", r.VM.P50Ms-r.Forward.P50Ms, r.VM.P99Ms-r.Forward.P99Ms, r.VM.CPUMicros/r.Forward.CPUMicros)
}
