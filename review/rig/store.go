package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHistory is the number of changes that a watch can still return.
	maxHistory = 4000
	// watchPoll is the time between two looks of a watch that waits.
	watchPoll = 5 * time.Millisecond
)

// item is one key of the store, as the store's interface states it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// txn is a conditional write.
type txn struct {
	ExpectedRev []item   `json:"expectedRev"`
	Writes      []item   `json:"writes"`
	Remove      []string `json:"remove"`
}

// store is a stand-in for the platform's store.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	leases   map[int64]time.Time
	ttl      map[int64]time.Duration
	done     chan struct{}
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: ln, items: map[string]item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{}, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	mux.HandleFunc("GET /api/kv-key", s.handleKey)
	mux.HandleFunc("POST /api/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /api/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handleRenew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handleRevoke)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) close() {
	close(s.done)
	_ = s.server.Close()
}

func (s *store) address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// write writes a key; the caller holds mu.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.appendEvent(it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendEvent(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) appendEvent(it item) {
	s.events = append(s.events, it)
	if len(s.events) > maxHistory {
		s.events = s.events[1:]
	}
}

func (s *store) expireLeases() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.mu.Lock()
			for id, until := range s.leases {
				if now.After(until) {
					s.dropLease(id)
				}
			}
			s.mu.Unlock()
		case <-s.done:
			return
		}
	}
}

// dropLease ends a lease and removes its keys; the caller holds mu.
func (s *store) dropLease(lease int64) {
	delete(s.leases, lease)
	for key, it := range s.items {
		if it.Lease == lease {
			s.remove(key)
		}
	}
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("pathPrefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, it)
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	for deadline := time.Now().Add(time.Duration(ms) * time.Millisecond); r.Context().Err() == nil; time.Sleep(watchPoll) {
		s.mu.Lock()
		if len(s.events) > 0 && after+1 < s.events[0].Revision || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		events, revision := append([]item{}, s.events[i:]...), s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(deadline) {
			respond(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	in := &txn{}
	if json.NewDecoder(r.Body).Decode(in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.commit(in)
	respond(w, status, body)
}

// commit carries out a conditional write and returns its answer.
func (s *store) commit(in *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range in.ExpectedRev {
		if s.items[it.Key].Revision != it.Revision {
			items := []item{}
			for _, it := range in.ExpectedRev {
				if present, ok := s.items[it.Key]; ok {
					items = append(items, present)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": items}
		}
	}
	for _, it := range in.Writes {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, it := range in.Writes {
		s.write(it.Key, it.Value, it.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	in := struct {
		TTL int64 `json:"ttlMs"`
	}{}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(in.TTL)*time.Millisecond
	s.leases[id], s.ttl[id] = time.Now().Add(ttl), ttl
	respond(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": in.TTL})
}

func (s *store) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	respond(w, http.StatusOK, map[string]int64{"ttlMs": s.ttl[id].Milliseconds()})
}

func (s *store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	respond(w, http.StatusOK, struct{}{})
}

// drop removes a key as the store does with the entry of a silent engine.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}
