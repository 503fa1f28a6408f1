package lead

import (
	"sort"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// keepDeleted is how long a deletion is remembered, so that VMs that were
	// away learn it from a delta.
	keepDeleted = time.Minute
	// keepConfigs is the number of configurations that serve as dictionaries.
	keepConfigs = 8
)

// held is a record together with what this VM knows about it.
type held struct {
	ferry.Record
	// since is the steady time at which the record came.
	since time.Duration
	// final is the steady time from which a deletion counts.
	final time.Duration
	// last is the body before a deletion that is not final.
	last []byte
}

// dictionary is the body of a configuration that packs others.
type dictionary struct {
	revision uint64
	body     []byte
}

// Records are the published records as far as this VM knows them. The zero
// Records are empty and ready to use.
type Records struct {
	revision uint64
	// floor is the revision up to which deletions may have been forgotten.
	floor   uint64
	entries map[string]held
	configs []dictionary
}

// Update is a set of records that continues the state at After. An Update
// with After zero holds all records.
type Update struct {
	After    uint64
	Revision uint64
	Records  []UpdateRecord
}

// UpdateRecord is a record and the time for which its deletion is not final.
type UpdateRecord struct {
	ferry.Record
	Hold time.Duration
}

// Revision returns the revision up to which every change is known.
func (r *Records) Revision() uint64 { return r.revision }

// ConfigRevision returns the revision of the last configuration, or zero.
func (r *Records) ConfigRevision() uint64 {
	if len(r.configs) == 0 {
		return 0
	}
	return r.configs[len(r.configs)-1].revision
}

// dictionary returns the body of the configuration at revision, or nil.
func (r *Records) dictionary(revision uint64) []byte {
	for _, config := range r.configs {
		if config.revision == revision {
			return config.body
		}
	}
	return nil
}

// Merge takes an update in and returns the records that changed. ok is false
// when the update does not continue what is known.
func (r *Records) Merge(now time.Duration, update Update, catalog ferry.RecordDecoder) (changed []ferry.Record, ok bool) {
	if update.After > r.revision {
		return nil, false
	}
	if r.entries == nil {
		r.entries = map[string]held{}
	}
	present := map[string]bool{}
	for _, record := range update.Records {
		present[record.Key] = true
		if r.put(now, record, catalog) {
			changed = append(changed, record.Record)
		}
	}
	if update.After == 0 {
		changed = append(changed, r.deleteAbsent(now, update, present, catalog)...)
	}
	r.revision = max(r.revision, update.Revision)
	r.forget(now)
	return changed, true
}

// put stores a record unless the known one is as new.
func (r *Records) put(now time.Duration, record UpdateRecord, catalog ferry.RecordDecoder) bool {
	known, found := r.entries[record.Key]
	final := now + record.Hold
	if found && known.Revision >= record.Revision {
		if known.Revision == record.Revision && known.Deleted && final < known.final {
			known.final = final
			r.entries[record.Key] = known
			return true
		}
		return false
	}
	entry := held{Record: record.Record, since: now, final: final}
	if record.Deleted && found {
		entry.last = known.Body
		if known.Deleted {
			entry.last = known.last
		}
	}
	r.entries[record.Key] = entry
	if !record.Deleted && catalog.IsInventory(record.Record) {
		r.configs = append(r.configs, dictionary{revision: record.Revision, body: record.Body})
		if len(r.configs) > keepConfigs {
			r.configs = r.configs[1:]
		}
	}
	return true
}

// deleteAbsent marks what a full update no longer holds as deleted.
func (r *Records) deleteAbsent(now time.Duration, update Update, present map[string]bool, catalog ferry.RecordDecoder) []ferry.Record {
	var changed []ferry.Record
	hold := time.Duration(0)
	for _, record := range update.Records {
		hold = max(hold, record.Hold)
	}
	for key, known := range r.entries {
		if present[key] || known.Deleted || known.Revision > update.Revision {
			continue
		}
		gone := UpdateRecord{Record: ferry.Record{Key: key, Revision: update.Revision, Deleted: true}, Hold: hold}
		if r.put(now, gone, catalog) {
			changed = append(changed, gone.Record)
		}
	}
	return changed
}

// forget drops old deletions.
func (r *Records) forget(now time.Duration) {
	for key, known := range r.entries {
		if known.Deleted && now-known.since > keepDeleted {
			r.floor = max(r.floor, known.Revision)
			delete(r.entries, key)
		}
	}
}

// Since returns the update that leads from the state at after to the present
// one. It holds all records when deletions after that state were forgotten.
func (r *Records) Since(now time.Duration, after uint64) Update {
	if after < r.floor {
		after = 0
	}
	update := Update{After: after, Revision: r.revision}
	for _, known := range r.entries {
		if known.Revision <= after {
			continue
		}
		record := UpdateRecord{Record: known.Record}
		if known.Deleted {
			record.Hold = max(0, known.final-now)
		}
		update.Records = append(update.Records, record)
	}
	sort.Slice(update.Records, func(i, j int) bool { return update.Records[i].Revision < update.Records[j].Revision })
	return update
}

// Live returns the records in force at now: those that exist and those whose
// deletion is not final yet. next is the steady time at which the next deletion
// becomes final, or zero.
func (r *Records) Live(now time.Duration) (records []ferry.Record, next time.Duration) {
	for _, known := range r.entries {
		if !known.Deleted {
			records = append(records, known.Record)
			continue
		}
		if len(known.last) == 0 || known.final <= now {
			continue
		}
		record := known.Record
		record.Deleted, record.Body = false, known.last
		records = append(records, record)
		if next == 0 || known.final < next {
			next = known.final
		}
	}
	return records, next
}
