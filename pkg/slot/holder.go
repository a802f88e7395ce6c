package slot

import (
	"net/netip"
	"slices"
	"time"
)

// Holder keeps the slots of one instance and decides which it may use; set its exported fields before use.
type Holder struct {
	Self Key
	// Address is the address at which lenders reach this instance.
	Address      netip.AddrPort
	SeatsPerPool int
	// IsolationTimeout is the time without contact to the service or a member after which no new work starts.
	IsolationTimeout time.Duration
	// AskBackoff and MaxAskBackoff bound the pause before an unanswered ask is repeated.
	AskBackoff, MaxAskBackoff time.Duration
	// AuditAfter is the age of a loan from which its lender asks whether it is still in use.
	AuditAfter time.Duration
	// EnlistAfter is how long a borrower that is not a member may leave audits unanswered
	// before it has to be put on the roster, where its end can be proved.
	EnlistAfter time.Duration

	roster     *Roster
	selfMember Member
	isMember   bool
	// joinedEpoch is the epoch in which this incarnation became a member, or 0 if it never was one.
	joinedEpoch int64
	// removed is set once this incarnation has been removed from the roster; it never starts work again.
	removed bool
	// borrowOnly allows an instance that was never a member to work on borrowed slots.
	borrowOnly bool
	// borrowers are instances to which slots were lent while they were not on the roster.
	borrowers   map[Key]*borrower
	lastContact time.Time
	pools       map[string]*pool
	limits      map[string]int
	tickets     map[int64]*ticket
	lastTicket  int64
	// fenced are members for which a fence was received; loans from and to them are refused.
	fenced map[Key]bool
}

// ticket is one use of an own or borrowed slot, a requested loan, or adopted work that waits for a slot.
type ticket struct {
	pool   string
	seat   int
	slot   int
	kind   ticketKind
	lender Key
}

type ticketKind int

const (
	ownSlot ticketKind = iota
	borrowedSlot
	pendingLoan
	workWithoutSlot
)

// NewHolder returns a holder with default settings.
func NewHolder(self Key) *Holder {
	return &Holder{
		Self: self, SeatsPerPool: DefaultSeats, IsolationTimeout: 10 * time.Second,
		AskBackoff: 200 * time.Millisecond, MaxAskBackoff: 2 * time.Second, AuditAfter: 2 * time.Second,
		EnlistAfter: 10 * time.Second, borrowers: map[Key]*borrower{},
		pools: map[string]*pool{}, limits: map[string]int{}, tickets: map[int64]*ticket{}, fenced: map[Key]bool{},
	}
}

// RecordContact records that the key-value service or another member has answered.
func (h *Holder) RecordContact(now time.Time) { h.lastContact = now }

// Epoch returns the epoch of the roster in force, or 0 if there is none.
func (h *Holder) Epoch() int64 {
	if h.roster == nil {
		return 0
	}
	return h.roster.Epoch
}

// Roster returns the roster in force, or nil.
func (h *Holder) Roster() *Roster { return h.roster }

// IsMember reports whether the roster has this incarnation.
func (h *Holder) IsMember() bool { return h.isMember }

// AllowBorrowOnly allows this instance to work on borrowed slots as long as it cannot become a member.
func (h *Holder) AllowBorrowOnly() { h.borrowOnly = true }

// CanStartWork reports whether new work may start.
func (h *Holder) CanStartWork(now time.Time) bool {
	contact := now.Sub(h.lastContact) < h.IsolationTimeout
	if !h.isMember {
		return h.borrowOnly && !h.removed && h.roster != nil && contact
	}
	return !h.selfMember.Leaving && (len(h.roster.Members) == 1 || contact)
}

// SetRoster puts a newer roster in force and reports whether r is newer than the present one.
func (h *Holder) SetRoster(now time.Time, r *Roster) bool {
	if r == nil || r.Epoch <= h.Epoch() {
		return false
	}
	consecutive := r.Epoch == h.Epoch()+1
	h.roster = r
	h.selfMember, h.isMember = r.Member(h.Self)
	switch {
	case h.removed || h.joinedEpoch != 0 && (!h.isMember || h.selfMember.Joined != h.joinedEpoch):
		// All other members assume that this incarnation has no slots, even if it was put on the roster again.
		h.removed, h.isMember = true, false
		h.dropIdleSlots()
	case h.isMember:
		h.joinedEpoch = h.selfMember.Joined
	}
	for key := range h.fenced {
		if _, ok := r.Member(key); !ok {
			delete(h.fenced, key)
		}
	}
	for name := range h.limits {
		h.applyAssignment(now, name, consecutive)
	}
	for name, p := range h.pools {
		if _, ok := h.limits[name]; !ok {
			h.applyAssignment(now, name, consecutive)
		}
		h.endLoansOfRemoved(p)
	}
	return true
}

// dropIdleSlots gives up all idle slots, since no member asks a removed instance for them.
func (h *Holder) dropIdleSlots() {
	for _, p := range h.pools {
		for _, s := range p.seats {
			if s == nil {
				continue
			}
			s.lastHandover = handover{}
			for i := range s.slots {
				if s.slots[i].idle() {
					s.slots[i].owned = false
					s.owned--
				}
			}
		}
	}
}

// SetLimits puts the limits of all pools in force; work on slots above a lowered limit continues.
func (h *Holder) SetLimits(now time.Time, limits map[string]int) {
	previous := h.limits
	h.limits = limits
	for name, limit := range limits {
		switch p := h.pools[name]; {
		case p == nil && previous[name] == 0:
			h.applyAssignment(now, name, false)
		case p != nil:
			p.limit = limit
			for i, s := range p.seats {
				if s != nil {
					s.ownCleared(seatCapacity(limit, i, h.SeatsPerPool))
					s.nextAsk = now
				}
			}
		}
	}
	for name, p := range h.pools {
		if _, ok := limits[name]; !ok {
			p.limit = 0
		}
	}
}

// applyAssignment updates a pool to the assignment of the roster; consecutive is set if no epoch was skipped.
func (h *Holder) applyAssignment(now time.Time, name string, consecutive bool) {
	p := h.pools[name]
	assigned := h.isMember && !h.selfMember.Leaving && h.roster.mayHold(ranked{h.selfMember, rendezvousWeight(name, h.Self.ID)}, name, h.SeatsPerPool)
	if p == nil && !assigned {
		return
	}
	a := h.roster.Assign(name, h.SeatsPerPool)
	if p == nil {
		p = &pool{name: name, seats: make([]*seat, h.SeatsPerPool)}
		h.pools[name] = p
	}
	p.limit = h.limits[name]
	others := slices.DeleteFunc(a.PossibleHolders, h.isSelf)
	for i := range p.seats {
		h.applySeatAssignment(now, p, i, len(a.Holders) > 0 && a.Holders[i].Key() == h.Self, consecutive, others)
	}
	if p.empty() {
		delete(h.pools, name)
	}
}

func (h *Holder) isSelf(m Member) bool { return m.Key() == h.Self }

// applySeatAssignment updates one seat of a pool; others are the possible holders apart from this instance.
func (h *Holder) applySeatAssignment(now time.Time, p *pool, i int, assigned, consecutive bool, others []Member) {
	s := p.seats[i]
	switch {
	case !assigned && s == nil:
		return
	case !assigned:
		s.assignedSince = 0
		if s.empty() && s.lastHandover.since+handoverEpochs < h.roster.Epoch {
			p.seats[i] = nil
		}
		return
	case s == nil:
		s = &seat{}
		p.seats[i] = s
	}
	s.possibleHolders = others
	// After a skipped epoch another member may have held the seat in it.
	if s.assignedSince == 0 || !consecutive {
		s.startAssignment(now, h.roster.Epoch)
	}
	s.ownCleared(seatCapacity(p.limit, i, h.SeatsPerPool))
}

// handoverEpochs is the number of epochs for which a handover is kept. After that, a new holder that missed the
// answer owns the slots only once all possible holders have cleared them.
const handoverEpochs = 8

// endLoansOfRemoved frees the slots lent to members that were removed from the roster.
//
// A borrower that no roster seen here has had is not affected, since its absence from the roster proves nothing.
func (h *Holder) endLoansOfRemoved(p *pool) {
	for _, s := range p.seats {
		if s == nil || s.lent == 0 {
			continue
		}
		for i := range s.slots {
			st := &s.slots[i]
			if st.loan == 0 {
				continue
			}
			switch _, ok := h.roster.Member(st.borrower); {
			case ok:
				st.nonMember = false
			case !st.nonMember:
				s.endLoan(st)
			}
		}
	}
}

// endLoan frees a lent slot.
func (s *seat) endLoan(st *slotState) {
	st.loan, st.borrower, st.nonMember = 0, Key{}, false
	s.lent--
}
