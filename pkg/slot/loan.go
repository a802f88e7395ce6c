package slot

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Lenders returns the other holders of a pool that may lend a slot, in an order that differs by turn.
func (h *Holder) Lenders(now time.Time, name string, turn int) []Member {
	if !h.CanStartWork(now) || h.limits[name] == 0 {
		return nil
	}
	d := h.roster.Assign(name, h.SeatsPerPool)
	var list []Member
	for i := range d.Holders {
		m := d.Holders[(i+turn)%len(d.Holders)]
		same := func(o Member) bool { return o.Key() == m.Key() }
		// A former incarnation of this instance cannot answer.
		if m.ID != h.Self.ID && m.Address != h.Address && !h.fenced[m.Key()] && !slices.ContainsFunc(list, same) {
			list = append(list, m)
		}
	}
	return list
}

// BeginLoan begins a loan of a pool's slot from a lender.
func (h *Holder) BeginLoan(name string, lender Key) Borrow {
	id := h.issue(ticket{pool: name, kind: pending, lender: lender})
	return Borrow{From: h.Self, To: lender, Address: h.Address, Pool: name, Loan: id}
}

// ConfirmLoan takes in the answer to a Borrow and reports whether the slot may be used by the ticket Loan.
func (h *Holder) ConfirmLoan(now time.Time, b Borrow, l Lent) bool {
	t := h.tickets[b.Loan]
	if t == nil || t.kind != pending {
		return false
	}
	// The loan may have come after the lender's end was proved or this instance was cut off.
	if !l.OK || h.fenced[t.lender] || !h.CanStartWork(now) {
		return false
	}
	if _, ok := h.roster.Member(t.lender); !ok {
		return false
	}
	t.kind = borrowed
	return true
}

// Lend lends a slot that is held and idle.
func (h *Holder) Lend(now time.Time, b Borrow) Lent {
	p := h.pools[b.Pool]
	if p == nil || b.To != h.Self || b.Loan < 1 || !h.member || !h.CanStartWork(now) || h.fenced[b.From] {
		return Lent{}
	}
	m, member := h.roster.Member(b.From)
	if m.Ended || !member && (!b.valid() || h.superseded(b.From, b.Address)) {
		return Lent{}
	}
	h.settle(now, p)
	i, n, ok := h.free(p)
	if !ok {
		return Lent{}
	}
	s := p.seats[i]
	s.slots[n].loan, s.slots[n].to, s.slots[n].at, s.slots[n].nonMember = b.Loan, b.From, now, !member
	s.lent++
	if !member && h.borrowers[b.From] == nil {
		h.borrowers[b.From] = &borrower{Member{ID: b.From.ID, Address: b.Address, Incarnation: b.From.Incarnation}, now}
	}
	return Lent{OK: true, Seat: i, Slot: n}
}

// EndLoans frees the slots of loans that the borrower says have ended or never came.
func (h *Holder) EndLoans(now time.Time, l Loans) {
	h.eachLoan(func(p *pool, s *seat, st *state) {
		if st.to == l.From && slices.Contains(l.Loans, st.loan) {
			s.end(st)
			h.settle(now, p)
		}
	})
}

func (h *Holder) eachLoan(f func(*pool, *seat, *state)) {
	for _, name := range slices.Sorted(maps.Keys(h.pools)) {
		p := h.pools[name]
		for _, s := range p.seats {
			if s == nil || s.lent == 0 {
				continue
			}
			for i := range s.slots {
				if s.slots[i].loan != 0 {
					f(p, s, &s.slots[i])
				}
			}
		}
	}
}

// borrower is an instance that borrowed while it was not a member.
type borrower struct {
	Member
	// answered is when it last answered an audit, or borrowed first.
	answered time.Time
}

func (b Borrow) valid() bool {
	return b.Address.IsValid() && b.From.ID != "" && len(b.From.ID) <= maxIDBytes
}

// superseded reports whether another incarnation that is no older has the id or the address.
func (h *Holder) superseded(k Key, address netip.AddrPort) bool {
	newer := func(m Member) bool {
		return m.Key() != k && (m.ID == k.ID || m.Address == address) && m.Incarnation >= k.Incarnation
	}
	for _, b := range h.borrowers {
		if newer(b.Member) {
			return true
		}
	}
	return slices.ContainsFunc(h.roster.Members, newer)
}

// BorrowersToEnlist returns borrowers that no roster has had and that have not answered audits for long: once
// on the roster, their end is proved as that of any member.
func (h *Holder) BorrowersToEnlist(now time.Time) []Member {
	silent := map[Key]Member{}
	h.eachLoan(func(_ *pool, _ *seat, st *state) {
		if b := h.borrowers[st.to]; st.nonMember && now.Sub(b.answered) >= h.EnlistAfter {
			silent[st.to] = b.Member
		}
	})
	return slices.SortedFunc(maps.Values(silent), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// OutgoingAudit names loans to ask their borrower after.
type OutgoingAudit struct {
	To    Member
	Loans Loans
}

// DueAudits returns the loans, by borrower, that are old enough to ask after.
func (h *Holder) DueAudits(now time.Time) []OutgoingAudit {
	kept := map[Key]bool{}
	defer func() { maps.DeleteFunc(h.borrowers, func(k Key, _ *borrower) bool { return !kept[k] }) }()
	var due []OutgoingAudit
	h.eachLoan(func(_ *pool, _ *seat, st *state) {
		kept[st.to] = true
		if now.Sub(st.at) < h.AuditAfter {
			return
		}
		m, ok := h.roster.Member(st.to)
		if m.Ended {
			return
		}
		if !ok {
			m = h.borrowers[st.to].Member
		}
		i := slices.IndexFunc(due, func(a OutgoingAudit) bool { return a.To == m })
		if i < 0 {
			i = len(due)
			due = append(due, OutgoingAudit{To: m, Loans: Loans{From: h.Self, To: st.to}})
		}
		if len(due[i].Loans.Loans) < MaxLoans {
			due[i].Loans.Loans = append(due[i].Loans.Loans, st.loan)
			st.at = now
		}
	})
	return due
}

// ApplyAuditAnswer takes in the answer to an audit, which another incarnation at the address may have given.
func (h *Holder) ApplyAuditAnswer(now time.Time, to Key, answer Loans) {
	if answer.From != to {
		return
	}
	if b := h.borrowers[to]; b != nil {
		b.answered = now
	}
	h.EndLoans(now, answer)
}

// AnswerAudit returns which of the lender's loans this instance does not have and will not take up; it
// says nothing of those of another incarnation.
func (h *Holder) AnswerAudit(l Loans) Loans {
	out := Loans{From: h.Self, To: l.From}
	if l.To != h.Self {
		return out
	}
	for _, id := range l.Loans[:min(len(l.Loans), MaxLoans)] {
		t := h.tickets[id]
		if t == nil || t.lender != l.From || t.kind != borrowed && t.kind != pending {
			out.Loans = append(out.Loans, id)
		}
	}
	return out
}

// Fence refuses what still comes from a member that is over, and reports whether this instance
// has no slot of it and no adopted work without a slot.
//
// To names the incarnation that is asked; no other one may answer for it.
func (h *Holder) Fence(to, over Key) bool {
	if to != h.Self {
		return false
	}
	if m, ok := h.roster.Member(over); h.roster == nil || !ok || !m.Ended {
		return false
	}
	h.fenced[over] = true
	for _, t := range h.tickets {
		if t.kind == debt || t.kind == borrowed && t.lender == over {
			return false
		}
	}
	return true
}
