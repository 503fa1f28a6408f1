package host

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/health"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/member"
	"monsoonferry.org/ferry/peer"
	"monsoonferry.org/ferry/route"
)

const (
	// reportInterval is the time between two reports of evidence.
	reportInterval = 100 * time.Millisecond
	// rebroadcastInterval is the time between two broadcasts of unchanged ejections.
	rebroadcastInterval = 500 * time.Millisecond
	// requiredLeaseTime is the time that the leases behind an ejection must last.
	// The published ejection budget is up to leaseRequestInterval old.
	requiredLeaseTime = health.EjectionLifetime + leaseRequestInterval
	// suspectWeight is the weight of a target that is suspected but in use.
	suspectWeight = 0.1
	// slowStartWeight is the weight of a target at the beginning of a slow start.
	slowStartWeight = 0.1
)

// sentHeartbeat is a heartbeat that was sent to another VM.
type sentHeartbeat struct {
	to       ferry.VMID
	sequence uint64
	at       ferry.Moment
}

// attempt is an attempt of this VM with its result.
type attempt struct {
	target   ferry.TargetID
	place    ferry.PlaceID
	result   ferry.Result
	observed ferry.Moment
}

// detectionEvent is an input of the detection loop.
type detectionEvent struct {
	inventory *ferry.Inventory
	view      *member.View
	inbound   *peer.Inbound
	sent      *sentHeartbeat
	attempt   *attempt
}

// receivedHeartbeat identifies the last heartbeat received from another VM.
type receivedHeartbeat struct {
	incarnation uint64
	sequence    uint64
}

// detectionLoop owns the health scores and the ejections of this VM.
type detectionLoop struct {
	self      ferry.VM
	clock     ferry.Clock
	log       *slog.Logger
	mesh      *peer.Mesh
	allowance *allowanceLoop
	picker    *route.Picker
	events    chan detectionEvent

	detector *health.Detector
	table    *health.EjectionTable
	ejectors map[ferry.ServiceID]*health.Ejector
	// coordinated contains the services whose ejection coordinator is this VM.
	coordinated    map[ferry.ServiceID]bool
	inventory      *ferry.Inventory
	regions        ferry.Regions
	view           member.View
	places         map[ferry.VMID]ferry.PlaceID
	lastHeartbeats map[ferry.VMID]receivedHeartbeat
	stages         map[ferry.TargetID]health.Stage
	suspected      map[ferry.TargetID]bool
	broadcastAt    ferry.Moment

	activeEjections atomic.Pointer[[]health.Ejection]
	scores          atomic.Pointer[map[ferry.TargetID]health.Score]
	droppedEvidence atomic.Uint64
	ejectionCount   atomic.Uint64
}

func newDetectionLoop(self ferry.VM, clock ferry.Clock, log *slog.Logger, mesh *peer.Mesh, allowance *allowanceLoop, picker *route.Picker) *detectionLoop {
	loop := &detectionLoop{
		self: self, clock: clock, log: log, mesh: mesh, allowance: allowance, picker: picker,
		events:         make(chan detectionEvent, loopQueueSize),
		detector:       health.NewDetector(self.Place),
		table:          health.NewEjectionTable(self.Place),
		ejectors:       map[ferry.ServiceID]*health.Ejector{},
		coordinated:    map[ferry.ServiceID]bool{},
		places:         map[ferry.VMID]ferry.PlaceID{},
		lastHeartbeats: map[ferry.VMID]receivedHeartbeat{},
		stages:         map[ferry.TargetID]health.Stage{},
		suspected:      map[ferry.TargetID]bool{},
	}
	loop.activeEjections.Store(&[]health.Ejection{})
	loop.scores.Store(&map[ferry.TargetID]health.Score{})
	return loop
}

// Observe implements ferry.Observer. It never waits; a result that finds the
// queue full is dropped and counted.
func (l *detectionLoop) Observe(now ferry.Moment, target *ferry.Target, result ferry.Result) {
	event := detectionEvent{attempt: &attempt{target: target.ID, place: target.Place, result: result, observed: now}}
	select {
	case l.events <- event:
	default:
		l.droppedEvidence.Add(1)
	}
}

// post queues an event for the loop. It waits while the queue is full.
func (l *detectionLoop) post(ctx context.Context, event detectionEvent) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run owns the detector and the ejectors until ctx ends.
func (l *detectionLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.events:
			l.handle(event)
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *detectionLoop) handle(event detectionEvent) {
	now := l.clock.Now()
	switch {
	case event.attempt != nil:
		l.detector.Observe(now, event.attempt.target, l.regions.Distance(l.self.Place, event.attempt.place), event.attempt.result)
	case event.sent != nil:
		l.table.RecordHeartbeat(event.sent.at, event.sent.to, event.sent.sequence)
	case event.inbound != nil:
		l.receive(now, *event.inbound)
	case event.view != nil:
		l.view = *event.view
		clear(l.places)
		for _, m := range l.view.Members {
			l.places[m.VM.ID] = m.VM.Place
		}
	case event.inventory != nil:
		l.apply(event.inventory)
	}
}

func (l *detectionLoop) apply(inventory *ferry.Inventory) {
	l.inventory = inventory
	l.regions = ferry.NewRegions(inventory.Places)
	l.detector.Apply(inventory)
	l.picker.Apply(inventory)
	ejectors := map[ferry.ServiceID]*health.Ejector{}
	for _, service := range inventory.Services {
		ejector := l.ejectors[service.ID]
		if ejector == nil {
			ejector = health.NewEjector()
		}
		ejector.Apply(service, l.targetsOf(service.ID))
		ejectors[service.ID] = ejector
	}
	l.ejectors = ejectors
}

func (l *detectionLoop) targetsOf(id ferry.ServiceID) []*ferry.Target {
	var targets []*ferry.Target
	for i := range l.inventory.Targets {
		if l.inventory.Targets[i].Service == id {
			targets = append(targets, &l.inventory.Targets[i])
		}
	}
	return targets
}

// receive handles a message of another VM.
func (l *detectionLoop) receive(now ferry.Moment, inbound peer.Inbound) {
	switch message := inbound.Message.(type) {
	case peer.Heartbeat:
		l.lastHeartbeats[inbound.From.VM] = receivedHeartbeat{incarnation: inbound.From.Incarnation, sequence: message.Sequence}
	case peer.Evidence:
		if place, ok := l.places[inbound.From.VM]; ok {
			l.detector.Merge(now, place, message.Increments)
		}
		if message.Echo > 0 && message.EchoIncarnation == l.allowance.self.Incarnation {
			l.table.Renew(now, inbound.From.VM, message.Echo, message.Ejections)
			l.applyEjections(now)
		}
	}
}

// tick reports evidence, decides the ejections of the services that this VM
// coordinates, and applies the ejections in force.
func (l *detectionLoop) tick() {
	if l.inventory == nil {
		return
	}
	now := l.clock.Now()
	report := l.detector.Report(now)
	ejections, isCoordinator, isChanged := l.decide(now)
	if isCoordinator {
		l.table.RenewFrom(now, l.self.ID, now, ejections)
	}
	isDue := isCoordinator && (isChanged || (len(ejections) > 0 && now.Since(l.broadcastAt) >= rebroadcastInterval))
	if isDue {
		l.broadcastAt = now
	}
	if len(report) > 0 || isDue {
		l.broadcast(report, ejections, isDue)
	}
	l.applyEjections(now)
}

// decide returns the ejections of all services that this VM coordinates.
func (l *detectionLoop) decide(now ferry.Moment) (ejections []health.Ejection, isCoordinator, isChanged bool) {
	previous := l.ownStages(now)
	for _, service := range l.inventory.Services {
		budget := l.allowance.ejectionBudget(limit.ServiceShardOf(service.ID))
		ejector := l.ejectors[service.ID]
		if budget == 0 {
			l.coordinated[service.ID] = false
			continue
		}
		if !l.coordinated[service.ID] {
			ejector.Adopt(now, l.table.LastKnown(now, l.targetsOf(service.ID)))
			l.coordinated[service.ID] = true
		}
		isCoordinator = true
		ejections = append(ejections, ejector.Decide(now, l.detector, budget)...)
	}
	for _, ejection := range ejections {
		stage, ok := previous[ejection.Target]
		isChanged = isChanged || !ok || stage != ejection.Stage
	}
	return ejections, isCoordinator, isChanged || len(ejections) != len(previous)
}

// ownStages returns the stages of the ejections in force that this VM decided.
func (l *detectionLoop) ownStages(now ferry.Moment) map[ferry.TargetID]health.Stage {
	stages := map[ferry.TargetID]health.Stage{}
	for _, ejection := range l.table.ActiveFrom(now, l.self.ID) {
		stages[ejection.Target] = ejection.Stage
	}
	return stages
}

func (l *detectionLoop) broadcast(report []health.Increment, ejections []health.Ejection, isDue bool) {
	for _, m := range l.view.Members {
		if m.VM.ID == l.self.ID {
			continue
		}
		evidence := peer.Evidence{Increments: report}
		if isDue {
			heartbeat := l.lastHeartbeats[m.VM.ID]
			evidence.Ejections, evidence.Echo, evidence.EchoIncarnation = ejections, heartbeat.sequence, heartbeat.incarnation
		}
		l.mesh.Send(m.VM.ID, evidence)
	}
}
