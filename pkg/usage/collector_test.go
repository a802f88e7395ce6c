package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func counts(instance string, incarnation int64, windows Totals) *Counts {
	return &Counts{Instance: instance, Incarnation: incarnation, ClockMillis: 1, Windows: windows}
}

// Guards against counts that are lost or doubled when messages come late, twice or in another order, or from a former
// process of an instance.
func TestCollectorAddsTotalsOnce(t *testing.T) {
	c := &Collector{}
	for _, m := range []*Counts{
		counts("a", 1, Totals{100: {"x": 5}}),
		counts("a", 1, Totals{100: {"x": 3}}),
		counts("a", 1, Totals{100: {"x": 5, "appeared": 1}}),
		counts("b", 7, Totals{100: {"x": 10}, 101: {"x": 1}}),
		counts("a", 2, Totals{100: {"x": 2}}),
		counts("a", 1, Totals{100: {"x": 6}}),
		counts("a", 1, Totals{100: {"x": 6}}),
	} {
		require.Empty(t, c.Add(start, 101, m))
	}
	require.Equal(t, map[string]int64{"x": 18, "appeared": 1}, c.Sum(100))
	require.Equal(t, map[string]int64{"x": 1}, c.Sum(101))
	require.Empty(t, c.Sum(99))
	require.Equal(t, 2, c.Heard(start))
	require.Zero(t, c.Heard(start.Add(time.Minute)))
}

// Guards against a sender that spoils the sums or fills the memory.
func TestCollectorBoundsSenders(t *testing.T) {
	c := &Collector{}
	require.ElementsMatch(t, []Rejection{RejectedNegative, RejectedHuge, RejectedWorkspace},
		c.Add(start, 100, counts("a", 1, Totals{100: {"x": -1, "y": maxCount + 1, "": 1, "z": 2}})))
	require.Equal(t, []Rejection{RejectedWindow}, c.Add(start, 100, counts("a", 1, Totals{102: {"x": 1}})))
	require.Equal(t, []Rejection{RejectedWindow}, c.Add(start, 100, counts("a", 1, Totals{94: {"x": 1}})))
	require.Equal(t, map[string]int64{"z": 2}, c.Sum(100))
	for i := range int64(maxIncarnations) - 1 {
		require.Empty(t, c.Add(start, 100, counts("a", 2+i, Totals{100: {"z": 1}})))
	}
	require.Equal(t, []Rejection{RejectedIncarnations}, c.Add(start, 100, counts("a", 99, Totals{100: {"z": 1}})))
	for i := range MaxInstances - 1 {
		require.Empty(t, c.Add(start, 100, counts(fmt.Sprint("i", i), 1, nil)))
	}
	require.Equal(t, []Rejection{RejectedInstances}, c.Add(start, 100, counts("late", 1, nil)))
	require.Empty(t, c.Add(start.Add(2*forgetAfter), 100, counts("late", 1, nil)))
	for i := range MaxWorkspaces {
		c.Add(start, 101, counts("a", 1, Totals{101: {fmt.Sprint("w", i): 1}}))
	}
	require.Equal(t, []Rejection{RejectedWorkspaces}, c.Add(start, 101, counts("a", 1, Totals{101: {"more": 1}})))
	c.Add(start, 120, counts("a", 1, nil))
	require.Empty(t, c.windows, "old windows are forgotten")
}
