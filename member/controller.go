package member

import (
	"cmp"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// Times of the heartbeats between two VMs.
const (
	// HeartbeatInterval is the time between two heartbeats to one VM.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the time without messages after which a VM counts as down.
	HeartbeatTimeout = 2500 * time.Millisecond
	// minReplyInterval is the shortest time between a heartbeat to a VM that is
	// down and a reply to one of its own heartbeats.
	minReplyInterval = 100 * time.Millisecond
	// removeAfter is the time without messages after which an unlisted VM is removed.
	removeAfter = 30 * time.Second
)

// Event is an input of the Controller.
type Event interface{ isEvent() }

// ListEvent reports the platform's list of VMs.
type ListEvent struct{ List ferry.VMList }

// HelloEvent reports the hello message of a VM's process.
type HelloEvent struct {
	VM          ferry.VM
	Incarnation uint64
}

// HeartbeatEvent reports a received heartbeat.
type HeartbeatEvent struct {
	From        ferry.VMID
	Incarnation uint64
	Sequence    uint64
	// Echo is the last sequence that the sender received from the process
	// EchoIncarnation of this VM.
	Echo            uint64
	EchoIncarnation uint64
	Ready           bool
	Leaving         bool
}

// TickEvent reports that time has passed.
type TickEvent struct{}

// LeaveEvent starts the planned stop of this VM.
type LeaveEvent struct{}

func (ListEvent) isEvent()      {}
func (HelloEvent) isEvent()     {}
func (HeartbeatEvent) isEvent() {}
func (TickEvent) isEvent()      {}
func (LeaveEvent) isEvent()     {}

// Action is an output of the Controller.
type Action interface{ isAction() }

// HeartbeatAction sends a heartbeat.
type HeartbeatAction struct {
	To              ferry.VMID
	Sequence        uint64
	Echo            uint64
	EchoIncarnation uint64
}

// ViewAction publishes a changed view.
type ViewAction struct{ View View }

func (HeartbeatAction) isAction() {}
func (ViewAction) isAction()      {}

// Member is one VM in a view.
type Member struct {
	VM          ferry.VM
	Incarnation uint64
	// Listed reports that the platform lists the VM.
	Listed bool
	// Up reports that heartbeats arrive in both directions. It is true for this VM.
	Up bool
	// Ready reports that the VM serves requests.
	Ready bool
	// Leaving reports that the VM is in a planned stop.
	Leaving bool
}

// View is the membership as observed by this VM. The zero View is empty.
type View struct {
	// Members holds all known VMs, this VM included, in order of ID.
	Members []Member
	// ListRead reports that the platform's list has been read.
	ListRead bool
	// Listed is the number of VMs on the platform's list, this VM included.
	Listed int
	// Rank is the number of other listed VMs with a lower ID than this VM.
	Rank int
}

// Holders returns the VMs that may hold shards.
func (v View) Holders() []ferry.VMID {
	var ids []ferry.VMID
	for _, m := range v.Members {
		if m.Up && !m.Leaving {
			ids = append(ids, m.VM.ID)
		}
	}
	return ids
}

// Serving returns the VMs whose addresses may be given to callers.
func (v View) Serving() []ferry.VM {
	var vms []ferry.VM
	for _, m := range v.Members {
		if m.Up && m.Ready && !m.Leaving {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// Others returns every known VM except the given one.
func (v View) Others(self ferry.VMID) []ferry.VM {
	var vms []ferry.VM
	for _, m := range v.Members {
		if m.VM.ID != self {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// record is the state of one other VM.
type record struct {
	member       Member
	lastReceived ferry.Moment
	// lastConfirmed is the time of the last heartbeat with a new echo.
	lastConfirmed ferry.Moment
	hasReceived   bool
	isConfirmed   bool
	// receivedSequence is the highest sequence from the VM, sentSequence the last to it.
	receivedSequence uint64
	sentSequence     uint64
	echoedSequence   uint64
	sentAt           ferry.Moment
}

// Controller implements ferry.Controller for the membership.
type Controller struct {
	self      Member
	records   map[ferry.VMID]*record
	sortedIDs []ferry.VMID
	view      View
	// hasUnsentChange reports that the state of this VM has changed, so that the
	// next TickEvent sends heartbeats to all VMs before they are due.
	hasUnsentChange bool
	// hasList reports that the platform's list has been read.
	hasList bool
}

// NewController returns the controller of the given process of a VM.
func NewController(self ferry.VM, incarnation uint64) *Controller {
	return &Controller{
		self:    Member{VM: self, Incarnation: incarnation, Up: true},
		records: map[ferry.VMID]*record{},
	}
}

// SetReady sets whether this VM serves requests. The next TickEvent sends a change.
func (c *Controller) SetReady(ready bool) {
	c.hasUnsentChange = c.hasUnsentChange || c.self.Ready != ready
	c.self.Ready = ready
}

// View returns the last published view.
func (c *Controller) View() View { return c.view }

// Step implements ferry.Controller.
func (c *Controller) Step(now ferry.Moment, event Event) (actions []Action) {
	switch event := event.(type) {
	case ListEvent:
		c.onList(event.List)
	case HelloEvent:
		c.onHello(now, event)
	case HeartbeatEvent:
		actions = c.onHeartbeat(now, event)
	case LeaveEvent:
		c.self.Leaving, c.hasUnsentChange = true, true
		actions = c.dueHeartbeats(now)
	case TickEvent:
		actions = c.dueHeartbeats(now)
	}
	return append(actions, c.publish(now)...)
}

func (c *Controller) onList(list ferry.VMList) {
	listed := map[ferry.VMID]bool{}
	c.hasList = true
	c.self.Listed = false
	for _, vm := range list.VMs {
		if vm.ID == c.self.VM.ID {
			c.self.Listed = true
			continue
		}
		listed[vm.ID] = true
		r := c.recordFor(vm.ID)
		r.member.VM, r.member.Listed = vm, true
		r.member.Leaving = r.member.Leaving || vm.Leaving
	}
	for id, r := range c.records {
		if !listed[id] {
			r.member.Listed = false
		}
	}
}

func (c *Controller) recordFor(id ferry.VMID) *record {
	r := c.records[id]
	if r == nil {
		r = &record{}
		c.records[id] = r
		c.sortedIDs = append(c.sortedIDs, id)
		slices.Sort(c.sortedIDs)
	}
	return r
}

// onHello adds a VM that the list may not contain yet.
func (c *Controller) onHello(now ferry.Moment, event HelloEvent) {
	if event.VM.ID == c.self.VM.ID {
		return
	}
	r := c.recordFor(event.VM.ID)
	if r.member.Incarnation != event.Incarnation {
		listed := r.member.Listed
		*r = record{sentAt: r.sentAt, sentSequence: r.sentSequence}
		r.member = Member{VM: event.VM, Incarnation: event.Incarnation, Listed: listed}
	}
	r.lastReceived, r.hasReceived = now, true
}

// onHeartbeat records a heartbeat. A heartbeat of a VM that is down gets a reply
// at once, so that both sides confirm each other within a round trip.
func (c *Controller) onHeartbeat(now ferry.Moment, event HeartbeatEvent) []Action {
	r := c.records[event.From]
	if r == nil || r.member.Incarnation != event.Incarnation || event.Sequence <= r.receivedSequence {
		return nil
	}
	wasUp := isUp(now, r)
	r.receivedSequence = event.Sequence
	r.lastReceived, r.hasReceived = now, true
	r.member.Ready, r.member.Leaving = event.Ready, event.Leaving
	if event.EchoIncarnation == c.self.Incarnation && event.Echo > r.echoedSequence {
		r.echoedSequence = event.Echo
		r.lastConfirmed, r.isConfirmed = now, true
	}
	if wasUp || (r.sentSequence > 0 && now.Since(r.sentAt) < minReplyInterval) {
		return nil
	}
	return []Action{r.nextHeartbeat(now, event.From)}
}

// dueHeartbeats returns the due heartbeats and removes unlisted VMs after removeAfter.
func (c *Controller) dueHeartbeats(now ferry.Moment) (actions []Action) {
	for _, id := range slices.Clone(c.sortedIDs) {
		r := c.records[id]
		if !r.member.Listed && (!r.hasReceived || now.Since(r.lastReceived) >= removeAfter) {
			delete(c.records, id)
			c.sortedIDs = slices.DeleteFunc(c.sortedIDs, func(other ferry.VMID) bool { return other == id })
			continue
		}
		if !c.hasUnsentChange && r.sentSequence > 0 && now.Since(r.sentAt) < HeartbeatInterval {
			continue
		}
		actions = append(actions, r.nextHeartbeat(now, id))
	}
	c.hasUnsentChange = false
	return actions
}

// nextHeartbeat returns the next heartbeat to the VM of the record.
func (r *record) nextHeartbeat(now ferry.Moment, to ferry.VMID) HeartbeatAction {
	r.sentSequence++
	r.sentAt = now
	return HeartbeatAction{To: to, Sequence: r.sentSequence, Echo: r.receivedSequence, EchoIncarnation: r.member.Incarnation}
}

func isUp(now ferry.Moment, r *record) bool {
	return r.hasReceived && now.Since(r.lastReceived) < HeartbeatTimeout && r.isConfirmed && now.Since(r.lastConfirmed) < HeartbeatTimeout
}

// publish returns an action with the current view when the view has changed.
func (c *Controller) publish(now ferry.Moment) []Action {
	view := View{ListRead: c.hasList, Listed: 1, Members: make([]Member, 0, len(c.sortedIDs)+1)}
	view.Members = append(view.Members, c.self)
	for _, id := range c.sortedIDs {
		r := c.records[id]
		m := r.member
		m.Up = isUp(now, r)
		view.Members = append(view.Members, m)
		if m.Listed {
			view.Listed++
			if id < c.self.VM.ID {
				view.Rank++
			}
		}
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	if view.ListRead == c.view.ListRead && view.Listed == c.view.Listed && view.Rank == c.view.Rank && slices.Equal(view.Members, c.view.Members) {
		return nil
	}
	c.view = view
	return []Action{ViewAction{View: view}}
}
