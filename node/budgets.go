package node

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/drain"
)

const (
	// bodyDivisor is the part of the VM's memory that bodies and responses in flight may
	// hold: one of so many. As much again is left to garbage, and the rest to the
	// process and its connections.
	bodyDivisor = 4
	// connectionDivisor is the part of the memory for the connections of callers, and
	// connectionBytes what one is counted as: two buffers and two stacks of package
	// http, a header and the copy of a body that is streamed.
	connectionDivisor = 4
	connectionBytes   = 32 << 10
	// headerDivisor is the part of the memory that incomplete headers may hold.
	headerDivisor = 16

	// fileDescriptors is the number of descriptors that the operators' machines reserve
	// for files, and otherDescriptors that for listeners, the store and messages.
	fileDescriptors  = 200
	otherDescriptors = 64
	// callerPercent and targetPercent are the parts of the other descriptors for
	// connections of callers and to targets, portPercent that for each of the ports
	// for readiness, directory, control and metrics.
	callerPercent = 45
	targetPercent = 35
	portPercent   = 5

	// portReadTimeout, portWriteTimeout and portIdleTimeout bound the calls on those
	// ports, and portHeaderBytes their headers.
	portReadTimeout  = 10 * time.Second
	portWriteTimeout = 30 * time.Second
	portIdleTimeout  = 75 * time.Second
	portHeaderBytes  = 16 << 10

	// budgetInterval is the time between log lines about refused callers.
	budgetInterval = 10 * time.Second
)

// budgets are the limits of what callers may hold on a VM. Zero means no limit.
type budgets struct {
	// bodyBytes and headerBytes are in bytes, the others in connections.
	bodyBytes, headerBytes            int64
	callers, targetConnections, ports int
}

// newBudgets returns the limits for a VM with an amount of memory in bytes and of
// descriptors; zero means no limit.
func newBudgets(memory int64, descriptors int) budgets {
	b := budgets{bodyBytes: memory / bodyDivisor, headerBytes: memory / headerDivisor, callers: int(memory / connectionDivisor / connectionBytes)}
	if descriptors == 0 {
		return b
	}
	sockets := max(100, descriptors-fileDescriptors-otherDescriptors)
	callers := sockets * callerPercent / 100
	if b.callers == 0 || callers < b.callers {
		b.callers = callers
	}
	b.targetConnections, b.ports = sockets*targetPercent/100, sockets*portPercent/100
	return b
}

// descriptorLimit returns the limit of the settings, or that of the process, or zero.
func descriptorLimit(settings conf.NodeSettings) int {
	if settings.DescriptorLimit > 0 {
		return settings.DescriptorLimit
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// newPort returns a server for calls that are not forwarded, and wraps its listener.
func (n *Node) newPort(handler http.Handler, listener *net.TCPListener) (*http.Server, *drain.Listener) {
	bounded := drain.NewListener(listener)
	bounded.SetBounds(drain.Bounds{Connections: n.limits.ports})
	return &http.Server{
		Handler: handler, ConnState: bounded.SetState, ReadHeaderTimeout: headerTimeout, ReadTimeout: portReadTimeout,
		WriteTimeout: portWriteTimeout, IdleTimeout: portIdleTimeout, MaxHeaderBytes: portHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}, bounded
}

// BudgetStatus is what callers hold on a VM, and the limits. A limit of zero is none.
type BudgetStatus struct {
	// BodyBytes counts what is buffered of bodies and responses, HeaderBytes what has
	// been read of incomplete headers.
	BodyBytes, MaxBodyBytes     int64
	HeaderBytes, MaxHeaderBytes int64
	// Owners is the number of client accounts and addresses that hold body bytes.
	Owners int
	// Callers and Targets are connections.
	Callers, MaxCallers int
	Targets, MaxTargets int64
	// RefusedBodies and EndedBodies count since the start.
	RefusedBodies, EndedBodies uint64
	// ClosedConnections counts connections of callers closed for want of room, by kind.
	ClosedConnections map[string]uint64
}

func (n *Node) budgetStatus() BudgetStatus {
	bodies, targets := n.bodies.Usage(), n.pool.Connections.Usage()
	var callers drain.Usage
	if n.listener != nil {
		callers = n.listener.Usage()
	}
	return BudgetStatus{
		BodyBytes: bodies.Used, MaxBodyBytes: bodies.Limit, Owners: bodies.Owners,
		HeaderBytes: callers.Header, MaxHeaderBytes: callers.HeaderBytes,
		Callers: callers.Open, MaxCallers: callers.Connections,
		Targets: targets.Used + int64(n.pool.Idle()), MaxTargets: targets.Limit,
		RefusedBodies: bodies.Refused, EndedBodies: bodies.Ended, ClosedConnections: callers.Evicted,
	}
}

// registerBudgets adds gauges of what callers hold.
func (n *Node) registerBudgets(set *metrics.Set) {
	gauges := map[string]func(BudgetStatus) float64{
		`ferry_held_bytes{kind="Body"}`:           func(s BudgetStatus) float64 { return float64(s.BodyBytes) },
		`ferry_held_bytes{kind="Header"}`:         func(s BudgetStatus) float64 { return float64(s.HeaderBytes) },
		`ferry_held_connections{kind="Caller"}`:   func(s BudgetStatus) float64 { return float64(s.Callers) },
		`ferry_held_connections{kind="Target"}`:   func(s BudgetStatus) float64 { return float64(s.Targets) },
		`ferry_budget_bytes{kind="Body"}`:         func(s BudgetStatus) float64 { return float64(s.MaxBodyBytes) },
		`ferry_budget_connections{kind="Caller"}`: func(s BudgetStatus) float64 { return float64(s.MaxCallers) },
		`ferry_bodies_ended_total`:                func(s BudgetStatus) float64 { return float64(s.EndedBodies) },
	}
	for name, read := range gauges {
		set.NewGauge(name, func() float64 { return read(n.budgetStatus()) })
	}
	for _, kind := range drain.EvictedKinds() {
		set.NewGauge(fmt.Sprintf(`ferry_callers_closed_total{kind=%q}`, kind), func() float64 {
			return float64(n.listener.Usage().Evicted[kind])
		})
	}
}

// logBudgets logs, at most once in budgetInterval, that callers were refused or their
// connections closed for want of room, and who holds most. Only the loop calls it.
func (n *Node) logBudgets(now time.Duration) {
	if now-n.budgetsLoggedAt < budgetInterval {
		return
	}
	n.budgetsLoggedAt = now
	status := n.budgetStatus()
	closed := uint64(0)
	for _, count := range status.ClosedConnections {
		closed += count
	}
	refused := status.RefusedBodies + status.EndedBodies + n.pool.Connections.Usage().Refused + closed
	if refused == n.budgetRefusals {
		return
	}
	n.budgetRefusals = refused
	owner, held := n.bodies.Largest()
	address, connections := n.listener.Largest()
	n.log.Warn("callers refused for want of room", "refusedBodies", status.RefusedBodies, "endedBodies", status.EndedBodies,
		"closed", status.ClosedConnections, "bodyBytes", status.BodyBytes, "maxBodyBytes", status.MaxBodyBytes,
		"callers", status.Callers, "maxCallers", status.MaxCallers, "targets", status.Targets, "maxTargets", status.MaxTargets,
		"largest", owner, "largestBytes", held, "address", address, "addressConnections", connections)
}
