package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
)

// TestStreamsOfPausedTargetFollowTheFirst guards against streams that all leave a paused target for one that refuses them.
func TestStreamsOfPausedTargetFollowTheFirst(t *testing.T) {
	const streams = 6
	var runs, refusals atomic.Int32
	tr := startRelay(t,
		startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
			runs.Add(1)
			if r.Header.Get("After") != "" {
				return goOn(conn, r, 9)
			}
			return silentRun{events: 4, silence: engineSilence}.write(conn, r, 1, 9)
		}),
		startStub(t, "e2", func(conn net.Conn, r *http.Request, _ string) bool {
			refusals.Add(1)
			return writeResponse(conn, r, 503, "", "Not-Run: 1")
		}))
	tr.relay.Targets.pool("p").recordLoad(route.Target{ID: "e2"}, &engine.Load{At: time.Now(), Running: 7, Slots: 8})
	var group sync.WaitGroup
	responses := make([]callerResponse, streams)
	for i := range streams {
		group.Go(func() { responses[i] = tr.request("POST", fmt.Sprintf("/draft/%d", i), "prompt", "Patience", "9s") })
	}
	group.Wait()
	for _, got := range responses {
		require.NoError(t, got.err)
		require.Equal(t, eventsText(1, 9), got.body)
	}
	left := runs.Load() - streams
	require.LessOrEqual(t, left, int32(1), "streams that left the target that paused")
	t.Logf("%d streams left, %d refusals", left, refusals.Load())
}

// TestTrials guards against streams that leave before the first one was accepted, or wait for long after that.
func TestTrials(t *testing.T) {
	now, tr := time.Unix(1000, 0), trials{}
	require.True(t, tr.allows(now))
	tr.begin(now)
	require.False(t, tr.allows(now), "one is on trial")
	tr.end(now, true)
	require.True(t, tr.allows(now))
	tr.begin(now)
	require.True(t, tr.allows(now), "two may follow the first")
	tr.begin(now)
	require.False(t, tr.allows(now))
	tr.recordRefusal(now, "e2")
	require.True(t, tr.hasRefused(now, "e2"))
	require.False(t, tr.hasRefused(now, "e1"))
	tr.end(now, false)
	require.False(t, tr.allows(now), "after a refusal one goes at a time")
	tr.end(now, false)
	require.True(t, tr.allows(now))
	tr.begin(now)
	require.True(t, tr.allows(now.Add(trialTimeout)), "a trial without an end is forgotten")
	require.False(t, tr.hasRefused(now.Add(refusedTrialTime), "e2"))
}
