package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// leadCount is the number of leads of a VM. The second keeps everything but
	// the allowance going when the first is lost.
	leadCount = 2
	// firstBeat and secondBeat are the gaps between beats to the leads, and
	// upperBeat is that between the lead of a place and the first lead of the
	// fleet: proofs of freshness pass through both.
	firstBeat  = 500 * time.Millisecond
	upperBeat  = 300 * time.Millisecond
	secondBeat = time.Second
	// urgentGap is the least gap between beats to one lead with evidence, and
	// between pushes of evidence, in fleets of up to urgentFleet VMs. It grows
	// with the fleet, so that a lead's work grows no faster than the fleet.
	urgentGap   = 100 * time.Millisecond
	urgentFleet = 36
	// replyGap is the time after a pulse within which a beat with nothing to
	// answer gets none.
	replyGap = 200 * time.Millisecond
	// seedBeat is the gap between beats to seeds outside the view.
	seedBeat = 2 * time.Second
	// joinBeat is the gap between beats while no other VM is known.
	joinBeat = 200 * time.Millisecond
	// unansweredAfter is the wait for a pulse after which a loan is not renewed:
	// more than a beat of the lead of a place.
	unansweredAfter = 450 * time.Millisecond
	// silentAfter is the wait for a pulse after which a lead is given up.
	silentAfter = 1100 * time.Millisecond
	// silentFor is how long a silent VM is not chosen as lead.
	silentFor = 3 * time.Second
	// followerTimeout takes a VM out of a lead's list: two beats of the second
	// lead and a margin.
	followerTimeout = 2400 * time.Millisecond
	// listTimeout is how long a lead's list counts without a pulse.
	listTimeout = 2400 * time.Millisecond
	// youngFor is how long a new process is not preferred as lead.
	youngFor = 4 * time.Second
	// peakKept is how long the largest fleet is remembered.
	peakKept = time.Minute
	// knownKept is how long a VM that left the view is still asked.
	knownKept = time.Minute
	// aloneAfter is how long a new process waits for another VM before it
	// counts itself as cut off.
	aloneAfter = 3 * time.Second
	// unknownFleet is the size of a fleet of which nothing is known: that of the
	// users' smaller fleet. settleAfter is the time after which nobody can
	// remember a larger fleet.
	unknownFleet = 32
	settleAfter  = peakKept
	// LendTerm is the time for which a beat lends the sender's share to the lead
	// of its place. It holds a relendTerm, two beats and a lost one.
	LendTerm = 2500 * time.Millisecond
	// relendTerm is the time for which the lead of a place lends to the first
	// lead of the fleet: three beats and a round trip.
	relendTerm = 1200 * time.Millisecond
	// maxDelta is the largest delta in a datagram, in bytes.
	maxDelta = 1100
	// evidenceSent is the least pooled log odds that pulses carry.
	evidenceSent = -2.3
)

// Options are the settings of a Controller. The zero value stands for a VM
// that never reads the store.
type Options struct {
	// CanRead lets the VM read the store.
	CanRead bool
	// Regions tells which followers use the same targets as a VM: those of its
	// region hear of its evidence at once.
	Regions ferry.Regions
	// IsFirst reports that the whole fleet starts for the first time, so that
	// there are no VMs that this one does not see.
	IsFirst bool
	// Jitter is a random number from 0 to 1 that spreads the VMs' reads.
	Jitter float64
}

// Controller exchanges beats and pulses. It is not safe for concurrent use.
type Controller struct {
	self    VM
	started time.Duration
	options Options
	seeds   []netip.AddrPort
	catalog ferry.RecordDecoder

	records  Records
	finality time.Duration
	packs    packCache
	proof    ferry.Moment
	hasProof bool
	read     reading

	links map[netip.AddrPort]*link
	known map[netip.AddrPort]time.Duration
	leads []netip.AddrPort
	// leadsPlace reports that this VM leads its place, since leadsPlaceAt.
	leadsPlace   bool
	leadsPlaceAt time.Duration
	// leadsFleetAt is when this VM became the first lead of the fleet.
	leadsFleetAt time.Duration
	// viewRoster and members list the view and the VMs that this one leads.
	viewRoster roster
	members    roster
	// viewDue reports that the followers should hear of the view at once.
	viewDue bool
	// isDirty reports that the view has to be made anew.
	isDirty  bool
	view     []VM
	sequence uint64
	nextSeed int
	seedAt   time.Duration
	peaks    peaks
	copying  time.Duration

	lent loan

	// hasHeard reports that another VM was heard since the start.
	hasHeard bool
	// isSettled reports that this VM knows the size of the fleet, or was told it
	// by a VM that does.
	isSettled bool

	pool Pool
	// own weighs the evidence of this VM.
	own     reporter
	pending map[ferry.TargetID]float64
	urgent  bool
	// pushDue holds the regions whose VMs should hear of evidence at once, and
	// pushAt the steady time of the next push.
	pushDue map[ferry.RegionID]bool
	pushAt  time.Duration
	actions []Action
}

// NewController returns the controller of the VM self.
func NewController(now ferry.Moment, self VM, seeds []netip.AddrPort, catalog ferry.RecordDecoder, options Options) *Controller {
	c := &Controller{
		self: self, started: now.Monotonic, options: options, catalog: catalog,
		links: map[netip.AddrPort]*link{}, known: map[netip.AddrPort]time.Duration{},
		pending: map[ferry.TargetID]float64{}, sequence: self.Incarnation,
		pushDue: map[ferry.RegionID]bool{}, isSettled: options.IsFirst,
	}
	c.setSeeds(seeds)
	c.view, c.isDirty, c.leadsFleetAt = []VM{c.self}, true, now.Monotonic
	return c
}

// setSeeds replaces the seeds. This VM is no seed of its own.
func (c *Controller) setSeeds(seeds []netip.AddrPort) {
	c.seeds = nil
	for _, seed := range seeds {
		if seed != c.self.Peers {
			c.seeds = append(c.seeds, seed)
		}
	}
}

// Step applies an event.
func (c *Controller) Step(now ferry.Moment, event Event) []Action {
	c.actions = nil
	switch event := event.(type) {
	case Tick:
		c.isDirty = true
	case Received:
		c.receive(now, event.From, event.Exchange)
	case ReadEnded:
		c.endRead(now, event)
	case Copied:
		c.copying = 0
		c.merge(now, event.Update)
		c.askForProof(now)
	case Observed:
		c.observe(now, event.Evidence)
	case Seeded:
		c.setSeeds(event.Seeds)
	case Stated:
		c.state(now, event)
	}
	c.advance(now)
	return c.actions
}

// advance does what is due at now.
func (c *Controller) advance(now ferry.Moment) {
	if c.isDirty {
		c.isDirty = false
		c.updateView(now)
		c.chooseLeads(now)
		c.giveBack(now)
	}
	c.season(now)
	c.beat(now)
	c.recall(now)
	c.startRead(now)
	c.nameReader(now)
	c.pool.decay(now.Monotonic)
	c.pushChanges(now)
	if c.finality != 0 && now.Monotonic >= c.finality {
		c.emit(RecordsChanged{})
	}
}

// state changes what this VM tells about itself. VMs that it leads hear at once
// that it leaves.
func (c *Controller) state(now ferry.Moment, stated Stated) {
	isLeaving := stated.Leaving && !c.self.Leaving
	c.self.Ready, c.self.Leaving = stated.Ready, stated.Leaving
	c.self.Edition++
	c.urgent, c.isDirty = true, true
	if !isLeaving {
		return
	}
	for address, l := range c.links {
		if l.isFollower(now.Monotonic) {
			c.send(now, address, l, false)
		}
	}
}

func (c *Controller) emit(action Action) {
	c.actions = append(c.actions, action)
}

// Live returns the records in force.
func (c *Controller) Live(now ferry.Moment) []ferry.Record {
	var records []ferry.Record
	records, c.finality = c.records.Live(now.Monotonic)
	return records
}

// Since returns the records after a revision, for a copy over TCP, packed with
// the configuration of the receiver if it is known here.
func (c *Controller) Since(now ferry.Moment, after, configRevision uint64) (packed []byte, dictionary uint64, err error) {
	return c.packs.pack(now.Monotonic, &c.records, after, configRevision)
}

// Unpack reverses Since.
func (c *Controller) Unpack(packed []byte, dictionary uint64) (Update, error) {
	return UnpackUpdate(packed, c.records.dictionary(dictionary))
}

// Revisions returns the revision of the records and of the configuration.
func (c *Controller) Revisions() (records, config uint64) {
	return c.records.Revision(), c.records.ConfigRevision()
}

// Proof returns the moment at which the records were known to be current.
func (c *Controller) Proof() (ferry.Moment, bool) { return c.proof, c.hasProof }

// View returns the VMs believed alive, this one included.
func (c *Controller) View() []VM { return c.view }

// Pooled returns the pooled log odds of targets.
func (c *Controller) Pooled() map[ferry.TargetID]float64 { return c.pool.all() }

// Lead returns the first lead of this VM, and whether it is this VM itself: then
// it is the first lead of the fleet.
func (c *Controller) Lead() (lead netip.AddrPort, isSelf bool) {
	if len(c.leads) == 0 {
		return c.self.Peers, true
	}
	return c.leads[0], c.leads[0] == c.self.Peers
}

// LeadsPlace reports whether this VM leads the VMs of its place.
func (c *Controller) LeadsPlace() bool { return c.leadsPlace }

// FleetSize returns the largest fleet that is remembered.
func (c *Controller) FleetSize() int {
	size := c.peaks.largest()
	for _, lead := range c.leads {
		if l := c.links[lead]; l != nil {
			size = max(size, l.fleetSize)
		}
	}
	return max(1, size)
}

// merge takes an update in and tells everyone.
func (c *Controller) merge(now ferry.Moment, update Update) bool {
	changed, ok := c.records.Merge(now.Monotonic, update, c.catalog)
	if !ok {
		return false
	}
	if len(changed) > 0 {
		c.emit(RecordsChanged{})
		c.push(now)
	}
	return true
}

// askForProof lets the leads tell at once how fresh a copy is.
func (c *Controller) askForProof(now ferry.Moment) {
	if c.hasProof {
		return
	}
	for _, lead := range c.leads {
		if l := c.links[lead]; l != nil {
			l.nextBeat = now.Monotonic
		}
	}
}

// push sends a pulse to every follower that lacks records, and lets the leads
// know.
func (c *Controller) push(now ferry.Moment) {
	for address, l := range c.links {
		if l.isFollower(now.Monotonic) && l.revision < c.records.Revision() {
			c.send(now, address, l, false)
		}
	}
	for _, lead := range c.leads {
		if l := c.links[lead]; l != nil && l.revision < c.records.Revision() {
			l.nextBeat = now.Monotonic
		}
	}
}
