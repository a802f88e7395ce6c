package slot

import "time"

// pool is the state that one instance keeps of a pool.
type pool struct {
	name  string
	limit int
	seats []*seat
	// withoutSlot is the number of adopted requests that have no slot yet.
	withoutSlot int
}

// seat is the state that one instance keeps of a seat that is or was assigned to it.
type seat struct {
	// assignedSince is the epoch from which the seat has been assigned to this instance without
	// interruption; 0 if the current roster does not assign it.
	assignedSince int64
	// possibleHolders are the other members to which the seat may have been assigned.
	possibleHolders []Member
	// stillHeld has, for each possible holder that answered, the slots that it still owns.
	stillHeld map[Key]Set
	slots     []slotState
	// used, lent and owned are numbers of slots.
	used  int
	lent  int
	owned int
	// nextAsk is when the possible holders may be asked again, after a pause of askBackoff.
	nextAsk      time.Time
	askBackoff   time.Duration
	lastHandover handover
}

// slotState is the state of one slot.
type slotState struct {
	owned bool
	used  bool
	// loan is the borrower's ticket if the slot is lent, and 0 otherwise.
	loan     int64
	borrower Key
	// checkedAt is when the loan began or was last audited.
	checkedAt time.Time
	// nonMember is set as long as no roster seen here has had the borrower.
	nonMember bool
}

func (s *slotState) idle() bool { return s.owned && !s.used && s.loan == 0 }

// handover records which slots were handed over last, so that a repeated ask gets the same answer.
type handover struct {
	to    Key
	since int64
	slots Set
}

// seatCapacity returns how many of a pool's slots belong to a seat under a limit.
func seatCapacity(limit, seat, seats int) int {
	return min(max(0, (limit-seat+seats-1)/seats), MaxSlots)
}

// growSlots extends the seat to at least n slots.
func (s *seat) growSlots(n int) {
	for len(s.slots) < n {
		s.slots = append(s.slots, slotState{})
	}
}

// startAssignment starts a new uninterrupted assignment of the seat to this instance.
func (s *seat) startAssignment(now time.Time, epoch int64) {
	s.assignedSince, s.stillHeld, s.nextAsk, s.askBackoff = epoch, map[Key]Set{}, now, 0
}

// ownCleared makes this instance the owner of those slots below capacity that no possible holder owns,
// once all possible holders have answered.
func (s *seat) ownCleared(capacity int) {
	if s.assignedSince == 0 {
		return
	}
	s.growSlots(capacity)
	for _, m := range s.possibleHolders {
		if _, ok := s.stillHeld[m.Key()]; !ok {
			return
		}
	}
	for i := range capacity {
		if s.slots[i].owned || s.heldElsewhere(i) {
			continue
		}
		s.markOwned(i)
	}
}

// heldElsewhere reports whether a possible holder has answered that it still owns the slot.
func (s *seat) heldElsewhere(i int) bool {
	for _, m := range s.possibleHolders {
		if s.stillHeld[m.Key()].Has(i) {
			return true
		}
	}
	return false
}

func (s *seat) markOwned(i int) {
	if !s.slots[i].owned {
		s.slots[i].owned = true
		s.owned++
	}
}

// findIdle returns the index of an idle slot below capacity.
func (s *seat) findIdle(capacity int) (int, bool) {
	if s.assignedSince == 0 || s.owned <= s.used+s.lent {
		return 0, false
	}
	for i := range min(capacity, len(s.slots)) {
		if s.slots[i].idle() {
			return i, true
		}
	}
	return 0, false
}

// awaitedCount returns how many slots below capacity are assigned to this instance but not yet released by others.
func (s *seat) awaitedCount(capacity int) int {
	if s.assignedSince == 0 {
		return 0
	}
	missing := capacity
	for i := range min(capacity, len(s.slots)) {
		if s.slots[i].owned {
			missing--
		}
	}
	return missing
}

// releaseIdle hands over the idle slots to the new holder and reports those that are still used or lent.
func (s *seat) releaseIdle(to Key, since int64) Release {
	r := Release{Clear: true}
	if s.lastHandover.to != to || s.lastHandover.since != since {
		s.lastHandover = handover{to: to, since: since}
	}
	for i := range s.slots {
		st := &s.slots[i]
		switch {
		case st.idle():
			st.owned = false
			s.owned--
			s.lastHandover.slots = s.lastHandover.slots.With(i)
		case st.owned:
			r.Held = r.Held.With(i)
		}
	}
	r.Given = append(Set(nil), s.lastHandover.slots...)
	return r
}

// empty reports whether the pool has no state that must be kept.
func (p *pool) empty() bool {
	for _, s := range p.seats {
		if s != nil {
			return false
		}
	}
	return p.withoutSlot == 0
}

func (s *seat) empty() bool { return s.assignedSince == 0 && s.owned == 0 }
