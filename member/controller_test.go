package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
)

// fleet connects controllers by a simulated network that can lose messages in
// one direction.
type fleet struct {
	now       time.Duration
	vms       map[ferry.VMID]*Controller
	isBlocked map[[2]ferry.VMID]bool
	list      ferry.VMList
	// incarnations holds the current incarnation of each VM.
	incarnations map[ferry.VMID]uint64
}

func newFleet(count int) *fleet {
	f := &fleet{vms: map[ferry.VMID]*Controller{}, isBlocked: map[[2]ferry.VMID]bool{}, incarnations: map[ferry.VMID]uint64{}}
	for i := range count {
		f.list.VMs = append(f.list.VMs, ferry.VM{ID: ferry.VMID(fmt.Sprintf("vm-%d", i)), Place: "p"})
	}
	for _, vm := range f.list.VMs {
		f.restart(vm)
	}
	return f
}

func (f *fleet) restart(vm ferry.VM) {
	f.incarnations[vm.ID]++
	f.vms[vm.ID] = NewController(vm, f.incarnations[vm.ID])
	f.vms[vm.ID].SetReady(true)
	f.step(vm.ID, ListEvent{List: f.list})
}

func (f *fleet) step(id ferry.VMID, event Event) {
	c := f.vms[id]
	if c == nil {
		return
	}
	for _, action := range c.Step(ferry.Moment{Monotonic: f.now}, event) {
		heartbeat, ok := action.(HeartbeatAction)
		if !ok || f.isBlocked[[2]ferry.VMID{id, heartbeat.To}] {
			continue
		}
		f.step(heartbeat.To, HelloEvent{VM: c.self.VM, Incarnation: c.self.Incarnation})
		f.step(heartbeat.To, HeartbeatEvent{
			From: id, Incarnation: c.self.Incarnation, Sequence: heartbeat.Sequence, Echo: heartbeat.Echo,
			EchoIncarnation: heartbeat.EchoIncarnation, Ready: true, Leaving: c.self.Leaving,
		})
	}
}

// run steps all VMs for the given time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, vm := range f.list.VMs {
			f.step(vm.ID, TickEvent{})
		}
	}
}

// up returns the number of shard holders in the view of a VM, itself included.
func (f *fleet) up(id ferry.VMID) int { return len(f.vms[id].View().Holders()) }

func TestAllVMsUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.run(3 * time.Second)
	for id := range f.vms {
		is.Equal(f.up(id), 4)
		is.Equal(len(f.vms[id].View().Serving()), 4)
	}
	is.Equal(f.vms["vm-2"].View().Rank, 2)
	is.Equal(f.vms["vm-2"].View().Listed, 4)
}

// TestOneWayPartition loses the messages from vm-0 to vm-1. Each counts the other as
// down, although vm-0 still receives the heartbeats of vm-1.
func TestOneWayPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(3 * time.Second)
	f.isBlocked[[2]ferry.VMID{"vm-0", "vm-1"}] = true
	f.run(2 * HeartbeatTimeout)
	is.Equal(f.up("vm-0"), 2)
	is.Equal(f.up("vm-1"), 2)
	is.Equal(f.up("vm-2"), 3)
	delete(f.isBlocked, [2]ferry.VMID{"vm-0", "vm-1"})
	f.run(3 * time.Second)
	is.Equal(f.up("vm-0"), 3)
}

// TestKilledAndRestarted replaces the process of a VM by a new one.
func TestKilledAndRestarted(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(3 * time.Second)
	delete(f.vms, "vm-1")
	f.run(HeartbeatTimeout + time.Second)
	is.Equal(f.up("vm-0"), 2)
	f.restart(f.list.VMs[1])
	f.run(3 * time.Second)
	is.Equal(f.up("vm-0"), 3)
	is.Equal(f.up("vm-1"), 3)
	// A heartbeat of the previous process is ignored.
	f.step("vm-0", HeartbeatEvent{From: "vm-1", Incarnation: 1, Sequence: 1 << 40, Leaving: true})
	is.Equal(f.up("vm-0"), 3)
}

// TestFrozenVM freezes a VM until the others count it as down, and resumes it.
func TestFrozenVM(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(3 * time.Second)
	frozen := f.vms["vm-0"]
	delete(f.vms, "vm-0")
	f.run(10 * time.Second)
	is.Equal(f.up("vm-1"), 2)
	f.vms["vm-0"] = frozen
	f.run(3 * time.Second)
	is.Equal(f.up("vm-0"), 3)
	is.Equal(f.up("vm-1"), 3)
}

// TestLeaving starts the planned stop of a VM. The others no longer list it as
// a shard holder or as serving.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(3 * time.Second)
	f.step("vm-2", LeaveEvent{})
	is.Equal(f.up("vm-0"), 2) // without waiting for the next heartbeat
	f.run(2 * time.Second)
	is.Equal(f.up("vm-0"), 2)
	is.Equal(f.up("vm-2"), 2) // it does not count itself
	is.Equal(len(f.vms["vm-0"].View().Serving()), 2)
}

// TestUnlistedVM adds a VM that the outdated list does not contain yet, and
// removes it when no more messages come from it.
func TestUnlistedVM(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.list.VMs = f.list.VMs[:1]
	f.step("vm-0", ListEvent{List: f.list})
	f.run(3 * time.Second)
	f.step("vm-0", HelloEvent{VM: ferry.VM{ID: "vm-9"}, Incarnation: 1})
	is.Equal(len(f.vms["vm-0"].View().Members), 2) // vm-1 is neither listed nor sends heartbeats
	is.Equal(f.vms["vm-0"].View().Listed, 1)
	f.run(removeAfter + time.Second)
	is.Equal(len(f.vms["vm-0"].View().Members), 1)
}
