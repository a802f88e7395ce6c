package server

import (
	"slices"
	"sync"
	"time"
)

// spareTTL bounds the time for which a borrowed slot is kept without being used.
const spareTTL = 500 * time.Millisecond

// spareSlots keeps borrowed slots for work that is about to start.
type spareSlots struct {
	mu     sync.Mutex
	byPool map[string][]*spareSlot
}

// spareSlot is one kept slot; without a timer it is reserved for an admitted request.
type spareSlot struct {
	release func()
	timer   *time.Timer
}

// reservedSpare is a slot that is kept until it is taken or released.
type reservedSpare struct {
	spares *spareSlots
	pool   string
	spare  *spareSlot
}

// IsUnused reports whether the slot is still kept.
func (h *reservedSpare) IsUnused() bool {
	h.spares.mu.Lock()
	defer h.spares.mu.Unlock()
	return slices.Contains(h.spares.byPool[h.pool], h.spare)
}

// Release gives the slot back unless it was taken.
func (h *reservedSpare) Release() {
	if h.spares.remove(h.pool, h.spare) {
		h.spare.release()
	}
}

// reserve keeps a slot of a pool until it is taken or released.
func (s *spareSlots) reserve(pool string, release func()) *reservedSpare {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := &spareSlot{release: release}
	s.add(pool, sp)
	return &reservedSpare{s, pool, sp}
}

// reserveKept reserves a slot that is kept for a limited time so far.
func (s *spareSlots) reserveKept(pool string) (*reservedSpare, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sp := range s.byPool[pool] {
		// A timer that has fired releases the slot as soon as it gets the lock.
		if sp.timer != nil && sp.timer.Stop() {
			sp.timer = nil
			return &reservedSpare{s, pool, sp}, true
		}
	}
	return nil, false
}

// add adds a slot to the pool's list; the caller holds the lock.
func (s *spareSlots) add(pool string, sp *spareSlot) {
	if s.byPool == nil {
		s.byPool = map[string][]*spareSlot{}
	}
	s.byPool[pool] = append(s.byPool[pool], sp)
}

// keep keeps a slot of a pool for at most spareTTL.
func (s *spareSlots) keep(pool string, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := &spareSlot{release: release}
	sp.timer = time.AfterFunc(spareTTL, func() {
		if s.remove(pool, sp) {
			release()
		}
	})
	s.add(pool, sp)
}

// take removes a kept slot of a pool and returns the function that releases it.
func (s *spareSlots) take(pool string) (release func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.byPool[pool]
	if len(list) == 0 {
		return nil, false
	}
	sp := list[0]
	s.deleteAt(pool, 0)
	if sp.timer != nil {
		sp.timer.Stop()
	}
	return sp.release, true
}

func (s *spareSlots) count(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byPool[pool])
}

func (s *spareSlots) remove(pool string, sp *spareSlot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.byPool[pool], sp)
	if i >= 0 {
		s.deleteAt(pool, i)
	}
	return i >= 0
}

// deleteAt removes the slot at an index from the pool's list; the caller holds the lock.
func (s *spareSlots) deleteAt(pool string, i int) {
	if s.byPool[pool] = slices.Delete(s.byPool[pool], i, i+1); len(s.byPool[pool]) == 0 {
		delete(s.byPool, pool)
	}
}
