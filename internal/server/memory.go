package server

import (
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const memoryShards = 16

// The bytes counted for each stream in addition to its texts. They exceed what
// TestMemoryOfStoppedReaders and TestMemoryOfHeldBackReaders measure.
const (
	// streamBytes covers the caller's connection: buffers, request and stacks. With 100 readers a
	// tenth of it is overhead of the runtime: free goroutines, threads and caches.
	streamBytes = 58 << 10
	// attemptBytes covers the engine's connection while it is open.
	attemptBytes = 16 << 10
)

var memorySeed = maphash.MakeSeed()

// memoryCounter counts the bytes held for callers, in total and by workspace.
type memoryCounter struct {
	total         atomic.Int64
	pausedStreams atomic.Int64
	shards        [memoryShards]struct {
		mu   sync.Mutex
		held map[string]*atomic.Int64
	}
}

// workspaceCount returns the counter of one workspace.
func (m *memoryCounter) workspaceCount(workspace string) *atomic.Int64 {
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

// account counts the bytes that one request holds from the budgets.
type account struct {
	server    *Server
	workspace *atomic.Int64
	held      atomic.Int64
}

func (s *Server) newAccount(workspace string) *account {
	return &account{server: s, workspace: s.memory.workspaceCount(workspace)}
}

// add counts n bytes as held; a negative number gives them back.
func (a *account) add(n int) {
	if n != 0 {
		a.held.Add(int64(n))
		a.server.memory.total.Add(int64(n))
		a.workspace.Add(int64(n))
	}
}

// exceeded reports whether a budget is exceeded.
func (a *account) exceeded() bool {
	return a.exceededRefusal() != nil
}

// exceededRefusal returns the refusal for the budget that is exceeded, or nil.
func (a *account) exceededRefusal() error {
	l := &a.server.Limits
	switch {
	case a.server.memory.total.Load() > l.InstanceBytes:
		return newRefusal(http.StatusServiceUnavailable, "memory_full", "the instance holds as many bytes for callers as it may").retryAfter(memoryRetryAfter)
	case a.workspace.Load() > l.WorkspaceBytes:
		return newRefusal(http.StatusTooManyRequests, "workspace_memory_full", "the instance holds as many bytes for the workspace as it may").retryAfter(memoryRetryAfter)
	}
	return nil
}

// reserve counts n bytes as held, or returns a refusal if a budget would be exceeded.
func (a *account) reserve(n int) error {
	a.add(n)
	if err := a.exceededRefusal(); err != nil {
		a.add(-n)
		return err
	}
	return nil
}

// releaseAll gives back all bytes that are held.
func (a *account) releaseAll() { a.add(-int(a.held.Load())) }

const memoryRetryAfter = time.Second

// streamTable holds the streams in progress by request, in shards.
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
