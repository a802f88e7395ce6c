package slot

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func holderOf(id string, r *Roster, limits map[string]int) *Holder {
	h := NewHolder(Key{id, 1})
	h.SeatsPerPool = modelSeats
	h.SetLimits(start, limits)
	h.RecordContact(start)
	h.SetRoster(start, r)
	return h
}

// exchangeAsks delivers all due asks of one holder to the others and applies their answers.
func exchangeAsks(h *Holder, now time.Time, others ...*Holder) {
	for _, a := range h.DueAsks(now) {
		for _, o := range others {
			if o.Self == a.To.Key() {
				h.ApplyReleased(a.To.Key(), a.Ask, o.AnswerAsk(a.Ask))
			}
		}
	}
}

// movedSeat is a seat of a pool that is assigned first to m, then to x, to n while q is a member, and to x again.
type movedSeat struct {
	pool string
	seat int
	// m owns the slot from epoch 1, n and x are members from epoch 3, q joins in epoch 4 and is marked
	// as leaving in epoch 5.
	m, n, x                *Holder
	epoch3, epoch4, epoch5 *Roster
}

func findMovedSeat(t *testing.T) movedSeat {
	t.Helper()
	r1 := rosterOf("m")
	r3 := rosterOf("m", "n", "x")
	r4 := rosterOf("m", "n", "x", "q")
	r5 := r4.MarkLeaving(Key{"q", 1}, false)
	for i := range 10_000 {
		pool := fmt.Sprint("target/m/", i)
		a3, a4, a5 := r3.Assign(pool, modelSeats), r4.Assign(pool, modelSeats), r5.Assign(pool, modelSeats)
		for s := range modelSeats {
			if a3.Holders[s].ID == "x" && a4.Holders[s].ID == "n" && a5.Holders[s].ID == "x" {
				// The seat has exactly one slot under this limit.
				limits := map[string]int{pool: s + 1}
				v := movedSeat{pool: pool, seat: s, epoch3: r3, epoch4: r4, epoch5: r5}
				v.m, v.n, v.x = holderOf("m", r1, limits), holderOf("n", r3, limits), holderOf("x", r3, limits)
				v.m.SetRoster(start, r3)
				return v
			}
		}
	}
	t.Fatal("no pool has a seat that moves as required")
	return movedSeat{}
}

func (v movedSeat) ownsSlot(h *Holder) bool {
	p := h.pools[v.pool]
	return p != nil && p.seats[v.seat] != nil && p.seats[v.seat].owned > 0
}

// TestSkippedEpochInvalidatesAnswers guards against a holder that uses answers from before an epoch that it
// skipped, in which one of the answerers became the owner of the slot.
func TestSkippedEpochInvalidatesAnswers(t *testing.T) {
	v := findMovedSeat(t)
	exchangeAsks(v.x, start, v.n) // the answer of m is lost
	require.False(t, v.ownsSlot(v.x))
	v.m.SetRoster(start, v.epoch4)
	v.n.SetRoster(start, v.epoch4)
	exchangeAsks(v.n, start, v.m)
	require.True(t, v.ownsSlot(v.n))
	v.m.SetRoster(start, v.epoch5)
	v.x.SetRoster(start, v.epoch5)
	q := holderOf("q", v.epoch5, map[string]int{v.pool: v.seat + 1})
	exchangeAsks(v.x, start.Add(time.Minute), v.m, q)
	require.False(t, v.ownsSlot(v.x), "n is the owner of the slot")
}

// TestOlderRosterClearsNothing guards against a member that clears a seat under a roster older than the
// asker's: a roster in between may still assign the seat to it.
func TestOlderRosterClearsNothing(t *testing.T) {
	v := findMovedSeat(t)
	w := Want{Pool: v.pool, Seat: v.seat, Since: 4}
	require.False(t, v.n.AnswerAsk(Ask{To: v.n.Self, Wants: []Want{w}}).Releases[0].Clear)
	w.Since = 3
	require.True(t, v.n.AnswerAsk(Ask{To: v.n.Self, Wants: []Want{w}}).Releases[0].Clear)
}

// TestAnswerUnderNewerRosterIsIgnored guards against the use of an answer given under a newer roster, which
// may have assigned the seat to another member that now owns the slot.
func TestAnswerUnderNewerRosterIsIgnored(t *testing.T) {
	v := findMovedSeat(t)
	exchangeAsks(v.x, start, v.n)
	v.m.SetRoster(start, v.epoch4)
	v.n.SetRoster(start, v.epoch4)
	exchangeAsks(v.n, start, v.m)
	require.True(t, v.ownsSlot(v.n))
	exchangeAsks(v.x, start.Add(time.Minute), v.m)
	require.False(t, v.ownsSlot(v.x), "n is the owner of the slot")
}

// TestLateHandoverIsIgnored guards against a late handover that is applied to a later assignment of the seat.
func TestLateHandoverIsIgnored(t *testing.T) {
	v := findMovedSeat(t)
	asks := v.x.DueAsks(start)
	require.NotEmpty(t, asks)
	v.x.SetRoster(start, v.epoch4)
	v.x.SetRoster(start, v.epoch5)
	for _, a := range asks {
		r := Released{Epoch: 3, Releases: make([]Release, len(a.Ask.Wants))}
		for i := range r.Releases {
			r.Releases[i].Given = Set{1}
		}
		v.x.ApplyReleased(a.To.Key(), a.Ask, r)
	}
	require.False(t, v.ownsSlot(v.x))
}

// TestFenceWaitsForLoansAndAdoptedWork guards against the removal of an ended member while others still use
// slots that it lent, or run work adopted from it.
func TestFenceWaitsForLoansAndAdoptedWork(t *testing.T) {
	r, pool := rosterOf("l", "b"), ""
	for i := 0; pool == ""; i++ {
		if name := fmt.Sprint("target/m/", i); r.Assign(name, modelSeats).Holders[0].ID == "l" {
			pool = name
		}
	}
	limits := map[string]int{pool: 1}
	lender, borrowing := holderOf("l", rosterOf("l"), limits), holderOf("b", r, limits)
	lender.SetRoster(start, r)
	endedRoster := r.MarkLeaving(lender.Self, true)

	loan := borrowing.BeginLoan(pool, lender.Self)
	require.True(t, borrowing.ConfirmLoan(start, loan, lender.Lend(start, loan)))
	late := borrowing.BeginLoan(pool, lender.Self)
	require.False(t, borrowing.Fence(borrowing.Self, lender.Self), "l is not known to have ended")
	borrowing.SetRoster(start, endedRoster)
	require.False(t, borrowing.Fence(borrowing.Self, lender.Self), "a loan is in use")
	require.False(t, borrowing.ConfirmLoan(start, late, Lent{OK: true}), "a loan confirmed after the fence")
	borrowing.ReleaseTicket(start, loan.Loan)
	require.True(t, borrowing.Fence(borrowing.Self, lender.Self))
	_, ok := borrowing.AdoptWork(start, pool)
	require.False(t, ok, "work without a slot after the fence")

	adopter := holderOf("b", endedRoster, limits)
	id, ok := adopter.AdoptWork(start, pool)
	require.True(t, ok)
	require.False(t, adopter.Fence(adopter.Self, lender.Self), "adopted work has no slot")
	adopter.ReleaseTicket(start, id)
	require.True(t, adopter.Fence(adopter.Self, lender.Self))
}

// TestRemovalWaitsForLingerAndAllMembers guards against the removal of a member before its work must have
// ended or before all other members have fenced it.
func TestRemovalWaitsForLingerAndAllMembers(t *testing.T) {
	r := rosterOf("a", "b", "c")
	ended := Key{"c", 1}
	r = r.MarkLeaving(ended, true)
	removals := RemovalTracker{Self: Key{"a", 1}, Linger: 5 * time.Second}
	list := slices.DeleteFunc(slices.Clone(r.Members), func(m Member) bool { return m.Key() == ended })
	removals.Update(start, start, r, list)
	removals.RecordFenced(ended, Key{"a", 1})
	require.Empty(t, removals.PendingFences(start))
	later := start.Add(5 * time.Second)
	require.Empty(t, removals.Removable(later), "b has not fenced c")
	require.Len(t, removals.PendingFences(later), 1)
	removals.RecordFenced(ended, Key{"b", 1})
	require.Empty(t, removals.Removable(start.Add(4*time.Second)), "work may still run at a target")
	require.Equal(t, []Key{ended}, removals.Removable(later))
	r = r.Join("d", modelAddress, 1)
	removals.Update(later, later, r, append(list, r.Members[3]))
	require.Empty(t, removals.Removable(later), "d has joined since and has not fenced c")
}

// TestIsolatedInstanceStartsNoWork guards against new work on an instance that is isolated, and against an
// only member that stops working.
func TestIsolatedInstanceStartsNoWork(t *testing.T) {
	limits := map[string]int{"target/a": 3}
	for _, c := range []struct {
		name    string
		ids     []string
		after   time.Duration
		working bool
	}{
		{"in contact", []string{"a", "b"}, 9 * time.Second, true},
		{"isolated", []string{"a", "b"}, 10 * time.Second, false},
		{"alone", []string{"a"}, time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := holderOf("a", rosterOf("a"), limits)
			a.SetRoster(start, rosterOf(c.ids...))
			_, ok := a.Acquire(start.Add(c.after), "target/a")
			require.Equal(t, c.working, ok)
		})
	}
}

// TestLimitChanges guards against new work above a lowered limit, and against a raised limit that has no effect.
func TestLimitChanges(t *testing.T) {
	h := holderOf("a", rosterOf("a"), map[string]int{"target/a": 4})
	var ids []int64
	for range 4 {
		id, ok := h.Acquire(start, "target/a")
		require.True(t, ok)
		ids = append(ids, id)
	}
	h.SetLimits(start, map[string]int{"target/a": 2})
	h.ReleaseTicket(start, ids[3])
	_, ok := h.Acquire(start, "target/a")
	require.False(t, ok, "a slot above the new limit")
	h.SetLimits(start, map[string]int{"target/a": 6})
	free := 0
	for ; ; free++ {
		if _, ok := h.Acquire(start, "target/a"); !ok {
			break
		}
	}
	require.Equal(t, 3, free)
}
