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

// askAll exchanges all asks of one holder with the others that may answer.
func askAll(h *Holder, now time.Time, others ...*Holder) {
	for _, a := range h.DueAsks(now) {
		for _, o := range others {
			if o.Self == a.To.Key() {
				h.ApplyReleased(a.To.Key(), a.Ask, o.AnswerAsk(a.Ask))
			}
		}
	}
}

// moving is a pool one seat of which goes from m to x, then to n while q is there, and back to x.
type moving struct {
	pool       string
	seat       int
	m, n, x    *Holder
	r3, r4, r5 *Roster
}

func findMoving(t *testing.T) moving {
	t.Helper()
	r1 := rosterOf("m")
	r3 := rosterOf("m", "n", "x")
	r4 := rosterOf("m", "n", "x", "q")
	r5 := r4.MarkLeaving(Key{"q", 1}, false)
	for i := range 10_000 {
		pool := fmt.Sprint("target/m/", i)
		d3, d4, d5 := r3.Assign(pool, modelSeats), r4.Assign(pool, modelSeats), r5.Assign(pool, modelSeats)
		for s := range modelSeats {
			if d3.Holders[s].ID == "x" && d4.Holders[s].ID == "n" && d5.Holders[s].ID == "x" {
				// One slot, which belongs to that seat.
				limits := map[string]int{pool: s + 1}
				v := moving{pool: pool, seat: s, r3: r3, r4: r4, r5: r5}
				v.m, v.n, v.x = holderOf("m", r1, limits), holderOf("n", r3, limits), holderOf("x", r3, limits)
				v.m.SetRoster(start, r3)
				return v
			}
		}
	}
	t.Fatal("no pool moves as wanted")
	return moving{}
}

func (v moving) owned(h *Holder) bool {
	p := h.pools[v.pool]
	return p != nil && p.seats[v.seat] != nil && p.seats[v.seat].owned > 0
}

// Guards against a holder that counts statements from before an epoch it skipped, in which the
// slot went to one of those that had made them.
func TestSkippedEpochVoidsStatements(t *testing.T) {
	v := findMoving(t)
	askAll(v.x, start, v.n) // m's answer is lost
	require.False(t, v.owned(v.x))
	v.m.SetRoster(start, v.r4)
	v.n.SetRoster(start, v.r4)
	askAll(v.n, start, v.m)
	require.True(t, v.owned(v.n))
	v.m.SetRoster(start, v.r5)
	v.x.SetRoster(start, v.r5)
	q := holderOf("q", v.r5, map[string]int{v.pool: v.seat + 1})
	askAll(v.x, start.Add(time.Minute), v.m, q)
	require.False(t, v.owned(v.x), "n owns the slot")
}

// Guards against a statement made under a roster older than the asker's, by a member that may yet
// be dealt the seat in between.
func TestMemberBehindStatesNothing(t *testing.T) {
	v := findMoving(t)
	w := Want{Pool: v.pool, Seat: v.seat, Since: 4}
	require.False(t, v.n.AnswerAsk(Ask{To: v.n.Self, Wants: []Want{w}}).Releases[0].Clear)
	w.Since = 3
	require.True(t, v.n.AnswerAsk(Ask{To: v.n.Self, Wants: []Want{w}}).Releases[0].Clear)
}

// Guards against a statement made under a newer roster, which may have given the slot to another.
func TestStatementOfNewerRosterIsIgnored(t *testing.T) {
	v := findMoving(t)
	askAll(v.x, start, v.n)
	v.m.SetRoster(start, v.r4)
	v.n.SetRoster(start, v.r4)
	askAll(v.n, start, v.m)
	require.True(t, v.owned(v.n))
	askAll(v.x, start.Add(time.Minute), v.m)
	require.False(t, v.owned(v.x), "n owns the slot")
}

// Guards against a late hand-over that is taken for a later time of holding the seat.
func TestLateHandOverIsIgnored(t *testing.T) {
	v := findMoving(t)
	asks := v.x.DueAsks(start)
	require.NotEmpty(t, asks)
	v.x.SetRoster(start, v.r4)
	v.x.SetRoster(start, v.r5)
	for _, a := range asks {
		r := Released{Epoch: 3, Releases: make([]Release, len(a.Ask.Wants))}
		for i := range r.Releases {
			r.Releases[i].Given = Set{1}
		}
		v.x.ApplyReleased(a.To.Key(), a.Ask, r)
	}
	require.False(t, v.owned(v.x))
}

// Guards against the removal of an ended lender or of an ended instance while its slots are still
// in use by others.
func TestFenceWaitsForLoansAndAdoptedWork(t *testing.T) {
	r, pool := rosterOf("l", "b"), ""
	for i := 0; pool == ""; i++ {
		if name := fmt.Sprint("target/m/", i); r.Assign(name, modelSeats).Holders[0].ID == "l" {
			pool = name
		}
	}
	limits := map[string]int{pool: 1}
	l, b := holderOf("l", rosterOf("l"), limits), holderOf("b", r, limits)
	l.SetRoster(start, r)
	over := r.MarkLeaving(l.Self, true)

	loan := b.BeginLoan(pool, l.Self)
	require.True(t, b.ConfirmLoan(start, loan, l.Lend(start, loan)))
	late := b.BeginLoan(pool, l.Self)
	require.False(t, b.Fence(b.Self, l.Self), "l is not known to be over")
	b.SetRoster(start, over)
	require.False(t, b.Fence(b.Self, l.Self), "a loan is in use")
	require.False(t, b.ConfirmLoan(start, late, Lent{OK: true}), "a loan that comes after the fence")
	b.ReleaseTicket(start, loan.Loan)
	require.True(t, b.Fence(b.Self, l.Self))
	_, ok := b.AdoptWork(start, pool)
	require.False(t, ok, "work without a slot after the fence")

	b2 := holderOf("b", over, limits)
	id, ok := b2.AdoptWork(start, pool)
	require.True(t, ok)
	require.False(t, b2.Fence(b2.Self, l.Self), "adopted work has no slot")
	b2.ReleaseTicket(start, id)
	require.True(t, b2.Fence(b2.Self, l.Self))
}

// Guards against the removal of a member before its work can have ended or before all have agreed.
func TestKeeperWaitsForLingerAndAll(t *testing.T) {
	r := rosterOf("a", "b", "c")
	gone := Key{"c", 1}
	r = r.MarkLeaving(gone, true)
	k := RemovalTracker{Self: Key{"a", 1}, Linger: 5 * time.Second}
	list := slices.DeleteFunc(slices.Clone(r.Members), func(m Member) bool { return m.Key() == gone })
	k.Update(start, start, r, list)
	k.RecordFenced(gone, Key{"a", 1})
	require.Empty(t, k.PendingFences(start))
	later := start.Add(5 * time.Second)
	require.Empty(t, k.Removable(later), "b has not agreed")
	require.Len(t, k.PendingFences(later), 1)
	k.RecordFenced(gone, Key{"b", 1})
	require.Empty(t, k.Removable(start.Add(4*time.Second)), "work may linger")
	require.Equal(t, []Key{gone}, k.Removable(later))
	r = r.Join("d", modelAddress, 1)
	k.Update(later, later, r, append(list, r.Members[3]))
	require.Empty(t, k.Removable(later), "d has joined since")
}

// Guards against new work on an instance that is cut off, and against a lone one that stops.
func TestIsolatedInstanceStartsNothing(t *testing.T) {
	limits := map[string]int{"target/a": 3}
	for _, c := range []struct {
		name    string
		ids     []string
		after   time.Duration
		working bool
	}{
		{"in contact", []string{"a", "b"}, 9 * time.Second, true},
		{"cut off", []string{"a", "b"}, 10 * time.Second, false},
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

// Guards against new work above a lowered limit, and against a raised one that has no effect.
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
