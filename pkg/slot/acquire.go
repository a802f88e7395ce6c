package slot

import (
	"maps"
	"slices"
	"time"
)

// Acquire marks an idle slot that this instance owns as used and returns the ticket for it, or false if
// there is none or no new work may start.
func (h *Holder) Acquire(now time.Time, poolName string) (int64, bool) {
	p := h.pools[poolName]
	if p == nil || !h.CanStartWork(now) {
		return 0, false
	}
	h.placeWaitingWork(now, p)
	i, slot, ok := h.findFreeSlot(p)
	if !ok {
		return 0, false
	}
	return h.useSlot(p, i, slot), true
}

// findFreeSlot returns the seat and slot index of an idle slot below the pool's limit.
func (h *Holder) findFreeSlot(p *pool) (seat, slot int, ok bool) {
	for i, s := range p.seats {
		if s == nil {
			continue
		}
		if index, ok := s.findIdle(seatCapacity(p.limit, i, h.SeatsPerPool)); ok {
			return i, index, true
		}
	}
	return 0, 0, false
}

// useSlot marks a slot as used and returns the ticket for it.
func (h *Holder) useSlot(p *pool, i, slot int) int64 {
	s := p.seats[i]
	s.slots[slot].used = true
	s.used++
	return h.addTicket(ticket{pool: p.name, seat: i, slot: slot})
}

func (h *Holder) addTicket(t ticket) int64 {
	h.lastTicket++
	h.tickets[h.lastTicket] = &t
	return h.lastTicket
}

// FreeSlots returns how many slots of the pool this instance could use now without sending a message.
func (h *Holder) FreeSlots(now time.Time, poolName string) int {
	p := h.pools[poolName]
	if p == nil || !h.CanStartWork(now) {
		return 0
	}
	n := 0
	for i, s := range p.seats {
		if s != nil && s.assignedSince != 0 {
			capacity := seatCapacity(p.limit, i, h.SeatsPerPool)
			n += max(0, min(s.owned, capacity)-s.used-s.lent)
		}
	}
	return n
}

// HoldsPool reports whether this instance owns slots of the pool, idle or in use.
func (h *Holder) HoldsPool(poolName string) bool {
	p := h.pools[poolName]
	return p != nil && slices.ContainsFunc(p.seats, func(s *seat) bool { return s != nil && s.owned > 0 })
}

// AdoptWork issues a ticket for work that already runs at its target, with or without a free slot.
//
// Work without a slot gets the next slot of the pool that becomes free at this instance. While a member
// is being removed, or if this instance is not a member, AdoptWork returns false unless a slot is free.
func (h *Holder) AdoptWork(now time.Time, poolName string) (int64, bool) {
	if id, ok := h.Acquire(now, poolName); ok {
		return id, true
	}
	// Only members are certain to be fenced before the slots of an ended member are assigned anew.
	if len(h.fenced) > 0 || !h.isMember || !h.CanStartWork(now) {
		return 0, false
	}
	p := h.pools[poolName]
	if p == nil {
		p = &pool{name: poolName, limit: h.limits[poolName], seats: make([]*seat, h.SeatsPerPool)}
		h.pools[poolName] = p
	}
	p.withoutSlot++
	return h.addTicket(ticket{pool: poolName, kind: workWithoutSlot}), true
}

// placeWaitingWork gives free slots to adopted work that has none, oldest ticket first.
func (h *Holder) placeWaitingWork(now time.Time, p *pool) {
	if p.withoutSlot == 0 || !h.CanStartWork(now) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.tickets)) {
		t := h.tickets[id]
		if t.kind != workWithoutSlot || t.pool != p.name {
			continue
		}
		i, slot, ok := h.findFreeSlot(p)
		if !ok {
			return
		}
		p.seats[i].slots[slot].used = true
		p.seats[i].used++
		t.kind, t.seat, t.slot = ownSlot, i, slot
		p.withoutSlot--
	}
}

// ReleaseTicket ends the use of a ticket. For a borrowed slot or a requested loan it returns the lender,
// to which the caller returns the loan with that ticket.
func (h *Holder) ReleaseTicket(now time.Time, id int64) (lender Key, wasBorrowed bool) {
	t := h.tickets[id]
	if t == nil {
		return Key{}, false
	}
	delete(h.tickets, id)
	switch t.kind {
	case ownSlot:
		s := h.pools[t.pool].seats[t.seat]
		s.slots[t.slot].used = false
		s.used--
		h.placeWaitingWork(now, h.pools[t.pool])
	case workWithoutSlot:
		h.pools[t.pool].withoutSlot--
	case borrowedSlot, pendingLoan:
		return t.lender, true
	}
	return Key{}, false
}

// Drained reports whether the instance may remove itself from the roster: it is marked as leaving, or was
// removed and put on the roster again, and it uses, lends and borrows nothing.
func (h *Holder) Drained() bool {
	leaving := h.removed || h.isMember && h.selfMember.Leaving
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

// Usage has the numbers of slots by state; Awaiting are assigned to this instance but not yet released by
// others, and WithoutSlot is the number of adopted requests without a slot.
type Usage struct {
	Held, Used, Lent, Borrowed, Awaiting, WithoutSlot int
}

// UsageByKind returns the usage summed over the pools of each kind.
func (h *Holder) UsageByKind() map[string]Usage {
	m := map[string]Usage{}
	for name, p := range h.pools {
		c := m[PoolKind(name)]
		c.WithoutSlot += p.withoutSlot
		for i, s := range p.seats {
			if s != nil {
				c.Held += s.owned
				c.Used += s.used
				c.Lent += s.lent
				c.Awaiting += s.awaitedCount(seatCapacity(p.limit, i, h.SeatsPerPool))
			}
		}
		m[PoolKind(name)] = c
	}
	for _, t := range h.tickets {
		if t.kind == borrowedSlot {
			c := m[PoolKind(t.pool)]
			c.Borrowed++
			m[PoolKind(t.pool)] = c
		}
	}
	return m
}

// PoolCount returns the number of pools for which state is kept.
func (h *Holder) PoolCount() int { return len(h.pools) }

// PoolKind returns the kind of a pool (target, entry or workspace), which is the part of its name before
// the first slash.
func PoolKind(poolName string) string {
	for i := range len(poolName) {
		if poolName[i] == '/' {
			return poolName[:i]
		}
	}
	return poolName
}
