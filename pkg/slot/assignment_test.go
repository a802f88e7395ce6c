package slot

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func rosterOf(ids ...string) *Roster {
	r := &Roster{}
	for i, id := range ids {
		r = r.Join(id, netip.AddrPortFrom(modelAddress.Addr(), uint16(2000+i)), 1)
	}
	return r
}

func rosterSized(n int) *Roster {
	r := &Roster{Epoch: int64(n)}
	for i := range n {
		r.Members = append(r.Members, Member{
			ID: fmt.Sprintf("instance-%d", i), Address: netip.AddrPortFrom(modelAddress.Addr(), uint16(2000+i)),
			Incarnation: 1, Joined: int64(i + 1),
		})
	}
	return r
}

// TestAssignmentIsEvenAndStable guards against holders with more seats than others, and against a change
// of one member that moves most seats of a pool.
func TestAssignmentIsEvenAndStable(t *testing.T) {
	for n := 1; n <= 20; n++ {
		moved, pools := 0, 200
		for p := range pools {
			pool := fmt.Sprint("target/m/", p)
			before, after := rosterSized(n).Assign(pool, 8), rosterSized(n+1).Assign(pool, 8)
			count := map[string]int{}
			for s := range 8 {
				count[before.Holders[s].ID]++
				if before.Holders[s].ID != after.Holders[s].ID {
					moved++
				}
			}
			fewest, most := 8, 0
			for _, c := range count {
				fewest, most = min(fewest, c), max(most, c)
			}
			require.Len(t, count, min(n, 8))
			require.LessOrEqual(t, most-fewest, 1)
		}
		share := float64(moved) / float64(8*pools)
		t.Logf("%d members and one more: %.2f of the seats move, at least %.2f have to", n, share, 1/float64(n+1))
		if n >= 8 {
			require.Less(t, share, 0.5)
		}
	}
}

// TestPossibleHoldersIncludesAllEarlierHolders guards against an earlier holder that a new holder does not
// ask: any current member that was ever assigned a seat must be in PossibleHolders.
func TestPossibleHoldersIncludesAllEarlierHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, assigned := &Roster{}, map[Key]bool{}
		seats := rapid.IntRange(1, 4).Draw(t, "seats")
		for change := range rapid.IntRange(1, 60).Draw(t, "changes") {
			next := (*Roster)(nil)
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 5 || len(r.Members) == 0:
				id := rapid.IntRange(0, 20).Draw(t, "id")
				next = r.Join(fmt.Sprint("i", id), netip.AddrPortFrom(modelAddress.Addr(), uint16(2000+id)), int64(change+1))
			case what < 7:
				next = r.MarkLeaving(drawElement(t, r.Members).Key(), false)
			default:
				next = r.Remove(drawElement(t, r.Members).Key())
			}
			if next != nil {
				r = next
			}
			a := r.Assign("target/a", seats)
			for _, m := range a.Holders {
				assigned[m.Key()] = true
			}
			for _, m := range r.Members {
				if assigned[m.Key()] {
					require.True(t, slices.ContainsFunc(a.PossibleHolders, func(f Member) bool { return f.Key() == m.Key() }), "%v", m)
				}
			}
		}
	})
}

// FuzzDecodeRoster guards against a decoder that accepts rosters that violate the rules.
func FuzzDecodeRoster(f *testing.F) {
	f.Add([]byte(`{"epoch":2,"members":[{"id":"a","address":"10.0.0.1:1","incarnation":1,"joined":1}]}`))
	f.Add([]byte(`{"epoch":1,"members":[{"id":"a","address":"10.0.0.1:1","incarnation":1,"joined":2}]}`))
	f.Add([]byte(`{"epoch":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRoster(data)
		if err != nil {
			return
		}
		require.NoError(t, r.Check())
		for _, m := range r.Members {
			require.LessOrEqual(t, m.Joined, r.Epoch)
			require.NotEmpty(t, m.ID)
		}
	})
}
