package host

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/admin"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/health"
)

// serveAdmin runs the administration API until ctx ends.
func (h *Host) serveAdmin(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: admin.NewHandler(h, h.settings.OperatorKey), ReadHeaderTimeout: headerTimeout}
	return serveHTTP(ctx, server, listener)
}

// Status implements admin.Source.
func (h *Host) Status() admin.Status {
	view := h.control.view.Load()
	usage := h.allowance.usage.Load()
	status := admin.Status{
		ID: h.settings.ID, Place: h.settings.Place, Stamp: h.control.stamp.Load().String(),
		Ready: h.control.snapshot.Load() != nil, Leaving: h.grace.IsStopping(),
		Reader: h.control.isReader.Load(), LogLevel: h.level.Level().String(),
		Members: len(view.Members), Up: len(view.Holders()),
		Allowance: admin.Allowance{
			HeldShards: usage.HeldShards, Share: usage.HeldShare, Parts: usage.Parts,
			Buckets: usage.Buckets, Pools: usage.Pools,
		},
		InFlight: h.callers.inFlight.Load(), Waiting: h.requestQueue.Waiting(),
	}
	if rejected := h.control.rejected.Load(); rejected != nil {
		status.Rejected = rejected.Stamp.String() + ": " + rejected.Err.Error()
	}
	return status
}

// Members implements admin.Source.
func (h *Host) Members() []admin.Member {
	members := []admin.Member{}
	for _, m := range h.control.view.Load().Members {
		members = append(members, admin.Member{
			ID: m.VM.ID, Place: m.VM.Place, Callers: m.VM.Callers.String(),
			Listed: m.Listed, Up: m.Up, Ready: m.Ready, Leaving: m.Leaving,
		})
	}
	return members
}

// Targets implements admin.Source.
func (h *Host) Targets() []admin.Target {
	targets := []admin.Target{}
	snapshot := h.control.snapshot.Load()
	if snapshot == nil {
		return targets
	}
	ejections := map[ferry.TargetID]health.Ejection{}
	for _, ejection := range *h.detection.activeEjections.Load() {
		ejections[ejection.Target] = ejection
	}
	scores := *h.detection.scores.Load()
	for _, t := range snapshot.Inventory().Targets {
		target := admin.Target{
			ID: t.ID, Service: t.Service, Place: t.Place, Address: t.Address.String(), Leaving: t.Leaving,
			Errors: scores[t.ID].Errors, Slowness: scores[t.ID].Slowness,
		}
		if ejection, ok := ejections[t.ID]; ok {
			target.Stage, target.Relapses = ejection.Stage.String(), ejection.PriorEjections
		}
		targets = append(targets, target)
	}
	return targets
}

// Inventory implements admin.Source.
func (h *Host) Inventory() []byte {
	snapshot := h.control.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	var text []byte
	var err error
	if text, err = conf.FormatInventory(snapshot.Inventory()); err != nil {
		h.log.Error("inventory not encoded", slog.Any("error", err))
		return nil
	}
	return text
}

// WriteMetrics implements admin.Source.
func (h *Host) WriteMetrics(w io.Writer) { h.metrics.WritePrometheus(w) }

// SetLogLevel implements admin.Source.
func (h *Host) SetLogLevel(level slog.Level) { h.level.Set(level) }

// registerMetrics registers gauges for the state of the host.
func (h *Host) registerMetrics() {
	gauges := map[string]func() float64{
		"ferry_members_up":         func() float64 { return float64(len(h.control.view.Load().Holders())) },
		"ferry_config_version":     func() float64 { return float64(h.control.stamp.Load().Version) },
		"ferry_shards_held":        func() float64 { return float64(h.allowance.usage.Load().HeldShards) },
		"ferry_share_held":         func() float64 { return h.allowance.usage.Load().HeldShare },
		"ferry_shares_lent":        func() float64 { return float64(h.allowance.usage.Load().LeasedShards) },
		"ferry_leases_lost_total":  func() float64 { return float64(h.allowance.usage.Load().LostLeases) },
		"ferry_buckets":            func() float64 { return float64(h.allowance.usage.Load().Buckets) },
		"ferry_pools":              func() float64 { return float64(h.allowance.usage.Load().Pools) },
		"ferry_ejections":          func() float64 { return float64(len(*h.detection.activeEjections.Load())) },
		"ferry_ejections_total":    func() float64 { return float64(h.detection.ejectionCount.Load()) },
		"ferry_requests_in_flight": func() float64 { return float64(h.callers.inFlight.Load()) },
		"ferry_requests_waiting":   func() float64 { return float64(h.requestQueue.Waiting()) },
		"ferry_evidence_dropped":   func() float64 { return float64(h.detection.droppedEvidence.Load()) },
		"ferry_asks_dropped":       func() float64 { return float64(h.allowance.droppedRequests.Load()) },
		"ferry_peer_sent_bytes": func() float64 {
			sent, _, _ := h.mesh.Usage()
			return float64(sent)
		},
		"ferry_peer_received_bytes": func() float64 {
			_, received, _ := h.mesh.Usage()
			return float64(received)
		},
		"ferry_peer_dropped_messages": func() float64 {
			_, _, dropped := h.mesh.Usage()
			return float64(dropped)
		},
	}
	for name, value := range gauges {
		h.metrics.NewGauge(name, value)
	}
}
