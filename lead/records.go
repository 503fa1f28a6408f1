package lead

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

const (
	// tombstoneRetention is how long a deletion is kept, so that VMs that were
	// disconnected receive it in a delta.
	tombstoneRetention = time.Minute
	// maxDictionaries is the number of configurations that are kept as
	// dictionaries.
	maxDictionaries = 8
	// dictionaryIDShift shortens the IDs of dictionaries to 32 bits.
	dictionaryIDShift = 32
)

type recordEntry struct {
	ferry.Record
	receivedAt time.Duration
	// finalAt is the monotonic time from which a deletion is final.
	finalAt time.Duration
	// lastBody is the body before the deletion.
	lastBody []byte
}

// dictionary is the body of a configuration that serves to compress updates. VMs name it
// by its contents: after a change of the epoch, one revision may have two.
type dictionary struct {
	id   uint64
	body []byte
}

// dictionaryID returns the ID of the dictionary with a body, which is not zero.
func dictionaryID(body []byte) uint64 { return max(1, xxhash.Sum64(body)>>dictionaryIDShift) }

// Records are the published records that this VM has. The zero Records are empty
// and ready to use.
type Records struct {
	revision uint64
	// compactedRevision is the revision up to which deletions may have been
	// dropped.
	compactedRevision uint64
	entries           map[string]recordEntry
	configs           []dictionary
	// kept counts the records that an older copy of the store did not replace.
	kept uint64
}

// Update is a set of records that continues the state at After. An Update with
// After zero holds all records.
type Update struct {
	After    uint64
	Revision uint64
	Records  []UpdateRecord
	// Hold is the time for which the deletion of records that are absent is not final. It
	// is not sent.
	Hold time.Duration
}

// UpdateRecord is a record and the time for which its deletion is not final.
type UpdateRecord struct {
	ferry.Record
	Hold time.Duration
}

// Revision returns the revision up to which all changes are included.
func (r *Records) Revision() uint64 { return r.revision }

// DictionaryID returns the ID of the last configuration as a dictionary, or zero.
func (r *Records) DictionaryID() uint64 {
	if len(r.configs) == 0 {
		return 0
	}
	return r.configs[len(r.configs)-1].id
}

// dictionary returns the body of the configuration with an ID, or nil.
func (r *Records) dictionary(id uint64) []byte {
	for _, config := range r.configs {
		if config.id == id {
			return config.body
		}
	}
	return nil
}

// Merge applies an update and returns the records that changed. ok is false if
// the update continues a later revision.
func (r *Records) Merge(now time.Duration, update Update, decoder ferry.RecordDecoder) (changed []ferry.Record, ok bool) {
	if update.After > r.revision {
		return nil, false
	}
	if r.entries == nil {
		r.entries = map[string]recordEntry{}
	}
	isPresent := map[string]bool{}
	for _, record := range update.Records {
		isPresent[record.Key] = true
		if r.put(now, record, decoder) {
			changed = append(changed, record.Record)
		}
	}
	if update.After == 0 {
		changed = append(changed, r.deleteAbsent(now, update, isPresent, decoder)...)
	}
	r.revision = max(r.revision, update.Revision)
	r.compact(now)
	return changed, true
}

// put stores a record unless the stored one is as new. Of equal deletions the
// earlier finalAt is kept.
func (r *Records) put(now time.Duration, record UpdateRecord, decoder ferry.RecordDecoder) bool {
	stored, found := r.entries[record.Key]
	finalAt := now + record.Hold
	if found && stored.Revision >= record.Revision {
		if stored.Revision == record.Revision && stored.Deleted && finalAt < stored.finalAt {
			stored.finalAt = finalAt
			r.entries[record.Key] = stored
			return true
		}
		return false
	}
	if found && isOlderCopy(record.Record, stored, decoder) {
		// What this VM knows is in force, as a record of the new epoch.
		stored.Revision, stored.receivedAt = record.Revision, now
		r.entries[record.Key] = stored
		r.kept++
		return false
	}
	entry := recordEntry{Record: record.Record, receivedAt: now, finalAt: finalAt}
	if record.Deleted && found {
		entry.lastBody = stored.Body
		if stored.Deleted {
			// A deletion that is final stays so.
			entry.lastBody, entry.finalAt = stored.lastBody, min(stored.finalAt, finalAt)
		}
	}
	r.entries[record.Key] = entry
	if !record.Deleted && decoder.IsInventory(record.Record) {
		r.configs = append(r.configs, dictionary{id: dictionaryID(record.Body), body: record.Body})
		if len(r.configs) > maxDictionaries {
			r.configs = r.configs[1:]
		}
	}
	return true
}

// isOlderCopy reports whether a record is of a later epoch of the store than the stored one
// and says nothing newer: the store was restored from a copy of before.
func isOlderCopy(record ferry.Record, stored recordEntry, decoder ferry.RecordDecoder) bool {
	if record.Deleted || ferry.Revision(record.Revision).Epoch() == ferry.Revision(stored.Revision).Epoch() {
		return false
	}
	known := stored.Record
	if stored.Deleted {
		known.Body = stored.lastBody
	}
	order := decoder.Compare(record, known)
	return order < 0 || order == 0 && stored.Deleted && len(known.Body) > 0
}

// deleteAbsent marks the records that are missing in a full update as deleted.
func (r *Records) deleteAbsent(now time.Duration, update Update, isPresent map[string]bool, decoder ferry.RecordDecoder) []ferry.Record {
	var changed []ferry.Record
	hold := update.Hold
	for _, record := range update.Records {
		hold = max(hold, record.Hold)
	}
	for key, stored := range r.entries {
		if isPresent[key] || stored.Deleted || stored.Revision > update.Revision {
			continue
		}
		deletion := UpdateRecord{Record: ferry.Record{Key: key, Revision: update.Revision, Deleted: true}, Hold: hold}
		if r.put(now, deletion, decoder) {
			changed = append(changed, deletion.Record)
		}
	}
	return changed
}

// compact drops deletions older than tombstoneRetention.
func (r *Records) compact(now time.Duration) {
	for key, stored := range r.entries {
		if stored.Deleted && now-stored.receivedAt > tombstoneRetention {
			r.compactedRevision = max(r.compactedRevision, stored.Revision)
			delete(r.entries, key)
		}
	}
}

// Since returns the update from the state at after to the present one. It holds
// all records if deletions after that state were dropped.
func (r *Records) Since(now time.Duration, after uint64) Update {
	if after < r.compactedRevision {
		after = 0
	}
	update := Update{After: after, Revision: r.revision}
	for _, stored := range r.entries {
		if stored.Revision <= after {
			continue
		}
		record := UpdateRecord{Record: stored.Record}
		if stored.Deleted {
			record.Hold = max(0, stored.finalAt-now)
		}
		update.Records = append(update.Records, record)
	}
	slices.SortFunc(update.Records, func(a, b UpdateRecord) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	return update
}

// Live returns the records in force at now, ordered by key: those that exist and
// those whose deletion is not final yet. next is the monotonic time at which the next deletion
// becomes final, or zero.
func (r *Records) Live(now time.Duration) (records []ferry.Record, next time.Duration) {
	for _, stored := range r.entries {
		if !stored.Deleted {
			records = append(records, stored.Record)
			continue
		}
		if len(stored.lastBody) == 0 || stored.finalAt <= now {
			continue
		}
		record := stored.Record
		record.Deleted, record.Body = false, stored.lastBody
		records = append(records, record)
		if next == 0 || stored.finalAt < next {
			next = stored.finalAt
		}
	}
	slices.SortFunc(records, func(a, b ferry.Record) int { return strings.Compare(a.Key, b.Key) })
	return records, next
}
