package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// watchPollInterval is the time between two looks of a waiting watch.
	watchPollInterval = 5 * time.Millisecond
	// leaseCheckInterval is the time between two looks for leases that have ended.
	leaseCheckInterval = 50 * time.Millisecond
)

// item is an item of the store, or the event of its change.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]time.Time
	ttl      map[int64]time.Duration
	// late, if set, returns how much later a write takes effect that gets no answer.
	late func(writes []item) time.Duration
}

// startStore starts a store on an address.
func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.handleKey)
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /api/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /api/kv-lease", s.handleLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handleLeaseEnd)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) expireLeases() {
	for now := range time.Tick(leaseCheckInterval) {
		s.mu.Lock()
		for id, until := range s.leases {
			if now.After(until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys; the caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.removeItem(key)
		}
	}
}

// putItem writes an item at the present revision; the caller holds mu.
func (s *store) putItem(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
}

// removeItem removes an item at the present revision; the caller holds mu.
func (s *store) removeItem(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	}
}

// Put writes a value as the operator or an engine does.
func (s *store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putItem(key, data, 0)
}

// Remove removes a key as an engine's entry that has expired.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeItem(key)
}

// Value returns the value of a key.
func (s *store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("pathPrefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); r.Context().Err() == nil; time.Sleep(watchPollInterval) {
		s.mu.Lock()
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		events, revision := []item{}, s.revision
		for _, ev := range s.events[i:] {
			if strings.HasPrefix(ev.Key, r.FormValue("pathPrefix")) {
				events = append(events, ev)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	in := struct {
		ExpectedRev []item   `json:"expectedRev"`
		Writes      []item   `json:"writes"`
		Remove      []string `json:"remove"`
	}{}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.late != nil {
		if d := s.late(in.Writes); d > 0 {
			time.Sleep(d)
			defer func() { panic(http.ErrAbortHandler) }()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, expected := range in.ExpectedRev {
		it, ok := s.items[expected.Key]
		if ok {
			current = append(current, it)
		}
		conflict = conflict || it.Revision != expected.Revision
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range in.Writes {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, it := range in.Writes {
		s.putItem(it.Key, it.Value, it.Lease)
	}
	for _, key := range in.Remove {
		s.removeItem(key)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	in := struct {
		TTL int64 `json:"ttlMs"`
	}{}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.ttl[id] = time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttl[id])
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": in.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": s.ttl[id].Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}
