//go:build !race

package lead

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"net/netip"
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

// restore restores the store from a copy, in a new epoch.
func (s *simulation) restore(copied storeCopy) {
	epoch := ferry.Revision(s.revision).Epoch() + 1
	inEpoch := func(revision uint64) uint64 {
		next, _ := ferry.NewRevision(epoch, ferry.Revision(revision).Number())
		return uint64(next)
	}
	s.records = map[string]ferry.Record{}
	for key, record := range copied.records {
		record.Revision = inEpoch(record.Revision)
		s.records[key] = record
	}
	s.revision, s.compacted = inEpoch(copied.revision), inEpoch(0)
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

// After the store was restored from a copy, few VMs list it, and all have the new state
// soon, at every size of the fleet.
func TestReadsAfterRestore(t *testing.T) {
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

// Through restores beside outages, partitions, kills and suspensions, no proof covers a change
// that the VM lacks, and no VM's records go back.
func TestProofsHoldThroughRestores(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		size := len(s.vms)
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

// sequenceDecoder is a testDecoder for bodies that are numbers, the larger the newer.
type sequenceDecoder struct{ testDecoder }

// Compare implements ferry.RecordDecoder.
func (sequenceDecoder) Compare(a, b ferry.Record) int {
	return cmp.Or(cmp.Compare(len(a.Body), len(b.Body)), bytes.Compare(a.Body, b.Body))
}

// What is older than what a VM has doesn't replace it in a later epoch of the store, and is
// passed on as what the VM has. What is as old or newer does, but for what has been deleted.
func TestOlderCopyUndoesNothing(t *testing.T) {
	t.Parallel()
	epoch, _ := ferry.NewRevision(1, 2)
	for _, c := range []struct {
		name      string
		isDeleted bool
		body      string
		want      string
		kept      uint64
	}{
		{"older", false, "7", "8", 1},
		{"the same", false, "8", "8", 0},
		{"newer", false, "9", "9", 0},
		{"older than before the deletion", true, "7", "", 1},
		{"as before the deletion", true, "8", "", 1},
		{"newer than before the deletion", true, "9", "9", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var records Records
			merge := func(after, revision uint64, record ferry.Record) {
				record.Key, record.Revision = "target", revision
				_, ok := records.Merge(time.Second, Update{After: after, Revision: revision, Records: []UpdateRecord{{Record: record}}}, sequenceDecoder{})
				is.True(ok)
			}
			merge(0, 5, ferry.Record{Body: []byte("8")})
			if c.isDeleted {
				merge(5, 6, ferry.Record{Deleted: true})
			}
			merge(0, uint64(epoch), ferry.Record{Body: []byte(c.body)})
			live, _ := records.Live(time.Minute)
			if c.want == "" {
				is.Equal(len(live), 0)
			} else {
				is.Equal(string(live[0].Body), c.want)
			}
			is.Equal(records.kept, c.kept)
			passedOn := records.Since(time.Second, 6)
			is.Equal(len(passedOn.Records), 1)
			is.Equal(passedOn.Records[0].Revision, uint64(epoch))
			is.Equal(string(passedOn.Records[0].Body), c.want)
		})
	}
}

// A response of an earlier epoch of the store renews no proof, and nothing is taken from it.
func TestOutdatedReadProvesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := NewController(ferry.Moment{}, VM{Peers: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}, nil, testDecoder{}, Options{CanRead: true})
	read := func(at time.Duration, epoch, number uint64) {
		revision, _ := ferry.NewRevision(epoch, number)
		now := ferry.Moment{Monotonic: at, Wall: at}
		c.Step(now, ReadEnded{Sent: now, Full: true, Listing: ferry.Listing{
			Revision: uint64(revision), Records: []ferry.Record{{Key: "target", Revision: uint64(revision), Body: []byte(fmt.Sprint(epoch))}},
		}})
	}
	read(time.Second, 2, 5)
	before, _ := c.Proof()
	read(2*time.Second, 1, 900)
	proof, hasProof := c.Proof()
	is.True(hasProof)
	is.Equal(proof, before)
	is.Equal(c.OutdatedReads(), uint64(1))
	is.Equal(string(c.Live(ferry.Moment{Monotonic: 3 * time.Second})[0].Body), "2")
	read(4*time.Second, 2, 6)
	proof, _ = c.Proof()
	is.True(proof != before)
}

// A target that has left isn't back in use when its entry is removed once more, while
// deletions are held after an outage or a restore.
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
