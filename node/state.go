package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/check"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/relay"
)

// revokeMargin is subtracted from the operators' bound on the use of withdrawn
// keys. It covers the time between the check and the arrival at the target.
const revokeMargin = 500 * time.Millisecond

// maxLoggedFindings is the number of findings of one configuration that are logged, of
// the decoder and of the checks each.
const maxLoggedFindings = 20

// requestState holds the state that requests read. The loop writes it: a configuration
// before the proof that it is current. Requests read the proof before the configuration
// in force, so that they never see a proof that is newer than the configuration.
type requestState struct {
	clock    ferry.Clock
	bounds   atomic.Pointer[conf.Bounds]
	snapshot atomic.Pointer[conf.Snapshot]
	// proof is the proof of freshness: when the records were last known to be current.
	// It also holds for a configuration record that could not be used: the former
	// configuration and its keys stay in force, for as long as that record is the latest.
	proof atomic.Pointer[ferry.Moment]
	// first is closed once the first configuration is in force, with a proof.
	first     chan struct{}
	firstOnce sync.Once
}

// WaitFirst implements relay.Snapshots.
func (s *requestState) WaitFirst(ctx context.Context) ferry.Snapshot {
	select {
	case <-s.first:
	case <-ctx.Done():
	}
	return s.Snapshot()
}

// endFirstWait lets the requests go on that wait for the first configuration.
func (s *requestState) endFirstWait() {
	if s.snapshot.Load() != nil {
		s.firstOnce.Do(func() { close(s.first) })
	}
}

// Snapshot implements relay.Snapshots.
func (s *requestState) Snapshot() ferry.Snapshot {
	snapshot := s.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot
}

// proofAge returns the time since the proof of freshness, or false without one.
func (s *requestState) proofAge() (time.Duration, bool) {
	proof := s.proof.Load()
	if proof == nil {
		return 0, false
	}
	return s.clock.Now().LongestSince(*proof), true
}

// freshWithin returns the time within which this VM has to act on any change of the store.
func freshWithin(bounds conf.Bounds) time.Duration {
	bounds = bounds.WithDefaults()
	return min(bounds.ApplyWithin, bounds.DrainWithin, bounds.EvacuateWithin, bounds.RevokeWithin-revokeMargin)
}

// hasCurrentProof reports whether the proof of freshness is recent enough for final
// refusals.
func (s *requestState) hasCurrentProof() bool {
	age, ok := s.proofAge()
	return ok && age < s.bounds.Load().ApplyWithin
}

// IsCurrent implements relay.Freshness. A configuration that was replaced while the
// request was handled is not current: the proof may be that of the next one.
func (s *requestState) IsCurrent(snapshot ferry.Snapshot) bool {
	return s.hasCurrentProof() && s.Snapshot() == snapshot
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
	// The configuration is read after the proof.
	account := s.snapshot.Load().Account(exchange.Key)
	return account != nil && account.ID == exchange.Account.ID
}

// recordCache decodes records and caches the decoded targets.
type recordCache struct {
	decoder        ferry.RecordDecoder
	log            *slog.Logger
	targets        map[string]decodedTarget
	configRevision uint64
	// rejected is the last configuration record that could not be used, or the zero
	// rejection after one that could.
	rejected rejection
	// rejections counts the configuration records that could not be used.
	rejections int
}

// rejection is a configuration record that could not be used.
type rejection struct {
	revision uint64
	reason   string
}

// decodedRecords is what the published records amount to.
type decodedRecords struct {
	// inventory is nil unless the configuration is new and can be used.
	inventory *ferry.Inventory
	targets   []ferry.Target
	// evacuated holds the places that operators asked to evacuate.
	evacuated map[ferry.PlaceID]bool
}

// decodedTarget is the result of decoding the record of a target.
type decodedTarget struct {
	revision uint64
	target   ferry.Target
	isUsable bool
}

// decode decodes the records. Only a configuration of a new revision is decoded.
func (c *recordCache) decode(records []ferry.Record) decodedRecords {
	decoded := decodedRecords{evacuated: map[ferry.PlaceID]bool{}}
	next := make(map[string]decodedTarget, len(records))
	for _, record := range records {
		if c.decoder.IsInventory(record) {
			if record.Revision > c.configRevision {
				c.configRevision = record.Revision
				decoded.inventory = c.inventory(record)
			}
			continue
		}
		if place, ok := c.decoder.Evacuation(record); ok {
			decoded.evacuated[place] = true
			continue
		}
		entry, found := c.targets[record.Key]
		if !found || entry.revision != record.Revision {
			entry = c.target(record, found && !entry.isUsable)
		}
		next[record.Key] = entry
		if entry.isUsable {
			decoded.targets = append(decoded.targets, entry.target)
		}
	}
	c.targets = next
	return decoded
}

// inventory decodes a configuration. One that can't be used leaves the former in
// force.
func (c *recordCache) inventory(record ferry.Record) *ferry.Inventory {
	inventory, _, err := c.decoder.Inventory(record)
	if err != nil {
		c.rejections++
		c.rejected = rejection{revision: record.Revision, reason: err.Error()}
		c.log.Error("configuration record rejected", "revision", ferry.Revision(record.Revision), "error", relay.BoundedError(err))
		return nil
	}
	c.rejected = rejection{}
	logFindings(c.log, inventory.Version, inventory.Findings)
	return inventory
}

// logFindings logs the first findings about a configuration.
func logFindings(log *slog.Logger, version uint64, findings []ferry.Finding) {
	for i, finding := range findings {
		if i == maxLoggedFindings {
			log.Warn("further configuration findings not logged", "version", version, "count", len(findings)-i)
			return
		}
		log.Warn("configuration finding", "version", version, "rule", finding.Rule, "path", finding.Path, "name", finding.Name, "text", finding.Text)
	}
}

// logEntries logs what the checks of operators find in a configuration, apart from the
// findings of the decoder.
func logEntries(log *slog.Logger, inventory *ferry.Inventory) {
	found := check.Entries(inventory, check.Context{}, check.DefaultLocator{})
	check.Sort(found)
	findings := make([]ferry.Finding, 0, len(found))
	for _, finding := range found {
		findings = append(findings, finding.Finding)
	}
	logFindings(log, inventory.Version, findings)
}

// target decodes the record of a target. An unusable one is logged once, until the
// record becomes usable: another writer may change it often.
func (c *recordCache) target(record ferry.Record, wasUnusable bool) decodedTarget {
	target, ok, err := c.decoder.Target(record)
	if err != nil && !wasUnusable {
		c.log.Warn("target record ignored", "key", record.Key, "revision", ferry.Revision(record.Revision), "error", relay.BoundedError(err))
	}
	return decodedTarget{revision: record.Revision, target: target, isUsable: ok && err == nil}
}
