package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loanSetup has a lender with one slot, another member, and a borrower that is not a member.
type loanSetup struct {
	roster                   *Roster
	pool                     string
	lender, member, borrower *Holder
}

func newLoanSetup(t *testing.T) loanSetup {
	t.Helper()
	v := loanSetup{roster: rosterOf("l", "m")}
	for i := 0; v.pool == ""; i++ {
		if name := fmt.Sprint("target/m/", i); v.roster.Assign(name, modelSeats).Holders[0].ID == "l" {
			v.pool = name
		}
	}
	limits := map[string]int{v.pool: 1}
	v.lender, v.member, v.borrower = holderOf("l", rosterOf("l"), limits), holderOf("m", v.roster, limits), holderOf("x", v.roster, limits)
	v.lender.SetRoster(start, v.roster)
	v.borrower.Address = addressOf("x1")
	return v
}

func (v loanSetup) borrow(t *testing.T) Borrow {
	t.Helper()
	v.borrower.AllowBorrowOnly()
	b := v.borrower.BeginLoan(v.pool, v.lender.Self)
	require.True(t, v.borrower.ConfirmLoan(start, b, v.lender.Lend(start, b)))
	return b
}

func (v loanSetup) lent() bool { return v.lender.UsageByKind()["target"].Lent > 0 }

// TestNonMemberStartsOnlyBorrowedWork guards against an instance that starts work without a roster, contact
// or the permission to borrow only, and against one that starts work again after its removal.
func TestNonMemberStartsOnlyBorrowedWork(t *testing.T) {
	v := newLoanSetup(t)
	require.False(t, v.borrower.CanStartWork(start), "it may still join")
	v.borrower.AllowBorrowOnly()
	require.True(t, v.borrower.CanStartWork(start))
	require.NotEmpty(t, v.borrower.Lenders(start, v.pool, 0))
	next := NewHolder(Key{"l", 2})
	next.RecordContact(start)
	next.AllowBorrowOnly()
	next.SetLimits(start, map[string]int{v.pool: 1})
	next.SetRoster(start, v.roster)
	for _, m := range next.Lenders(start, v.pool, 0) {
		require.NotEqual(t, "l", m.ID, "its own former incarnation cannot lend")
	}
	_, ok := v.borrower.AdoptWork(start, v.pool)
	require.False(t, ok, "work without a slot, which no fence would find")
	require.False(t, v.borrower.CanStartWork(start.Add(v.borrower.IsolationTimeout)), "it is isolated")
	noRoster := NewHolder(Key{"y", 1})
	noRoster.AllowBorrowOnly()
	noRoster.RecordContact(start)
	require.False(t, noRoster.CanStartWork(start), "it knows no lenders")

	joined := v.roster.Join("x", v.borrower.Address, 1)
	v.borrower.SetRoster(start, joined)
	require.True(t, v.borrower.CanStartWork(start))
	removed := joined.Remove(v.borrower.Self)
	v.borrower.SetRoster(start, removed)
	require.False(t, v.borrower.CanStartWork(start), "it was removed")
	v.borrower.SetRoster(start, removed.Join("x", v.borrower.Address, 1))
	require.False(t, v.borrower.CanStartWork(start), "others assume that it owns nothing")
	require.True(t, v.borrower.Drained())
}

// TestRemovedInstanceHandsOverNothing guards against a removed instance that hands over slots that others
// took over at its removal.
func TestRemovedInstanceHandsOverNothing(t *testing.T) {
	v := newLoanSetup(t)
	require.Positive(t, v.lender.UsageByKind()["target"].Held)
	r := v.roster.Remove(v.lender.Self)
	v.lender.SetRoster(start, r)
	require.Zero(t, v.lender.UsageByKind()["target"].Held)
	r = r.Join("l", v.roster.Members[0].Address, 1)
	v.lender.SetRoster(start, r)
	for _, s := range v.lender.AnswerAsk(Ask{From: v.member.Self, To: v.lender.Self, Epoch: r.Epoch, Wants: []Want{{Pool: v.pool, Since: 1}}}).Releases {
		require.True(t, s.Given.Empty())
	}
}

// TestLoanToNonMemberEnds guards against a lender that frees a lent slot while the borrower, which is not a
// member, may still use it or another instance may have adopted its work, and against one that never frees it.
func TestLoanToNonMemberEnds(t *testing.T) {
	newer := Key{"x", 2}
	for _, c := range []struct {
		name  string
		event func(v loanSetup, b Borrow)
		ends  bool
	}{
		{"nothing", func(loanSetup, Borrow) {}, false},
		{"roster without it", func(v loanSetup, _ Borrow) { v.lender.SetRoster(start, v.roster.Join("q", modelAddress, 1)) }, false},
		{"joins", func(v loanSetup, _ Borrow) { v.lender.SetRoster(start, v.roster.Join("x", v.borrower.Address, 1)) }, false},
		{"joins and is removed", func(v loanSetup, _ Borrow) {
			r := v.roster.Join("x", v.borrower.Address, 1)
			v.lender.SetRoster(start, r)
			v.lender.SetRoster(start, r.Remove(v.borrower.Self))
		}, true},
		{"returned", func(v loanSetup, b Borrow) {
			v.lender.EndLoans(start, Loans{From: v.borrower.Self, Loans: []int64{b.Loan}})
		}, true},
		{"denied", func(v loanSetup, b Borrow) {
			v.lender.ApplyAuditAnswer(start, v.borrower.Self, Loans{From: v.borrower.Self, Loans: []int64{b.Loan}})
		}, true},
		{"newer incarnation joins", func(v loanSetup, _ Borrow) { v.lender.SetRoster(start, v.roster.Join("x", v.borrower.Address, 2)) }, false},
		{"newer incarnation borrows", func(v loanSetup, _ Borrow) {
			v.lender.Lend(start, Borrow{From: newer, To: v.lender.Self, Address: v.borrower.Address, Pool: v.pool, Loan: 1})
		}, false},
		{"newer incarnation answers an audit", func(v loanSetup, b Borrow) {
			v.lender.ApplyAuditAnswer(start, v.borrower.Self, Loans{From: newer, Loans: []int64{b.Loan}})
		}, false},
		{"newer incarnation joins and it is enlisted and removed", func(v loanSetup, _ Borrow) {
			r := v.roster.Join("x", v.borrower.Address, 2).EnlistBorrower("x", v.borrower.Address, 1)
			v.lender.SetRoster(start, r)
			v.lender.SetRoster(start, r.Remove(v.borrower.Self))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newLoanSetup(t)
			c.event(v, v.borrow(t))
			v.lender.DueAudits(start.Add(time.Hour))
			require.Equal(t, !c.ends, v.lent())
		})
	}
}

// TestEnlistKeepsNewerIncarnation guards against an ended borrower that replaces its newer incarnation on
// the roster.
func TestEnlistKeepsNewerIncarnation(t *testing.T) {
	address := addressOf("x1")
	r := rosterOf("l").Join("x", address, 2)
	e := r.EnlistBorrower("x", address, 1)
	require.NoError(t, e.Check())
	old, _ := e.Member(Key{"x", 1})
	require.True(t, old.Ended && old.Leaving)
	present, _ := e.Member(Key{"x", 2})
	require.False(t, present.Leaving)
	require.Nil(t, e.EnlistBorrower("x", address, 1))
	m, _ := r.EnlistBorrower("y", modelAddress, 1).Member(Key{"y", 1})
	require.False(t, m.Leaving, "it may run")
}

// TestSilentBorrowerIsEnlisted guards against a borrower that ended and is not put on the roster, where its
// end could be proved, and against one that answers audits and is put there.
func TestSilentBorrowerIsEnlisted(t *testing.T) {
	v := newLoanSetup(t)
	v.borrow(t)
	silent := start.Add(v.lender.EnlistAfter)
	require.Empty(t, v.lender.BorrowersToEnlist(silent.Add(-1)))
	require.Len(t, v.lender.BorrowersToEnlist(silent), 1)
	for _, a := range v.lender.DueAudits(silent) {
		v.lender.ApplyAuditAnswer(silent, a.To.Key(), v.borrower.AnswerAudit(a.Loans))
	}
	require.True(t, v.lent(), "the loan runs")
	require.Empty(t, v.lender.BorrowersToEnlist(silent), "it has answered")
	v.lender.SetRoster(silent, v.roster.Join("x", v.borrower.Address, 1))
	require.Empty(t, v.lender.BorrowersToEnlist(silent.Add(time.Hour)), "it is a member")
}

// TestOtherIncarnationDoesNotAnswer guards against an instance that answers a message meant for its former
// incarnation at the address.
func TestOtherIncarnationDoesNotAnswer(t *testing.T) {
	v := newLoanSetup(t)
	next := NewHolder(Key{"m", 2})
	next.SeatsPerPool = modelSeats
	next.SetLimits(start, map[string]int{v.pool: 1})
	r := v.roster.Join("m", v.roster.Members[1].Address, 2).MarkLeaving(v.lender.Self, true)
	next.RecordContact(start)
	next.SetRoster(start, r)
	require.Empty(t, next.AnswerAsk(Ask{To: v.member.Self, Wants: []Want{{Pool: v.pool, Since: 1}}}).Releases)
	require.False(t, next.Fence(v.member.Self, v.lender.Self))
	require.True(t, next.Fence(next.Self, v.lender.Self))
	require.Empty(t, next.AnswerAudit(Loans{From: v.lender.Self, To: v.member.Self, Loans: []int64{7}}).Loans)
	require.Len(t, next.AnswerAudit(Loans{From: v.lender.Self, To: next.Self, Loans: []int64{7}}).Loans, 1)
	require.False(t, v.lender.Lend(start, Borrow{From: v.member.Self, To: Key{"l", 0}, Pool: v.pool, Loan: 1}).OK)
}

// TestRemovalWaitsForListedNonMembers guards against the removal of an ended lender while an instance that
// is not on the roster may use one of its slots.
func TestRemovalWaitsForListedNonMembers(t *testing.T) {
	const linger, lag = 5 * time.Second, 20 * time.Second
	r := rosterOf("a", "c")
	ended, x := Key{"c", 1}, Member{ID: "x", Address: modelAddress, Incarnation: 1}
	r = r.MarkLeaving(ended, true)
	a := r.Members[0]
	for _, c := range []struct {
		name string
		// The list has x between from and to; x confirms the fence at acked, if that is above 0.
		from, to, acked time.Duration
		removable       time.Duration
	}{
		{"none listed", 0, 0, 0, lag + linger},
		{"listed and agrees", 0, time.Hour, lag, lag + linger},
		{"listed and agrees late", 0, time.Hour, 40 * time.Second, 40 * time.Second},
		{"listed late", lag - time.Second, time.Hour, 40 * time.Second, 40 * time.Second},
		{"ends without an answer", 0, 40 * time.Second, 0, 40*time.Second + linger},
		{"ends before the list must have it", 0, time.Second, 0, lag + linger},
	} {
		t.Run(c.name, func(t *testing.T) {
			removals := RemovalTracker{Self: a.Key(), Linger: linger, ListLag: lag}
			for at := time.Duration(0); at <= time.Minute; at += time.Second {
				list := []Member{a}
				if at >= c.from && at < c.to {
					list = append(list, x)
				}
				now := start.Add(at)
				removals.Update(now, now, r, list)
				removals.RecordFenced(ended, a.Key())
				if c.acked > 0 && at >= c.acked {
					removals.RecordFenced(ended, x.Key())
				}
				if at < c.removable {
					require.Empty(t, removals.Removable(now), "%v", at)
				} else {
					require.Equal(t, []Key{ended}, removals.Removable(now), "%v", at)
				}
			}
			removals.Update(start, start.Add(time.Hour), r, nil)
			require.Empty(t, removals.Removable(start.Add(time.Hour)), "the list does not cover the deployment")
		})
	}
}

// TestListLagCountsFromAbsence guards against a wait for the list lag that restarts when a member is marked
// as ended, and against one that starts while the member may still be running because the list does not
// have it yet.
func TestListLagCountsFromAbsence(t *testing.T) {
	const linger, lag = 5 * time.Second, 20 * time.Second
	before := rosterOf("a", "c")
	ended := Key{"c", 1}
	endedRoster, a := before.MarkLeaving(ended, true), before.Members[0]
	for _, listed := range []bool{false, true} {
		removals := RemovalTracker{Self: a.Key(), Linger: linger, ListLag: lag}
		if listed {
			removals.Update(start, start, before, before.Members)
		}
		for at := time.Second; at <= lag; at += time.Second {
			removals.Update(start.Add(at), start.Add(at), before, []Member{a})
		}
		marked := start.Add(lag + time.Second)
		removals.Update(marked, marked, endedRoster, []Member{a})
		removals.RecordFenced(ended, a.Key())
		require.Equal(t, listed, len(removals.Removable(marked.Add(linger))) > 0)
	}
}
