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

// Service is the stand-in. Its zero value is ready to use.
type Service struct {
	mu     sync.Mutex
	values map[string]platform.Value
	// changed is closed at the next write if any call waits for one.
	changed     chan struct{}
	leases      map[string]platform.Lease
	listEntries []listEntry
	faults      Faults
	// callCounts counts calls by kind; getCounts counts reads that do not wait for a change, by key.
	callCounts map[string]int64
	getCounts  map[string]int64
}

// listEntry is one instance of the list with the times of its changes, which Faults.ListDelay needs.
type listEntry struct {
	platform.ListedInstance
	addedAt   time.Time
	removedAt time.Time
	updatedAt time.Time
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key}", s.withFaults("get", s.handleGet))
	mux.HandleFunc("PUT /kv/{key}", s.withFaults("swap", s.handleSwap))
	mux.HandleFunc("POST /leases/{name}", s.withFaults("lease", s.handleAcquireLease))
	mux.HandleFunc("DELETE /leases/{name}", s.withFaults("lease", s.handleReleaseLease))
	mux.HandleFunc("GET /instances", s.withFaults("list", s.handleList))
	mux.HandleFunc("PUT /instances/{id}", s.handleRegister)
	mux.HandleFunc("DELETE /instances/{id}", s.handleUnregister)
	mux.HandleFunc("GET /calls", s.handleCallCounts)
	mux.HandleFunc("POST /fault", s.handleFaults)
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
	counts := map[string]int64{}
	for k, n := range s.callCounts {
		counts[k] = n
	}
	return counts
}

// GetCounts returns how often each key was read by calls that do not wait for a change.
func (s *Service) GetCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.getCounts)
}

// countCall counts a call. The caller holds the lock.
func (s *Service) countCall(kind, key string) {
	if s.callCounts == nil {
		s.callCounts, s.getCounts = map[string]int64{}, map[string]int64{}
	}
	s.callCounts[kind]++
	if kind == "get" {
		s.getCounts[key]++
	}
}

// withFaults counts each call and applies the faults that affect every call.
func (s *Service) withFaults(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		countedKind := kind
		if kind == "get" && r.URL.Query().Has("after") {
			countedKind = "watch"
		}
		s.mu.Lock()
		f := s.faults
		s.countCall(countedKind, r.PathValue("key"))
		s.mu.Unlock()
		if f.Silent {
			// The server notices that a caller has disconnected only once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if !sleep(r.Context(), f.callDelay()) {
			return
		}
		if f.Down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// sleep waits for a time and reports whether ctx is still active.
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

// handleGet returns a value, after waiting up to the given time for a newer version if the call asks for it.
func (s *Service) handleGet(w http.ResponseWriter, r *http.Request) {
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
			writeJSON(w, http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleSwap writes a value if its version is the expected one, and returns the present value otherwise.
func (s *Service) handleSwap(w http.ResponseWriter, r *http.Request) {
	expectedVersion, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
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
	if s.dropOrDelayWrite(key, expectedVersion, data) {
		panic(http.ErrAbortHandler)
	}
	v, written, loseResponse := s.compareAndSwap(key, expectedVersion, data)
	if f := s.currentFaults(); !sleep(r.Context(), time.Duration(f.DelayWrites)) {
		return
	}
	switch {
	case loseResponse:
		panic(http.ErrAbortHandler)
	case written:
		writeJSON(w, http.StatusOK, platform.Value{Version: v.Version})
	default:
		writeJSON(w, http.StatusConflict, v)
	}
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// dropOrDelayWrite reports whether a fault discards a write or postpones it.
func (s *Service) dropOrDelayWrite(key string, expectedVersion int64, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := &s.faults; {
	case f.DropWrites > 0:
		f.DropWrites--
		return true
	case f.LateWrites > 0:
		f.LateWrites--
		time.AfterFunc(time.Duration(f.LateBy), func() { s.compareAndSwap(key, expectedVersion, data) })
		return true
	}
	return false
}

// compareAndSwap writes a value if its version is the expected one. It reports whether it wrote
// the value, and whether a fault drops the response.
func (s *Service) compareAndSwap(key string, expectedVersion int64, data []byte) (v platform.Value, written, loseResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	v = s.values[key]
	if v.Version != expectedVersion {
		return v, false, false
	}
	v = platform.Value{Version: expectedVersion + 1, Data: data}
	s.values[key] = v
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		loseResponse = true
	}
	return v, true, loseResponse
}

// handleAcquireLease grants or renews a lease unless another holder has it, and returns the lease as it is then.
func (s *Service) handleAcquireLease(w http.ResponseWriter, r *http.Request) {
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
		writeJSON(w, http.StatusOK, l)
		return
	}
	if l.Holder != holder || !now.Before(l.Expires) {
		l = platform.Lease{Name: name, Holder: holder, Fence: s.nextFence(name)}
	}
	l.Expires = now.Add(ttl)
	s.leases[name] = l
	writeJSON(w, http.StatusOK, l)
}

// nextFence returns a new fencing number. It is stored as a value of its own, so that numbers keep increasing after a lease ends.
func (s *Service) nextFence(name string) int64 {
	if s.values == nil {
		s.values = map[string]platform.Value{}
	}
	v := s.values["fence/"+name]
	v.Version++
	s.values["fence/"+name] = v
	return v.Version
}

// handleReleaseLease ends a lease if the caller holds it.
func (s *Service) handleReleaseLease(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[name]
	if l.Holder == r.URL.Query().Get("holder") {
		l.Expires = time.Time{}
		s.leases[name] = l
	}
	writeJSON(w, http.StatusOK, l)
}

// handleList returns the instance list as it was ListDelay ago.
func (s *Service) handleList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, now := time.Duration(s.faults.ListDelay), time.Now()
	visible := []platform.ListedInstance{}
	for _, entry := range s.listEntries {
		listed := !now.Before(entry.addedAt.Add(delay))
		removed := !entry.removedAt.IsZero() && !now.Before(entry.removedAt.Add(delay))
		if listed && !removed {
			visible = append(visible, entry.ListedInstance)
		}
	}
	writeJSON(w, http.StatusOK, visible)
}

func (s *Service) handleRegister(w http.ResponseWriter, r *http.Request) {
	l := platform.ListedInstance{}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&l); err != nil {
		http.Error(w, "row must be JSON", http.StatusBadRequest)
		return
	}
	l.ID = r.PathValue("id")
	s.Register(l)
	writeJSON(w, http.StatusOK, l)
}

// Register adds an instance to the list or replaces its entry.
func (s *Service) Register(l platform.ListedInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listEntries = slices.DeleteFunc(s.listEntries, func(e listEntry) bool { return e.ID == l.ID })
	s.listEntries = append(s.listEntries, listEntry{ListedInstance: l, addedAt: time.Now()})
}

func (s *Service) handleUnregister(w http.ResponseWriter, r *http.Request) {
	s.Unregister(r.PathValue("id"))
	writeJSON(w, http.StatusOK, struct{}{})
}

// Unregister removes an instance from the list.
func (s *Service) Unregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.listEntries {
		if s.listEntries[i].ID == id && s.listEntries[i].removedAt.IsZero() {
			s.listEntries[i].removedAt = time.Now()
		}
	}
}

func (s *Service) handleCallCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.CallCounts())
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
