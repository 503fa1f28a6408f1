package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
)

// revokeMargin is subtracted from the operators' bound on the use of withdrawn
// keys. It covers the time between the check and the arrival at the target.
const revokeMargin = 500 * time.Millisecond

// requestState holds the state that requests read. The loop writes it.
type requestState struct {
	clock  ferry.Clock
	bounds atomic.Pointer[conf.Bounds]
	// view is the configuration in force.
	view atomic.Pointer[conf.View]
	// proof is the proof of freshness: the latest moment at which the configuration
	// was known to be current.
	proof atomic.Pointer[ferry.Moment]
}

// Snapshot implements relay.Snapshots.
func (s *requestState) Snapshot() ferry.Snapshot {
	view := s.view.Load()
	if view == nil {
		return nil
	}
	return view
}

// proofAge returns the longest time that may have passed since the proof of
// freshness. It returns false if there is none yet.
func (s *requestState) proofAge() (time.Duration, bool) {
	proof := s.proof.Load()
	if proof == nil {
		return 0, false
	}
	return s.clock.Now().LongestSince(*proof), true
}

// IsCurrent implements relay.Freshness.
func (s *requestState) IsCurrent() bool {
	age, ok := s.proofAge()
	return ok && age < s.bounds.Load().ApplyWithin
}

// MayRun implements relay.Guard.
func (s *requestState) MayRun(exchange *ferry.Exchange) bool {
	if exchange.Account == nil {
		return true
	}
	age, ok := s.proofAge()
	if !ok || age >= s.bounds.Load().RevokeWithin-revokeMargin {
		return false
	}
	account := s.view.Load().Account(exchange.Key)
	return account != nil && account.ID == exchange.Account.ID
}

// recordDecoder decodes records into targets and the inventory. It caches the
// decoded targets and the last revision of the inventory.
type recordDecoder struct {
	catalog        ferry.RecordDecoder
	log            *slog.Logger
	targets        map[string]decodedTarget
	configRevision uint64
}

// decodedTarget is the result of decoding the record of a target.
type decodedTarget struct {
	revision uint64
	target   ferry.Target
	isUsable bool
}

// decode returns the targets, and the inventory if its revision is new.
func (d *recordDecoder) decode(records []ferry.Record) (inventory *ferry.Inventory, targets []ferry.Target) {
	next := make(map[string]decodedTarget, len(records))
	for _, record := range records {
		if d.catalog.IsInventory(record) {
			if record.Revision > d.configRevision {
				d.configRevision = record.Revision
				inventory = d.inventory(record)
			}
			continue
		}
		entry, found := d.targets[record.Key]
		if !found || entry.revision != record.Revision {
			entry = d.target(record)
		}
		next[record.Key] = entry
		if entry.isUsable {
			targets = append(targets, entry.target)
		}
	}
	d.targets = next
	return inventory, targets
}

func (d *recordDecoder) inventory(record ferry.Record) *ferry.Inventory {
	inventory, _, err := d.catalog.Inventory(record)
	if err != nil {
		d.log.Error("configuration record rejected", "revision", record.Revision, "error", err)
		return nil
	}
	return inventory
}

func (d *recordDecoder) target(record ferry.Record) decodedTarget {
	target, ok, err := d.catalog.Target(record)
	if err != nil {
		d.log.Warn("target record ignored", "key", record.Key, "revision", record.Revision, "error", err)
	}
	return decodedTarget{revision: record.Revision, target: target, isUsable: ok && err == nil}
}
