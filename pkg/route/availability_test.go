package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests to a target that has said that it is leaving, and against leaving out the next
// incarnation, which may have its ID.
func TestLeavingHoldsForTheIncarnation(t *testing.T) {
	a := &Availability{}
	x := testTarget("x", "10.0.0.1:1", 0)
	require.False(t, a.IsLeaving(x))
	require.True(t, a.RecordLeaving(t0, x, false))
	require.Empty(t, a.AnnouncedSince(t0.Add(-time.Second)), "what another instance reported is not reported again")
	require.False(t, a.RecordLeaving(t0.Add(time.Second), x, true))
	require.Equal(t, map[string]time.Time{"x": t0}, a.AnnouncedSince(t0))
	require.Empty(t, a.AnnouncedSince(t0.Add(time.Second)))
	require.True(t, a.IsLeaving(x))
	require.False(t, a.IsLeaving(testTarget("x", "10.0.0.1:1", time.Second)))
	require.False(t, a.IsLeaving(testTarget("y", "10.0.0.1:1", 0)))

	// The entry may be missing for a while, and come back from a copy of the source.
	a.Retain(t0.Add(availabilityTTL), nil)
	require.True(t, a.IsLeaving(x))
	a.Retain(t0.Add(availabilityTTL), []Target{x})
	a.Retain(t0.Add(2*availabilityTTL), nil)
	require.True(t, a.IsLeaving(x))
	a.Retain(t0.Add(2*availabilityTTL+time.Second), nil)
	require.False(t, a.IsLeaving(x))
}

// Guards against requests to a target within the time that it has asked for, and against times that never
// end.
func TestBackoffEnds(t *testing.T) {
	a := &Availability{}
	require.True(t, a.BackoffEnd(t0, "x").IsZero())
	require.Equal(t, t0.Add(2*time.Second), a.RecordBackoff(t0, "x", 2*time.Second, true))
	require.Equal(t, t0.Add(2*time.Second), a.RecordBackoff(t0.Add(time.Second), "x", 100*time.Millisecond, true), "a shorter time does not end a longer one")
	require.Equal(t, t0.Add(2*time.Second), a.BackoffEnd(t0.Add(1999*time.Millisecond), "x"))
	require.True(t, a.BackoffEnd(t0.Add(2*time.Second), "x").IsZero())
	require.Equal(t, t0.Add(MaxBackoff), a.RecordBackoff(t0, "y", 1000*time.Hour, true))
	require.Equal(t, map[string]time.Duration{"x": time.Second, "y": MaxBackoff - time.Second}, a.LocalBackoffs(t0.Add(time.Second)))

	require.Equal(t, t0.Add(time.Second), a.RecordBackoff(t0, "z", time.Second, false))
	require.True(t, a.BackoffEnd(t0, "z").IsZero(), "it was said to another instance")
	require.True(t, a.BacksOffElsewhere(t0, "z"))
	require.False(t, a.BacksOffElsewhere(t0.Add(time.Second), "z"))
	a.Retain(t0.Add(time.Hour), nil)
	require.Empty(t, a.local)
	require.Empty(t, a.remote)
}
