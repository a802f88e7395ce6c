package platform

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/platform"
)

// Service is the stand-in; its zero value with Run or Handler is ready for use.
type Service struct {
	mu      sync.Mutex
	values  map[string]platform.Value
	changed chan struct{}
	leases  map[string]platform.Lease
	rows    []row
	faults  Faults
	calls   map[string]int64
	gets    map[string]int64
}

type row struct {
	platform.ListedInstance
	since   time.Time
	goneAt  time.Time
	updated time.Time
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key}", s.faulty("get", s.get))
	mux.HandleFunc("PUT /kv/{key}", s.faulty("swap", s.swap))
	mux.HandleFunc("POST /leases/{name}", s.faulty("lease", s.acquire))
	mux.HandleFunc("DELETE /leases/{name}", s.faulty("lease", s.release))
	mux.HandleFunc("GET /instances", s.faulty("list", s.list))
	mux.HandleFunc("PUT /instances/{id}", s.register)
	mux.HandleFunc("DELETE /instances/{id}", s.unregister)
	mux.HandleFunc("GET /calls", s.count)
	mux.HandleFunc("POST /fault", s.fault)
	return mux
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.ExpireLeases {
		s.leases = nil
	}
}

// CallCounts returns the number of calls received, by kind.
func (s *Service) CallCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]int64{}
	for k, n := range s.calls {
		m[k] = n
	}
	return m
}

// GetCounts returns how often each key was read by calls that do not wait for a change.
func (s *Service) GetCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.gets)
}

// countCall counts a call; the caller holds the lock.
func (s *Service) countCall(kind, key string) {
	if s.calls == nil {
		s.calls, s.gets = map[string]int64{}, map[string]int64{}
	}
	s.calls[kind]++
	if kind == "get" {
		s.gets[key]++
	}
}

// faulty counts a call and applies the faults that hold for every call.
func (s *Service) faulty(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counted := kind
		if kind == "get" && r.URL.Query().Has("after") {
			counted = "watch"
		}
		s.mu.Lock()
		f := s.faults
		s.countCall(counted, r.PathValue("key"))
		s.mu.Unlock()
		if f.Silent {
			// The server sees that a caller has gone only once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if !sleep(r.Context(), f.delay()) {
			return
		}
		if f.Down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		v := s.values[key]
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if wait <= 0 || v.Version > after {
			reply(w, http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) swap(w http.ResponseWriter, r *http.Request) {
	old, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be a number", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	if s.delayed(key, old, data) {
		panic(http.ErrAbortHandler)
	}
	v, ok, lose := s.write(key, old, data)
	if f := s.present(); !sleep(r.Context(), time.Duration(f.DelayWrites)) {
		return
	}
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case ok:
		reply(w, http.StatusOK, platform.Value{Version: v.Version})
	default:
		reply(w, http.StatusConflict, v)
	}
}

func (s *Service) present() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// delayed reports whether a write is dropped now, to take effect later or never.
func (s *Service) delayed(key string, old int64, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := &s.faults; {
	case f.DropWrites > 0:
		f.DropWrites--
		return true
	case f.LateWrites > 0:
		f.LateWrites--
		time.AfterFunc(time.Duration(f.LateBy), func() { s.write(key, old, data) })
		return true
	}
	return false
}

func (s *Service) write(key string, old int64, data []byte) (v platform.Value, ok, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	v = s.values[key]
	if v.Version != old {
		return v, false, false
	}
	v = platform.Value{Version: old + 1, Data: data}
	s.values[key] = v
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		lose = true
	}
	return v, true, lose
}

func (s *Service) acquire(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl must be a duration above 0", http.StatusBadRequest)
		return
	}
	name, holder, now := r.PathValue("name"), r.URL.Query().Get("holder"), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = map[string]platform.Lease{}
	}
	l := s.leases[name]
	if l.Holder != holder && now.Before(l.Expires) {
		reply(w, http.StatusOK, l)
		return
	}
	if l.Holder != holder || !now.Before(l.Expires) {
		l = platform.Lease{Name: name, Holder: holder, Fence: s.nextFence(name)}
	}
	l.Expires = now.Add(ttl)
	s.leases[name] = l
	reply(w, http.StatusOK, l)
}

// nextFence counts up in a value of its own, so that fences outlive leases.
func (s *Service) nextFence(name string) int64 {
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	v := s.values["fence/"+name]
	v.Version++
	s.values["fence/"+name] = v
	return v.Version
}

func (s *Service) release(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[name]
	if l.Holder == r.URL.Query().Get("holder") {
		l.Expires = time.Time{}
		s.leases[name] = l
	}
	reply(w, http.StatusOK, l)
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag, now := time.Duration(s.faults.ListDelay), time.Now()
	list := []platform.ListedInstance{}
	for _, row := range s.rows {
		seen := !now.Before(row.since.Add(lag))
		gone := !row.goneAt.IsZero() && !now.Before(row.goneAt.Add(lag))
		if seen && !gone {
			list = append(list, row.ListedInstance)
		}
	}
	reply(w, http.StatusOK, list)
}

func (s *Service) register(w http.ResponseWriter, r *http.Request) {
	l := platform.ListedInstance{}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&l); err != nil {
		http.Error(w, "row must be JSON", http.StatusBadRequest)
		return
	}
	l.ID = r.PathValue("id")
	s.Register(l)
	reply(w, http.StatusOK, l)
}

// Register adds an instance to the list or replaces its row.
func (s *Service) Register(l platform.ListedInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = slices.DeleteFunc(s.rows, func(r row) bool { return r.ID == l.ID })
	s.rows = append(s.rows, row{ListedInstance: l, since: time.Now()})
}

func (s *Service) unregister(w http.ResponseWriter, r *http.Request) {
	s.Unregister(r.PathValue("id"))
	reply(w, http.StatusOK, struct{}{})
}

// Unregister takes an instance off the list.
func (s *Service) Unregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.rows {
		if s.rows[i].ID == id && s.rows[i].goneAt.IsZero() {
			s.rows[i].goneAt = time.Now()
		}
	}
}

func (s *Service) count(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.CallCounts())
}

func (s *Service) fault(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
