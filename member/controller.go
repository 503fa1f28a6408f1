package member

import (
	"cmp"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

// Times of the heartbeats.
const (
	// BeatInterval is the time between two heartbeats to one VM.
	BeatInterval = time.Second
	// SuspectAfter is the silence after which a VM counts as down.
	SuspectAfter = 2500 * time.Millisecond
	// replyInterval is the shortest time between two heartbeats to one VM that
	// answer it while it is not up.
	replyInterval = 100 * time.Millisecond
	// forgetAfter is the silence after which an unlisted VM is forgotten.
	forgetAfter = 30 * time.Second
)

// Event is an input of the Controller.
type Event interface{ isEvent() }

// ListEvent reports the platform's list of VMs.
type ListEvent struct{ List ferry.VMList }

// HelloEvent reports a VM that has introduced itself.
type HelloEvent struct {
	VM          ferry.VM
	Incarnation uint64
}

// BeatEvent reports a received heartbeat.
type BeatEvent struct {
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

// TickEvent lets time pass.
type TickEvent struct{}

// LeaveEvent starts the planned stop of this VM.
type LeaveEvent struct{}

func (ListEvent) isEvent()  {}
func (HelloEvent) isEvent() {}
func (BeatEvent) isEvent()  {}
func (TickEvent) isEvent()  {}
func (LeaveEvent) isEvent() {}

// Action is an output of the Controller.
type Action interface{ isAction() }

// BeatAction sends a heartbeat.
type BeatAction struct {
	To              ferry.VMID
	Sequence        uint64
	Echo            uint64
	EchoIncarnation uint64
}

// ViewAction publishes a changed view.
type ViewAction struct{ View View }

func (BeatAction) isAction() {}
func (ViewAction) isAction() {}

// Member is one VM in a view.
type Member struct {
	VM          ferry.VM
	Incarnation uint64
	// Listed reports that the platform lists the VM.
	Listed bool
	// Up reports that the VM is heard and hears this VM. It is true for this VM.
	Up bool
	// Ready reports that the VM serves requests.
	Ready bool
	// Leaving reports that the VM is about to stop.
	Leaving bool
}

// View is what this VM believes about all VMs, in order of ID. The zero View
// is empty.
type View struct {
	Members []Member
	// Known reports that the platform's list has been read.
	Known bool
	// Listed is the number of VMs on the platform's list, this VM included.
	Listed int
	// Rank is the position of this VM among them.
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

// Serving returns the VMs that callers may be told about.
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
	member      Member
	heard       ferry.Moment
	hears       ferry.Moment
	isHeard     bool
	isConfirmed bool
	// received is the highest sequence from the VM, sent the last to it.
	received uint64
	sent     uint64
	echoed   uint64
	beatAt   ferry.Moment
}

// Controller implements ferry.Controller for the membership.
type Controller struct {
	self    Member
	records map[ferry.VMID]*record
	order   []ferry.VMID
	view    View
	// isNews reports that the others must not wait for the next heartbeat to
	// learn of a change of this VM.
	isNews bool
	// isListKnown reports that the platform's list has been read.
	isListKnown bool
}

// NewController returns the controller of the given process.
func NewController(self ferry.VM, incarnation uint64) *Controller {
	return &Controller{
		self:    Member{VM: self, Incarnation: incarnation, Up: true},
		records: map[ferry.VMID]*record{},
	}
}

// SetReady says whether this VM serves requests. The others are told with the
// next step.
func (c *Controller) SetReady(ready bool) {
	c.isNews = c.isNews || c.self.Ready != ready
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
	case BeatEvent:
		actions = c.onBeat(now, event)
	case LeaveEvent:
		c.self.Leaving, c.isNews = true, true
		actions = c.beats(now)
	case TickEvent:
		actions = c.beats(now)
	}
	return append(actions, c.publish(now)...)
}

func (c *Controller) onList(list ferry.VMList) {
	listed := map[ferry.VMID]bool{}
	c.isListKnown = true
	c.self.Listed = false
	for _, vm := range list.VMs {
		if vm.ID == c.self.VM.ID {
			c.self.Listed = true
			continue
		}
		listed[vm.ID] = true
		r := c.record(vm.ID)
		r.member.VM, r.member.Listed = vm, true
		r.member.Leaving = r.member.Leaving || vm.Leaving
	}
	for id, r := range c.records {
		if !listed[id] {
			r.member.Listed = false
		}
	}
}

func (c *Controller) record(id ferry.VMID) *record {
	r := c.records[id]
	if r == nil {
		r = &record{}
		c.records[id] = r
		c.order = append(c.order, id)
		slices.Sort(c.order)
	}
	return r
}

// onHello takes a VM that the list may not show yet.
func (c *Controller) onHello(now ferry.Moment, event HelloEvent) {
	if event.VM.ID == c.self.VM.ID {
		return
	}
	r := c.record(event.VM.ID)
	if r.member.Incarnation != event.Incarnation {
		listed := r.member.Listed
		*r = record{beatAt: r.beatAt, sent: r.sent}
		r.member = Member{VM: event.VM, Incarnation: event.Incarnation, Listed: listed}
	}
	r.heard, r.isHeard = now, true
}

// onBeat counts a heartbeat. One of a VM that is not up is answered at once,
// so that both sides confirm each other within a round trip.
func (c *Controller) onBeat(now ferry.Moment, event BeatEvent) []Action {
	r := c.records[event.From]
	if r == nil || r.member.Incarnation != event.Incarnation || event.Sequence <= r.received {
		return nil
	}
	wasUp := isUp(now, r)
	r.received = event.Sequence
	r.heard, r.isHeard = now, true
	r.member.Ready, r.member.Leaving = event.Ready, event.Leaving
	if event.EchoIncarnation == c.self.Incarnation && event.Echo > r.echoed {
		r.echoed = event.Echo
		r.hears, r.isConfirmed = now, true
	}
	if wasUp || (r.sent > 0 && now.Since(r.beatAt) < replyInterval) {
		return nil
	}
	return []Action{r.beat(now, event.From)}
}

// beats returns the heartbeats that are due and forgets VMs that are gone.
func (c *Controller) beats(now ferry.Moment) (actions []Action) {
	for _, id := range slices.Clone(c.order) {
		r := c.records[id]
		if !r.member.Listed && (!r.isHeard || now.Since(r.heard) >= forgetAfter) {
			delete(c.records, id)
			c.order = slices.DeleteFunc(c.order, func(other ferry.VMID) bool { return other == id })
			continue
		}
		if !c.isNews && r.sent > 0 && now.Since(r.beatAt) < BeatInterval {
			continue
		}
		actions = append(actions, r.beat(now, id))
	}
	c.isNews = false
	return actions
}

// beat returns the next heartbeat to the VM of the record.
func (r *record) beat(now ferry.Moment, to ferry.VMID) BeatAction {
	r.sent++
	r.beatAt = now
	return BeatAction{To: to, Sequence: r.sent, Echo: r.received, EchoIncarnation: r.member.Incarnation}
}

func isUp(now ferry.Moment, r *record) bool {
	return r.isHeard && now.Since(r.heard) < SuspectAfter && r.isConfirmed && now.Since(r.hears) < SuspectAfter
}

// publish returns the view when it has changed.
func (c *Controller) publish(now ferry.Moment) []Action {
	view := View{Known: c.isListKnown, Listed: 1, Members: make([]Member, 0, len(c.order)+1)}
	view.Members = append(view.Members, c.self)
	for _, id := range c.order {
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
	if view.Known == c.view.Known && view.Listed == c.view.Listed && view.Rank == c.view.Rank && slices.Equal(view.Members, c.view.Members) {
		return nil
	}
	c.view = view
	return []Action{ViewAction{View: view}}
}
