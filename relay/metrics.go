package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/head"
	"monsoonferry.org/ferry/room"
	"monsoonferry.org/ferry/socket"
)

// Metrics counts the decisions of the request path. Its labels have a bounded
// number of values: kinds of routes, distances, verdicts, outcomes and reasons.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// kindLabel returns the label of a route's kind.
func kindLabel(route *ferry.Route) string {
	if route == nil {
		return "None"
	}
	return route.Kind.String()
}

func (m *Metrics) countRequest(route *ferry.Route, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_requests_total{kind=%q,status="%d"}`, kindLabel(route), status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`ferry_request_duration_seconds{kind=%q}`, kindLabel(route))).Update(took.Seconds())
}

func (m *Metrics) countAttempt(route *ferry.Route, a *attempt, took time.Duration) {
	distance := a.pick.Distance
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_slot_picks_total{slot=%q,place=%q}`, a.pick.Slot, a.pick.Target.Place)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_target_connections_total{reused="%t"}`, a.isReused)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_attempts_total{kind=%q,distance=%q,verdict=%q,outcome=%q}`,
		kindLabel(route), distance, a.verdict, a.outcome)).Inc()
	if errors.Is(a.err, errTooManyBytes) {
		m.countExcess("Bytes")
	}
	m.countInvalidHead(a.err)
	m.countLost(a.err)
	if a.verdict == ferry.VerdictGood {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`ferry_attempt_duration_seconds{kind=%q,distance=%q}`, kindLabel(route), distance)).
			Update(took.Seconds())
	}
}

// countExcess counts an attempt that ended because its target sent too many Bytes that
// are no body for the caller, or a head of too many Lines.
func (m *Metrics) countExcess(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_target_excess_total{kind=%q}`, kind)).Inc()
}

// countInvalidHead counts a response whose head was invalid, and by what.
func (m *Metrics) countInvalidHead(err error) {
	invalid := (*head.Error)(nil)
	if !errors.As(err, &invalid) {
		return
	}
	if invalid.Fault == head.FaultLines {
		m.countExcess("Lines")
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_invalid_heads_total{fault=%q}`, invalid.Fault)).Inc()
}

// countLost counts a response whose connection was lost where its body would have ended.
func (m *Metrics) countLost(err error) {
	if lost := (*socket.LostError)(nil); errors.As(err, &lost) {
		m.set.GetOrCreateCounter(`ferry_responses_lost_total`).Inc()
	}
}

// countEarly counts a response that came before its request was sent, and whether the rest
// was sent after it.
func (m *Metrics) countEarly(isSent bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_early_responses_total{sent="%t"}`, isSent)).Inc()
}

// countNotice counts a notice of a target, Leaving or Backoff, that took effect.
func (m *Metrics) countNotice(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_target_notices_total{kind=%q}`, kind)).Inc()
}

// countDisbelieved counts a response that is not of the request that its connection
// carries, and why.
func (m *Metrics) countDisbelieved(why string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_responses_not_believed_total{why=%q}`, why)).Inc()
}

// countStopDecision counts a decision about a request while the VM stops.
func (m *Metrics) countStopDecision(decision drain.Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_stop_decisions_total{decision=%q}`, decision)).Inc()
}

// countFirstWait counts a request that waited for the first configuration of the process.
func (m *Metrics) countFirstWait(isInForce bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_first_configuration_waits_total{inForce="%t"}`, isInForce)).Inc()
}

func (m *Metrics) countRefusal(route *ferry.Route, refusal *ferry.RefusalError) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_refusals_total{kind=%q,reason=%q,outcome=%q}`,
		kindLabel(route), refusal.Reason, refusal.Outcome)).Inc()
}

func (m *Metrics) countAborted(route *ferry.Route) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_aborted_total{kind=%q}`, kindLabel(route))).Inc()
}

// addRoom registers the gauges of a service's room. Services are as many as the
// configuration has.
func (m *Metrics) addRoom(service ferry.ServiceID, status func() room.Status) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`ferry_room_queue_length{service=%q}`, service), func() float64 { return float64(status().Queued) })
	m.set.GetOrCreateGauge(fmt.Sprintf(`ferry_room_limit{service=%q}`, service), func() float64 { return status().Limit })
}

func (m *Metrics) countRoomRefusal(service ferry.ServiceID, rank int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ferry_room_refusals_total{service=%q,rank="%d"}`, service, rank)).Inc()
}

func (m *Metrics) observeRoomWait(service ferry.ServiceID, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`ferry_room_wait_seconds{service=%q}`, service)).Update(waited.Seconds())
}

func (m *Metrics) countRoomLineDropped() {
	m.set.GetOrCreateCounter(`ferry_room_lines_dropped_total`).Inc()
}
