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

// published is one version of an inventory as the platform holds it.
type published struct {
	manifest []byte
	parts    map[string][]byte
}

// version builds a version whose content depends on rate.
func version(number uint64, rate float64) published {
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
	return published{manifest: text, parts: parts}
}

// bad returns a version that no VM accepts.
func bad(number uint64) published { return version(number, -1) }

// world connects controllers directly. Fetches are answered at once unless the
// source is cut off.
type world struct {
	now      time.Duration
	vms      map[ferry.VMID]*Controller
	values   map[string][]byte
	up       bool
	cut      func(from, to Source) bool
	applied  map[ferry.VMID][]Stamp
	ready    map[ferry.VMID]Stamp
	rejected map[ferry.VMID]int
}

func newWorld(count int) *world {
	w := &world{
		vms: map[ferry.VMID]*Controller{}, values: map[string][]byte{}, up: true,
		cut:     func(Source, Source) bool { return false },
		applied: map[ferry.VMID][]Stamp{}, ready: map[ferry.VMID]Stamp{}, rejected: map[ferry.VMID]int{},
	}
	for i := range count {
		w.restart(ferry.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return w
}

func (w *world) ids() []ferry.VMID {
	var ids []ferry.VMID
	for id := range w.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) restart(id ferry.VMID) {
	w.vms[id] = NewController()
	delete(w.ready, id)
	w.applied[id] = nil
}

func (w *world) publish(p published) {
	for name, body := range p.parts {
		w.values[name] = body
	}
	w.values[conf.ManifestName] = p.manifest
}

// step feeds an event and answers the fetches that follow.
func (w *world) step(id ferry.VMID, event Event) {
	c := w.vms[id]
	for _, action := range c.Step(ferry.Moment{Monotonic: w.now}, event) {
		switch action := action.(type) {
		case FetchAction:
			w.fetch(id, action)
		case ApplyAction:
			w.applied[id] = append(w.applied[id], action.Stamp)
		case RejectAction:
			w.rejected[id]++
		case ReadyAction:
			w.ready[id] = c.Stamp()
		}
	}
}

func (w *world) fetch(id ferry.VMID, action FetchAction) {
	var body []byte
	switch {
	case w.cut(action.From, Source(id)) || w.cut(Source(id), action.From):
		return
	case action.From == "" && w.up:
		body = w.values[action.Name]
	case action.From != "":
		body = w.vms[ferry.VMID(action.From)].Value(action.Name)
	}
	switch {
	case body == nil:
		w.step(id, MissingEvent(action))
	case action.Name == conf.ManifestName:
		w.step(id, ManifestEvent{From: action.From, Body: body})
	default:
		w.step(id, PartEvent{Name: action.Name, Body: body})
	}
}

// round lets every VM read the platform, hear every other VM, and tick.
func (w *world) round(readers ...ferry.VMID) {
	for _, id := range readers {
		if w.up && w.values[conf.ManifestName] != nil {
			w.step(id, ManifestEvent{Body: w.values[conf.ManifestName]})
		}
	}
	for _, id := range w.ids() {
		var live []ferry.VMID
		for _, other := range w.ids() {
			if other != id && !w.cut(Source(other), Source(id)) {
				live = append(live, other)
			}
		}
		w.step(id, ListEvent{Known: true, Listed: len(w.vms), Live: live})
		for _, other := range live {
			w.step(id, PeerEvent{From: other, Stamp: w.vms[other].Stamp(), Ready: w.vms[other].IsReady()})
		}
		w.step(id, TickEvent{})
	}
	w.now += time.Second
}

func (w *world) rounds(count int, readers ...ferry.VMID) {
	for range count {
		w.round(readers...)
	}
}

// neverReverts fails when a VM took an older version after a newer one.
func (w *world) neverReverts(t *testing.T) {
	t.Helper()
	for id, stamps := range w.applied {
		for i := 1; i < len(stamps); i++ {
			if !stamps[i].IsAfter(stamps[i-1]) {
				t.Errorf("%s went from %v to %v", id, stamps[i-1], stamps[i])
			}
		}
	}
}

func (w *world) inForce(t *testing.T, number uint64, ids ...ferry.VMID) {
	t.Helper()
	for _, id := range ids {
		if got := w.vms[id].Stamp().Version; got != number {
			t.Errorf("%s has version %d in force, not %d", id, got, number)
		}
	}
}

func TestOneReaderCarriesAChangeEverywhere(t *testing.T) {
	w := newWorld(5)
	w.publish(version(1, 10))
	w.rounds(5, "vm-0")
	w.publish(version(2, 20))
	w.rounds(2, "vm-0")
	w.inForce(t, 2, w.ids()...)
	w.neverReverts(t)
}

// TestRestartBesideStalePlatform restarts a VM while the platform serves an
// older version than its peers have in force.
func TestRestartBesideStalePlatform(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	old := version(1, 10)
	w.publish(version(2, 20))
	w.rounds(5, "vm-0", "vm-1")
	w.publish(old)
	w.restart("vm-2")
	w.step("vm-2", ListEvent{Known: true, Listed: 3})
	w.step("vm-2", ManifestEvent{Body: old.manifest})
	w.inForce(t, 1, "vm-2")
	is.Equal(w.ready["vm-2"], Stamp{}) // it holds the old version and must not serve it
	w.rounds(1, "vm-2")
	is.Equal(w.ready["vm-2"].Version, uint64(2))
	w.rounds(5, "vm-0", "vm-1", "vm-2")
	w.inForce(t, 2, w.ids()...)
	w.neverReverts(t)
}

// TestReplacementWithPlatformAway replaces every VM one after another while
// the platform is away.
func TestReplacementWithPlatformAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.publish(version(3, 10))
	w.rounds(5, "vm-0")
	w.up = false
	for _, id := range w.ids() {
		w.restart(id)
		w.rounds(3, "vm-0")
		w.inForce(t, 3, id)
		is.Equal(w.ready[id].Version, uint64(3))
	}
}

func TestBadVersionBetweenTwoGoodOnes(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.publish(version(1, 10))
	w.rounds(5, "vm-0")
	w.publish(bad(2))
	w.rounds(3, "vm-0", "vm-1")
	w.inForce(t, 1, w.ids()...)
	is.Equal(w.rejected["vm-0"], 1) // reported once
	w.publish(version(3, 30))
	w.rounds(2, "vm-0")
	w.inForce(t, 3, w.ids()...)
	w.neverReverts(t)
}

// TestPartsArriveCrossed publishes two versions in quick order, so that parts
// of the first arrive after the manifest of the second.
func TestPartsArriveCrossed(t *testing.T) {
	is := is.New(t)
	c := NewController()
	first, second := version(1, 10), version(2, 20)
	var applied []Stamp
	step := func(event Event) {
		for _, action := range c.Step(ferry.Moment{}, event) {
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
		step(PartEvent{Name: name, Body: append([]byte("x"), body...)}) // altered on the way
		step(PartEvent{Name: name, Body: body})
	}
	is.Equal(len(applied), 1)
	is.Equal(applied[0].Version, uint64(2))
}

// TestOperatorsRace publishes two contents under one number. All VMs end with
// the same one, whichever they saw first.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.publish(version(1, 10))
	w.rounds(5, "vm-0")
	one, two := version(2, 20), version(2, 30)
	w.publish(one)
	w.step("vm-0", ManifestEvent{Body: one.manifest})
	w.publish(two)
	w.step("vm-1", ManifestEvent{Body: two.manifest})
	w.rounds(4)
	for _, id := range w.ids() {
		is.Equal(w.vms[id].Stamp(), w.vms["vm-0"].Stamp())
	}
	w.neverReverts(t)
}

func TestPlatformFlapsBetweenOldAndNew(t *testing.T) {
	w := newWorld(3)
	old, current := version(1, 10), version(2, 20)
	w.publish(old)
	w.rounds(5, "vm-0")
	for i := range 10 {
		if i%2 == 0 {
			w.publish(current)
		} else {
			w.publish(old)
		}
		w.round("vm-0", "vm-1", "vm-2")
	}
	w.inForce(t, 2, w.ids()...)
	w.neverReverts(t)
}

// TestOneWayCutHeals changes the configuration while messages from one VM to
// the others are lost.
func TestOneWayCutHeals(t *testing.T) {
	w := newWorld(4)
	w.publish(version(1, 10))
	w.rounds(5, "vm-0")
	w.cut = func(from, to Source) bool { return from == "vm-0" && to != "" }
	w.publish(version(2, 20))
	w.rounds(3, "vm-0")
	w.inForce(t, 2, "vm-0")
	w.inForce(t, 1, "vm-1", "vm-2", "vm-3")
	w.cut = func(Source, Source) bool { return false }
	w.rounds(2)
	w.inForce(t, 2, w.ids()...)
	w.neverReverts(t)
}

// TestSourceThatLosesParts asks another VM when the first does not have what
// it offered.
func TestSourceThatLosesParts(t *testing.T) {
	w := newWorld(3)
	w.publish(version(1, 10))
	w.rounds(5, "vm-0")
	w.publish(version(2, 20))
	w.step("vm-0", ManifestEvent{Body: w.values[conf.ManifestName]})
	w.step("vm-1", ManifestEvent{Body: w.values[conf.ManifestName]})
	w.up = false
	w.step("vm-2", ManifestEvent{From: "vm-0", Body: w.vms["vm-0"].Value(conf.ManifestName)})
	w.cut = func(from, to Source) bool { return from == "vm-0" || to == "vm-0" }
	w.rounds(4)
	w.inForce(t, 2, "vm-1", "vm-2")
}

// TestColdFleet starts every VM at once beside a working platform.
func TestColdFleet(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.publish(version(1, 10))
	w.round(w.ids()...)
	is.Equal(len(w.ready), 0) // no VM knows yet whether there is a newer version
	w.rounds(4, w.ids()...)
	is.Equal(len(w.ready), 3)
}

// TestManifestBeforeList reads the manifest of a stale platform before the list
// of VMs. The VM must not take itself for the only one.
func TestManifestBeforeList(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.publish(version(1, 10))
	w.step("vm-0", ListEvent{Listed: 1})
	w.step("vm-0", ManifestEvent{Body: w.values[conf.ManifestName]})
	w.now += time.Hour
	w.step("vm-0", TickEvent{})
	is.Equal(w.ready["vm-0"], Stamp{})
	w.step("vm-0", ListEvent{Known: true, Listed: 1})
	is.Equal(w.ready["vm-0"].Version, uint64(1))
}

// TestPartsAreAskedForOnce lets time pass while the platform is slow. Repeated
// fetches would use up the read budget.
func TestPartsAreAskedForOnce(t *testing.T) {
	is := is.New(t)
	c := NewController()
	fetches := 0
	step := func(at time.Duration, event Event) {
		for _, action := range c.Step(ferry.Moment{Monotonic: at}, event) {
			if _, ok := action.(FetchAction); ok {
				fetches++
			}
		}
	}
	first := version(1, 10)
	step(0, ManifestEvent{Body: first.manifest})
	is.Equal(fetches, len(first.parts))
	for i := range 100 {
		step(time.Duration(i)*100*time.Millisecond, TickEvent{})
	}
	is.Equal(fetches, len(first.parts))
	for name := range first.parts {
		step(11*time.Second, MissingEvent{Name: name})
	}
	is.Equal(fetches, 2*len(first.parts)) // each failure asks once more
}
