//go:build !race

package lead

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonferry.org/ferry"
)

// storeCopy is a copy of the records of a simulated store.
type storeCopy struct {
	records  map[string]ferry.Record
	revision uint64
}

func (s *simulation) copyStore() storeCopy {
	return storeCopy{records: maps.Clone(s.records), revision: s.revision}
}

// restore brings the store back from a copy, in a new era.
func (s *simulation) restore(copied storeCopy) {
	era := ferry.Revision(s.revision).Era() + 1
	inEra := func(revision uint64) uint64 {
		next, _ := ferry.NewRevision(era, ferry.Revision(revision).Number())
		return uint64(next)
	}
	s.records = map[string]ferry.Record{}
	for key, record := range copied.records {
		record.Revision = inEra(record.Revision)
		s.records[key] = record
	}
	s.revision, s.compacted = inEra(copied.revision), inEra(0)
	s.revisions = append(s.revisions, revisionTime{at: s.now, revision: s.revision})
	for _, vm := range s.vms {
		vm.isStoreUnreachable = true
	}
	s.dropCalls()
	for _, vm := range s.vms {
		vm.isStoreUnreachable = false
	}
}

// hasAll reports whether all VMs have the present state of the store.
func (s *simulation) hasAll() bool {
	for _, vm := range s.vms {
		if records, _ := vm.controller.Revisions(); vm.alive && records < s.revision {
			return false
		}
	}
	return true
}

// After the store has come back from a copy, few VMs list it, and all have the new state
// soon, at every size of the fleet.
func TestReadsAfterDrill(t *testing.T) {
	t.Parallel()
	for _, size := range []int{36, 107, 293, 420} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSimulation(21, size)
			s.startAll()
			s.run(10*time.Second, nil)
			copied := s.copyStore()
			for i := range 20 {
				s.putRecord(fmt.Sprint("target", i), "body")
			}
			s.run(s.now+2*time.Second, nil)
			s.isStoreDown = true
			s.run(s.now+300*time.Millisecond, nil)
			s.isStoreDown = false
			s.storeCalls, s.fullLists = 0, 0
			s.restore(copied)
			s.putRecord("target0", "written again")
			restoredAt := s.now
			for !s.hasAll() && s.now-restoredAt < 10*time.Second {
				s.run(s.now+10*time.Millisecond, nil)
			}
			took := s.now - restoredAt
			s.run(restoredAt+10*time.Second, nil)
			t.Logf("%d VMs: all have the new state after %v; %d calls, %d of them lists, in 10 s", size, took, s.storeCalls, s.fullLists)
			is.True(took < 2*time.Second)
			// The store allows 2,000 calls a second to all VMs together.
			is.True(s.storeCalls < 2000)
			is.True(s.fullLists <= size/3)
		})
	}
}

// Through drills beside outages, partitions, kills and suspensions, no proof covers a change
// that the VM lacks, and no VM's records go back.
func TestProofsHoldThroughDrills(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(t, "size")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), size)
		s.places = rapid.IntRange(1, 3).Draw(t, "places")
		s.startAll()
		s.run(6*time.Second, nil)
		copied := s.copyStore()
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			i := rapid.IntRange(0, size-1).Draw(t, "vm")
			switch rapid.IntRange(0, 8).Draw(t, "fault") {
			case 0, 1, 2:
				s.restore(copied)
			case 3:
				copied = s.copyStore()
			case 4:
				s.isStoreDown = !s.isStoreDown
			case 5:
				s.vms[i].isStoreUnreachable = !s.vms[i].isStoreUnreachable
			case 6:
				s.kill(i)
				s.start(i)
			case 7:
				s.setPartition(i, true, true, rapid.Bool().Draw(t, "cut"))
			case 8:
				s.suspend(i, time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms"))*time.Millisecond)
			}
			s.putRecord("target"+fmt.Sprint(i), fmt.Sprint(s.now))
			s.run(s.now+time.Duration(rapid.IntRange(50, 3000).Draw(t, "wait"))*time.Millisecond, func() {
				if err := checkProofs(s); err != nil {
					t.Fatalf("at %v: %v", s.now, err)
				}
			})
		}
		s.isStoreDown = false
		for i := range s.vms {
			s.setPartition(i, true, true, false)
			s.vms[i].isStoreUnreachable = false
		}
		s.run(s.now+10*time.Second, nil)
		if !s.hasAll() {
			t.Fatalf("at %v: a VM lacks the present state", s.now)
		}
	})
}

// A target that has left isn't back in use when its entry is removed once more, while
// deletions are held after an outage or a drill.
func TestFinalDeletionStaysFinal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var records Records
	put := func(now time.Duration, after, revision uint64, hold time.Duration, record ferry.Record) {
		record.Key, record.Revision = "target", revision
		_, ok := records.Merge(now, Update{After: after, Revision: revision, Records: []UpdateRecord{{Record: record, Hold: hold}}}, testDecoder{})
		is.True(ok)
	}
	put(0, 0, 1, 0, ferry.Record{Body: []byte("ready")})
	put(time.Second, 1, 2, 0, ferry.Record{Deleted: true})
	live, _ := records.Live(2 * time.Second)
	is.Equal(len(live), 0)
	put(2*time.Second, 2, 3, deletionHold, ferry.Record{Deleted: true})
	live, _ = records.Live(2*time.Second + deletionHold/2)
	is.Equal(len(live), 0)
}
