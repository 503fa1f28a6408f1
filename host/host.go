package host

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/auth"
	"monsoonferry.org/ferry/cert"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/entry"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/peer"
	"monsoonferry.org/ferry/proxy"
	"monsoonferry.org/ferry/queue"
	"monsoonferry.org/ferry/retry"
	"monsoonferry.org/ferry/route"
)

// Host is one VM of the fleet.
type Host struct {
	settings     conf.Settings
	clock        ferry.Clock
	log          *slog.Logger
	level        *slog.LevelVar
	store        ferry.Store
	metrics      *metrics.Set
	mesh         *peer.Mesh
	callers      *callerServer
	requests     *proxy.Server
	grace        drain.Grace
	requestQueue *queue.FairQueue

	control        *controlLoop
	allowance      *allowanceLoop
	detection      *detectionLoop
	drainOnce      sync.Once
	drainRequested chan struct{}
	callerTLS      *cert.Source
}

// New returns a host, or an error when the TLS credentials cannot be read.
func New(settings conf.Settings, clock ferry.Clock, logger Logger, store ferry.Store, dialer ferry.Dialer, set *metrics.Set) (h *Host, err error) {
	h = &Host{
		settings: settings, clock: clock, log: logger.Log, level: logger.Level, store: store, metrics: set,
		drainRequested: make(chan struct{}),
	}
	h.grace.LikelyTime = entry.Lifetime + drain.TransitMargin
	if h.callerTLS, err = cert.Load(settings.CallerTLS); err != nil {
		return nil, err
	}
	var peerTLS *cert.Source
	if peerTLS, err = cert.Load(settings.PeerTLS); err != nil {
		return nil, err
	}
	self := ferry.VM{
		ID: settings.ID, Place: settings.Place,
		Callers: settings.Callers, Peers: settings.Peers, Admin: settings.Admin,
	}
	incarnation := newIncarnation()
	dial, serve := peerTLS.PeerConfigs()
	h.mesh = peer.NewMesh(peer.Config{Self: self, Incarnation: incarnation, DialTLS: dial, ServeTLS: serve, Dialer: dialer, Log: h.log})
	picker := route.NewPicker(settings.Place)
	h.allowance = newAllowanceLoop(limit.Process{VM: self.ID, Incarnation: incarnation}, clock, h.log, h.mesh)
	h.detection = newDetectionLoop(self, clock, h.log, h.mesh, h.allowance, picker)
	h.control = newControlLoop(self, incarnation, h)
	h.assembleRequestPath(picker)
	h.registerMetrics()
	return h, nil
}

// assembleRequestPath builds the filter chain for client requests.
func (h *Host) assembleRequestPath(picker *route.Picker) {
	counters := proxy.NewMetrics(h.metrics)
	h.requestQueue = queue.NewFairQueue(picker, h.clock)
	forwarder := proxy.NewForwarder(proxy.Config{
		Queue: h.requestQueue, Limiter: h.allowance.pools, Observer: h.detection, Snapshots: h.control,
		Budgets: &retry.Budgets{}, Clock: h.clock, Log: h.log, Metrics: counters, Grace: &h.grace,
	})
	chain := ferry.Chain(forwarder,
		proxy.RouteFilter{}, auth.Filter{}, proxy.StopFilter{Forwarder: forwarder}, proxy.BodyFilter{},
		proxy.LimitFilter{Limiter: h.allowance.pools, Clock: h.clock})
	h.requests = proxy.NewServer(chain, h.control, h.clock, newRequestID, h.log, counters)
	h.requests.SetGrace(&h.grace)
	h.callers = newCallerServer(h.settings.Place, h.requests, h.control, &h.grace)
}

// newIncarnation returns a number that no earlier process of the VM had.
func newIncarnation() uint64 {
	var raw [8]byte
	// Read never fails on the supported systems.
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1
}

// newRequestID returns a new request identifier.
func newRequestID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Listeners are the listening sockets of a VM.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Run listens on the addresses of the settings and serves until ctx ends or a
// planned stop is complete.
func (h *Host) Run(ctx context.Context) (err error) {
	var listeners Listeners
	if listeners.Peers, err = listen(ctx, h.settings.Peers.String()); err != nil {
		return err
	}
	if listeners.Callers, err = listen(ctx, h.settings.Callers.String()); err != nil {
		return err
	}
	if listeners.Admin, err = listen(ctx, h.settings.Admin.String()); err != nil {
		return err
	}
	return h.Serve(ctx, listeners)
}

// Serve serves on the given listeners until ctx ends or a planned stop is
// complete. It closes the listeners.
func (h *Host) Serve(ctx context.Context, listeners Listeners) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	connections := newCallerConnections(h.callers, listeners.Callers, h.callerTLS.CallerConfig())
	group.Go(func() error { return h.mesh.Serve(groupCtx, listeners.Peers) })
	group.Go(func() error { return h.control.run(groupCtx) })
	group.Go(func() error { return h.allowance.run(groupCtx) })
	group.Go(func() error { return h.detection.run(groupCtx) })
	group.Go(func() error { return h.dispatch(groupCtx) })
	group.Go(func() error {
		return h.control.watch(groupCtx, conf.VMListName, listPollInterval, h.control.listHandler(groupCtx))
	})
	group.Go(func() error {
		return h.control.watch(groupCtx, conf.ManifestName, manifestPollInterval, h.control.manifestHandler(groupCtx))
	})
	group.Go(func() error { return h.requestQueue.Run(groupCtx) })
	group.Go(func() error { return h.serveAdmin(groupCtx, listeners.Admin) })
	group.Go(func() error { return h.callers.serve(groupCtx, connections) })
	group.Go(func() error {
		// A complete planned stop ends all other goroutines.
		defer cancel()
		h.awaitDrain(groupCtx, connections)
		return nil
	})
	h.log.Info("serving", slog.String("callers", listeners.Callers.Addr().String()), slog.String("peers", listeners.Peers.Addr().String()))
	return group.Wait()
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	var listener net.Listener
	var err error
	if listener, err = config.Listen(ctx, "tcp", address); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}

// dispatch passes the messages of other VMs to the loops by their type.
func (h *Host) dispatch(ctx context.Context) error {
	for {
		var inbound peer.Inbound
		var err error
		if inbound, err = h.mesh.Next(ctx); err != nil {
			return nil //nolint:nilerr // Next fails only when ctx ends.
		}
		switch inbound.Message.(type) {
		case peer.Hello, peer.Fetch, peer.Value:
			h.control.post(ctx, controlEvent{inbound: &inbound})
		case peer.Heartbeat:
			h.control.post(ctx, controlEvent{inbound: &inbound})
			h.allowance.post(ctx, allowanceEvent{inbound: &inbound})
			h.detection.post(ctx, detectionEvent{inbound: &inbound})
		case peer.Evidence:
			h.detection.post(ctx, detectionEvent{inbound: &inbound})
		default:
			h.allowance.post(ctx, allowanceEvent{inbound: &inbound})
		}
	}
}

// Snapshot returns the configuration in force for client requests, or nil.
func (h *Host) Snapshot() ferry.Snapshot { return h.control.Snapshot() }
