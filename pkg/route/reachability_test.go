package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait for targets of which none can be reached, and against refusing what one may serve.
func TestUnreachablePoolRefuses(t *testing.T) {
	r, now := &Reachability{}, time.UnixMilli(1_700_000_000_000)
	require.False(t, r.Refuses(now, 4))
	for _, id := range []string{"a", "a", "b"} {
		r.RecordFailed(now, id)
	}
	require.False(t, r.Refuses(now, 4), "other targets may be reached")
	r.RecordFailed(now, "c")
	require.False(t, r.Refuses(now, 4), "one request tries again")
	passed := 0
	for ms := range 1000 {
		if !r.Refuses(now.Add(time.Duration(ms)*time.Millisecond), 4) {
			passed++
		}
	}
	require.Equal(t, int(time.Second/ReachInterval)-1, passed)
	r.RecordReached("c")
	require.False(t, r.Refuses(now.Add(time.Second), 4))
	require.False(t, r.Refuses(now.Add(time.Second), 4))
	r.RecordFailed(now, "a")
	require.False(t, r.Refuses(now.Add(time.Millisecond), 0))
	require.False(t, r.Refuses(now.Add(2*time.Second), 1))
	require.True(t, r.Refuses(now.Add(2*time.Second), 1))
	require.False(t, r.Refuses(now.Add(5*time.Second), 1), "the failures are old")
}

// TestTargetThatWasNeverReached guards against an entry without a target behind it that counts as one.
func TestTargetThatWasNeverReached(t *testing.T) {
	now, r := time.Unix(1000, 0), Reachability{}
	r.RecordFailed(now, "a")
	r.RecordReached("b")
	require.True(t, r.Failing("a"), "also once others were reached")
	require.False(t, r.Failing("b"))
	r.RecordReached("a")
	require.False(t, r.Failing("a"))
	r.RecordFailed(now, "a")
	r.Retain([]string{"b"})
	require.False(t, r.Failing("a"))
}
