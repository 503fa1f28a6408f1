package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/drain"
	"monsoonferry.org/ferry/flight"
	"monsoonferry.org/ferry/grant"
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/relay"
	"monsoonferry.org/ferry/retry"
)

const (
	// maxQueuedEvents bounds the queue of events for the loop.
	maxQueuedEvents = 1024
	// sweepInterval is the time between checks for connections to close.
	sweepInterval = time.Second
	// headerTimeout bounds the time to read a request header, and idleTimeout how
	// long an idle connection of a caller is kept, unless the configuration says
	// otherwise.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeaderTimeout and maxHeaderBytes bound what the configuration may allow.
	maxHeaderTimeout = time.Minute
	maxHeaderBytes   = 256 << 10
)

// Handlers creates the HTTP handlers for the calls of the platform.
type Handlers struct {
	// Ready returns the handler that reports whether the VM serves callers.
	Ready func(isReady func() bool) http.Handler
	// Directory returns the handler that returns addresses to callers.
	Directory func(directory *Directory) http.Handler
}

// Dependencies holds the settings of a Node and the implementations that it uses.
type Dependencies struct {
	Settings conf.NodeSettings
	Clock    ferry.Clock
	Log      *slog.Logger
	Store    ferry.RecordStore
	Decoder  ferry.RecordDecoder
	Dialect  ferry.Dialect
	Handlers Handlers
}

// Node runs one VM of the fleet. Create it with New.
type Node struct {
	dependencies  Dependencies
	log           *slog.Logger
	clock         ferry.Clock
	state         *requestState
	directory     *Directory
	chooser       *place.Chooser
	budgets       *retry.FleetBudgets
	pool          *relay.Pool
	server        *relay.Server
	grace         drain.Grace
	forwarder     *relay.Forwarder
	limiter       *tokenLimiter
	callerServer  *http.Server
	listener      *drain.Listener
	socket        *net.UDPConn
	events        chan any
	droppedEvents atomic.Int64
	metrics       *metrics.Set
	limits        budgets
	bodies        *flight.Ledger
	traffic       *traffic

	// oddEpoch is the last epoch that the store stated and that was not believed, or nil.
	oddEpoch atomic.Pointer[string]

	// The loop owns the fields below.
	controller    *lead.Controller
	issuer        grant.Issuer
	recordCache   recordCache
	listedTargets map[ferry.TargetID]int64
	// formerProof is the proof of freshness before the step in progress: records that
	// this step brought are later.
	formerProof    ferry.Moment
	hasFormerProof bool
	sweptAt        time.Duration
	// budgetsLoggedAt is when logBudgets last looked, budgetRefusals what it counted.
	budgetsLoggedAt time.Duration
	budgetRefusals  uint64
	// checked is the last configuration of which the findings are logged.
	checked        *conf.Snapshot
	reportedStatus lead.StatusChanged
	isStale        bool
	viewSize       int
	division       lead.Division
	// epochRevision is the revision of the records when logEpoch last looked.
	epochRevision uint64
	// outdatedReads is the number of responses of an earlier epoch that were logged.
	outdatedReads uint64

	// placeCaches holds the tokens for the VMs of the place that this VM leads.
	placeCaches   map[ferry.AccountID]*grant.PlaceCache
	placeSequence uint64

	// tokenServer is the VM that receives the token requests of this VM.
	tokenServer  atomic.Pointer[netip.AddrPort]
	leaving      atomic.Bool
	drainOnce    sync.Once
	drainStarted chan struct{}
}

// New returns a Node. Run starts it.
func New(dependencies Dependencies) *Node {
	settings := dependencies.Settings
	n := &Node{
		dependencies: dependencies, log: dependencies.Log, clock: dependencies.Clock,
		state:        &requestState{clock: dependencies.Clock, first: make(chan struct{})},
		directory:    &Directory{regions: settings.Regions, lifetime: settings.Bounds.EntryLifetime},
		chooser:      place.NewChooser(settings.Place, settings.Regions),
		budgets:      &retry.FleetBudgets{},
		pool:         &relay.Pool{},
		events:       make(chan any, maxQueuedEvents),
		drainStarted: make(chan struct{}),
		metrics:      metrics.NewSet(),
		placeCaches:  map[ferry.AccountID]*grant.PlaceCache{},
		recordCache:  recordCache{decoder: dependencies.Decoder, log: dependencies.Log},
	}
	n.issuer.Reset(dependencies.Clock.Now().Monotonic)
	n.limits = newBudgets(settings.MemoryLimit, descriptorLimit(settings))
	n.bodies = flight.NewLedger(n.limits.bodyBytes)
	n.pool.Connections = flight.NewLedger(int64(n.limits.targetConnections))
	n.traffic = newTraffic(settings.Place, settings.Regions, n.metrics)
	bounds := settings.Bounds
	n.state.bounds.Store(&bounds)
	n.chooser.SetFloor(bounds.Floor)
	n.chooser.SetSeed(rand.Uint64())
	n.chooser.SetEvenLoad(evenLoad(settings))
	n.registerSlotMetrics()
	n.metrics.NewGauge("ferry_retry_slack", n.budgets.Slack)
	n.metrics.NewGauge("ferry_proof_age_seconds", func() float64 {
		age, _ := n.state.proofAge()
		return age.Seconds()
	})
	n.limiter = &tokenLimiter{clock: dependencies.Clock, send: n.sendTokenRequest, caches: map[ferry.AccountID]*grant.TokenCache{}}
	counters := relay.NewMetrics(n.metrics)
	n.forwarder = relay.NewForwarder(dependencies.Clock, dependencies.Dialect, n.chooser, n.budgets, n.pool, n.state, n, dependencies.Log, counters)
	n.forwarder.SetLowerRankShare(settings.LowerRankShare)
	n.forwarder.SetGrace(&n.grace)
	chain := ferry.Chain(n.forwarder,
		relay.RouteFilter{Freshness: n.state}, relay.AccountFilter{Freshness: n.state}, relay.StopFilter{Forwarder: n.forwarder}, relay.BodyFilter{Bytes: n.bodies}, relay.AllowanceFilter{Limiter: n.limiter})
	n.server = relay.NewServer(chain, n.state, dependencies.Dialect, dependencies.Clock, dependencies.Log, counters)
	n.server.SetGrace(&n.grace)
	self := lead.VM{
		Peers: settings.Peers, Incarnation: uint64(time.Now().UnixNano()), Place: settings.Place,
		Callers: settings.Callers, ControlPort: settings.Control.Port(), Millicores: settings.Millicores,
	}
	n.controller = lead.NewController(dependencies.Clock.Now(), self, settings.Seeds, dependencies.Decoder,
		lead.Options{CanRead: true, IsFirst: settings.IsFirst, FleetSize: settings.FleetSize, Regions: settings.Regions, TargetHeartbeat: settings.TargetHeartbeat, FreshWithin: freshWithin(bounds), Jitter: rand.Float64()})
	n.setRetryBounds(n.controller.Division(dependencies.Clock.Now()))
	return n
}

// IsReady reports whether the VM serves callers.
func (n *Node) IsReady() bool {
	if n.leaving.Load() || n.state.snapshot.Load() == nil {
		return false
	}
	age, ok := n.state.proofAge()
	return ok && age < n.state.bounds.Load().RevokeWithin
}

// Report implements relay.Reporter.
func (n *Node) Report(target ferry.TargetID, logOdds float64) {
	n.post(lead.Observed{Evidence: []lead.Evidence{{Target: target, LogOdds: logOdds}}})
}

// post queues an event for the loop, or drops and counts it if the queue is full.
func (n *Node) post(event any) {
	select {
	case n.events <- event:
	default:
		n.droppedEvents.Add(1)
	}
}

// Run serves until a drain is complete or ctx ends.
func (n *Node) Run(ctx context.Context) (err error) {
	settings := n.dependencies.Settings
	if n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Peers)); err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = n.socket.Close() }()
	var callers *net.TCPListener
	if callers, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(settings.Callers)); err != nil {
		return trace.ConvertSystemError(err)
	}
	n.listener = drain.NewListener(callers)
	n.listener.SetBounds(drain.Bounds{Connections: n.limits.callers, HeaderBytes: n.limits.headerBytes})
	n.registerBudgets(n.metrics)
	n.log.Info("budgets", "bodyBytes", n.limits.bodyBytes, "headerBytes", n.limits.headerBytes, "callers", n.limits.callers,
		"targets", n.limits.targetConnections, "ports", n.limits.ports)
	n.callerServer = &http.Server{
		ConnState: n.listener.SetState, ConnContext: n.listener.Context,
		Handler: n.server, ReadHeaderTimeout: maxHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	handlers := map[netip.AddrPort]http.Handler{
		settings.Ready:     n.dependencies.Handlers.Ready(n.IsReady),
		settings.Directory: n.dependencies.Handlers.Directory(n.directory),
		settings.Control:   n.controlHandler(),
	}
	if settings.Metrics.IsValid() {
		handlers[settings.Metrics] = n.reportHandler()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	servers := []*http.Server{n.callerServer}
	for address, handler := range handlers {
		var port *net.TCPListener
		if port, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address)); err != nil {
			return trace.ConvertSystemError(err)
		}
		server, listener := n.newPort(handler, port)
		servers = append(servers, server)
		group.Go(func() error { return serve(server, listener) })
	}
	group.Go(func() error { return serve(n.callerServer, n.listener) })
	n.log.Info("started", "place", settings.Place, "callers", settings.Callers, "peers", settings.Peers, "seeds", len(settings.Seeds))
	group.Go(func() error { n.loop(ctx); return nil })
	group.Go(func() error { n.readDatagrams(ctx); return nil })
	group.Go(func() error {
		defer cancel()
		n.waitForDrain(ctx)
		for _, server := range servers {
			_ = server.Close()
		}
		_ = n.socket.Close()
		return nil
	})
	err = group.Wait()
	n.log.Info("stopped", "droppedEvents", n.droppedEvents.Load())
	return err
}

// serve runs a server on a listener until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}
