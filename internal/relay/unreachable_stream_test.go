package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that tries an unreachable pool again until its time limit, in place of a refusal, and begins to
// answer when it can't finish any more.
func TestStreamThatReachesNoTargetIsRefused(t *testing.T) {
	e := &fleetEngine{}
	f := startFleet(t, 2, e.stubs(t, 3))
	for i := range f.relays {
		f.cut(i, cutSilent, []int{0, 1, 2})
	}
	for range 3 {
		require.Equal(t, http.StatusServiceUnavailable, f.relays[0].request("POST", "/book/1", "x", "Patience", "2s").status)
	}
	time.Sleep(250 * time.Millisecond)
	startedAt := time.Now()
	got := f.relays[0].request("POST", "/draft/1", "x", "Patience", "4s")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, codeTargetsUnreachable)
	require.Less(t, time.Since(startedAt), 2*time.Second)
	require.Contains(t, f.relays[0].log.reasons(t, "attempt_begun"), "first_attempt", "it tried the pool again")
}
