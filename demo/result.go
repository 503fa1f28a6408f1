package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"monsoonferry.org/ferry/fake"
	"monsoonferry.org/ferry/load"
)

// Result holds the measurements of a run.
type Result struct {
	// DetectionSeconds is the time from the fault to the ejection.
	DetectionSeconds float64
	FalseEjections   int
	WorstAccount     string
	WorstSuccess     float64
	WrongfulRefusals int
	WrongfulShare    float64
	// WithdrawalSeconds is the time until all live VMs refused a withdrawn key.
	WithdrawalSeconds float64
	// ForceSeconds is the time until the changed configuration was in force on
	// every live VM.
	ForceSeconds float64
	// StopCut is the number of requests, sent before a VM is killed, that got no
	// complete response from the first VM that they were sent to.
	StopCut      int
	AddedP50Ms   float64
	AddedP99Ms   float64
	LatencyP50Ms float64
	LatencyP99Ms float64
	Requests     int
	Promises     load.Violations
	Accounts     []load.AccountReport
	// Broken lists the violated guarantees.
	Broken []string
}

// evaluate compares the results of callers with the reports of targets.
func (f *fleet) evaluate(ctx context.Context, report *load.Report, result *Result) (err error) {
	var targets []fake.TargetReport
	for _, t := range f.targets {
		var targetReport fake.TargetReport
		if err = f.get(ctx, t.address, "/control/report", &targetReport); err != nil {
			return err
		}
		targets = append(targets, targetReport)
	}
	result.Accounts, result.Promises = load.Evaluate(report, targets, f.allowances())
	result.Requests = len(report.Results)
	result.LatencyP50Ms = float64(report.Latency.ValueAtQuantile(50)) / 1000
	result.LatencyP99Ms = float64(report.Latency.ValueAtQuantile(99)) / 1000
	result.FalseEjections = f.countFalseEjections(ctx)
	result.StopCut = f.countInterruptedByStop(report)
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
	result.Broken = append(result.Broken, violationMessages(result.Promises)...)
	result.Broken = append(result.Broken, f.unexpectedExits()...)
	return nil
}

// countInterruptedByStop counts the requests that got no complete response from the
// first VM, as long as the planned stop is the only disturbance of the VMs.
func (f *fleet) countInterruptedByStop(report *load.Report) int {
	count := 0
	for _, r := range report.Results {
		if r.At < killAt-requestMargin && (r.Addresses > 1 || r.Status == 0 || !r.Whole) {
			count++
		}
	}
	return count
}

// unexpectedExits describes the VMs that exited without being killed.
func (f *fleet) unexpectedExits() []string {
	var messages []string
	for _, v := range f.vms {
		if v.hasExited() && !v.isKilled() {
			messages = append(messages, fmt.Sprintf("VM %s ended by itself", v.id))
		}
	}
	return messages
}

// violationMessages describes the guarantees with a violation.
func violationMessages(violations load.Violations) []string {
	var messages []string
	for _, violation := range []struct {
		count int
		name  string
	}{
		{violations.Doubled, "a request that is not idempotent ran twice"},
		{violations.Untrue, "a refusal said NotRun of a request that ran"},
		{violations.Cut, "an answer was cut and looked good"},
		{violations.Over, "a client account received more than its allowance"},
		{violations.Keys, "a target saw a key"},
		{violations.Misplaced, "a request ran for another client account"},
	} {
		if violation.count > 0 {
			messages = append(messages, fmt.Sprintf("%s (%d times)", violation.name, violation.count))
		}
	}
	return messages
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

// ErrGuaranteeViolated reports the violation of a guarantee.
var ErrGuaranteeViolated = errors.New("a guarantee of the fleet was violated")

// Check returns ErrGuaranteeViolated when a guarantee was violated.
func (r *Result) Check() error {
	if len(r.Broken) > 0 {
		return ErrGuaranteeViolated
	}
	return nil
}

// countFalseEjections counts the ejections of healthy targets in the log of the
// first VM.
func (f *fleet) countFalseEjections(ctx context.Context) int {
	var text []byte
	var err error
	if text, err = os.ReadFile(filepath.Join(f.config.Directory, f.vms[0].id+".log")); err != nil || ctx.Err() != nil {
		return 0
	}
	count := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		isEjection := strings.Contains(line, `"target stage"`) && strings.Contains(line, `"Ejected"`)
		if isEjection && !strings.Contains(line, `"`+f.targets[0].id+`"`) {
			count++
		}
	}
	return count
}
