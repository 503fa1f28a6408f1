package load

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
)

// Allowance is the rate and burst of a client account.
type Allowance struct {
	Rate  float64
	Burst float64
}

// AccountReport is how one client account fared.
type AccountReport struct {
	ID   string
	Sent int
	// Ideal is the number of requests that a single token bucket would admit.
	Ideal int
	Good  int
	// Refused counts the refusals with outcome NotRun, Failed everything else.
	Refused int
	Failed  int
	// Wrongful counts the refusals beyond those of a single token bucket.
	Wrongful int
	// Over counts the executions that no token bucket with the allowance could
	// have admitted.
	Over int
	// Success is Good divided by Ideal.
	Success float64
}

// Promises counts what must never happen.
type Promises struct {
	// Doubled counts requests that are not idempotent and ran twice.
	Doubled int
	// Untrue counts refusals that say NotRun of requests that ran.
	Untrue int
	// Cut counts answers that looked good and were not whole.
	Cut int
	// Over counts executions above an allowance.
	Over int
	// Keys counts requests whose key a target saw.
	Keys int
	// Misplaced counts executions for another client account than the caller's.
	Misplaced int
}

// IsKept reports whether nothing happened that must never happen.
func (p Promises) IsKept() bool { return p == Promises{} }

// admissionJitter is the difference in time between the admission of a request and its
// execution by which executions may come closer together.
const admissionJitter = 50 * time.Millisecond

// Judge compares what callers and targets saw with the allowances.
func Judge(report *Report, targets []fake.TargetReport, allowances map[string]Allowance) ([]AccountReport, Promises) {
	runs := map[string][]fake.Run{}
	byAccount := map[string][]time.Duration{}
	var promises Promises
	for _, target := range targets {
		promises.Keys += target.Keys
		for _, run := range target.Runs {
			runs[run.ID] = append(runs[run.ID], run)
			byAccount[run.Account] = append(byAccount[run.Account], time.Duration(run.AtNanos))
		}
	}
	for _, executions := range runs {
		if len(executions) > 1 && executions[0].Method != http.MethodGet {
			promises.Doubled++
		}
	}
	sent := map[string][]Result{}
	for _, result := range report.Results {
		sent[result.Account] = append(sent[result.Account], result)
		executions := runs[result.ID]
		if result.ID != "" && len(executions) > 0 {
			if result.Outcome == ferry.OutcomeNotRun.String() {
				promises.Untrue++
			}
			if executions[0].Account != result.Account {
				promises.Misplaced++
			}
		}
		if result.Status == http.StatusOK && !result.Whole {
			promises.Cut++
		}
	}
	var accounts []AccountReport
	for id, results := range sent {
		account := evaluateAccount(id, results, allowances[id])
		account.Over = countOverAllowance(byAccount[id], allowances[id])
		promises.Over += account.Over
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, func(a, b AccountReport) int { return cmp.Compare(a.ID, b.ID) })
	return accounts, promises
}

func evaluateAccount(id string, results []Result, allowance Allowance) AccountReport {
	account := AccountReport{ID: id, Sent: len(results)}
	var times []time.Duration
	for _, result := range results {
		times = append(times, result.At)
		switch {
		case result.Status == http.StatusOK && result.Whole:
			account.Good++
		case result.Outcome == ferry.OutcomeNotRun.String():
			account.Refused++
		default:
			account.Failed++
		}
	}
	account.Ideal = len(times) - len(excessTimes(times, allowance.Rate, allowance.Burst))
	account.Wrongful = max(0, account.Refused-(account.Sent-account.Ideal))
	if account.Ideal > 0 {
		account.Success = min(1, float64(account.Good)/float64(account.Ideal))
	}
	return account
}

// countOverAllowance counts the executions above an allowance, with the tolerance of
// jitter.
func countOverAllowance(times []time.Duration, allowance Allowance) int {
	return len(excessTimes(times, allowance.Rate, allowance.Burst+allowance.Rate*admissionJitter.Seconds()))
}

// excessTimes returns the times at which a full token bucket would have been empty.
func excessTimes(times []time.Duration, rate, burst float64) []time.Duration {
	slices.Sort(times)
	level := burst
	var last time.Duration
	var over []time.Duration
	for i, at := range times {
		if i > 0 {
			level = min(burst, level+rate*(at-last).Seconds())
		}
		last = at
		if level < 1 {
			over = append(over, at)
			continue
		}
		level--
	}
	return over
}
