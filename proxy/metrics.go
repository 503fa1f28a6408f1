package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/head"
)

// Metrics counts the requests, attempts, refusals and truncated responses.
type Metrics struct {
	set                *metrics.Set
	requests           *metrics.Counter
	truncatedResponses *metrics.Counter
	duration           *metrics.Histogram
}

// NewMetrics registers the metrics of the request path in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:                set,
		requests:           set.NewCounter("ferry_requests_total"),
		truncatedResponses: set.NewCounter("ferry_cut_answers_total"),
		duration:           set.NewHistogram("ferry_request_duration_seconds"),
	}
}

func (m *Metrics) countAttempt(service ferry.ServiceID, result ferry.Result) {
	name := fmt.Sprintf("ferry_attempts_total{service=%q,verdict=%q,outcome=%q}", service, result.Verdict, result.Outcome)
	m.set.GetOrCreateCounter(name).Inc()
}

// countStopDecision counts a decision about a request while the VM stops.
func (m *Metrics) countStopDecision(decision drain.Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf("ferry_stop_decisions_total{decision=%q}", decision)).Inc()
}

// countDisbelieved counts a response that is not of the attempt on its connection.
func (m *Metrics) countDisbelieved(why string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("ferry_responses_not_believed_total{why=%q}", why)).Inc()
}

// countInvalidHead counts a response whose head was invalid, and by what.
func (m *Metrics) countInvalidHead(fault head.Fault) {
	m.set.GetOrCreateCounter(fmt.Sprintf("ferry_invalid_heads_total{fault=%q}", fault)).Inc()
}

func (m *Metrics) countRefusal(refusal *ferry.RefusalError) {
	name := fmt.Sprintf("ferry_refusals_total{reason=%q,outcome=%q}", refusal.Reason, refusal.Outcome)
	m.set.GetOrCreateCounter(name).Inc()
}
