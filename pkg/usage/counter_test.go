package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(50_000, 0)

func totalsOf(c *Counter, current int64, since time.Time, all int64) Totals {
	t := Totals{}
	c.AppendTotals(t, current, since, all)
	return t
}

// Guards against requests of a window that are lost or counted in another one.
func TestCounterKeepsWindows(t *testing.T) {
	c := &Counter{}
	for w := int64(100); w <= 105; w++ {
		for range w - 99 {
			c.Add(start, w, "a")
		}
	}
	require.Equal(t, Totals{102: {"a": 3}, 103: {"a": 4}, 104: {"a": 5}, 105: {"a": 6}}, totalsOf(c, 105, time.Time{}, -1))
	c.Add(start.Add(time.Second), 105, "b")
	require.Equal(t, Totals{105: {"b": 1}}, totalsOf(c, 105, start.Add(time.Second), -1), "only what changed")
	require.Equal(t, Totals{104: {"a": 5}, 105: {"b": 1}}, totalsOf(c, 105, start.Add(time.Second), 104), "and a whole window")
}

// Guards against a workspace table that grows for ever, and against one that stays full.
func TestCounterIsBounded(t *testing.T) {
	c := &Counter{}
	for i := range MaxWorkspaces + 5 {
		c.Add(start, 100, fmt.Sprint("w", i))
	}
	require.EqualValues(t, 5, c.Dropped())
	require.Empty(t, totalsOf(c, 110, time.Time{}, -1))
	c.Add(start, 110, "new")
	require.Equal(t, Totals{110: {"new": 1}}, totalsOf(c, 110, time.Time{}, -1))
}

// Guards against a cost for each request.
func TestCounterAllocatesNothingForKnownWorkspace(t *testing.T) {
	c := &Counter{}
	c.Add(start, 100, "a")
	window := int64(100)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		window++
		c.Add(start, window, "a")
	}))
}
