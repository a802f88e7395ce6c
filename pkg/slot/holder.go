package slot

import (
	"net/netip"
	"slices"
	"time"
)

// Holder decides which slots one instance may use; set its exported fields before use.
type Holder struct {
	Self Key
	// Address is where lenders reach this instance.
	Address      netip.AddrPort
	SeatsPerPool int
	// IsolationTimeout is the time without contact after which no new work starts.
	IsolationTimeout time.Duration
	// AskBackoff and AskMost bound the pause before an unanswered ask is repeated.
	AskBackoff, MaxAskBackoff time.Duration
	// AuditAfter is the age from which a lender asks whether a loan still runs.
	AuditAfter time.Duration
	// EnlistAfter is how long a borrower that is not a member may leave audits unanswered
	// before it is to be put on the roster, where its end can be proved.
	EnlistAfter time.Duration

	roster *Roster
	self   Member
	member bool
	// joined is the epoch in which this incarnation became a member, 0 before.
	joined int64
	// retired is set once the incarnation has been taken off the roster; it never works again.
	retired bool
	// borrowOnly lets an instance that was never a member work on borrowed slots.
	borrowOnly bool
	// borrowers are instances to which slots were lent while the roster did not have them.
	borrowers map[Key]*borrower
	heard     time.Time
	pools     map[string]*pool
	limits    map[string]int
	tickets   map[int64]*ticket
	last      int64
	// fenced are members whose removal was announced; their loans are refused.
	fenced map[Key]bool
}

// ticket is one use of a slot, own or borrowed, or adopted work that waits for one.
type ticket struct {
	pool   string
	seat   int
	slot   int
	kind   ticketKind
	lender Key
}

type ticketKind int

const (
	own ticketKind = iota
	borrowed
	pending
	debt
)

// NewHolder returns a holder with the default times.
func NewHolder(self Key) *Holder {
	return &Holder{
		Self: self, SeatsPerPool: DefaultSeats, IsolationTimeout: 10 * time.Second,
		AskBackoff: 200 * time.Millisecond, MaxAskBackoff: 2 * time.Second, AuditAfter: 2 * time.Second,
		EnlistAfter: 10 * time.Second, borrowers: map[Key]*borrower{},
		pools: map[string]*pool{}, limits: map[string]int{}, tickets: map[int64]*ticket{}, fenced: map[Key]bool{},
	}
}

// RecordContact tells that the key-value service or another member has answered.
func (h *Holder) RecordContact(now time.Time) { h.heard = now }

// Epoch returns the epoch of the roster, 0 without one.
func (h *Holder) Epoch() int64 {
	if h.roster == nil {
		return 0
	}
	return h.roster.Epoch
}

// Roster returns the roster in force, or nil.
func (h *Holder) Roster() *Roster { return h.roster }

// IsMember reports whether the roster has this incarnation.
func (h *Holder) IsMember() bool { return h.member }

// AllowBorrowOnly lets this instance work on borrowed slots while it cannot become a member.
func (h *Holder) AllowBorrowOnly() { h.borrowOnly = true }

// CanStartWork reports whether new work may start.
func (h *Holder) CanStartWork(now time.Time) bool {
	contact := now.Sub(h.heard) < h.IsolationTimeout
	if !h.member {
		return h.borrowOnly && !h.retired && h.roster != nil && contact
	}
	return !h.self.Leaving && (len(h.roster.Members) == 1 || contact)
}

// SetRoster puts a newer roster in force.
func (h *Holder) SetRoster(now time.Time, r *Roster) bool {
	if r == nil || r.Epoch <= h.Epoch() {
		return false
	}
	next := r.Epoch == h.Epoch()+1
	h.roster = r
	h.self, h.member = r.Member(h.Self)
	switch {
	case h.retired || h.joined != 0 && (!h.member || h.self.Joined != h.joined):
		// All others take it that this incarnation has no slots, also if it was put on the roster again.
		h.retired, h.member = true, false
		h.disown()
	case h.member:
		h.joined = h.self.Joined
	}
	for k := range h.fenced {
		if _, ok := r.Member(k); !ok {
			delete(h.fenced, k)
		}
	}
	for name := range h.limits {
		h.deal(now, name, next)
	}
	for name, p := range h.pools {
		if _, ok := h.limits[name]; !ok {
			h.deal(now, name, next)
		}
		h.forgetLoans(p)
	}
	return true
}

// disown gives up all idle slots, which nobody may ask this instance for any more.
func (h *Holder) disown() {
	for _, p := range h.pools {
		for _, s := range p.seats {
			if s == nil {
				continue
			}
			s.gave = gift{}
			for i := range s.slots {
				if s.slots[i].idle() {
					s.slots[i].owned = false
					s.owned--
				}
			}
		}
	}
}

// SetLimits puts the limits of all pools in force; work on slots above a limit goes on.
func (h *Holder) SetLimits(now time.Time, limits map[string]int) {
	old := h.limits
	h.limits = limits
	for name, n := range limits {
		switch p := h.pools[name]; {
		case p == nil && old[name] == 0:
			h.deal(now, name, false)
		case p != nil:
			p.limit = n
			for i, s := range p.seats {
				if s != nil {
					s.confirm(capacity(n, i, h.SeatsPerPool))
					s.next = now
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

// deal takes over what the roster says of a pool; next is set when no epoch was skipped.
func (h *Holder) deal(now time.Time, name string, next bool) {
	p := h.pools[name]
	mine := h.member && !h.self.Leaving && h.roster.holds(ranked{h.self, weight(name, h.Self.ID)}, name, h.SeatsPerPool)
	if p == nil && !mine {
		return
	}
	d := h.roster.Assign(name, h.SeatsPerPool)
	if p == nil {
		p = &pool{name: name, seats: make([]*seat, h.SeatsPerPool)}
		h.pools[name] = p
	}
	p.limit = h.limits[name]
	former := slices.DeleteFunc(d.PossibleHolders, h.isSelf)
	for i := range p.seats {
		h.dealSeat(now, p, i, len(d.Holders) > 0 && d.Holders[i].Key() == h.Self, next, former)
	}
	if p.empty() {
		delete(h.pools, name)
	}
}

func (h *Holder) isSelf(m Member) bool { return m.Key() == h.Self }

func (h *Holder) dealSeat(now time.Time, p *pool, i int, mine, next bool, former []Member) {
	s := p.seats[i]
	switch {
	case !mine && s == nil:
		return
	case !mine:
		s.since = 0
		if s.empty() && s.gave.since+giftEpochs < h.roster.Epoch {
			p.seats[i] = nil
		}
		return
	case s == nil:
		s = &seat{}
		p.seats[i] = s
	}
	s.former = former
	// Another member may have held the seat in an epoch that was skipped.
	if s.since == 0 || !next {
		s.begin(now, h.roster.Epoch)
	}
	s.confirm(capacity(p.limit, i, h.SeatsPerPool))
}

// giftEpochs is for how many epochs a gift is remembered; without it the new holder asks all former ones.
const giftEpochs = 8

// forgetLoans frees the slots lent to members that are no longer in the roster.
//
// The roster says nothing of a borrower that no roster seen here has had.
func (h *Holder) forgetLoans(p *pool) {
	for _, s := range p.seats {
		if s == nil || s.lent == 0 {
			continue
		}
		for i := range s.slots {
			st := &s.slots[i]
			if st.loan == 0 {
				continue
			}
			switch _, ok := h.roster.Member(st.to); {
			case ok:
				st.nonMember = false
			case !st.nonMember:
				s.end(st)
			}
		}
	}
}

func (s *seat) end(st *state) {
	st.loan, st.to, st.nonMember = 0, Key{}, false
	s.lent--
}
