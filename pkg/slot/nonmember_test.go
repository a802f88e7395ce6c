package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lending is a lender with one slot, a member beside it, and a borrower that is no member.
type lending struct {
	r       *Roster
	pool    string
	l, m, x *Holder
}

func newLending(t *testing.T) lending {
	t.Helper()
	v := lending{r: rosterOf("l", "m")}
	for i := 0; v.pool == ""; i++ {
		if name := fmt.Sprint("target/m/", i); v.r.Assign(name, modelSeats).Holders[0].ID == "l" {
			v.pool = name
		}
	}
	limits := map[string]int{v.pool: 1}
	v.l, v.m, v.x = holderOf("l", rosterOf("l"), limits), holderOf("m", v.r, limits), holderOf("x", v.r, limits)
	v.l.SetRoster(start, v.r)
	v.x.Address = addressOf("x1")
	return v
}

func (v lending) borrow(t *testing.T) Borrow {
	t.Helper()
	v.x.AllowBorrowOnly()
	b := v.x.BeginLoan(v.pool, v.l.Self)
	require.True(t, v.x.ConfirmLoan(start, b, v.l.Lend(start, b)))
	return b
}

func (v lending) lent() bool { return v.l.UsageByKind()["target"].Lent > 0 }

// Guards against an instance that works without roster, contact or the state for it, and against
// one that works again after its removal.
func TestWorkOfNonMembers(t *testing.T) {
	v := newLending(t)
	require.False(t, v.x.CanStartWork(start), "it may yet join")
	v.x.AllowBorrowOnly()
	require.True(t, v.x.CanStartWork(start))
	require.NotEmpty(t, v.x.Lenders(start, v.pool, 0))
	next := NewHolder(Key{"l", 2})
	next.RecordContact(start)
	next.AllowBorrowOnly()
	next.SetLimits(start, map[string]int{v.pool: 1})
	next.SetRoster(start, v.r)
	for _, m := range next.Lenders(start, v.pool, 0) {
		require.NotEqual(t, "l", m.ID, "its own former incarnation cannot lend")
	}
	_, ok := v.x.AdoptWork(start, v.pool)
	require.False(t, ok, "work without a slot of which no keeper asks")
	require.False(t, v.x.CanStartWork(start.Add(v.x.IsolationTimeout)), "it is cut off")
	bare := NewHolder(Key{"y", 1})
	bare.AllowBorrowOnly()
	bare.RecordContact(start)
	require.False(t, bare.CanStartWork(start), "it knows no lenders")

	joined := v.r.Join("x", v.x.Address, 1)
	v.x.SetRoster(start, joined)
	require.True(t, v.x.CanStartWork(start))
	gone := joined.Remove(v.x.Self)
	v.x.SetRoster(start, gone)
	require.False(t, v.x.CanStartWork(start), "it was removed")
	v.x.SetRoster(start, gone.Join("x", v.x.Address, 1))
	require.False(t, v.x.CanStartWork(start), "others take it that it has nothing")
	require.True(t, v.x.Drained())
}

// Guards against a removed instance that hands over slots which others took at its removal.
func TestRemovedInstanceHasNothing(t *testing.T) {
	v := newLending(t)
	require.Positive(t, v.l.UsageByKind()["target"].Held)
	r := v.r.Remove(v.l.Self)
	v.l.SetRoster(start, r)
	require.Zero(t, v.l.UsageByKind()["target"].Held)
	r = r.Join("l", v.r.Members[0].Address, 1)
	v.l.SetRoster(start, r)
	for _, s := range v.l.AnswerAsk(Ask{From: v.m.Self, To: v.l.Self, Epoch: r.Epoch, Wants: []Want{{Pool: v.pool, Since: 1}}}).Releases {
		require.True(t, s.Given.Empty())
	}
}

// Guards against a lender that takes a slot back from a borrower that is no member and may still
// use it, or whose work another instance may have adopted, and against one that never takes it back.
func TestLoanToNonMemberEnds(t *testing.T) {
	newer := Key{"x", 2}
	for _, c := range []struct {
		name  string
		event func(v lending, b Borrow)
		ends  bool
	}{
		{"nothing", func(lending, Borrow) {}, false},
		{"roster without it", func(v lending, _ Borrow) { v.l.SetRoster(start, v.r.Join("q", modelAddress, 1)) }, false},
		{"joins", func(v lending, _ Borrow) { v.l.SetRoster(start, v.r.Join("x", v.x.Address, 1)) }, false},
		{"joins and is removed", func(v lending, _ Borrow) {
			r := v.r.Join("x", v.x.Address, 1)
			v.l.SetRoster(start, r)
			v.l.SetRoster(start, r.Remove(v.x.Self))
		}, true},
		{"returned", func(v lending, b Borrow) {
			v.l.EndLoans(start, Loans{From: v.x.Self, Loans: []int64{b.Loan}})
		}, true},
		{"denied", func(v lending, b Borrow) {
			v.l.ApplyAuditAnswer(start, v.x.Self, Loans{From: v.x.Self, Loans: []int64{b.Loan}})
		}, true},
		{"newer incarnation joins", func(v lending, _ Borrow) { v.l.SetRoster(start, v.r.Join("x", v.x.Address, 2)) }, false},
		{"newer incarnation borrows", func(v lending, _ Borrow) {
			v.l.Lend(start, Borrow{From: newer, To: v.l.Self, Address: v.x.Address, Pool: v.pool, Loan: 1})
		}, false},
		{"newer incarnation answers an audit", func(v lending, b Borrow) {
			v.l.ApplyAuditAnswer(start, v.x.Self, Loans{From: newer, Loans: []int64{b.Loan}})
		}, false},
		{"newer incarnation joins and it is enlisted and removed", func(v lending, _ Borrow) {
			r := v.r.Join("x", v.x.Address, 2).EnlistBorrower("x", v.x.Address, 1)
			v.l.SetRoster(start, r)
			v.l.SetRoster(start, r.Remove(v.x.Self))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newLending(t)
			c.event(v, v.borrow(t))
			v.l.DueAudits(start.Add(time.Hour))
			require.Equal(t, !c.ends, v.lent())
		})
	}
}

// Guards against an ended borrower that is put on the roster in place of its newer incarnation.
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

// Guards against a borrower that ended and is put on no roster, where its end could be proved, and
// against one that answers and is put there.
func TestSilentBorrowerIsEnlisted(t *testing.T) {
	v := newLending(t)
	v.borrow(t)
	silent := start.Add(v.l.EnlistAfter)
	require.Empty(t, v.l.BorrowersToEnlist(silent.Add(-1)))
	require.Len(t, v.l.BorrowersToEnlist(silent), 1)
	for _, a := range v.l.DueAudits(silent) {
		v.l.ApplyAuditAnswer(silent, a.To.Key(), v.x.AnswerAudit(a.Loans))
	}
	require.True(t, v.lent(), "the loan runs")
	require.Empty(t, v.l.BorrowersToEnlist(silent), "it has answered")
	v.l.SetRoster(silent, v.r.Join("x", v.x.Address, 1))
	require.Empty(t, v.l.BorrowersToEnlist(silent.Add(time.Hour)), "it is a member")
}

// Guards against an instance that answers what its former incarnation at the address was asked.
func TestOtherIncarnationAnswersNothing(t *testing.T) {
	v := newLending(t)
	next := NewHolder(Key{"m", 2})
	next.SeatsPerPool = modelSeats
	next.SetLimits(start, map[string]int{v.pool: 1})
	r := v.r.Join("m", v.r.Members[1].Address, 2).MarkLeaving(v.l.Self, true)
	next.RecordContact(start)
	next.SetRoster(start, r)
	require.Empty(t, next.AnswerAsk(Ask{To: v.m.Self, Wants: []Want{{Pool: v.pool, Since: 1}}}).Releases)
	require.False(t, next.Fence(v.m.Self, v.l.Self))
	require.True(t, next.Fence(next.Self, v.l.Self))
	require.Empty(t, next.AnswerAudit(Loans{From: v.l.Self, To: v.m.Self, Loans: []int64{7}}).Loans)
	require.Len(t, next.AnswerAudit(Loans{From: v.l.Self, To: next.Self, Loans: []int64{7}}).Loans, 1)
	require.False(t, v.l.Lend(start, Borrow{From: v.m.Self, To: Key{"l", 0}, Pool: v.pool, Loan: 1}).OK)
}

// Guards against the removal of an ended lender while an instance that is not on the roster may use
// one of its slots.
func TestKeeperAsksListedNonMembers(t *testing.T) {
	const linger, lag = 5 * time.Second, 20 * time.Second
	r := rosterOf("a", "c")
	gone, x := Key{"c", 1}, Member{ID: "x", Address: modelAddress, Incarnation: 1}
	r = r.MarkLeaving(gone, true)
	a := r.Members[0]
	for _, c := range []struct {
		name string
		// from and to bound the time in which the list has x, which answers at acked if above 0.
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
			k := RemovalTracker{Self: a.Key(), Linger: linger, ListLag: lag}
			for at := time.Duration(0); at <= time.Minute; at += time.Second {
				list := []Member{a}
				if at >= c.from && at < c.to {
					list = append(list, x)
				}
				now := start.Add(at)
				k.Update(now, now, r, list)
				k.RecordFenced(gone, a.Key())
				if c.acked > 0 && at >= c.acked {
					k.RecordFenced(gone, x.Key())
				}
				if at < c.removable {
					require.Empty(t, k.Removable(now), "%v", at)
				} else {
					require.Equal(t, []Key{gone}, k.Removable(now), "%v", at)
				}
			}
			k.Update(start, start.Add(time.Hour), r, nil)
			require.Empty(t, k.Removable(start.Add(time.Hour)), "the list does not cover the deployment")
		})
	}
}

// Guards against a wait for the list that begins again when a member is marked as over, and against
// one that begins while the member may still run since the list does not have it yet.
func TestWaitForListBeginsAtEnd(t *testing.T) {
	const linger, lag = 5 * time.Second, 20 * time.Second
	before := rosterOf("a", "c")
	gone := Key{"c", 1}
	over, a := before.MarkLeaving(gone, true), before.Members[0]
	for _, listed := range []bool{false, true} {
		k := RemovalTracker{Self: a.Key(), Linger: linger, ListLag: lag}
		if listed {
			k.Update(start, start, before, before.Members)
		}
		for at := time.Second; at <= lag; at += time.Second {
			k.Update(start.Add(at), start.Add(at), before, []Member{a})
		}
		marked := start.Add(lag + time.Second)
		k.Update(marked, marked, over, []Member{a})
		k.RecordFenced(gone, a.Key())
		require.Equal(t, listed, len(k.Removable(marked.Add(linger))) > 0)
	}
}
