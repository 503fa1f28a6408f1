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
	// rebroadcastInterval is the time between two broadcasts of decisions that did
	// not change.
	rebroadcastInterval = 500 * time.Millisecond
	// requiredLeaseTime is the time for which leases must back an ejection. The
	// published right is up to askInterval old.
	requiredLeaseTime = health.EjectionLifetime + leaseRequestInterval
	// suspectWeight is the weight of a target that is suspected but in use.
	suspectWeight = 0.1
	// slowStartWeight is the weight with which a slow start begins.
	slowStartWeight = 0.1
)

// sentHeartbeat is a heartbeat that was sent to another VM.
type sentHeartbeat struct {
	to       ferry.VMID
	sequence uint64
	at       ferry.Moment
}

// attempt is the result of an attempt.
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

// receivedHeartbeat is the last heartbeat from another process.
type receivedHeartbeat struct {
	incarnation uint64
	sequence    uint64
}

// detectionLoop owns evidence and ejections.
type detectionLoop struct {
	self      ferry.VM
	clock     ferry.Clock
	log       *slog.Logger
	mesh      *peer.Mesh
	allowance *allowanceLoop
	picker    *route.Picker
	events    chan detectionEvent

	detector       *health.Detector
	table          *health.EjectionTable
	ejectors       map[ferry.ServiceID]*health.Ejector
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

// Observe implements ferry.Observer. It never waits; evidence that finds the
// queue full is dropped and counted.
func (l *detectionLoop) Observe(now ferry.Moment, target *ferry.Target, result ferry.Result) {
	event := detectionEvent{attempt: &attempt{target: target.ID, place: target.Place, result: result, observed: now}}
	select {
	case l.events <- event:
	default:
		l.droppedEvidence.Add(1)
	}
}

// post hands an event to the loop. It waits while the queue is full.
func (l *detectionLoop) post(ctx context.Context, event detectionEvent) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run owns detector and ejectors until ctx ends.
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

// receive handles the messages of other VMs.
func (l *detectionLoop) receive(now ferry.Moment, inbound peer.Inbound) {
	switch message := inbound.Message.(type) {
	case peer.Beat:
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

// tick reports evidence, decides about the services that this VM decides
// about, and applies the ejections in force.
func (l *detectionLoop) tick() {
	if l.inventory == nil {
		return
	}
	now := l.clock.Now()
	report := l.detector.Report(now)
	ejections, isDecider, changed := l.decide(now)
	if isDecider {
		l.table.RenewFrom(now, l.self.ID, now, ejections)
	}
	due := isDecider && (changed || (len(ejections) > 0 && now.Since(l.broadcastAt) >= rebroadcastInterval))
	if due {
		l.broadcastAt = now
	}
	if len(report) > 0 || due {
		l.broadcast(report, ejections, due)
	}
	l.applyEjections(now)
}

// decide returns the ejections of all services that this VM decides about.
func (l *detectionLoop) decide(now ferry.Moment) (ejections []health.Ejection, isDecider, changed bool) {
	before := l.ownStages(now)
	for _, service := range l.inventory.Services {
		right := l.allowance.ejectionBudget(limit.ServiceShardOf(service.ID))
		ejector := l.ejectors[service.ID]
		if right == 0 {
			l.coordinated[service.ID] = false
			continue
		}
		if !l.coordinated[service.ID] {
			ejector.Adopt(now, l.table.LastKnown(now, l.targetsOf(service.ID)))
			l.coordinated[service.ID] = true
		}
		isDecider = true
		ejections = append(ejections, ejector.Decide(now, l.detector, right)...)
	}
	for _, ejection := range ejections {
		stage, ok := before[ejection.Target]
		changed = changed || !ok || stage != ejection.Stage
	}
	return ejections, isDecider, changed || len(ejections) != len(before)
}

// ownStages returns the stages that this VM decided last.
func (l *detectionLoop) ownStages(now ferry.Moment) map[ferry.TargetID]health.Stage {
	stages := map[ferry.TargetID]health.Stage{}
	for _, ejection := range l.table.ActiveFrom(now, l.self.ID) {
		stages[ejection.Target] = ejection.Stage
	}
	return stages
}

func (l *detectionLoop) broadcast(report []health.Increment, ejections []health.Ejection, due bool) {
	for _, m := range l.view.Members {
		if m.VM.ID == l.self.ID {
			continue
		}
		evidence := peer.Evidence{Increments: report}
		if due {
			heard := l.lastHeartbeats[m.VM.ID]
			evidence.Ejections, evidence.Echo, evidence.EchoIncarnation = ejections, heard.sequence, heard.incarnation
		}
		l.mesh.Send(m.VM.ID, evidence)
	}
}
