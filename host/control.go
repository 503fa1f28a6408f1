package host

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/gossip"
	"monsoonferry.org/ferry/limit"
	"monsoonferry.org/ferry/member"
	"monsoonferry.org/ferry/peer"
	"monsoonferry.org/ferry/store"
)

const (
	// controlTickInterval is the time between two ticks of the control loop.
	controlTickInterval = 100 * time.Millisecond
	// loopQueueSize is the maximum number of events that wait for a loop.
	loopQueueSize = 4096
	// readersPerPlace is the number of VMs of a place that watch the platform.
	readersPerPlace = 2
	// manifestPollInterval and listPollInterval are the times between two reads of a VM
	// that is not a reader. Readers that hear nothing still answer it, so its own reads
	// of the manifest keep the bound of seven seconds until a change is in force.
	manifestPollInterval = 5 * time.Second
	listPollInterval     = 20 * time.Second
	// pollTimeout bounds one such read: the rest of the seven seconds.
	pollTimeout = 2 * time.Second
	// initialBackoff is the pause after the first failed read. It doubles with
	// each further failure, so that the fleet does not flood a platform that is
	// about to recover.
	initialBackoff = 500 * time.Millisecond
	// maxReaderBackoff is the longest pause of a VM that watches the platform. The
	// longest pause of the others is the interval of their reads.
	maxReaderBackoff = 2 * time.Second
)

// controlEvent is an input of the control loop.
type controlEvent struct {
	member  member.Event
	gossip  gossip.Event
	inbound *peer.Inbound
}

// controlLoop owns the membership and the configuration of this VM.
type controlLoop struct {
	self      limit.Process
	clock     ferry.Clock
	log       *slog.Logger
	mesh      *peer.Mesh
	store     ferry.Store
	allowance *allowanceLoop
	detection *detectionLoop
	events    chan controlEvent

	members   *member.Controller
	configs   *gossip.Controller
	isLeaving bool
	// pending becomes the snapshot once the VM is ready.
	pending *conf.Snapshot

	// The following fields are read by other goroutines.
	view     atomic.Pointer[member.View]
	snapshot atomic.Pointer[conf.Snapshot]
	stamp    atomic.Pointer[gossip.Stamp]
	rejected atomic.Pointer[gossip.RejectAction]
	isReader atomic.Bool
}

func newControlLoop(self ferry.VM, incarnation uint64, h *Host) *controlLoop {
	loop := &controlLoop{
		self:  limit.Process{VM: self.ID, Incarnation: incarnation},
		clock: h.clock, log: h.log, mesh: h.mesh, store: h.store,
		allowance: h.allowance, detection: h.detection,
		events:  make(chan controlEvent, loopQueueSize),
		members: member.NewController(self, incarnation),
		configs: gossip.NewController(),
	}
	loop.view.Store(&member.View{})
	loop.stamp.Store(&gossip.Stamp{})
	return loop
}

// Snapshot implements proxy.Snapshots. It returns nil until the VM is ready.
func (l *controlLoop) Snapshot() ferry.Snapshot {
	if snapshot := l.snapshot.Load(); snapshot != nil {
		return snapshot
	}
	return nil
}

// post queues an event for the loop. It waits while the queue is full.
func (l *controlLoop) post(ctx context.Context, event controlEvent) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run owns the controllers until ctx ends.
func (l *controlLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(controlTickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.events:
			l.handle(ctx, event)
		case <-ticker.C:
			l.stepMember(ctx, member.TickEvent{})
			l.stepGossip(ctx, gossip.TickEvent{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *controlLoop) handle(ctx context.Context, event controlEvent) {
	if event.member != nil {
		if _, isLeave := event.member.(member.LeaveEvent); isLeave {
			l.isLeaving = true
		}
		l.stepMember(ctx, event.member)
	}
	if event.gossip != nil {
		l.stepGossip(ctx, event.gossip)
	}
	if event.inbound != nil {
		l.receive(ctx, *event.inbound)
	}
}

// receive handles a message of another VM.
func (l *controlLoop) receive(ctx context.Context, inbound peer.Inbound) {
	switch message := inbound.Message.(type) {
	case peer.Hello:
		l.stepMember(ctx, member.HelloEvent{VM: message.VM, Incarnation: message.Incarnation})
	case peer.Heartbeat:
		l.stepMember(ctx, member.HeartbeatEvent{
			From: inbound.From.VM, Incarnation: inbound.From.Incarnation,
			Sequence: message.Sequence, Echo: message.Echo, EchoIncarnation: message.EchoIncarnation,
			Ready: message.Ready, Leaving: message.Leaving,
		})
		l.stepGossip(ctx, gossip.PeerEvent{From: inbound.From.VM, Stamp: message.Stamp, Ready: message.Ready})
	case peer.Fetch:
		body := l.configs.Value(message.Name)
		l.mesh.Send(inbound.From.VM, peer.Value{Name: message.Name, Body: body, Found: body != nil})
	case peer.Value:
		source := gossip.Source(inbound.From.VM)
		switch {
		case !message.Found:
			l.stepGossip(ctx, gossip.FetchFailedEvent{From: source, Name: message.Name})
		case message.Name == conf.ManifestName:
			l.stepGossip(ctx, gossip.ManifestEvent{From: source, Body: message.Body})
		default:
			l.stepGossip(ctx, gossip.PartEvent{Name: message.Name, Body: message.Body})
		}
	}
}

func (l *controlLoop) stepMember(ctx context.Context, event member.Event) {
	now := l.clock.Now()
	for _, action := range l.members.Step(now, event) {
		switch action := action.(type) {
		case member.HeartbeatAction:
			l.sendHeartbeat(ctx, now, action)
		case member.ViewAction:
			l.applyView(ctx, action.View)
		}
	}
}

// sendHeartbeat sends a heartbeat with the state that all VMs report to each other.
func (l *controlLoop) sendHeartbeat(ctx context.Context, now ferry.Moment, action member.HeartbeatAction) {
	l.detection.post(ctx, detectionEvent{sent: &sentHeartbeat{to: action.To, sequence: action.Sequence, at: now}})
	request := l.allowance.currentRequest()
	l.mesh.Send(action.To, peer.Heartbeat{
		Sequence: action.Sequence, Echo: action.Echo, EchoIncarnation: action.EchoIncarnation,
		Stamp: l.configs.Stamp(), Ready: l.configs.IsReady(), Leaving: l.isLeaving,
		LeaseSequence: request.Sequence, LeaseMask: request.Mask,
	})
}

// applyView passes a changed view to everything that depends on it.
func (l *controlLoop) applyView(ctx context.Context, view member.View) {
	old := l.view.Swap(&view)
	l.mesh.SetPeers(ctx, view.Others(l.self.VM))
	l.isReader.Store(isReader(view, l.self.VM))
	l.allowance.post(ctx, allowanceEvent{view: &view})
	l.detection.post(ctx, detectionEvent{view: &view})
	l.stepGossip(ctx, gossip.ListEvent{ListRead: view.ListRead, Listed: view.Listed, Live: reachableVMs(view, l.self.VM)})
	if summary := summarize(view); summary != summarize(*old) {
		l.log.Info("view", slog.Int("listed", summary.listed), slog.Int("up", summary.up), slog.Int("serving", summary.serving))
	}
}

// viewSummary contains the numbers of VMs that are logged for a view.
type viewSummary struct{ listed, up, serving int }

func summarize(view member.View) viewSummary {
	return viewSummary{listed: view.Listed, up: len(view.Holders()), serving: len(view.Serving())}
}

func reachableVMs(view member.View, self ferry.VMID) []ferry.VMID {
	var ids []ferry.VMID
	for _, m := range view.Members {
		if m.Up && m.VM.ID != self {
			ids = append(ids, m.VM.ID)
		}
	}
	return ids
}

// isReader reports whether this VM watches the platform for its place.
func isReader(view member.View, self ferry.VMID) bool {
	var place ferry.PlaceID
	for _, m := range view.Members {
		if m.VM.ID == self {
			place = m.VM.Place
		}
	}
	weight, higher := xxhash.Sum64String(string(self)), 0
	for _, m := range view.Members {
		if m.Up && !m.Leaving && m.VM.Place == place && xxhash.Sum64String(string(m.VM.ID)) > weight {
			higher++
		}
	}
	return higher < readersPerPlace
}

func (l *controlLoop) stepGossip(ctx context.Context, event gossip.Event) {
	for _, action := range l.configs.Step(l.clock.Now(), event) {
		switch action := action.(type) {
		case gossip.FetchAction:
			l.fetch(ctx, action)
		case gossip.ApplyAction:
			l.apply(ctx, action)
		case gossip.RejectAction:
			l.rejected.Store(&action)
			l.log.Error("configuration rejected", slog.String("stamp", action.Stamp.String()),
				slog.String("from", string(action.From)), slog.String("error", action.Err.Error()))
		case gossip.ReadyAction:
			l.members.SetReady(true)
			l.snapshot.Store(l.pending)
			l.log.Info("ready", slog.String("stamp", l.configs.Stamp().String()))
			l.stepMember(ctx, member.TickEvent{})
		}
	}
}

// fetch reads a value from the platform or requests it from another VM.
func (l *controlLoop) fetch(ctx context.Context, action gossip.FetchAction) {
	if action.From != "" {
		l.mesh.Send(ferry.VMID(action.From), peer.Fetch{Name: action.Name})
		return
	}
	go func() {
		var value ferry.Value
		var err error
		if value, err = l.store.Watch(ctx, action.Name, 0); err != nil {
			l.log.Warn("part not read", slog.String("name", action.Name), slog.Any("error", err))
			l.post(ctx, controlEvent{gossip: gossip.FetchFailedEvent(action)})
			return
		}
		l.post(ctx, controlEvent{gossip: gossip.PartEvent{Name: action.Name, Body: value.Body}})
	}()
}

// apply applies an inventory. Client requests use it once the VM is ready.
func (l *controlLoop) apply(ctx context.Context, action gossip.ApplyAction) {
	l.pending = conf.NewSnapshot(action.Inventory)
	stamp := action.Stamp
	l.stamp.Store(&stamp)
	l.allowance.post(ctx, allowanceEvent{inventory: action.Inventory})
	l.detection.post(ctx, detectionEvent{inventory: action.Inventory})
	if l.configs.IsReady() {
		l.snapshot.Store(l.pending)
	}
	l.log.Info("configuration in force", slog.String("stamp", stamp.String()),
		slog.Int("accounts", len(action.Inventory.Accounts)), slog.Int("targets", len(action.Inventory.Targets)))
}

// watch passes each new version of a platform value to handle. A reader watches
// the value; other VMs poll it at an interval.
func (l *controlLoop) watch(ctx context.Context, name string, interval time.Duration, handle func(ferry.Value)) error {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		// The role is read once per round, so that a change of it ends the pause.
		isReader := l.isReader.Load()
		var value ferry.Value
		var err error
		if isReader {
			value, err = l.store.Watch(ctx, name, version)
		} else {
			value, err = l.poll(ctx, name)
		}
		if err != nil {
			failures++
			l.logFailure(ctx, name, failures, err)
			l.pause(ctx, backoffAfter(failures, isReader, interval), isReader)
			continue
		}
		if failures > 0 {
			l.log.Info("platform read again", slog.String("name", name))
			failures = 0
		}
		if value.Version != version {
			version = value.Version
			handle(value)
		}
		if !isReader {
			l.pause(ctx, interval, isReader)
		}
	}
	return nil
}

// poll reads a value once.
func (l *controlLoop) poll(ctx context.Context, name string) (ferry.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return l.store.Watch(ctx, name, 0)
}

// logFailure logs the first of several failed reads in a row.
func (l *controlLoop) logFailure(ctx context.Context, name string, failures int, err error) {
	if failures > 1 || ctx.Err() != nil || errors.Is(err, store.ErrNoValue) {
		return
	}
	l.log.Warn("platform not read", slog.String("name", name), slog.Any("error", err))
}

// backoffAfter returns the pause after a number of failed reads in a row.
func backoffAfter(failures int, isReader bool, interval time.Duration) time.Duration {
	longest := interval
	if isReader {
		longest = maxReaderBackoff
	}
	backoff := initialBackoff
	for ; failures > 1 && backoff < longest; failures-- {
		backoff *= 2
	}
	return min(backoff, longest)
}

// pause waits for the given time. It returns early when this VM becomes a reader
// during a pause longer than initialBackoff.
func (l *controlLoop) pause(ctx context.Context, duration time.Duration, wasReader bool) {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if duration > initialBackoff && !wasReader && l.isReader.Load() {
			return
		}
		select {
		case <-time.After(min(controlTickInterval, time.Until(deadline))):
		case <-ctx.Done():
		}
	}
}

// manifestHandler returns a function that posts the platform's manifest to the loop.
func (l *controlLoop) manifestHandler(ctx context.Context) func(ferry.Value) {
	return func(value ferry.Value) {
		l.post(ctx, controlEvent{gossip: gossip.ManifestEvent{Body: value.Body}})
	}
}

// listHandler returns a function that posts the platform's list of VMs to the
// loop. A list that is invalid or older than the last one is dropped.
func (l *controlLoop) listHandler(ctx context.Context) func(ferry.Value) {
	var last uint64
	return func(value ferry.Value) {
		var list ferry.VMList
		var err error
		if list, err = conf.ParseVMList(value.Body); err != nil {
			l.log.Error("list of VMs rejected", slog.Any("error", err))
			return
		}
		if list.Version < last {
			l.log.Warn("old list of VMs ignored", slog.Uint64("version", list.Version))
			return
		}
		last = list.Version
		list.VMs = slices.Clone(list.VMs)
		l.post(ctx, controlEvent{member: member.ListEvent{List: list}})
	}
}
