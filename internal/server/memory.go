package server

import (
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const memoryShards = 16

// Charges for each stream besides its texts, above what TestMemoryOfStoppedReaders and
// TestMemoryOfHeldBackReaders measure.
const (
	// streamBytes covers the caller's connection: buffers, request and stacks. With 100 readers a
	// tenth of it is what the runtime keeps for itself: free goroutines, threads and caches.
	streamBytes = 58 << 10
	// attemptBytes covers the engine's connection while it is open.
	attemptBytes = 16 << 10
)

var memorySeed = maphash.MakeSeed()

// memory counts the bytes held for callers, in all and by workspace.
type memory struct {
	total  atomic.Int64
	paused atomic.Int64
	shards [memoryShards]struct {
		mu   sync.Mutex
		held map[string]*atomic.Int64
	}
}

// of returns the count of one workspace.
func (m *memory) of(workspace string) *atomic.Int64 {
	s := &m.shards[maphash.String(memorySeed, workspace)%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = map[string]*atomic.Int64{}
	}
	n := s.held[workspace]
	if n == nil {
		n = &atomic.Int64{}
		s.held[workspace] = n
	}
	return n
}

// account is what one request holds of the budgets.
type account struct {
	server    *Server
	workspace *atomic.Int64
	held      atomic.Int64
}

func (s *Server) newAccount(workspace string) *account {
	return &account{server: s, workspace: s.memory.of(workspace)}
}

// hold counts bytes; a negative number gives them back.
func (a *account) hold(n int) {
	if n != 0 {
		a.held.Add(int64(n))
		a.server.memory.total.Add(int64(n))
		a.workspace.Add(int64(n))
	}
}

// over reports whether a budget is used up.
func (a *account) over() bool {
	return a.overBy() != nil
}

// overBy returns the refusal that names the budget that is used up, or nil.
func (a *account) overBy() error {
	l := &a.server.Limits
	switch {
	case a.server.memory.total.Load() > l.InstanceBytes:
		return newRefusal(http.StatusServiceUnavailable, "memory_full", "the instance holds as many bytes for callers as it may").retryAfter(memoryRetry)
	case a.workspace.Load() > l.WorkspaceBytes:
		return newRefusal(http.StatusTooManyRequests, "workspace_memory_full", "the instance holds as many bytes for the workspace as it may").retryAfter(memoryRetry)
	}
	return nil
}

// reserve counts bytes that a new request needs, or refuses it.
func (a *account) reserve(n int) error {
	a.hold(n)
	if err := a.overBy(); err != nil {
		a.hold(-n)
		return err
	}
	return nil
}

// close gives back all that is held.
func (a *account) close() { a.hold(-int(a.held.Load())) }

const memoryRetry = time.Second

// streamTable counts the streams in progress in shards, by request.
type streamTable struct {
	shards [memoryShards]struct {
		mu      sync.Mutex
		streams map[string]*stream
	}
}

func (t *streamTable) add(st *stream) (remove func()) {
	s := &t.shards[maphash.String(memorySeed, st.request.id)%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	s.streams[st.request.id] = st
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, st.request.id)
	}
}

func (t *streamTable) len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.streams)
		s.mu.Unlock()
	}
	return n
}
