package lead

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
)

const (
	// leaderCount is the number of leaders of a VM. The secondary keeps everything
	// but the allowances working when the primary is lost.
	leaderCount = 2
	// primaryInterval and secondaryInterval are the times between heartbeats to
	// the two leaders. fleetLeaderInterval, from a place leader to the fleet
	// leader, is shorter: proofs of freshness pass through both.
	primaryInterval     = 500 * time.Millisecond
	fleetLeaderInterval = 300 * time.Millisecond
	secondaryInterval   = time.Second
	// urgentInterval is the shortest time between heartbeats with evidence, and
	// between pushes, in fleets of up to baseFleetSize VMs. It grows with the
	// fleet, so that a leader's load grows no faster than the fleet.
	urgentInterval = 100 * time.Millisecond
	baseFleetSize  = 36
	// replyInterval is the time after a reply within which a heartbeat gets no
	// other unless there is something new to send.
	replyInterval = 200 * time.Millisecond
	// seedInterval is the time between heartbeats to seeds outside the view.
	seedInterval = 2 * time.Second
	// joinInterval is the same while the view holds no other VM.
	joinInterval = 200 * time.Millisecond
	// renewalTimeout is the wait for a reply after which a lease is not renewed:
	// longer than fleetLeaderInterval.
	renewalTimeout = 450 * time.Millisecond
	// leaderTimeout is the wait for a reply after which a primary leader is replaced.
	leaderTimeout = 1100 * time.Millisecond
	// leaderBackoff is how long a VM that did not reply is not chosen as leader.
	leaderBackoff = 3 * time.Second
	// followerTimeout is how long a follower is kept without a heartbeat: two to a
	// secondary leader and a margin.
	followerTimeout = 2400 * time.Millisecond
	// listTimeout is the age at which a list of VMs from another VM expires.
	listTimeout = 2400 * time.Millisecond
	// establishedAfter is the age from which a process may be preferred as leader.
	establishedAfter = 4 * time.Second
	// fleetSizeWindow is the time over which the largest fleet size is taken. It is
	// longer than a planned stop, in which a VM that leaves still has its share.
	fleetSizeWindow = time.Minute
	// contactRetention is how long a VM that left the view is still contacted.
	contactRetention = time.Minute
	// isolationTimeout is how long a new process waits for a message of another VM
	// before it uses its own share.
	isolationTimeout = 3 * time.Second
	// assumedFleetSize is the least size assumed while the fleet size is unknown:
	// that of the operators' smaller fleet, which is in assumedPlaces. After
	// fleetSizeKnownAfter no fleetSizeWindow holds a size from before the start of
	// this process.
	assumedFleetSize    = 32
	assumedPlaces       = 6
	fleetSizeKnownAfter = fleetSizeWindow
	// LeaseTerm is the term of a lease to a place leader. It covers a
	// subleaseTerm, two heartbeats and a lost one.
	LeaseTerm = 2500 * time.Millisecond
	// subleaseTerm is the term of a sublease to the fleet leader: three heartbeats
	// and a round trip.
	subleaseTerm = 1200 * time.Millisecond
	// maxDeltaBytes is the size of the largest delta in a datagram.
	maxDeltaBytes = 1100
	// minSentLogOdds is the threshold above which replies carry pooled log odds.
	minSentLogOdds = -2.3
)

// Options are the settings of a Controller. With the zero value the VM never
// reads the store.
type Options struct {
	// CanRead allows the VM to read the store.
	CanRead bool
	// Regions maps places to regions. The VMs of a region use the same targets, so
	// evidence is pushed within its region at once.
	Regions ferry.Regions
	// IsFirst reports that the whole fleet starts for the first time, so that no
	// VM exists outside the view once this VM has met another.
	IsFirst bool
	// FleetSize is the number of VMs that operators expect, or zero if unknown. VMs
	// that know no better divide the allowances by it.
	FleetSize int
	// TargetHeartbeat is the interval in which targets renew their entries, or zero
	// for 1.5 s.
	TargetHeartbeat time.Duration
	// FreshWithin is the operators' bound on the time from the store's acknowledgment of a
	// change to the last request that is handled without it, or zero for 2 s.
	FreshWithin time.Duration
	// Jitter is a random number from 0 to 1 that spreads the VMs' reads over time.
	Jitter float64
}

// Controller exchanges heartbeats and replies. It is not safe for concurrent
// use.
type Controller struct {
	self    VM
	started time.Duration
	options Options
	seeds   []netip.AddrPort
	decoder ferry.RecordDecoder

	records     Records
	nextFinalAt time.Duration
	packs       packCache
	proof       ferry.Moment
	hasProof    bool
	// proofFrom is the VM whose message brought the proof, or this VM.
	proofFrom netip.AddrPort
	freshness freshness
	// isProofOverdue reports that the proof is so old that this VM reads the store for that.
	isProofOverdue bool
	read           readState

	links map[netip.AddrPort]*link
	// linkOrder holds the keys of links in increasing order.
	linkOrder []netip.AddrPort
	lastSeen  map[netip.AddrPort]time.Duration
	leaders   []netip.AddrPort
	// leadsPlace reports that this VM is the place leader, since leadsPlaceAt.
	leadsPlace   bool
	leadsPlaceAt time.Duration
	// leadsFleetAt is the monotonic time at which this VM became the fleet leader.
	leadsFleetAt time.Duration
	// viewList and members hold the view and the followers of this VM.
	viewList versionedList
	members  versionedList
	// isViewPushDue reports that the followers have to receive the view at once.
	isViewPushDue bool
	// isViewDirty reports that the view has to be computed again.
	isViewDirty bool
	view        []VM
	sequence    uint64
	seedIndex   int
	nextSeedAt  time.Duration
	fleetSizes  sizeWindow
	// lost holds the VMs that may still run beyond a partition.
	lost        lostVMs
	copyRetryAt time.Duration

	grantedLease lease

	// hasContact reports that another VM has sent a message, first at contactAt.
	hasContact bool
	contactAt  time.Duration
	// isFleetSizeKnown reports that the whole fleet, of no expected size, started with
	// this VM, or that another VM sent the size of the fleet as known.
	isFleetSizeKnown bool

	pool Pool
	// reporter weighs the evidence of this VM.
	reporter        reporter
	usage           usage
	pendingEvidence map[ferry.TargetID]Evidence
	isUrgent        bool
	// evidencePushRegions holds the regions whose followers have to receive
	// evidence at once. nextPushAt is the monotonic time of the next push.
	evidencePushRegions map[ferry.RegionID]bool
	nextPushAt          time.Duration
	actions             []Action
}

// NewController returns the controller of the VM self.
func NewController(now ferry.Moment, self VM, seeds []netip.AddrPort, decoder ferry.RecordDecoder, options Options) *Controller {
	c := &Controller{
		self: self, started: now.Monotonic, options: options, decoder: decoder,
		links: map[netip.AddrPort]*link{}, lost: lostVMs{}, lastSeen: map[netip.AddrPort]time.Duration{},
		pendingEvidence: map[ferry.TargetID]Evidence{}, sequence: self.Incarnation,
		evidencePushRegions: map[ferry.RegionID]bool{}, isFleetSizeKnown: options.IsFirst && options.FleetSize == 0,
	}
	c.setSeeds(seeds)
	c.setFreshWithin(options.FreshWithin)
	c.view, c.isViewDirty, c.leadsFleetAt = []VM{c.self}, true, now.Monotonic
	return c
}

// setSeeds replaces the seeds, without the address of this VM.
func (c *Controller) setSeeds(seeds []netip.AddrPort) {
	c.seeds = nil
	for _, seed := range seeds {
		if seed != c.self.Peers {
			c.seeds = append(c.seeds, seed)
		}
	}
}

// Step applies an event and returns the resulting actions.
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
	case SeedsChanged:
		c.setSeeds(event.Seeds)
	case BoundChanged:
		c.setFreshWithin(event.FreshWithin)
	case StatusChanged:
		c.setStatus(now, event)
	}
	c.advance(now)
	return c.actions
}

// advance does everything that is due at now.
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
	c.grantOwnCredits(now)
	c.pool.decay(now.Monotonic)
	c.checkProof(now)
	c.pushProof(now)
	c.pushChanges(now)
	if c.nextFinalAt != 0 && now.Monotonic >= c.nextFinalAt {
		c.emit(RecordsChanged{})
	}
}

// setStatus changes the status that this VM publishes. Its followers are
// notified at once that it leaves.
func (c *Controller) setStatus(now ferry.Moment, stated StatusChanged) {
	isLeaving := stated.Leaving && !c.self.Leaving
	c.self.Ready, c.self.Leaving = stated.Ready, stated.Leaving
	c.self.StatusVersion++
	c.isUrgent, c.isViewDirty = true, true
	if !isLeaving {
		return
	}
	for address, l := range c.sortedLinks() {
		if l.isFollower(now.Monotonic) {
			c.send(now, address, l, replyKind)
		}
	}
}

func (c *Controller) emit(action Action) {
	c.actions = append(c.actions, action)
}

// Live returns the records in force at now.
func (c *Controller) Live(now ferry.Moment) []ferry.Record {
	var records []ferry.Record
	records, c.nextFinalAt = c.records.Live(now.Monotonic)
	return records
}

// PackSince returns the records after a revision for a copy over TCP, compressed
// with the receiver's configuration if it is present here.
func (c *Controller) PackSince(now ferry.Moment, after, dictionaryID uint64) (packed []byte, dictionary uint64, err error) {
	return c.packs.pack(now.Monotonic, &c.records, after, dictionaryID)
}

// UnpackUpdate reverses PackSince. It returns an error if this VM no longer has the
// configuration that serves as the dictionary.
func (c *Controller) UnpackUpdate(packed []byte, dictionary uint64) (Update, error) {
	body := c.records.dictionary(dictionary)
	if body == nil && dictionary != 0 {
		return Update{}, trace.NotFound("no dictionary %d to decompress records", dictionary)
	}
	return UnpackUpdate(packed, body)
}

// Revisions returns the revision of the records and the dictionary ID of the configuration.
func (c *Controller) Revisions() (records, dictionary uint64) {
	return c.records.Revision(), c.records.DictionaryID()
}

// DeletionHold returns how much longer deletions that this VM reads are not final.
func (c *Controller) DeletionHold(now ferry.Moment) time.Duration {
	return max(0, c.read.holdUntil-now.Monotonic)
}

// KeptRecords returns the number of records that an older copy of the store did not replace.
func (c *Controller) KeptRecords() uint64 { return c.records.kept }

// OutdatedReads returns the number of responses of an earlier epoch of the store that were
// rejected.
func (c *Controller) OutdatedReads() uint64 { return c.read.outdated }

// Proof returns the moment at which the records were last proven to be current.
func (c *Controller) Proof() (ferry.Moment, bool) { return c.proof, c.hasProof }

// SetTargets replaces the targets that a place leader keeps in use.
func (c *Controller) SetTargets(now ferry.Moment, targets []ferry.Target) {
	c.usage.setTargets(now.Monotonic, c.self.Place, targets)
}

// View returns the VMs considered alive, including this one.
func (c *Controller) View() []VM { return c.view }

// Pooled returns the pooled log odds of targets.
func (c *Controller) Pooled() map[ferry.TargetID]float64 { return c.pool.snapshot() }

// Leader returns the primary leader of this VM. If isSelf is set, this VM is the
// fleet leader.
func (c *Controller) Leader() (leader netip.AddrPort, isSelf bool) {
	if len(c.leaders) == 0 {
		return c.self.Peers, true
	}
	return c.leaders[0], c.leaders[0] == c.self.Peers
}

// LeadsPlace reports whether this VM is the leader of its place.
func (c *Controller) LeadsPlace() bool { return c.leadsPlace }

// FleetSize returns the largest recent fleet size seen by this VM or its leaders,
// with the VMs that may still run beyond a partition.
func (c *Controller) FleetSize() int {
	size := c.fleetSizes.largest()
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil {
			size = max(size, l.seenFleetSize)
		}
	}
	return max(1, size)
}

// merge applies an update and pushes the changes.
func (c *Controller) merge(now ferry.Moment, update Update) bool {
	changed, ok := c.records.Merge(now.Monotonic, update, c.decoder)
	if !ok {
		return false
	}
	if len(changed) > 0 {
		c.emit(RecordsChanged{})
		c.pushRecords(now)
	}
	return true
}

// requestProof makes heartbeats to the leaders due, to get a proof for a copy.
func (c *Controller) requestProof(now ferry.Moment) {
	if c.hasProof {
		return
	}
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil {
			l.nextHeartbeat = now.Monotonic
		}
	}
}

// pushRecords replies to every follower that lacks records, and makes heartbeats
// due to the leaders that lack them.
func (c *Controller) pushRecords(now ferry.Moment) {
	for address, l := range c.sortedLinks() {
		if l.isFollower(now.Monotonic) && l.revision < c.records.Revision() {
			c.send(now, address, l, replyKind)
		}
	}
	for _, leader := range c.leaders {
		if l := c.links[leader]; l != nil && l.revision < c.records.Revision() {
			l.nextHeartbeat = now.Monotonic
		}
	}
}
