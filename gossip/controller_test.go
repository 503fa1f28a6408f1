package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// publishedVersion is one version of an inventory as the platform holds it.
type publishedVersion struct {
	manifest []byte
	parts    map[string][]byte
}

// newVersion returns a version whose content depends on rate.
func newVersion(number uint64, rate float64) publishedVersion {
	inventory := &ferry.Inventory{
		Version: number, MaxVMs: 3,
		Places:   []ferry.Place{{ID: "p", Region: "r"}},
		Services: []ferry.Service{{ID: "s", Rules: ferry.Rules{}.WithDefaults()}},
		Accounts: []ferry.Account{{ID: "a", Rate: rate, Burst: 10}},
		Routes:   []ferry.Route{{ID: "r", PathPrefix: "/", Service: "s", Deadline: time.Second, BodyLimit: 1}},
	}
	manifest, parts, err := conf.Split(inventory)
	if err != nil {
		panic(err)
	}
	text, err := conf.FormatManifest(manifest)
	if err != nil {
		panic(err)
	}
	return publishedVersion{manifest: text, parts: parts}
}

// invalidVersion returns a version that all VMs reject.
func invalidVersion(number uint64) publishedVersion { return newVersion(number, -1) }

// cluster connects controllers directly. Fetches get their response at once
// unless messages between the VM and the source are blocked.
type cluster struct {
	now        time.Duration
	vms        map[ferry.VMID]*Controller
	values     map[string][]byte
	platformUp bool
	isBlocked  func(from, to Source) bool
	applied    map[ferry.VMID][]Stamp
	ready      map[ferry.VMID]Stamp
	rejected   map[ferry.VMID]int
}

func newCluster(count int) *cluster {
	c := &cluster{
		vms: map[ferry.VMID]*Controller{}, values: map[string][]byte{}, platformUp: true,
		isBlocked: func(Source, Source) bool { return false },
		applied:   map[ferry.VMID][]Stamp{}, ready: map[ferry.VMID]Stamp{}, rejected: map[ferry.VMID]int{},
	}
	for i := range count {
		c.restart(ferry.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return c
}

func (c *cluster) ids() []ferry.VMID {
	var ids []ferry.VMID
	for id := range c.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) restart(id ferry.VMID) {
	c.vms[id] = NewController()
	delete(c.ready, id)
	c.applied[id] = nil
}

func (c *cluster) publish(p publishedVersion) {
	for name, body := range p.parts {
		c.values[name] = body
	}
	c.values[conf.ManifestName] = p.manifest
}

// step passes an event to a VM and executes the resulting actions.
func (c *cluster) step(id ferry.VMID, event Event) {
	controller := c.vms[id]
	for _, action := range controller.Step(ferry.Moment{Monotonic: c.now}, event) {
		switch action := action.(type) {
		case FetchAction:
			c.fetch(id, action)
		case ApplyAction:
			c.applied[id] = append(c.applied[id], action.Stamp)
		case RejectAction:
			c.rejected[id]++
		case ReadyAction:
			c.ready[id] = controller.Stamp()
		}
	}
}

func (c *cluster) fetch(id ferry.VMID, action FetchAction) {
	var body []byte
	switch {
	case c.isBlocked(action.From, Source(id)) || c.isBlocked(Source(id), action.From):
		return
	case action.From == "" && c.platformUp:
		body = c.values[action.Name]
	case action.From != "":
		body = c.vms[ferry.VMID(action.From)].Value(action.Name)
	}
	switch {
	case body == nil:
		c.step(id, FetchFailedEvent(action))
	case action.Name == conf.ManifestName:
		c.step(id, ManifestEvent{From: action.From, Body: body})
	default:
		c.step(id, PartEvent{Name: action.Name, Body: body})
	}
}

// round advances the time by a second. The readers read the platform's manifest,
// and every VM receives its list of VMs, the stamps of the others and a tick.
func (c *cluster) round(readers ...ferry.VMID) {
	for _, id := range readers {
		if c.platformUp && c.values[conf.ManifestName] != nil {
			c.step(id, ManifestEvent{Body: c.values[conf.ManifestName]})
		}
	}
	for _, id := range c.ids() {
		var reachable []ferry.VMID
		for _, other := range c.ids() {
			if other != id && !c.isBlocked(Source(other), Source(id)) {
				reachable = append(reachable, other)
			}
		}
		c.step(id, ListEvent{ListRead: true, Listed: len(c.vms), Live: reachable})
		for _, other := range reachable {
			c.step(id, PeerEvent{From: other, Stamp: c.vms[other].Stamp(), Ready: c.vms[other].IsReady()})
		}
		c.step(id, TickEvent{})
	}
	c.now += time.Second
}

func (c *cluster) rounds(count int, readers ...ferry.VMID) {
	for range count {
		c.round(readers...)
	}
}

// assertNoRollback fails when a VM applied an older version after a newer one.
func (c *cluster) assertNoRollback(t *testing.T) {
	t.Helper()
	for id, stamps := range c.applied {
		for i := 1; i < len(stamps); i++ {
			if !stamps[i].IsAfter(stamps[i-1]) {
				t.Errorf("%s applied %v and then the older %v", id, stamps[i-1], stamps[i])
			}
		}
	}
}

func (c *cluster) assertInForce(t *testing.T, number uint64, ids ...ferry.VMID) {
	t.Helper()
	for _, id := range ids {
		if got := c.vms[id].Stamp().Version; got != number {
			t.Errorf("%s has version %d in force, want %d", id, got, number)
		}
	}
}

func TestOneReaderCarriesAChangeEverywhere(t *testing.T) {
	c := newCluster(5)
	c.publish(newVersion(1, 10))
	c.rounds(5, "vm-0")
	c.publish(newVersion(2, 20))
	c.rounds(2, "vm-0")
	c.assertInForce(t, 2, c.ids()...)
	c.assertNoRollback(t)
}

// TestRestartBesideStalePlatform restarts a VM while the platform serves an
// older version than the other VMs have in force. The VM must not serve it.
func TestRestartBesideStalePlatform(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	old := newVersion(1, 10)
	c.publish(newVersion(2, 20))
	c.rounds(5, "vm-0", "vm-1")
	c.publish(old)
	c.restart("vm-2")
	c.step("vm-2", ListEvent{ListRead: true, Listed: 3})
	c.step("vm-2", ManifestEvent{Body: old.manifest})
	c.assertInForce(t, 1, "vm-2")
	is.Equal(c.ready["vm-2"], Stamp{}) // not ready with the old version
	c.rounds(1, "vm-2")
	is.Equal(c.ready["vm-2"].Version, uint64(2))
	c.rounds(5, "vm-0", "vm-1", "vm-2")
	c.assertInForce(t, 2, c.ids()...)
	c.assertNoRollback(t)
}

// TestReplacementWithoutPlatform restarts all VMs one after another while the
// platform is unavailable.
func TestReplacementWithoutPlatform(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	c.publish(newVersion(3, 10))
	c.rounds(5, "vm-0")
	c.platformUp = false
	for _, id := range c.ids() {
		c.restart(id)
		c.rounds(3, "vm-0")
		c.assertInForce(t, 3, id)
		is.Equal(c.ready[id].Version, uint64(3))
	}
}

func TestInvalidVersionBetweenTwoValidOnes(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.publish(newVersion(1, 10))
	c.rounds(5, "vm-0")
	c.publish(invalidVersion(2))
	c.rounds(3, "vm-0", "vm-1")
	c.assertInForce(t, 1, c.ids()...)
	is.Equal(c.rejected["vm-0"], 1) // reported once
	c.publish(newVersion(3, 30))
	c.rounds(2, "vm-0")
	c.assertInForce(t, 3, c.ids()...)
	c.assertNoRollback(t)
}

// TestPartsArriveOutOfOrder publishes two versions in quick succession, so that
// parts of the first arrive after the manifest of the second.
func TestPartsArriveOutOfOrder(t *testing.T) {
	is := is.New(t)
	controller := NewController()
	first, second := newVersion(1, 10), newVersion(2, 20)
	var applied []Stamp
	step := func(event Event) {
		for _, action := range controller.Step(ferry.Moment{}, event) {
			if apply, ok := action.(ApplyAction); ok {
				applied = append(applied, apply.Stamp)
			}
		}
	}
	step(ManifestEvent{Body: first.manifest})
	step(ManifestEvent{Body: second.manifest})
	step(ManifestEvent{Body: first.manifest})
	for name, body := range first.parts {
		step(PartEvent{Name: name, Body: body})
	}
	for name, body := range second.parts {
		step(PartEvent{Name: name, Body: append([]byte("x"), body...)}) // altered in transit
		step(PartEvent{Name: name, Body: body})
	}
	is.Equal(len(applied), 1)
	is.Equal(applied[0].Version, uint64(2))
}

// TestOperatorsRace publishes two configurations with one version number. All
// VMs end with the same one, whichever they received first.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(4)
	c.publish(newVersion(1, 10))
	c.rounds(5, "vm-0")
	one, two := newVersion(2, 20), newVersion(2, 30)
	c.publish(one)
	c.step("vm-0", ManifestEvent{Body: one.manifest})
	c.publish(two)
	c.step("vm-1", ManifestEvent{Body: two.manifest})
	c.rounds(4)
	for _, id := range c.ids() {
		is.Equal(c.vms[id].Stamp(), c.vms["vm-0"].Stamp())
	}
	c.assertNoRollback(t)
}

func TestPlatformFlapsBetweenOldAndNew(t *testing.T) {
	c := newCluster(3)
	old, current := newVersion(1, 10), newVersion(2, 20)
	c.publish(old)
	c.rounds(5, "vm-0")
	for i := range 10 {
		if i%2 == 0 {
			c.publish(current)
		} else {
			c.publish(old)
		}
		c.round("vm-0", "vm-1", "vm-2")
	}
	c.assertInForce(t, 2, c.ids()...)
	c.assertNoRollback(t)
}

// TestOneWayPartitionHeals changes the configuration while messages from one VM
// to the others are lost.
func TestOneWayPartitionHeals(t *testing.T) {
	c := newCluster(4)
	c.publish(newVersion(1, 10))
	c.rounds(5, "vm-0")
	c.isBlocked = func(from, to Source) bool { return from == "vm-0" && to != "" }
	c.publish(newVersion(2, 20))
	c.rounds(3, "vm-0")
	c.assertInForce(t, 2, "vm-0")
	c.assertInForce(t, 1, "vm-1", "vm-2", "vm-3")
	c.isBlocked = func(Source, Source) bool { return false }
	c.rounds(2)
	c.assertInForce(t, 2, c.ids()...)
	c.assertNoRollback(t)
}

// TestUnreachableSource stops the messages to and from the VM that offered a
// manifest. The parts come from another VM with the same manifest.
func TestUnreachableSource(t *testing.T) {
	c := newCluster(3)
	c.publish(newVersion(1, 10))
	c.rounds(5, "vm-0")
	c.publish(newVersion(2, 20))
	c.step("vm-0", ManifestEvent{Body: c.values[conf.ManifestName]})
	c.step("vm-1", ManifestEvent{Body: c.values[conf.ManifestName]})
	c.platformUp = false
	c.step("vm-2", ManifestEvent{From: "vm-0", Body: c.vms["vm-0"].Value(conf.ManifestName)})
	c.isBlocked = func(from, to Source) bool { return from == "vm-0" || to == "vm-0" }
	c.rounds(4)
	c.assertInForce(t, 2, "vm-1", "vm-2")
}

// TestColdStart starts all VMs at the same time with a working platform.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.publish(newVersion(1, 10))
	c.round(c.ids()...)
	is.Equal(len(c.ready), 0) // another VM may still report a newer version
	c.rounds(4, c.ids()...)
	is.Equal(len(c.ready), 3)
}

// TestManifestBeforeList reads the manifest of a stale platform before the list
// of VMs. The VM must not become ready as if it were the only one.
func TestManifestBeforeList(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.publish(newVersion(1, 10))
	c.step("vm-0", ListEvent{Listed: 1})
	c.step("vm-0", ManifestEvent{Body: c.values[conf.ManifestName]})
	c.now += time.Hour
	c.step("vm-0", TickEvent{})
	is.Equal(c.ready["vm-0"], Stamp{})
	c.step("vm-0", ListEvent{ListRead: true, Listed: 1})
	is.Equal(c.ready["vm-0"].Version, uint64(1))
}

// TestPartsAreFetchedOnce delays the responses of the platform. Repeated
// fetches would use up the read budget.
func TestPartsAreFetchedOnce(t *testing.T) {
	is := is.New(t)
	controller := NewController()
	fetches := 0
	step := func(elapsed time.Duration, event Event) {
		for _, action := range controller.Step(ferry.Moment{Monotonic: elapsed}, event) {
			if _, ok := action.(FetchAction); ok {
				fetches++
			}
		}
	}
	first := newVersion(1, 10)
	step(0, ManifestEvent{Body: first.manifest})
	is.Equal(fetches, len(first.parts))
	for i := range 100 {
		step(time.Duration(i)*100*time.Millisecond, TickEvent{})
	}
	is.Equal(fetches, len(first.parts))
	for name := range first.parts {
		step(11*time.Second, FetchFailedEvent{Name: name})
	}
	is.Equal(fetches, 2*len(first.parts)) // one more fetch for each failure
}
