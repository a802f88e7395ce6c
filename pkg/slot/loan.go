package slot

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Lenders returns the other holders of a pool that may lend a slot, rotated by offset.
func (h *Holder) Lenders(now time.Time, poolName string, offset int) []Member {
	if !h.CanStartWork(now) || h.limits[poolName] == 0 {
		return nil
	}
	a := h.roster.Assign(poolName, h.SeatsPerPool)
	var lenders []Member
	for i := range a.Holders {
		m := a.Holders[(i+offset)%len(a.Holders)]
		same := func(o Member) bool { return o.Key() == m.Key() }
		// A former incarnation of this instance cannot answer.
		if m.ID != h.Self.ID && m.Address != h.Address && !h.fenced[m.Key()] && !slices.ContainsFunc(lenders, same) {
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// BeginLoan issues a ticket for a loan of a pool's slot and returns the request to send to the lender.
func (h *Holder) BeginLoan(poolName string, lender Key) Borrow {
	id := h.addTicket(ticket{pool: poolName, kind: pendingLoan, lender: lender})
	return Borrow{From: h.Self, To: lender, Address: h.Address, Pool: poolName, Loan: id}
}

// ConfirmLoan applies the answer to a Borrow and reports whether the lent slot may be used under the ticket b.Loan.
func (h *Holder) ConfirmLoan(now time.Time, b Borrow, l Lent) bool {
	t := h.tickets[b.Loan]
	if t == nil || t.kind != pendingLoan {
		return false
	}
	// The answer may have arrived after the lender's end was proved or after this instance lost contact.
	if !l.OK || h.fenced[t.lender] || !h.CanStartWork(now) {
		return false
	}
	if _, ok := h.roster.Member(t.lender); !ok {
		return false
	}
	t.kind = borrowedSlot
	return true
}

// Lend answers a Borrow with an idle slot that this instance owns, if there is one and the loan is allowed.
func (h *Holder) Lend(now time.Time, b Borrow) Lent {
	p := h.pools[b.Pool]
	if p == nil || b.To != h.Self || b.Loan < 1 || !h.isMember || !h.CanStartWork(now) || h.fenced[b.From] {
		return Lent{}
	}
	borrowerMember, isMember := h.roster.Member(b.From)
	if borrowerMember.Ended || !isMember && (!b.valid() || h.superseded(b.From, b.Address)) {
		return Lent{}
	}
	h.placeWaitingWork(now, p)
	i, slot, ok := h.findFreeSlot(p)
	if !ok {
		return Lent{}
	}
	s := p.seats[i]
	s.slots[slot].loan, s.slots[slot].borrower, s.slots[slot].checkedAt, s.slots[slot].nonMember = b.Loan, b.From, now, !isMember
	s.lent++
	if !isMember && h.borrowers[b.From] == nil {
		h.borrowers[b.From] = &borrower{Member{ID: b.From.ID, Address: b.Address, Incarnation: b.From.Incarnation}, now}
	}
	return Lent{OK: true, Seat: i, Slot: slot}
}

// EndLoans frees the slots of loans that, according to the borrower, have ended or were never received.
func (h *Holder) EndLoans(now time.Time, l Loans) {
	h.forEachLoan(func(p *pool, s *seat, st *slotState) {
		if st.borrower == l.From && slices.Contains(l.Loans, st.loan) {
			s.endLoan(st)
			h.placeWaitingWork(now, p)
		}
	})
}

// forEachLoan calls f for each lent slot with its seat and pool, in a fixed order.
func (h *Holder) forEachLoan(f func(*pool, *seat, *slotState)) {
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

// borrower is an instance that borrowed slots while it was not a member.
type borrower struct {
	Member
	// lastAnswer is when it last answered an audit, or first borrowed.
	lastAnswer time.Time
}

// valid reports whether the Borrow names its sender and an address for audits, as one from a non-member must.
func (b Borrow) valid() bool {
	return b.Address.IsValid() && b.From.ID != "" && len(b.From.ID) <= maxIDBytes
}

// superseded reports whether another incarnation, of the same age or newer, has the id or the address.
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

// BorrowersToEnlist returns borrowers that no roster has had and that have not answered audits for EnlistAfter.
// Once they are on the roster, their end is proved in the same way as that of any member.
func (h *Holder) BorrowersToEnlist(now time.Time) []Member {
	silent := map[Key]Member{}
	h.forEachLoan(func(_ *pool, _ *seat, st *slotState) {
		if b := h.borrowers[st.borrower]; st.nonMember && now.Sub(b.lastAnswer) >= h.EnlistAfter {
			silent[st.borrower] = b.Member
		}
	})
	return slices.SortedFunc(maps.Values(silent), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// OutgoingAudit is an audit of loans with the borrower to send it to.
type OutgoingAudit struct {
	To    Member
	Loans Loans
}

// DueAudits returns audits, one for each borrower, of the loans that are due, and restarts their interval.
func (h *Holder) DueAudits(now time.Time) []OutgoingAudit {
	borrowing := map[Key]bool{}
	defer func() { maps.DeleteFunc(h.borrowers, func(k Key, _ *borrower) bool { return !borrowing[k] }) }()
	var due []OutgoingAudit
	h.forEachLoan(func(_ *pool, _ *seat, st *slotState) {
		borrowing[st.borrower] = true
		if now.Sub(st.checkedAt) < h.AuditAfter {
			return
		}
		m, ok := h.roster.Member(st.borrower)
		if m.Ended {
			return
		}
		if !ok {
			m = h.borrowers[st.borrower].Member
		}
		i := slices.IndexFunc(due, func(a OutgoingAudit) bool { return a.To == m })
		if i < 0 {
			i = len(due)
			due = append(due, OutgoingAudit{To: m, Loans: Loans{From: h.Self, To: st.borrower}})
		}
		if len(due[i].Loans.Loans) < MaxLoans {
			due[i].Loans.Loans = append(due[i].Loans.Loans, st.loan)
			st.checkedAt = now
		}
	})
	return due
}

// ApplyAuditAnswer applies the answer to an audit; it ignores one from another incarnation at the address.
func (h *Holder) ApplyAuditAnswer(now time.Time, to Key, answer Loans) {
	if answer.From != to {
		return
	}
	if b := h.borrowers[to]; b != nil {
		b.lastAnswer = now
	}
	h.EndLoans(now, answer)
}

// AnswerAudit returns which of the lender's loans this instance does not have and will not accept; if the
// audit is meant for another incarnation, it returns none.
func (h *Holder) AnswerAudit(l Loans) Loans {
	out := Loans{From: h.Self, To: l.From}
	if l.To != h.Self {
		return out
	}
	for _, id := range l.Loans[:min(len(l.Loans), MaxLoans)] {
		t := h.tickets[id]
		if t == nil || t.lender != l.From || t.kind != borrowedSlot && t.kind != pendingLoan {
			out.Loans = append(out.Loans, id)
		}
	}
	return out
}

// Fence makes this instance refuse further loans from and to an ended member, and reports whether this
// instance uses no slot of it and has no adopted work without a slot.
//
// The incarnation that is asked is to; no other one may answer for it.
func (h *Holder) Fence(to, ended Key) bool {
	if to != h.Self {
		return false
	}
	if m, ok := h.roster.Member(ended); h.roster == nil || !ok || !m.Ended {
		return false
	}
	h.fenced[ended] = true
	for _, t := range h.tickets {
		if t.kind == workWithoutSlot || t.kind == borrowedSlot && t.lender == ended {
			return false
		}
	}
	return true
}
