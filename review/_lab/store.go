package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	// isDown reports that the store is down and silent: it answers no call, also none
	// that came before.
	isDown bool
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// answer is the body of kv-range and kv-watch.
type answer struct {
	Items     []item `json:"items"`
	Events    []item `json:"events"`
	Truncated bool   `json:"truncated"`
	AsOf      uint64 `json:"asOf"`
}

func startStore() (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 100, items: map[string]item{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.hangIfDown(r)
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// setDown starts or ends an outage.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// hangIfDown waits until the caller gives up if the store is down.
func (s *store) hangIfDown(r *http.Request) {
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if isDown {
		<-r.Context().Done()
	}
}

// put writes a value. Its return is the ack.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putEncoded(key, encoded)
}

// putEncoded is like put, with a value that is already JSON.
func (s *store) putEncoded(key string, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.items[key].Created
	if created == 0 || s.items[key].Deleted {
		created = s.revision
	}
	s.items[key] = item{Key: key, Value: encoded, Revision: s.revision, Created: created}
	close(s.changed)
	s.changed = make(chan struct{})
}

func respondJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok || found.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respondJSON(w, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{found, revision})
}

// selectItems returns the items under a prefix that match, ordered by revision.
func (s *store) selectItems(prefix string, matches func(item) bool) []item {
	list := []item{}
	for key, candidate := range s.items {
		if strings.HasPrefix(key, prefix) && matches(candidate) {
			list = append(list, candidate)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
	return list
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	list := s.selectItems(r.URL.Query().Get("prefix"), func(i item) bool { return !i.Deleted && i.Key > after })
	respondJSON(w, answer{Items: list, AsOf: s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.hangIfDown(r)
		s.mu.Lock()
		list := s.selectItems(query.Get("prefix"), func(i item) bool { return i.Revision > after })
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			respondJSON(w, answer{Events: list, AsOf: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.hangIfDown(r)
			respondJSON(w, answer{Events: []item{}, AsOf: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
