package server

import (
	"slices"
	"sync"
	"time"
)

// spareLife bounds the time for which a borrowed slot is kept from its lender without being used.
const spareLife = 500 * time.Millisecond

// spares keeps borrowed slots for work that is about to start.
type spares struct {
	mu   sync.Mutex
	held map[string][]*spare
}

// spare is one kept slot; without a timer it is held for an admitted request.
type spare struct {
	release func()
	timer   *time.Timer
}

// heldSpare is a slot that is kept until it is taken or dropped.
type heldSpare struct {
	spares *spares
	pool   string
	spare  *spare
}

// IsUnused reports whether the slot is still kept.
func (h *heldSpare) IsUnused() bool {
	h.spares.mu.Lock()
	defer h.spares.mu.Unlock()
	return slices.Contains(h.spares.held[h.pool], h.spare)
}

// Release gives the slot back unless it was taken.
func (h *heldSpare) Release() {
	if h.spares.remove(h.pool, h.spare) {
		h.spare.release()
	}
}

// hold keeps a slot of a pool until it is taken or dropped.
func (s *spares) hold(pool string, release func()) *heldSpare {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := &spare{release: release}
	s.add(pool, sp)
	return &heldSpare{s, pool, sp}
}

// holdKept holds a slot that is kept for a while only.
func (s *spares) holdKept(pool string) (*heldSpare, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sp := range s.held[pool] {
		// A timer that has fired gives the slot back as soon as it has the lock.
		if sp.timer != nil && sp.timer.Stop() {
			sp.timer = nil
			return &heldSpare{s, pool, sp}, true
		}
	}
	return nil, false
}

// add appends a slot to the list; the caller holds the lock.
func (s *spares) add(pool string, sp *spare) {
	if s.held == nil {
		s.held = map[string][]*spare{}
	}
	s.held[pool] = append(s.held[pool], sp)
}

// put keeps a slot of a pool for a while.
func (s *spares) put(pool string, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := &spare{release: release}
	sp.timer = time.AfterFunc(spareLife, func() {
		if s.remove(pool, sp) {
			release()
		}
	})
	s.add(pool, sp)
}

// take returns the release of a slot that is kept.
func (s *spares) take(pool string) (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.held[pool]
	if len(list) == 0 {
		return nil, false
	}
	sp := list[0]
	s.cut(pool, 0)
	if sp.timer != nil {
		sp.timer.Stop()
	}
	return sp.release, true
}

func (s *spares) count(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held[pool])
}

func (s *spares) remove(pool string, sp *spare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.held[pool], sp)
	if i >= 0 {
		s.cut(pool, i)
	}
	return i >= 0
}

// cut removes a slot from the list; the caller holds the lock.
func (s *spares) cut(pool string, i int) {
	if s.held[pool] = slices.Delete(s.held[pool], i, i+1); len(s.held[pool]) == 0 {
		delete(s.held, pool)
	}
}
