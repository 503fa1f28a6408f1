package gossip

import (
	"crypto/sha256"
	"slices"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

const (
	// coldWait is the time after which a new VM that hears only other new VMs
	// trusts the platform.
	coldWait = 3 * time.Second
	// fetchRetry is the time after which an unanswered fetch is repeated from
	// another source.
	fetchRetry = time.Second
	// platformRetry is that time while only the platform has the value. It is
	// longer than the platform's client keeps trying.
	platformRetry = 30 * time.Second
)

// candidate is a manifest whose parts are not all here yet.
type candidate struct {
	stamp    Stamp
	manifest conf.Manifest
	raw      []byte
	sources  []Source
	next     int
	// asked tells when each missing part was asked for.
	asked map[string]ferry.Moment
}

// retryAfter returns the time after which an unanswered fetch is repeated.
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

// Controller implements ferry.Controller for the spread of configurations.
type Controller struct {
	inForce   Stamp
	inventory *ferry.Inventory
	manifest  []byte
	names     []string
	parts     map[string][]byte

	pending  *candidate
	rejected map[Stamp]bool
	peers    map[ferry.VMID]peer
	list     ListEvent
	started  ferry.Moment
	hasStart bool
	ready    bool
	asked    map[ferry.VMID]ferry.Moment
}

// NewController returns a controller without a configuration.
func NewController() *Controller {
	return &Controller{
		parts:    map[string][]byte{},
		rejected: map[Stamp]bool{},
		peers:    map[ferry.VMID]peer{},
		asked:    map[ferry.VMID]ferry.Moment{},
	}
}

// Stamp returns the stamp of the configuration in force.
func (c *Controller) Stamp() Stamp { return c.inForce }

// IsReady reports whether the VM may serve requests.
func (c *Controller) IsReady() bool { return c.ready }

// Value returns the manifest or a part in force for another VM, or nil.
func (c *Controller) Value(name string) []byte {
	if name == conf.ManifestName {
		return c.manifest
	}
	return c.parts[name]
}

// Step implements ferry.Controller.
func (c *Controller) Step(now ferry.Moment, event Event) (actions []Action) {
	if !c.hasStart {
		c.started, c.hasStart = now, true
	}
	switch event := event.(type) {
	case ManifestEvent:
		actions = c.onManifest(event)
	case PartEvent:
		c.onPart(event)
	case MissingEvent:
		c.onMissing(event)
	case PeerEvent:
		c.peers[event.From] = peer{stamp: event.Stamp, ready: event.Ready}
		actions = c.askPeer(now, event)
	case ListEvent:
		c.onList(event)
	case TickEvent:
	}
	actions = append(actions, c.advance(now)...)
	return append(actions, c.checkReady(now)...)
}

// onManifest keeps the newest manifest as the candidate.
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
		c.pending = &candidate{stamp: stamp, manifest: manifest, raw: event.Body, sources: []Source{event.From}, asked: map[string]ferry.Moment{}}
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

// onPart keeps a part that the candidate needs and whose content matches its
// name.
func (c *Controller) onPart(event PartEvent) {
	if c.pending == nil || !slices.Contains(c.pending.manifest.Parts, event.Name) || conf.PartName(event.Body) != event.Name {
		return
	}
	c.parts[event.Name] = event.Body
}

func (c *Controller) onMissing(event MissingEvent) {
	if c.pending != nil && slices.Contains(c.pending.manifest.Parts, event.Name) {
		c.pending.next++
		delete(c.pending.asked, event.Name)
	}
}

// askPeer asks a VM for its manifest when it has a newer one in force.
func (c *Controller) askPeer(now ferry.Moment, event PeerEvent) []Action {
	if !event.Stamp.IsAfter(c.inForce) || c.rejected[event.Stamp] {
		return nil
	}
	if c.pending != nil && !event.Stamp.IsAfter(c.pending.stamp) {
		if event.Stamp == c.pending.stamp && !slices.Contains(c.pending.sources, Source(event.From)) {
			c.pending.sources = append(c.pending.sources, Source(event.From))
		}
		return nil
	}
	if at, ok := c.asked[event.From]; ok && now.Since(at) < fetchRetry {
		return nil
	}
	c.asked[event.From] = now
	return []Action{FetchAction{From: Source(event.From), Name: conf.ManifestName}}
}

func (c *Controller) onList(event ListEvent) {
	c.list = event
	for id := range c.peers {
		if !slices.Contains(event.Live, id) {
			delete(c.peers, id)
			delete(c.asked, id)
		}
	}
}

// advance fetches the missing parts of the candidate, or applies it.
func (c *Controller) advance(now ferry.Moment) []Action {
	p := c.pending
	if p == nil {
		return nil
	}
	isWhole, isLate := true, false
	var due []string
	for _, name := range p.manifest.Parts {
		if c.parts[name] != nil {
			continue
		}
		isWhole = false
		asked, wasAsked := p.asked[name]
		if wasAsked && now.Since(asked) < p.retryAfter() {
			continue
		}
		isLate = isLate || wasAsked
		p.asked[name] = now
		due = append(due, name)
	}
	if isWhole {
		return c.apply()
	}
	if isLate {
		p.next++
	}
	from := p.sources[p.next%len(p.sources)]
	actions := make([]Action, 0, len(due))
	for _, name := range due {
		actions = append(actions, FetchAction{From: from, Name: name})
	}
	return actions
}

// apply accepts or rejects the candidate, of which every part is here.
func (c *Controller) apply() []Action {
	p := c.pending
	c.pending = nil
	var inventory *ferry.Inventory
	var err error
	if inventory, err = conf.Assemble(p.manifest, c.parts); err != nil {
		c.dropParts(c.names)
		return c.reject(p.sources[0], p.stamp, err)
	}
	c.inForce, c.inventory = p.stamp, inventory
	c.manifest, c.names = p.raw, p.manifest.Parts
	c.dropParts(c.names)
	return []Action{ApplyAction{Inventory: inventory, Stamp: p.stamp}}
}

// dropParts forgets every part that is not named.
func (c *Controller) dropParts(keep []string) {
	for name := range c.parts {
		if !slices.Contains(keep, name) {
			delete(c.parts, name)
		}
	}
}

// checkReady decides whether a new VM knows enough to serve.
func (c *Controller) checkReady(now ferry.Moment) []Action {
	if c.ready || c.inventory == nil {
		return nil
	}
	answered, anyReady := 0, false
	for _, p := range c.peers {
		if p.stamp.IsAfter(c.inForce) && !c.rejected[p.stamp] {
			return nil
		}
		answered++
		anyReady = anyReady || p.ready
	}
	if !c.isWitnessed(answered, anyReady, now.Since(c.started) >= coldWait) {
		return nil
	}
	c.ready = true
	return []Action{ReadyAction{}}
}

// isWitnessed reports whether enough other VMs have shown their configuration.
// Without the platform's list, the reachable VMs stand for it, and a VM that
// reaches none does not serve.
func (c *Controller) isWitnessed(answered int, anyReady, hasWaited bool) bool {
	if !c.list.Known {
		return hasWaited && anyReady && 2*answered > len(c.list.Live)
	}
	others := c.list.Listed - 1
	if others <= 0 {
		return true
	}
	if anyReady {
		return 2*answered > others
	}
	return hasWaited
}
