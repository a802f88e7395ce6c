package slot

import (
	"maps"
	"slices"
	"time"
)

// Acquire takes a slot of the pool that this instance holds and returns its ticket, or false.
func (h *Holder) Acquire(now time.Time, name string) (int64, bool) {
	p := h.pools[name]
	if p == nil || !h.CanStartWork(now) {
		return 0, false
	}
	h.settle(now, p)
	i, n, ok := h.free(p)
	if !ok {
		return 0, false
	}
	return h.take(p, i, n), true
}

func (h *Holder) free(p *pool) (seat, slot int, ok bool) {
	for i, s := range p.seats {
		if s == nil {
			continue
		}
		if n, ok := s.find(capacity(p.limit, i, h.SeatsPerPool)); ok {
			return i, n, true
		}
	}
	return 0, 0, false
}

func (h *Holder) take(p *pool, i, n int) int64 {
	s := p.seats[i]
	s.slots[n].used = true
	s.used++
	return h.issue(ticket{pool: p.name, seat: i, slot: n})
}

func (h *Holder) issue(t ticket) int64 {
	h.last++
	h.tickets[h.last] = &t
	return h.last
}

// FreeSlots returns how many slots of the pool this instance could use now without a message.
func (h *Holder) FreeSlots(now time.Time, name string) int {
	p := h.pools[name]
	if p == nil || !h.CanStartWork(now) {
		return 0
	}
	n := 0
	for i, s := range p.seats {
		if s != nil && s.since != 0 {
			room := capacity(p.limit, i, h.SeatsPerPool)
			n += max(0, min(s.owned, room)-s.used-s.lent)
		}
	}
	return n
}

// HoldsSlots reports whether this instance holds slots of the pool, in use or not.
func (h *Holder) HoldsSlots(name string) bool {
	p := h.pools[name]
	return p != nil && slices.ContainsFunc(p.seats, func(s *seat) bool { return s != nil && s.owned > 0 })
}

// AdoptWork counts work that already runs at its target, or returns false while a member is being
// removed or when this instance is none: then only a free slot will do.
//
// Work without a slot is a debt that takes the pool's next free slot of this instance.
func (h *Holder) AdoptWork(now time.Time, name string) (int64, bool) {
	if id, ok := h.Acquire(now, name); ok {
		return id, true
	}
	// Only members are asked for certain before the slots of an ended member are dealt anew.
	if len(h.fenced) > 0 || !h.member || !h.CanStartWork(now) {
		return 0, false
	}
	p := h.pools[name]
	if p == nil {
		p = &pool{name: name, limit: h.limits[name], seats: make([]*seat, h.SeatsPerPool)}
		h.pools[name] = p
	}
	p.debts++
	return h.issue(ticket{pool: name, kind: debt}), true
}

// settle gives free slots to debts.
func (h *Holder) settle(now time.Time, p *pool) {
	if p.debts == 0 || !h.CanStartWork(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.tickets)) {
		t := h.tickets[id]
		if t.kind != debt || t.pool != p.name {
			continue
		}
		i, n, ok := h.free(p)
		if !ok {
			return
		}
		p.seats[i].slots[n].used = true
		p.seats[i].used++
		t.kind, t.seat, t.slot = own, i, n
		p.debts--
	}
}

// ReleaseTicket ends the use of a ticket; for a borrowed slot it returns what to tell the lender.
func (h *Holder) ReleaseTicket(now time.Time, id int64) (lender Key, back bool) {
	t := h.tickets[id]
	if t == nil {
		return Key{}, false
	}
	delete(h.tickets, id)
	switch t.kind {
	case own:
		s := h.pools[t.pool].seats[t.seat]
		s.slots[t.slot].used = false
		s.used--
		h.settle(now, h.pools[t.pool])
	case debt:
		h.pools[t.pool].debts--
	case borrowed, pending:
		return t.lender, true
	}
	return Key{}, false
}

// Drained reports whether the instance is marked as leaving, or was taken off and put on the roster
// again, and uses, lends and borrows nothing, so that it may take itself off the roster.
func (h *Holder) Drained() bool {
	leaving := h.retired || h.member && h.self.Leaving
	if !leaving || len(h.tickets) > 0 {
		return false
	}
	for _, p := range h.pools {
		for _, s := range p.seats {
			if s != nil && s.lent > 0 {
				return false
			}
		}
	}
	return true
}

// Usage is a number of slots by what is done with them.
type Usage struct {
	Held, Used, Lent, Borrowed, Awaiting, WithoutSlot int
}

// UsageByKind returns the state by kind of pool, which is the part of a name before the first slash.
func (h *Holder) UsageByKind() map[string]Usage {
	m := map[string]Usage{}
	for name, p := range h.pools {
		c := m[PoolKind(name)]
		c.WithoutSlot += p.debts
		for i, s := range p.seats {
			if s != nil {
				c.Held += s.owned
				c.Used += s.used
				c.Lent += s.lent
				c.Awaiting += s.awaiting(capacity(p.limit, i, h.SeatsPerPool))
			}
		}
		m[PoolKind(name)] = c
	}
	for _, t := range h.tickets {
		if t.kind == borrowed {
			c := m[PoolKind(t.pool)]
			c.Borrowed++
			m[PoolKind(t.pool)] = c
		}
	}
	return m
}

// PoolCount returns the number of pools of which state is kept.
func (h *Holder) PoolCount() int { return len(h.pools) }

// PoolKind returns the kind of a pool: target, entry or workspace.
func PoolKind(name string) string {
	for i := range len(name) {
		if name[i] == '/' {
			return name[:i]
		}
	}
	return name
}
