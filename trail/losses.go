package trail

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Losses counts what callers did not get, by cause.
type Losses struct {
	// From and To are the times of the first and the last line counted.
	From, To time.Time
	// Window is the length of one of Windows.
	Window     time.Duration
	Windows    []LossWindow
	Refusals   map[Refusal]int
	Accounts   map[string]int
	Targets    map[string]int
	OddsBands  []AttemptCount
	SinceBands []AttemptCount
	// Unreadable counts the lines that could not be parsed.
	Unreadable int
}

// Refusal is the cause of a refusal.
type Refusal struct{ Status, Reason, Detail string }

// LossWindow holds the counts of one window of time.
type LossWindow struct {
	AttemptCount
	Refused map[string]int
}

// AttemptCount holds the attempts of one kind and those that failed.
type AttemptCount struct {
	Name             string
	Attempts, Failed int
}

// lossAttempt is an attempt in the logs.
type lossAttempt struct {
	target         string
	started, ended time.Time
	odds           float64
	isFailed       bool
}

// oddsBands are the upper limits of log odds in OddsBands.
var oddsBands = []float64{-3, -2, -1, 0, 1.5}

// sinceBands are the upper limits of SinceBands: the time since an attempt on the same
// target failed.
var sinceBands = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second}

// ReadLosses counts the refusals and failed attempts in the logs of any number of VMs.
// Attempts that were turned away or canceled count as neither.
func ReadLosses(window time.Duration, logs ...io.Reader) (*Losses, error) {
	if window <= 0 {
		return nil, trace.BadParameter("the window must be above zero")
	}
	losses := &Losses{Window: window, Refusals: map[Refusal]int{}, Accounts: map[string]int{}, Targets: map[string]int{}}
	var attempts []lossAttempt
	var refusals []Line
	unreadable, err := readLines(logs, func(line Line) {
		switch line.Message {
		case "attempt":
			if a, ok := parseAttempt(line); ok {
				attempts = append(attempts, a)
			}
		case "refused":
			refusals = append(refusals, line)
		}
	})
	if err != nil {
		return nil, err
	}
	losses.Unreadable = unreadable
	if len(attempts)+len(refusals) == 0 {
		return nil, trace.NotFound("the logs hold no attempt and no refusal")
	}
	losses.setSpan(attempts, refusals)
	losses.countRefusals(refusals)
	losses.countAttempts(attempts)
	return losses, nil
}

// parseAttempt returns the attempt of a line, or false for one that tells nothing about
// its target.
func parseAttempt(line Line) (lossAttempt, bool) {
	fields := fieldMap(line)
	verdict := fields["verdict"]
	if verdict == "" || verdict == "None" || verdict == "Shed" {
		return lossAttempt{}, false
	}
	took, err := time.ParseDuration(fields["took"])
	if err != nil {
		return lossAttempt{}, false
	}
	odds, err := strconv.ParseFloat(fields["odds"], 64)
	if err != nil {
		return lossAttempt{}, false
	}
	isFailed := verdict != "Good" && verdict != "Slow"
	return lossAttempt{target: fields["target"], started: line.At.Add(-took), ended: line.At, odds: odds, isFailed: isFailed}, true
}

func fieldMap(line Line) map[string]string {
	fields := make(map[string]string, len(line.Fields))
	for _, field := range line.Fields {
		fields[field.Name] = field.Value
	}
	return fields
}

// setSpan sets the times and creates the windows.
func (l *Losses) setSpan(attempts []lossAttempt, refusals []Line) {
	add := func(at time.Time) {
		if l.From.IsZero() || at.Before(l.From) {
			l.From = at
		}
		if at.After(l.To) {
			l.To = at
		}
	}
	for _, a := range attempts {
		add(a.ended)
	}
	for _, line := range refusals {
		add(line.At)
	}
	l.Windows = make([]LossWindow, int(l.To.Sub(l.From)/l.Window)+1)
	for i := range l.Windows {
		l.Windows[i] = LossWindow{AttemptCount: AttemptCount{Name: fmt.Sprint(time.Duration(i) * l.Window)}, Refused: map[string]int{}}
	}
}

func (l *Losses) window(at time.Time) *LossWindow { return &l.Windows[at.Sub(l.From)/l.Window] }

func (l *Losses) countRefusals(refusals []Line) {
	for _, line := range refusals {
		fields := fieldMap(line)
		l.Refusals[Refusal{Status: fields["status"], Reason: fields["reason"], Detail: fields["detail"]}]++
		l.Accounts[fields["account"]]++
		l.window(line.At).Refused[fields["reason"]]++
	}
}

func (l *Losses) countAttempts(attempts []lossAttempt) {
	l.OddsBands = newBands(oddsBands, func(limit float64) string { return fmt.Sprintf("log odds up to %g", limit) })
	l.SinceBands = newBands(sinceBands, func(limit time.Duration) string { return fmt.Sprintf("failure up to %v before", limit) })
	failures := map[string][]time.Time{}
	for _, a := range attempts {
		if a.isFailed {
			failures[a.target] = append(failures[a.target], a.ended)
		}
	}
	for _, ends := range failures {
		slices.SortFunc(ends, time.Time.Compare)
	}
	for _, a := range attempts {
		since := time.Duration(-1)
		ends := failures[a.target]
		if i, _ := slices.BinarySearchFunc(ends, a.started, time.Time.Compare); i > 0 {
			since = a.started.Sub(ends[i-1])
		}
		sinceBand := len(sinceBands)
		if since >= 0 {
			sinceBand, _ = slices.BinarySearch(sinceBands, since)
		}
		oddsBand, _ := slices.BinarySearch(oddsBands, a.odds)
		for _, count := range []*AttemptCount{&l.window(a.ended).AttemptCount, &l.OddsBands[oddsBand], &l.SinceBands[sinceBand]} {
			count.Attempts++
			if a.isFailed {
				count.Failed++
			}
		}
		if a.isFailed {
			l.Targets[a.target]++
		}
	}
}

// newBands returns the bands up to each limit and one for the rest.
func newBands[T any](limits []T, name func(T) string) []AttemptCount {
	bands := make([]AttemptCount, 0, len(limits)+1)
	for _, limit := range limits {
		bands = append(bands, AttemptCount{Name: name(limit)})
	}
	return append(bands, AttemptCount{Name: "above, or none"})
}

// maxListed is the number of accounts and targets that Write lists.
const maxListed = 8

// Write prints the losses as text.
func (l *Losses) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, %v\n", l.From.Format("2006-01-02 15:04:05.000"), l.To.Sub(l.From).Round(time.Millisecond))
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nrefused\tstatus\treason\tdetail")
	for _, refusal := range byCount(l.Refusals, func(a, b Refusal) int { return cmp.Compare(a.Status+a.Reason+a.Detail, b.Status+b.Reason+b.Detail) }) {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", l.Refusals[refusal], refusal.Status, refusal.Reason, refusal.Detail)
	}
	for _, list := range []struct {
		name   string
		counts map[string]int
	}{{"refused\taccount", l.Accounts}, {"failed attempts\ttarget", l.Targets}} {
		_, _ = fmt.Fprintln(table, "\n"+list.name)
		names := byCount(list.counts, strings.Compare)
		for _, name := range names[:min(len(names), maxListed)] {
			_, _ = fmt.Fprintf(table, "%d\t%s\n", list.counts[name], cmp.Or(name, "-"))
		}
	}
	for _, bands := range []struct {
		name  string
		bands []AttemptCount
	}{{"target", l.OddsBands}, {"same target", l.SinceBands}} {
		_, _ = fmt.Fprintf(table, "\nattempts\tfailed\t\t%s\n", bands.name)
		for _, band := range bands.bands {
			_, _ = fmt.Fprintf(table, "%d\t%d\t%s\t%s\n", band.Attempts, band.Failed, band.share(), band.Name)
		}
	}
	_, _ = fmt.Fprintln(table, "\nfrom\tattempts\tfailed\t\trefused")
	for _, window := range l.Windows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s", window.Name, window.Attempts, window.Failed, window.share())
		for _, reason := range slices.Sorted(maps.Keys(window.Refused)) {
			_, _ = fmt.Fprintf(table, "\t%s %d", reason, window.Refused[reason])
		}
		_, _ = fmt.Fprintln(table)
	}
	if l.Unreadable > 0 {
		_, _ = fmt.Fprintf(table, "\n%d lines could not be read\n", l.Unreadable)
	}
	if err := table.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, err := io.WriteString(w, text.String())
	return trace.Wrap(err)
}

// share returns the part of the attempts that failed.
func (c AttemptCount) share() string {
	if c.Attempts == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(c.Failed)/float64(c.Attempts))
}

// byCount returns the keys, the one with the highest count first.
func byCount[K comparable](counts map[K]int, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(counts), func(a, b K) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), compare(a, b))
	})
}
