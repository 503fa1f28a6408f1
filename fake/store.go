package fake

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store implements the protocol of the operators' store, which VMs of the node command
// read. It is safe for concurrent use.
type Store struct {
	// PageSize is the largest number of items in a page of a range.
	PageSize int
	// OnPage runs before each page, so that a test can change the store between pages.
	OnPage func()

	mux *http.ServeMux

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]storedItem
	// compacted is the revision up to which the history is discarded.
	compacted uint64
	// epoch is the number of times that the store was restored from a copy, plus one.
	epoch uint64
	// faultStatus is the status code with which calls are refused, or 0 for none.
	faultStatus int
	// faultHosts are the caller hosts to which the fault applies; none means all.
	faultHosts map[string]bool
}

// Faults of a Store beside status codes.
const (
	// HangFault sends no response.
	HangFault = -1
	// ResetFault closes the connection.
	ResetFault = -2
)

// epochHeader is the header field with the epoch of a Store.
const epochHeader = "Store-Era"

// hangTime is the time for which HangFault keeps a call.
const hangTime = 3 * time.Second

// storePage is the page size of a new Store.
const storePage = 500

type storedItem struct {
	value    []byte
	revision uint64
	deleted  bool
}

// NewStore returns a store without items.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), items: map[string]storedItem{}, PageSize: storePage, revision: 3, epoch: 1, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /-/kv-key", s.serveKey)
	s.mux.HandleFunc("GET /-/kv-range", s.serveRange)
	s.mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setEpoch(w)
	if !s.injectFault(w, r) {
		s.mux.ServeHTTP(w, r)
	}
}

// setEpoch states the present epoch in the header of a response.
func (s *Store) setEpoch(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
}

// StoreCopy is a copy of the items of a Store.
type StoreCopy struct {
	items    map[string]storedItem
	revision uint64
}

// Copy returns a copy of the present items.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces the items by those of a copy and begins a new epoch. Revisions go back to
// that of the copy, and calls for the changes after a later one get 410.
func (s *Store) Restore(copied StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.compacted = maps.Clone(copied.items), copied.revision, min(s.compacted, copied.revision)
	s.epoch++
	s.notifyWatchers()
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// injectFault applies the current fault. It reports whether it ended the call.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request) bool {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	fault := s.faultStatus
	if len(s.faultHosts) > 0 && !s.faultHosts[host] {
		fault = 0
	}
	changed := s.changed
	s.mu.Unlock()
	switch fault {
	case 0:
		return false
	case HangFault:
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(hangTime):
		}
		panic(http.ErrAbortHandler)
	case ResetFault:
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(fault)
	return true
}

// SetFault sets the fault of calls, of all callers or of those with the given addresses:
// a status code, HangFault, ResetFault, or 0 for none.
func (s *Store) SetFault(fault int, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultStatus, s.faultHosts = fault, map[string]bool{}
	for _, host := range hosts {
		s.faultHosts[host] = true
	}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an item.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storedItem{value: []byte(value), revision: s.revision}
	s.notifyWatchers()
}

// Remove deletes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storedItem{revision: s.revision, deleted: true}
	s.notifyWatchers()
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notifyWatchers()
}

func itemDocument(key string, item storedItem) map[string]any {
	if item.deleted {
		return map[string]any{"key": key, "revision": item.revision, "deleted": true}
	}
	return map[string]any{
		"key": key, "value": base64.StdEncoding.EncodeToString(item.value),
		"revision": item.revision, "created": item.revision, "lease": 0,
	}
}

func writeJSON(w http.ResponseWriter, response map[string]any) {
	body, err := json.Marshal(response)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.URL.Query().Get("key")
	item, found := s.items[key]
	if !found || item.deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	response := itemDocument(key, item)
	response["asOf"] = s.revision
	writeJSON(w, response)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.OnPage != nil {
		s.OnPage()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after && !item.deleted {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > s.PageSize
	items := []any{}
	for _, key := range keys[:min(len(keys), s.PageSize)] {
		items = append(items, itemDocument(key, s.items[key]))
	}
	writeJSON(w, map[string]any{"items": items, "truncated": truncated, "asOf": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		isCompacted := after < s.compacted || after > s.revision
		events, asOf, changed := s.eventsAfter(r.URL.Query().Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		s.setEpoch(w)
		if isCompacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": []any{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
		if s.injectFault(w, r) {
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) []any {
	events := []any{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.revision > after {
			events = append(events, itemDocument(key, item))
		}
	}
	return events
}
