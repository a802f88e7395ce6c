package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func targetIDs(list []Target) []string {
	out := make([]string, 0, len(list))
	for _, t := range list {
		out = append(out, t.ID)
	}
	return out
}

// Guards against requests to another pool's target at a reused address, and against a restarted
// target that stays unused until the source recovers.
func TestSuccessorsReplacePredecessors(t *testing.T) {
	s := Successors{AddressReuse: 2 * time.Second}
	a := testTarget("a", "10.0.0.1:1", 0)
	require.True(t, s.ProvesSamePool(t0.Add(1900*time.Millisecond), t0))
	require.False(t, s.ProvesSamePool(t0.Add(2*time.Second), t0))
	require.False(t, s.ProvesSamePool(t0, time.Time{}), "the target itself has not sent any data")
	require.False(t, (&Successors{}).ProvesSamePool(t0, t0))

	s.Add(t0, a, "b", true)
	b := s.known["b"].Target
	require.Equal(t, a.Pool, b.Pool)
	require.Equal(t, a.Address, b.Address)
	require.Equal(t, []string{"a", "b"}, targetIDs(s.MergeInto(t0, []Target{a})))
	require.Equal(t, map[string]string{"a": "b"}, s.ProvenLocally())

	s.Add(t0, b, "c", true)
	c := s.known["c"].Target
	require.Equal(t, []string{"a", "c"}, targetIDs(s.MergeInto(t0, []Target{a})), "the entry of the first target is out of date")
	require.Equal(t, map[string]string{"b": "c"}, s.ProvenLocally())
	require.Equal(t, []string{"c"}, targetIDs(s.MergeInto(t0, nil)))
	require.Equal(t, []string{"c"}, targetIDs(s.MergeInto(t0, []Target{c})), "its entry is now listed")
	require.Empty(t, s.ProvenLocally())
}

// Guards against a successor that is kept after its proof has expired or after a later entry at its
// address.
func TestSuccessorsExpire(t *testing.T) {
	s := Successors{AddressReuse: 2 * time.Second}
	a := testTarget("a", "10.0.0.1:1", 0)
	s.Add(t0, a, "b", false)
	require.Empty(t, s.ProvenLocally(), "it was proved by another instance")
	s.RecordResponse(t0.Add(8*time.Second), "b")
	require.Equal(t, []string{"b"}, targetIDs(s.MergeInto(t0.Add(17*time.Second), nil)))
	require.Empty(t, s.MergeInto(t0.Add(18*time.Second), nil))

	s.Add(t0, a, "b", true)
	other := testTarget("x", "10.0.0.1:1", time.Second)
	other.Pool = "q"
	require.Equal(t, []string{"x"}, targetIDs(s.MergeInto(t0, []Target{other})))
	require.Empty(t, s.ProvenLocally())
}

// Guards against requests to a target that has left: its entry was removed just before, or just after, another
// instance reported it as a successor.
func TestRemovedTargetIsNoSuccessor(t *testing.T) {
	a, b := testTarget("a", "10.0.0.1:1", 0), testTarget("b", "10.0.0.1:1", time.Second)
	for name, play := range map[string]func(s *Successors){
		"reported while listed": func(s *Successors) { s.MergeInto(t0, []Target{a, b}); s.Add(t0, a, "b", false) },
		"reported after removal": func(s *Successors) {
			s.MergeInto(t0, []Target{a, b})
			s.MergeInto(t0, []Target{a})
			s.Add(t0, a, "b", false)
		},
		"written and removed in quick succession": func(s *Successors) {
			s.MergeInto(t0, []Target{a})
			s.Add(t0, a, "b", true)
			s.RecordRemoval(t0, "b")
			s.Add(t0, a, "b", false)
		},
		"found before the entry": func(s *Successors) {
			s.Add(t0, a, "b", true)
			s.MergeInto(t0, []Target{a, b})
			s.Add(t0, a, "b", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Successors{AddressReuse: 2 * time.Second}
			play(s)
			require.Equal(t, []string{"a"}, targetIDs(s.MergeInto(t0.Add(time.Second), []Target{a})))
			require.Empty(t, s.ProvenLocally(), "it must not be reported to others either")
			s.MergeInto(t0.Add(departureTTL+2*time.Second), []Target{a})
			s.Add(t0.Add(departureTTL+2*time.Second), a, "b", false)
			require.Equal(t, []string{"a", "b"}, targetIDs(s.MergeInto(t0.Add(departureTTL+2*time.Second), []Target{a})), "the ID may be used again")
		})
	}
}
