package lead

import (
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// leaderCount is the number of leads of a VM. The second keeps everything but
	// the allowance going when the first is lost.
	leaderCount = 2
	// primaryInterval and secondaryInterval are the gaps between beats to the leads, and
	// fleetLeaderInterval is that between the lead of a place and the first lead of the
	// fleet: proofs of freshness pass through both.
	primaryInterval     = 500 * time.Millisecond
	fleetLeaderInterval = 300 * time.Millisecond
	secondaryInterval   = time.Second
	// urgentInterval is the least gap between beats to one lead with evidence, and
	// between pushes of evidence, in fleets of up to baseFleetSize VMs. It grows
	// with the fleet, so that a lead's work grows no faster than the fleet.
	urgentInterval = 100 * time.Millisecond
	baseFleetSize  = 36
	// replyInterval is the time after a pulse within which a beat with nothing to
	// answer gets none.
	replyInterval = 200 * time.Millisecond
	// seedInterval is the gap between beats to seeds outside the view.
	seedInterval = 2 * time.Second
	// joinInterval is the gap between beats while no other VM is known.
	joinInterval = 200 * time.Millisecond
	// renewalTimeout is the wait for a pulse after which a loan is not renewed:
	// more than a beat of the lead of a place.
	renewalTimeout = 450 * time.Millisecond
	// leaderTimeout is the wait for a pulse after which a lead is given up.
	leaderTimeout = 1100 * time.Millisecond
	// leaderBackoff is how long a silent VM is not chosen as lead.
	leaderBackoff = 3 * time.Second
	// followerTimeout takes a VM out of a lead's list: two beats of the second
	// lead and a margin.
	followerTimeout = 2400 * time.Millisecond
	// listTimeout is how long a lead's list counts without a pulse.
	listTimeout = 2400 * time.Millisecond
	// establishedAfter is how long a new process is not preferred as lead.
	establishedAfter = 4 * time.Second
	// fleetSizeWindow is how long the largest fleet is remembered.
	fleetSizeWindow = time.Minute
	// knownRetention is how long a VM that left the view is still asked.
	knownRetention = time.Minute
	// isolationTimeout is how long a new process waits for another VM before it
	// counts itself as cut off.
	isolationTimeout = 3 * time.Second
	// assumedFleetSize is the size of a fleet of which nothing is known: that of the
	// users' smaller fleet. fleetSizeKnownAfter is the time after which nobody can
	// remember a larger fleet.
	assumedFleetSize    = 32
	fleetSizeKnownAfter = fleetSizeWindow
	// LendTerm is the time for which a beat lends the sender's share to the lead
	// of its place. It holds a subleaseTerm, two beats and a lost one.
	LendTerm = 2500 * time.Millisecond
	// subleaseTerm is the time for which the lead of a place lends to the first
	// lead of the fleet: three beats and a round trip.
	subleaseTerm = 1200 * time.Millisecond
	// maxDeltaBytes is the largest delta in a datagram, in bytes.
	maxDeltaBytes = 1100
	// minSentLogOdds is the least pooled log odds that pulses carry.
	minSentLogOdds = -2.3
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
	catalog ferry.Catalog

	records     Records
	nextFinalAt time.Duration
	packs       packCache
	proof       ferry.Moment
	hasProof    bool
	read        readState

	links   map[netip.AddrPort]*link
	known   map[netip.AddrPort]time.Duration
	leaders []netip.AddrPort
	// leadsPlace reports that this VM leads its place, since leadsPlaceAt.
	leadsPlace   bool
	leadsPlaceAt time.Duration
	// leadsFleetAt is when this VM became the first lead of the fleet.
	leadsFleetAt time.Duration
	// viewList and members list the view and the VMs that this one leads.
	viewList versionedList
	members  versionedList
	// isViewPushDue reports that the followers should hear of the view at once.
	isViewPushDue bool
	// isViewDirty reports that the view has to be made anew.
	isViewDirty bool
	view        []VM
	sequence    uint64
	seedIndex   int
	nextSeedAt  time.Duration
	fleetSizes  sizeWindow
	copyRetryAt time.Duration

	lease lease

	// hasContact reports that another VM was heard since the start.
	hasContact bool
	// isFleetSizeKnown reports that this VM knows the size of the fleet, or was told it
	// by a VM that does.
	isFleetSizeKnown bool

	pool Pool
	// own weighs the evidence of this VM.
	reporter        reporter
	pendingEvidence map[ferry.TargetID]float64
	isUrgent        bool
	// evidencePushRegions holds the regions whose VMs should hear of evidence at once, and
	// nextPushAt the steady time of the next push.
	evidencePushRegions map[ferry.RegionID]bool
	nextPushAt          time.Duration
	actions             []Action
}

// NewController returns the controller of the VM self.
func NewController(now ferry.Moment, self VM, seeds []netip.AddrPort, catalog ferry.Catalog, options Options) *Controller {
	c := &Controller{
		self: self, started: now.Steady, options: options, catalog: catalog,
		links: map[netip.AddrPort]*link{}, known: map[netip.AddrPort]time.Duration{},
		pendingEvidence: map[ferry.TargetID]float64{}, sequence: self.Incarnation,
		evidencePushRegions: map[ferry.RegionID]bool{}, isFleetSizeKnown: options.IsFirst,
	}
	c.setSeeds(seeds)
	c.view, c.isViewDirty, c.leadsFleetAt = []VM{c.self}, true, now.Steady
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
		c.isViewDirty = true
	case Received:
		c.receive(now, event.From, event.Exchange)
	case ReadEnded:
		c.finishRead(now, event)
	case Copied:
		c.copyRetryAt = 0
		c.merge(now, event.Update)
		c.requestProof(now)
	case Observed:
		c.observeEvidence(now, event.Evidence)
	case Seeded:
		c.setSeeds(event.Seeds)
	case Stated:
		c.setStatus(now, event)
	}
	c.advance(now)
	return c.actions
}

// advance does what is due at now.
func (c *Controller) advance(now ferry.Moment) {
	if c.isViewDirty {
		c.isViewDirty = false
		c.updateView(now)
		c.chooseLeaders(now)
		c.releaseLeases(now)
	}
	c.updateEstablished(now)
	c.sendHeartbeats(now)
	c.revokeLease(now)
	c.startRead(now)
	c.assignReader(now)
	c.pool.decay(now.Steady)
	c.pushChanges(now)
	if c.nextFinalAt != 0 && now.Steady >= c.nextFinalAt {
		c.emit(RecordsChanged{})
	}
}

// state changes what this VM tells about itself. VMs that it leads hear at once
// that it leaves.
func (c *Controller) setStatus(now ferry.Moment, stated Stated) {
	isLeaving := stated.Leaving && !c.self.Leaving
	c.self.Ready, c.self.Leaving = stated.Ready, stated.Leaving
	c.self.Edition++
	c.isUrgent, c.isViewDirty = true, true
	if !isLeaving {
		return
	}
	for address, l := range c.links {
		if l.isFollower(now.Steady) {
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
	records, c.nextFinalAt = c.records.Live(now.Steady)
	return records
}

// Since returns the records after a revision, for a copy over TCP, packed with
// the configuration of the receiver if it is known here.
func (c *Controller) Since(now ferry.Moment, after, configRevision uint64) (packed []byte, dictionary uint64, err error) {
	return c.packs.pack(now.Steady, &c.records, after, configRevision)
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
func (c *Controller) Pooled() map[ferry.TargetID]float64 { return c.pool.snapshot() }

// Lead returns the first lead of this VM, and whether it is this VM itself: then
// it is the first lead of the fleet.
func (c *Controller) Lead() (leader netip.AddrPort, isSelf bool) {
	if len(c.leaders) == 0 {
		return c.self.Peers, true
	}
	return c.leaders[0], c.leaders[0] == c.self.Peers
}

// LeadsPlace reports whether this VM leads the VMs of its place.
func (c *Controller) LeadsPlace() bool { return c.leadsPlace }

// FleetSize returns the largest fleet that is remembered.
func (c *Controller) FleetSize() int {
	size := c.fleetSizes.largest()
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil {
			size = max(size, l.fleetSize)
		}
	}
	return max(1, size)
}

// merge takes an update in and tells everyone.
func (c *Controller) merge(now ferry.Moment, update Update) bool {
	changed, ok := c.records.Merge(now.Steady, update, c.catalog)
	if !ok {
		return false
	}
	if len(changed) > 0 {
		c.emit(RecordsChanged{})
		c.pushRecords(now)
	}
	return true
}

// requestProof lets the leads tell at once how fresh a copy is.
func (c *Controller) requestProof(now ferry.Moment) {
	if c.hasProof {
		return
	}
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil {
			l.nextHeartbeat = now.Steady
		}
	}
}

// push sends a pulse to every follower that lacks records, and lets the leads
// know.
func (c *Controller) pushRecords(now ferry.Moment) {
	for address, l := range c.links {
		if l.isFollower(now.Steady) && l.revision < c.records.Revision() {
			c.send(now, address, l, false)
		}
	}
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil && l.revision < c.records.Revision() {
			l.nextHeartbeat = now.Steady
		}
	}
}
