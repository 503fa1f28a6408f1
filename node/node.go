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
	"monsoonferry.org/ferry/grant"
	"monsoonferry.org/ferry/lead"
	"monsoonferry.org/ferry/place"
	"monsoonferry.org/ferry/relay"
)

const (
	// eventQueue bounds the events that wait for the loop.
	eventQueue = 1024
	// tickEvery is the time between ticks of the loop.
	tickEvery = 100 * time.Millisecond
	// sweepEvery is the time between looks at idle connections.
	sweepEvery = time.Second
	// defaultHeaderTime and defaultIdleTime bound callers until a configuration
	// states limits.
	defaultHeaderTime = 10 * time.Second
	defaultIdleTime   = 75 * time.Second
)

// Handlers are the calls of the platform that reach a VM beside requests.
type Handlers struct {
	// Ready answers whether the VM serves.
	Ready func(isReady func() bool) http.Handler
	// Directory answers which addresses callers should use.
	Directory func(directory *Directory) http.Handler
}

// Parts are what a Node is made of.
type Parts struct {
	Settings conf.Node
	Clock    ferry.Clock
	Log      *slog.Logger
	Register ferry.RecordStore
	Catalog  ferry.RecordDecoder
	Dialect  ferry.Dialect
	Handlers Handlers
}

// Node is one VM. Create it with New.
type Node struct {
	parts     Parts
	log       *slog.Logger
	clock     ferry.Clock
	state     *state
	directory *Directory
	chooser   *place.Chooser
	budgets   *relay.RetryBudgets
	pool      *relay.Pool
	server    *relay.Server
	allowance *allowance
	fronts    *http.Server
	socket    *net.UDPConn
	events    chan any
	dropped   atomic.Int64
	metrics   *metrics.Set

	// The loop owns the fields below.
	controller *lead.Controller
	holder     grant.Holder
	decoder    decoder
	listed     map[ferry.TargetID]int64
	swept      time.Duration
	told       lead.Stated
	isStale    bool
	viewSize   int

	// branches hold the tokens of the place that this VM leads.
	branches       map[ferry.AccountID]*grant.Branch
	branchSequence uint64

	// asked is the VM that requests ask for tokens.
	asked    atomic.Pointer[netip.AddrPort]
	leaving  atomic.Bool
	drainOne sync.Once
	drain    chan struct{}
}

// New returns a Node that has not started.
func New(parts Parts) *Node {
	settings := parts.Settings
	n := &Node{
		parts: parts, log: parts.Log, clock: parts.Clock,
		state:     &state{clock: parts.Clock},
		directory: &Directory{regions: settings.Regions, lifetime: settings.Bounds.AnswerLifetime},
		chooser:   place.NewChooser(settings.Place, settings.Regions),
		budgets:   &relay.RetryBudgets{},
		pool:      &relay.Pool{},
		events:    make(chan any, eventQueue),
		drain:     make(chan struct{}),
		metrics:   metrics.NewSet(),
		branches:  map[ferry.AccountID]*grant.Branch{},
		decoder:   decoder{catalog: parts.Catalog, log: parts.Log},
	}
	bounds := settings.Bounds
	n.state.bounds.Store(&bounds)
	n.chooser.SetFloor(bounds.Floor)
	n.budgets.SetBounds(bounds.RetryShare, bounds.RetrySlack, 1)
	n.allowance = &allowance{clock: parts.Clock, send: n.sendAsk, purses: map[ferry.AccountID]*grant.Purse{}}
	counters := relay.NewMetrics(n.metrics)
	forwarder := relay.NewForwarder(parts.Clock, parts.Dialect, n.chooser, n.budgets, n.pool, n.state, n, parts.Log, counters)
	chain := ferry.Chain(forwarder,
		relay.RouteFilter{Freshness: n.state}, relay.AccountFilter{Freshness: n.state}, relay.BodyFilter{}, relay.AllowanceFilter{Limiter: n.allowance})
	n.server = relay.NewServer(chain, n.state, parts.Dialect, parts.Clock, parts.Log, counters)
	self := lead.VM{
		Peers: settings.Peers, Incarnation: uint64(time.Now().UnixNano()), Place: settings.Place,
		Callers: settings.Callers, ControlPort: settings.Control.Port(), Power: settings.Power,
	}
	n.controller = lead.NewController(parts.Clock.Now(), self, settings.Seeds, parts.Catalog,
		lead.Options{CanRead: true, IsFirst: settings.IsFirst, Regions: settings.Regions, Jitter: rand.Float64()})
	return n
}

// IsReady reports whether the VM serves callers.
func (n *Node) IsReady() bool {
	if n.leaving.Load() || n.state.view.Load() == nil {
		return false
	}
	age, ok := n.state.age()
	return ok && age < n.state.bounds.Load().RevokeWithin
}

// Report implements relay.Reporter.
func (n *Node) Report(target ferry.TargetID, logOdds float64) {
	n.post(lead.Observed{Evidence: []lead.Evidence{{Target: target, LogOdds: logOdds}}})
}

// post gives an event to the loop, or counts it as dropped.
func (n *Node) post(event any) {
	select {
	case n.events <- event:
	default:
		n.dropped.Add(1)
	}
}

// Run serves until a drain has ended or ctx ends.
func (n *Node) Run(ctx context.Context) (err error) {
	settings := n.parts.Settings
	if n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Peers)); err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = n.socket.Close() }()
	n.fronts = &http.Server{
		Handler: n.server, ReadHeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdleTime,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	servers := map[netip.AddrPort]*http.Server{
		settings.Callers:   n.fronts,
		settings.Ready:     {Handler: n.parts.Handlers.Ready(n.IsReady), ReadHeaderTimeout: defaultHeaderTime},
		settings.Directory: {Handler: n.parts.Handlers.Directory(n.directory), ReadHeaderTimeout: defaultHeaderTime},
		settings.Control:   {Handler: n.controlHandler(), ReadHeaderTimeout: defaultHeaderTime},
	}
	if settings.Metrics.IsValid() {
		servers[settings.Metrics] = &http.Server{Handler: n.reportHandler(), ReadHeaderTimeout: defaultHeaderTime}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for address, server := range servers {
		var listener net.Listener
		if listener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address)); err != nil {
			return trace.ConvertSystemError(err)
		}
		group.Go(func() error { return serve(server, listener) })
	}
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
	n.log.Info("stopped", "droppedEvents", n.dropped.Load())
	return err
}

// serve runs a server until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
