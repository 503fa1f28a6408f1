package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// freshMargin is kept from the operators' bound on withdrawn keys for the time
// between the check and the arrival at the target.
const freshMargin = 500 * time.Millisecond

// state is what requests read. The loop writes it.
type state struct {
	clock  ferry.Clock
	bounds atomic.Pointer[conf.Bounds]
	view   atomic.Pointer[conf.View]
	proof  atomic.Pointer[ferry.Moment]
}

// Snapshot implements relay.Snapshots.
func (s *state) Snapshot() ferry.Snapshot {
	view := s.view.Load()
	if view == nil {
		return nil
	}
	return view
}

// age returns the time since the configuration was known to be current.
func (s *state) age() (time.Duration, bool) {
	proof := s.proof.Load()
	if proof == nil {
		return 0, false
	}
	return s.clock.Now().LongestSince(*proof), true
}

// IsCurrent implements relay.Freshness.
func (s *state) IsCurrent() bool {
	age, ok := s.age()
	return ok && age < s.bounds.Load().ApplyWithin
}

// MayRun implements relay.Guard.
func (s *state) MayRun(exchange *ferry.Exchange) bool {
	if exchange.Account == nil {
		return true
	}
	age, ok := s.age()
	if !ok || age >= s.bounds.Load().RevokeWithin-freshMargin {
		return false
	}
	account := s.view.Load().Account(exchange.Key)
	return account != nil && account.ID == exchange.Account.ID
}

// decoder turns records into what requests read and remembers what it decoded.
type decoder struct {
	catalog ferry.RecordDecoder
	log     *slog.Logger
	targets map[string]decoded
	config  uint64
}

// decoded is a decoded record.
type decoded struct {
	revision uint64
	target   ferry.Target
	isUsable bool
}

// decode returns the targets, and the inventory if it is a new one.
func (d *decoder) decode(records []ferry.Record) (inventory *ferry.Inventory, targets []ferry.Target) {
	next := make(map[string]decoded, len(records))
	for _, record := range records {
		if d.catalog.IsInventory(record) {
			if record.Revision > d.config {
				d.config = record.Revision
				inventory = d.inventory(record)
			}
			continue
		}
		known, found := d.targets[record.Key]
		if !found || known.revision != record.Revision {
			known = d.target(record)
		}
		next[record.Key] = known
		if known.isUsable {
			targets = append(targets, known.target)
		}
	}
	d.targets = next
	return inventory, targets
}

func (d *decoder) inventory(record ferry.Record) *ferry.Inventory {
	inventory, _, err := d.catalog.Inventory(record)
	if err != nil {
		d.log.Error("configuration rejected", "revision", record.Revision, "error", err)
		return nil
	}
	return inventory
}

func (d *decoder) target(record ferry.Record) decoded {
	target, ok, err := d.catalog.Target(record)
	if err != nil {
		d.log.Warn("target entry not usable", "key", record.Key, "revision", record.Revision, "error", err)
	}
	return decoded{revision: record.Revision, target: target, isUsable: ok && err == nil}
}
