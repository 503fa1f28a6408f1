package gossip

import (
	"crypto/sha256"
	"slices"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

const (
	// coldStartWait is the time after which a new VM that reaches no ready VM
	// accepts the platform's configuration as the newest.
	coldStartWait = 3 * time.Second
	// fetchRetry is the time after which a fetch without a response is repeated
	// from another source.
	fetchRetry = time.Second
	// platformRetry replaces fetchRetry while the platform is the only source.
	// It is longer than the time after which a read of the platform fails.
	platformRetry = 30 * time.Second
)

// candidate is a manifest whose parts are not complete yet.
type candidate struct {
	stamp       Stamp
	manifest    conf.Manifest
	raw         []byte
	sources     []Source
	sourceIndex int
	// requestedAt holds the time of the last fetch of each missing part.
	requestedAt map[string]ferry.Moment
}

// retryAfter returns the time after which a fetch without a response is repeated.
func (p *candidate) retryAfter() time.Duration {
	if len(p.sources) == 1 && p.sources[0] == "" {
		return platformRetry
	}
	return fetchRetry
}

type peer struct {
	stamp Stamp
	ready bool
}

// Controller implements ferry.Controller for the distribution of configurations.
type Controller struct {
	inForce   Stamp
	inventory *ferry.Inventory
	manifest  []byte
	partNames []string
	parts     map[string][]byte

	pending          *candidate
	rejected         map[Stamp]bool
	peers            map[ferry.VMID]peer
	list             ListEvent
	firstStep        ferry.Moment
	hasStepped       bool
	ready            bool
	manifestRequests map[ferry.VMID]ferry.Moment
}

// NewController returns a controller without a configuration.
func NewController() *Controller {
	return &Controller{
		parts:            map[string][]byte{},
		rejected:         map[Stamp]bool{},
		peers:            map[ferry.VMID]peer{},
		manifestRequests: map[ferry.VMID]ferry.Moment{},
	}
}

// Stamp returns the stamp of the configuration in force.
func (c *Controller) Stamp() Stamp { return c.inForce }

// IsReady reports whether the VM may serve requests.
func (c *Controller) IsReady() bool { return c.ready }

// Value returns what another VM fetches: the manifest in force, a part, or nil.
func (c *Controller) Value(name string) []byte {
	if name == conf.ManifestName {
		return c.manifest
	}
	return c.parts[name]
}

// Step implements ferry.Controller.
func (c *Controller) Step(now ferry.Moment, event Event) (actions []Action) {
	if !c.hasStepped {
		c.firstStep, c.hasStepped = now, true
	}
	switch event := event.(type) {
	case ManifestEvent:
		actions = c.onManifest(event)
	case PartEvent:
		c.onPart(event)
	case FetchFailedEvent:
		c.onFetchFailed(event)
	case PeerEvent:
		c.peers[event.From] = peer{stamp: event.Stamp, ready: event.Ready}
		actions = c.requestManifest(now, event)
	case ListEvent:
		c.onList(event)
	case TickEvent:
	}
	actions = append(actions, c.advance(now)...)
	return append(actions, c.checkReady(now)...)
}

// onManifest makes the newest manifest the candidate, unless it was rejected.
func (c *Controller) onManifest(event ManifestEvent) []Action {
	stamp := Stamp{Digest: sha256.Sum256(event.Body)}
	manifest, err := conf.ParseManifest(event.Body)
	stamp.Version = manifest.Version
	if err != nil {
		return c.reject(event.From, stamp, err)
	}
	if !stamp.IsAfter(c.inForce) || c.rejected[stamp] {
		return nil
	}
	if c.pending != nil && c.pending.stamp == stamp {
		if !slices.Contains(c.pending.sources, event.From) {
			c.pending.sources = append(c.pending.sources, event.From)
		}
		return nil
	}
	if c.pending == nil || stamp.IsAfter(c.pending.stamp) {
		c.pending = &candidate{stamp: stamp, manifest: manifest, raw: event.Body, sources: []Source{event.From}, requestedAt: map[string]ferry.Moment{}}
	}
	return nil
}

func (c *Controller) reject(from Source, stamp Stamp, err error) []Action {
	if c.rejected[stamp] {
		return nil
	}
	c.rejected[stamp] = true
	return []Action{RejectAction{From: from, Stamp: stamp, Err: err}}
}

// onPart keeps a part that the candidate needs and whose content matches the
// digest in its name.
func (c *Controller) onPart(event PartEvent) {
	if c.pending == nil || !slices.Contains(c.pending.manifest.Parts, event.Name) || conf.PartName(event.Body) != event.Name {
		return
	}
	c.parts[event.Name] = event.Body
}

func (c *Controller) onFetchFailed(event FetchFailedEvent) {
	if c.pending != nil && slices.Contains(c.pending.manifest.Parts, event.Name) {
		c.pending.sourceIndex++
		delete(c.pending.requestedAt, event.Name)
	}
}

// requestManifest fetches the manifest of a VM that has a newer one in force.
func (c *Controller) requestManifest(now ferry.Moment, event PeerEvent) []Action {
	if !event.Stamp.IsAfter(c.inForce) || c.rejected[event.Stamp] {
		return nil
	}
	if c.pending != nil && !event.Stamp.IsAfter(c.pending.stamp) {
		if event.Stamp == c.pending.stamp && !slices.Contains(c.pending.sources, Source(event.From)) {
			c.pending.sources = append(c.pending.sources, Source(event.From))
		}
		return nil
	}
	if requestedAt, ok := c.manifestRequests[event.From]; ok && now.Since(requestedAt) < fetchRetry {
		return nil
	}
	c.manifestRequests[event.From] = now
	return []Action{FetchAction{From: Source(event.From), Name: conf.ManifestName}}
}

func (c *Controller) onList(event ListEvent) {
	c.list = event
	for id := range c.peers {
		if !slices.Contains(event.Live, id) {
			delete(c.peers, id)
			delete(c.manifestRequests, id)
		}
	}
}

// advance fetches the missing parts of the candidate, or applies it.
func (c *Controller) advance(now ferry.Moment) []Action {
	p := c.pending
	if p == nil {
		return nil
	}
	isComplete, hasTimedOut := true, false
	var due []string
	for _, name := range p.manifest.Parts {
		if c.parts[name] != nil {
			continue
		}
		isComplete = false
		requested, wasRequested := p.requestedAt[name]
		if wasRequested && now.Since(requested) < p.retryAfter() {
			continue
		}
		hasTimedOut = hasTimedOut || wasRequested
		p.requestedAt[name] = now
		due = append(due, name)
	}
	if isComplete {
		return c.apply()
	}
	if hasTimedOut {
		p.sourceIndex++
	}
	from := p.sources[p.sourceIndex%len(p.sources)]
	actions := make([]Action, 0, len(due))
	for _, name := range due {
		actions = append(actions, FetchAction{From: from, Name: name})
	}
	return actions
}

// apply accepts or rejects the candidate, whose parts are all present.
func (c *Controller) apply() []Action {
	p := c.pending
	c.pending = nil
	var inventory *ferry.Inventory
	var err error
	if inventory, err = conf.Assemble(p.manifest, c.parts); err != nil {
		c.dropParts(c.partNames)
		return c.reject(p.sources[0], p.stamp, err)
	}
	c.inForce, c.inventory = p.stamp, inventory
	c.manifest, c.partNames = p.raw, p.manifest.Parts
	c.dropParts(c.partNames)
	return []Action{ApplyAction{Inventory: inventory, Stamp: p.stamp}}
}

// dropParts removes all parts but those with the given names.
func (c *Controller) dropParts(keep []string) {
	for name := range c.parts {
		if !slices.Contains(keep, name) {
			delete(c.parts, name)
		}
	}
}

// checkReady decides whether a new VM may serve.
func (c *Controller) checkReady(now ferry.Moment) []Action {
	if c.ready || c.inventory == nil {
		return nil
	}
	reporting, anyReady := 0, false
	for _, p := range c.peers {
		if p.stamp.IsAfter(c.inForce) && !c.rejected[p.stamp] {
			return nil
		}
		reporting++
		anyReady = anyReady || p.ready
	}
	if !c.hasQuorum(reporting, anyReady, now.Since(c.firstStep) >= coldStartWait) {
		return nil
	}
	c.ready = true
	return []Action{ReadyAction{}}
}

// hasQuorum reports whether enough other VMs have reported their stamps. Without
// the platform's list, the reachable VMs are counted instead, and a VM that
// reaches no ready VM does not serve.
func (c *Controller) hasQuorum(reporting int, anyReady, isWaitOver bool) bool {
	if !c.list.ListRead {
		return isWaitOver && anyReady && 2*reporting > len(c.list.Live)
	}
	others := c.list.Listed - 1
	if others <= 0 {
		return true
	}
	if anyReady {
		return 2*reporting > others
	}
	return isWaitOver
}
