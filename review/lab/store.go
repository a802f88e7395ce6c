package lab

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

// Item is one key of the store, or its removal.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	// at is when the change was made.
	at time.Time
}

type lease struct {
	until     time.Time
	ttl       time.Duration
	grantedAt time.Time
}

// Store is a stand-in for the platform's store.
type Store struct {
	servers []*http.Server

	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision int64
	// first is the revision after which the history is known.
	first  int64
	era    int64
	leases map[int64]*lease
	next   int64
	down   bool
	// watches holds when each listener has received watches.
	watches map[string][]time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{items: map[string]Item{}, leases: map[int64]*lease{}, revision: 1, first: 1, era: 1, next: 1, watches: map[string][]time.Time{}}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire(time.Now())
		}
	}()
	return s
}

// Listen opens one more address of the store, for the instance of a name.
func (s *Store) Listen(name string) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.handleKey)
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.watches[name] = append(s.watches[name], time.Now())
		s.mu.Unlock()
		s.handleWatch(w, r)
	})
	mux.HandleFunc("POST /api/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /api/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handleRenew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handleRevoke)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Readers returns the names of the n instances that have sent the most watches within some time.
func (s *Store) Readers(n int, within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	var names []string
	for name, list := range s.watches {
		names = append(names, name)
		for _, at := range list {
			if time.Since(at) < within {
				counts[name]++
			}
		}
	}
	sort.Slice(names, func(i, j int) bool { return counts[names[i]] > counts[names[j]] })
	return names[:min(n, len(names))]
}

// Put writes a key, as the operator or a target does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, or nothing.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Era returns the number of restores, counted from 1.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// SetDown makes all calls fail, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Restore replaces the content by that of an earlier time, which begins the next era. Leases that were granted since
// are gone, and so are their keys.
func (s *Store) Restore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(at) })
	s.events = s.events[:n:n]
	s.items = map[string]Item{}
	s.revision = 1
	for _, it := range s.events {
		s.revision = it.Revision
		if it.Removed {
			delete(s.items, it.Key)
		} else {
			s.items[it.Key] = it
		}
	}
	for id, l := range s.leases {
		if l.grantedAt.After(at) {
			delete(s.leases, id)
		} else {
			l.until = time.Now().Add(l.ttl)
		}
	}
	for key, it := range s.items {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			s.remove(key)
		}
	}
	s.era++
}

func (s *Store) refuse(w http.ResponseWriter) bool {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	items := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("pathPrefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	prefix := r.FormValue("pathPrefix")
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for deadline := time.Now().Add(time.Duration(ms) * time.Millisecond); r.Context().Err() == nil; time.Sleep(4 * time.Millisecond) {
		s.mu.Lock()
		if s.era != era || s.down {
			// A watch that is waiting is cut when the store goes.
			s.refuse(w)
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision || after < s.first {
			s.refuse(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, it := range s.events[i:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision := s.revision
		if len(events) > 0 || time.Now().After(deadline) {
			s.refuse(w)
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		s.mu.Unlock()
	}
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	in := struct {
		ExpectedRev []Item   `json:"expectedRev"`
		Writes      []Item   `json:"writes"`
		Remove      []string `json:"remove"`
	}{}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	for _, it := range in.ExpectedRev {
		if s.items[it.Key].Revision == it.Revision {
			continue
		}
		items := []Item{}
		for _, it := range in.ExpectedRev {
			if current, ok := s.items[it.Key]; ok {
				items = append(items, current)
			} else {
				items = append(items, Item{Key: it.Key})
			}
		}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, it := range in.Writes {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, it := range in.Writes {
		s.put(it.Key, it.Value, it.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	in := struct {
		TTL int64 `json:"ttlMs"`
	}{}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	s.next++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.next] = &lease{until: time.Now().Add(ttl), ttl: ttl, grantedAt: time.Now()}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.next, "ttlMs": in.TTL})
}

func (s *Store) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(w) {
		return
	}
	s.end(id)
	writeJSON(w, http.StatusOK, struct{}{})
}
