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

// AccountReport sums up the requests of one client account.
type AccountReport struct {
	ID   string
	Sent int
	// Ideal is the number of requests that a single token bucket would admit.
	Ideal int
	Good  int
	// Refused counts the refusals with outcome NotRun, Failed everything else.
	Refused int
	Failed  int
	// Wrongful counts the refusals in excess of those by a single token bucket.
	Wrongful int
	// Over counts the executions that a token bucket with the allowance would
	// have rejected, with a tolerance of admissionJitter.
	Over int
	// Success is Good divided by Ideal.
	Success float64
}

// Violations counts the violations of guarantees. All counts must be zero.
type Violations struct {
	// Doubled counts the non-idempotent requests that ran more than once.
	Doubled int
	// Untrue counts the refusals with outcome NotRun of requests that ran.
	Untrue int
	// Cut counts the truncated responses with status 200.
	Cut int
	// Over counts the executions above an allowance.
	Over int
	// Keys counts the requests that reached a target with a key.
	Keys int
	// Misplaced counts the executions for a client account other than the caller's.
	Misplaced int
}

// IsEmpty reports whether no violation was counted.
func (v Violations) IsEmpty() bool { return v == Violations{} }

// admissionJitter is the tolerated variation of the delay between admission and
// execution. It can bring executions closer together than their admissions.
const admissionJitter = 50 * time.Millisecond

// Evaluate compares the results of callers and targets with the allowances.
func Evaluate(report *Report, targets []fake.TargetReport, allowances map[string]Allowance) ([]AccountReport, Violations) {
	runsByID := map[string][]fake.Run{}
	runTimes := map[string][]time.Duration{}
	var violations Violations
	for _, target := range targets {
		violations.Keys += target.Keys
		for _, run := range target.Runs {
			runsByID[run.ID] = append(runsByID[run.ID], run)
			runTimes[run.Account] = append(runTimes[run.Account], time.Duration(run.AtNanos))
		}
	}
	for _, runs := range runsByID {
		if len(runs) > 1 && runs[0].Method != http.MethodGet {
			violations.Doubled++
		}
	}
	resultsByAccount := map[string][]Result{}
	for _, result := range report.Results {
		resultsByAccount[result.Account] = append(resultsByAccount[result.Account], result)
		runs := runsByID[result.ID]
		if result.ID != "" && len(runs) > 0 {
			if result.Outcome == ferry.OutcomeNotRun.String() {
				violations.Untrue++
			}
			if runs[0].Account != result.Account {
				violations.Misplaced++
			}
		}
		if result.Status == http.StatusOK && !result.Whole {
			violations.Cut++
		}
	}
	var accounts []AccountReport
	for id, results := range resultsByAccount {
		account := evaluateAccount(id, results, allowances[id])
		account.Over = countOverAllowance(runTimes[id], allowances[id])
		violations.Over += account.Over
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, func(a, b AccountReport) int { return cmp.Compare(a.ID, b.ID) })
	return accounts, violations
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

// countOverAllowance counts the executions above an allowance, with a tolerance
// of admissionJitter.
func countOverAllowance(times []time.Duration, allowance Allowance) int {
	return len(excessTimes(times, allowance.Rate, allowance.Burst+allowance.Rate*admissionJitter.Seconds()))
}

// excessTimes sorts times and returns those that an initially full token bucket rejects.
func excessTimes(times []time.Duration, rate, burst float64) []time.Duration {
	slices.Sort(times)
	level := burst
	var last time.Duration
	var rejected []time.Duration
	for i, at := range times {
		if i > 0 {
			level = min(burst, level+rate*(at-last).Seconds())
		}
		last = at
		if level < 1 {
			rejected = append(rejected, at)
			continue
		}
		level--
	}
	return rejected
}
