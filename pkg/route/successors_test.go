package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ids(list []Target) []string {
	out := make([]string, 0, len(list))
	for _, t := range list {
		out = append(out, t.ID)
	}
	return out
}

// Guards against requests for another pool's target at an address that was used again, and
// against a restarted target that stays unused until the source comes back.
func TestSuccessors(t *testing.T) {
	s := Successors{AddressReuse: 2 * time.Second}
	a := testTarget("a", "10.0.0.1:1", 0)
	require.True(t, s.ProvesSamePool(t0.Add(1900*time.Millisecond), t0))
	require.False(t, s.ProvesSamePool(t0.Add(2*time.Second), t0))
	require.False(t, s.ProvesSamePool(t0, time.Time{}), "nothing was heard of the target itself")
	require.False(t, (&Successors{}).ProvesSamePool(t0, t0))

	b := s.Add(t0, a, "b", true)
	require.Equal(t, a.Pool, b.Pool)
	require.Equal(t, a.Address, b.Address)
	require.Equal(t, []string{"a", "b"}, ids(s.MergeInto(t0, []Target{a})))
	require.Equal(t, map[string]string{"a": "b"}, s.ProvenLocally())

	c := s.Add(t0, b, "c", true)
	require.Equal(t, []string{"a", "c"}, ids(s.MergeInto(t0, []Target{a})), "the entry of the first holder is old")
	require.Equal(t, map[string]string{"b": "c"}, s.ProvenLocally())
	require.Equal(t, []string{"c"}, ids(s.MergeInto(t0, nil)))
	require.Equal(t, []string{"c"}, ids(s.MergeInto(t0, []Target{c})), "its entry has come")
	require.Empty(t, s.ProvenLocally())
}

// Guards against a successor that outlives its proof or a later entry at its address.
func TestSuccessorsEnd(t *testing.T) {
	s := Successors{AddressReuse: 2 * time.Second}
	a := testTarget("a", "10.0.0.1:1", 0)
	s.Add(t0, a, "b", false)
	require.Empty(t, s.ProvenLocally(), "told by another instance")
	s.RecordAnswer(t0.Add(8*time.Second), "b")
	require.Equal(t, []string{"b"}, ids(s.MergeInto(t0.Add(17*time.Second), nil)))
	require.Empty(t, s.MergeInto(t0.Add(18*time.Second), nil))

	s.Add(t0, a, "b", true)
	other := testTarget("x", "10.0.0.1:1", time.Second)
	other.Pool = "q"
	require.Equal(t, []string{"x"}, ids(s.MergeInto(t0, []Target{other})))
	require.Empty(t, s.ProvenLocally())
}
