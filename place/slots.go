package place

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

const (
	// dealInterval is the least time between two deals: while a fleet starts, its view
	// changes with every message.
	dealInterval = time.Second
	// maxDealtSlots is the number of slots of one target that are dealt at most. An
	// entry with an absurd number must not make the parts of all VMs absurd.
	maxDealtSlots = 256
	// maxMatches is the number of pairs of a target and a VM of one service and place that
	// a deal can order; slots beyond them have no owner.
	maxMatches = 1 << 22
)

// SlotKind tells whose slot a pick uses.
type SlotKind int

// Kinds of slots.
const (
	// SlotShared is a slot in the VM's place that it doesn't own.
	SlotShared SlotKind = iota
	// SlotOwned is a slot that the VM owns and did not use.
	SlotOwned
	// SlotOtherPlace is a slot in another place.
	SlotOtherPlace
)

// String implements fmt.Stringer.
func (k SlotKind) String() string {
	switch k {
	case SlotOwned:
		return "Owned"
	case SlotOtherPlace:
		return "OtherPlace"
	default:
		return "Shared"
	}
}

// SlotDeal summarizes a deal of the slots of a place to its VMs.
type SlotDeal struct {
	// VMs, Targets and Slots are those of the place that take part.
	VMs, Targets, Slots int
	// Owned is the number of slots that this VM owns, and Moved how many of them it
	// did not own before.
	Owned, Moved int
}

// slotState holds the state of the deals. The zero slotState has no VM.
type slotState struct {
	self  netip.AddrPort
	vms   []netip.AddrPort
	isDue bool
	// nextDealAt is the earliest time of the next deal.
	nextDealAt time.Duration
	// warmAt is the time at which the next cold target takes part.
	warmAt time.Duration
	last   SlotDeal
}

// SetPeers sets the VMs of this VM's place that serve callers, by the address that
// identifies them, in any order. A VM that is not among them owns nothing. SetPeers and
// DealSlots must be called from the goroutine that calls Update.
func (c *Chooser) SetPeers(self netip.AddrPort, vms []netip.AddrPort) {
	sorted := slices.SortedFunc(slices.Values(vms), netip.AddrPort.Compare)
	if self == c.slots.self && slices.Equal(sorted, c.slots.vms) {
		return
	}
	c.slots.self, c.slots.vms, c.slots.isDue = self, sorted, true
}

// DealSlots deals the slots of the place's targets to its VMs if VMs or targets changed
// since the last deal, at most once in dealInterval. ok reports that this VM's part
// changed.
//
// Every VM of a place computes the deal from what all of them know: the VMs of the place
// and the entries of its targets. No message passes; while their views differ, a slot
// has two owners or none for a moment, which only makes the preference weaker.
func (c *Chooser) DealSlots(now time.Duration) (deal SlotDeal, ok bool) {
	p := &c.slots
	isWarm := p.warmAt != 0 && now >= p.warmAt
	preference := c.even.Load().SlotPreference
	isOff := preference == 0 && p.last.Owned == 0
	if isOff || !p.isDue && !isWarm || now < p.nextDealAt {
		return p.last, false
	}
	p.isDue, p.nextDealAt, p.warmAt = false, now+dealInterval, 0
	deal.VMs = len(p.vms)
	self, _ := slices.BinarySearchFunc(p.vms, p.self, netip.AddrPort.Compare)
	isMember := self < len(p.vms) && p.vms[self] == p.self
	vms := make([]uint64, len(p.vms))
	for i, vm := range p.vms {
		vms[i] = hashVM(vm)
	}
	for id, s := range c.table.Load().services {
		dealt := c.dealtTargets(now, s)
		slots := make([]dealtTarget, len(dealt))
		for i, state := range dealt {
			slots[i] = dealtTarget{hash: xxhash.Sum64String(string(state.target.ID)), slots: min(state.target.Slots, maxDealtSlots)}
			deal.Slots += slots[i].slots
		}
		deal.Targets += len(dealt)
		var owned []int
		if isMember && preference > 0 {
			owned = dealTargets(xxhash.Sum64String(string(id)), slots, vms, self)
		}
		next := make(map[*targetState]int32, len(owned))
		for i, count := range owned {
			next[dealt[i]] = int32(count)
			deal.Owned += count
		}
		for _, state := range s.states {
			deal.Moved += int(max(0, next[state]-state.ownedSlots.Load()))
			state.ownedSlots.Store(next[state])
		}
	}
	before := p.last
	before.Moved = 0
	p.last = deal
	return deal, deal != before
}

// dealtTargets returns the targets of a service whose slots are dealt, ordered by ID:
// those in the VM's place that are neither cold nor evacuated. The notices and the
// health of a target don't matter: other VMs may not know them yet.
func (c *Chooser) dealtTargets(now time.Duration, s *service) []*targetState {
	var dealt []*targetState
	for _, state := range s.states {
		switch {
		case state.target.Place != c.place || state.target.Slots <= 0 || state.evacuation.Load() != nil:
		case state.isCold(now):
			if warmAt := time.Duration(state.coldUntil.Load()); c.slots.warmAt == 0 || warmAt < c.slots.warmAt {
				c.slots.warmAt = warmAt
			}
		default:
			dealt = append(dealt, state)
		}
	}
	slices.SortFunc(dealt, func(a, b *targetState) int { return strings.Compare(string(a.target.ID), string(b.target.ID)) })
	return dealt
}

// dealtTarget is a target whose slots are dealt.
type dealtTarget struct {
	hash  uint64
	slots int
}

// dealTargets returns how many slots of each target one VM owns. The parts of any two VMs
// differ by one slot at most. Matches are served by rank, a hash, each with as many slots as the
// target has left and the VM may still take, so that a VM owns most slots of few targets;
// a VM or target that comes or goes moves few of the others.
func dealTargets(service uint64, targets []dealtTarget, vms []uint64, self int) []int {
	total := 0
	left := make([]int, len(targets))
	// A match is its rank with the numbers of target and VM in the lowest bits.
	matches := make([]uint64, 0, len(targets)*len(vms))
	for i, target := range targets {
		total += target.slots
		left[i] = target.slots
		for _, vm := range vms {
			matches = append(matches, mix(target.hash^vm)&^(maxMatches-1)|uint64(len(matches))&(maxMatches-1))
		}
	}
	slices.Sort(matches)
	parts := divideSlots(service, total, vms)
	owned := make([]int, len(targets))
	for _, m := range matches {
		number := int(m & (maxMatches - 1))
		target, vm := number/len(vms), number%len(vms)
		count := min(left[target], parts[vm])
		left[target] -= count
		parts[vm] -= count
		if vm == self {
			owned[target] += count
		}
	}
	return owned
}

// divideSlots returns the number of slots of each VM. Which VMs get one more differs
// between services, so that no VM gets the remainder of all.
func divideSlots(service uint64, total int, vms []uint64) []int {
	parts := make([]int, len(vms))
	order := make([]int, len(vms))
	for i := range vms {
		parts[i] = total / len(vms)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(mix(service^vms[b]), mix(service^vms[a])), cmp.Compare(a, b))
	})
	for _, i := range order[:total-total/max(1, len(vms))*len(vms)] {
		parts[i]++
	}
	return parts
}

func hashVM(vm netip.AddrPort) uint64 {
	address := vm.Addr().As16()
	return xxhash.Sum64(binary.BigEndian.AppendUint16(address[:], vm.Port()))
}

// mix spreads the bits of x: the finalizer of the generator splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// slotKind tells whose slot a request would use. An owned slot of a target that is cold,
// not taken for healthy or filled by other VMs is no reason to go there.
func slotKind(s *targetState, input *CostInput) SlotKind {
	switch {
	case input.Distance != ferry.SamePlace:
		return SlotOtherPlace
	case input.OwnRequests < int(s.ownedSlots.Load()) && input.LogOdds <= healthyLogOdds && !input.Cold && Wait(*input) == 0:
		return SlotOwned
	default:
		return SlotShared
	}
}

// slotsOfOthers returns the slots on which the other VMs' average use is expected.
func (s *targetState) slotsOfOthers(slots int) int {
	return max(0, slots-int(s.ownedSlots.Load()))
}

// OwnedSlots counts the slots that a VM owns.
type OwnedSlots struct{ Owned, InUse int }

// OwnedSlots returns how many slots this VM owns and uses now.
func (c *Chooser) OwnedSlots() OwnedSlots {
	var count OwnedSlots
	for _, s := range c.table.Load().services {
		for _, state := range s.states {
			owned := int(state.ownedSlots.Load())
			count.Owned += owned
			count.InUse += min(owned, int(state.ownRequests.Load()))
		}
	}
	return count
}
