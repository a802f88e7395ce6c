package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/route"
)

// answerWith returns a handler that answers calls, or streams for drafts, with additional headers.
func answerWith(headers ...string) func(c net.Conn, r *http.Request, _ string) bool {
	return func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, 200, "ok", append([]string{"Seal: s"}, headers...)...)
	}
}

// Guards against requests to an engine after it has said that it is leaving, over new and open connections,
// while its entry still lists it as ready.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/view/", "/book/"} {
		t.Run(path, func(t *testing.T) {
			leaving, stays := startStub(t, "e1", answerWith("Leaving: 1")), startStub(t, "e2", answerWith())
			tr := startRelay(t, leaving, stays)
			for n := 0; len(leaving.seenRequests()) == 0; n++ {
				require.Less(t, n, 200)
				require.Equal(t, 200, tr.request("GET", path+strconv.Itoa(n), "").status, "its answer must be delivered")
			}
			for n := range 30 {
				require.Equal(t, 200, tr.request("GET", path+"later"+strconv.Itoa(n), "").status)
			}
			require.Len(t, leaving.seenRequests(), 1)

			// Another instance that learns of it sends it none at all.
			other := startRelay(t, leaving, stays)
			other.relay.Targets.ApplyRemoteProgress(time.Now(), "x", tr.relay.Targets.LocalProgress(time.Now()))
			for n := range 30 {
				require.Equal(t, 200, other.request("GET", path+"other"+strconv.Itoa(n), "").status)
			}
			require.Len(t, leaving.seenRequests(), 1)
		})
	}
}

// Guards against the loss of the last engines of a pool, in place of a refusal that says so.
func TestAllEnginesLeaving(t *testing.T) {
	tr := startRelay(t, startStub(t, "e1", answerWith("Leaving: 1")))
	require.Equal(t, 200, tr.request("GET", "/view/1", "").status)
	got := tr.request("GET", "/view/2", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, `"code":"no_target","outcome":"not_run"`)
}

// Guards against a stream that is resumed from its copy at an engine that has since said that it is leaving.
func TestLeavingEngineGetsNoCopies(t *testing.T) {
	var attempts atomic.Int32
	var relay atomic.Pointer[Relay]
	var backup, resumedAt, copyEngine atomic.Value
	handle := func(id string) func(c net.Conn, r *http.Request, _ string) bool {
		return func(c net.Conn, r *http.Request, _ string) bool {
			if attempts.Add(1) > 1 {
				resumedAt.Store(id)
				copyEngine.Store(r.Header.Get("Copy"))
				writeEvents(c, r, 5, 9, true)
				return true
			}
			writeEvents(c, r, 1, 4, false)
			p := relay.Load().Targets.pool("p")
			if t, ok := p.targetAt(time.Now(), netip.MustParseAddrPort(r.Header.Get("Backup"))); ok {
				backup.Store(t.ID)
				p.recordLeaving(time.Now(), t.ID)
			}
			return false
		}
	}
	tr := startRelay(t, startStub(t, "e1", handle("e1")), startStub(t, "e2", handle("e2")), startStub(t, "e3", handle("e3")))
	relay.Store(tr.relay)
	got := tr.request("POST", "/draft/1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, 9), got.body)
	require.NotEmpty(t, backup.Load())
	require.NotEqual(t, backup.Load(), resumedAt.Load())
	require.Empty(t, copyEngine.Load())
}

// Guards against requests to an engine within the time for which it wants none, and against callers that
// wait, or return too early, if no engine wants any.
func TestEngineThatBacksOffIsLeftAlone(t *testing.T) {
	const backoff = 700 * time.Millisecond
	for _, path := range []string{"/view/", "/book/", "/draft/"} {
		t.Run(path, func(t *testing.T) {
			var full atomic.Bool
			full.Store(true)
			handle := func(c net.Conn, r *http.Request, _ string) bool {
				if full.Load() {
					return writeResponse(c, r, 503, "", "Not-Run: 1", fmt.Sprintf("Back-Off: %s", backoff))
				}
				if path == "/draft/" {
					writeEvents(c, r, 1, 3, true)
					return true
				}
				return writeResponse(c, r, 200, "ok", "Seal: s")
			}
			e1, e2 := startStub(t, "e1", handle), startStub(t, "e2", handle)
			tr := startRelay(t, e1, e2)
			startedAt := time.Now()
			first := tr.request("GET", path+"1", "")
			require.Equal(t, http.StatusServiceUnavailable, first.status)
			require.Contains(t, first.body, `"outcome":"not_run"`)
			for n := range 20 {
				sentAt := time.Now()
				got := tr.request("GET", path+"later"+strconv.Itoa(n), "")
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Contains(t, got.body, `"code":"targets_back_off","outcome":"not_run"`)
				require.Less(t, time.Since(sentAt), 200*time.Millisecond, "the refusal must not wait")
				wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				open := startedAt.Add(backoff)
				require.False(t, sentAt.Add(time.Duration(wait*float64(time.Second))).Before(open), "the caller would return too early")
			}
			require.Len(t, e1.seenRequests(), 1)
			require.Len(t, e2.seenRequests(), 1)
			full.Store(false)
			require.Eventually(t, func() bool { return tr.request("GET", path+"served", "").status == 200 }, 2*backoff, 20*time.Millisecond)
			require.GreaterOrEqual(t, time.Since(startedAt), backoff)
		})
	}
}

// Guards against a fleet in which each instance learns by a refusal of its own that an engine is full.
func TestBackoffOfAnotherInstanceIsHeeded(t *testing.T) {
	e1, e2 := startStub(t, "e1", answerWith()), startStub(t, "e2", answerWith())
	tr := startRelay(t, e1, e2)
	tr.relay.Targets.ApplyRemoteProgress(time.Now(), "x", gossip.Progress{BackoffMillis: map[string]int64{"e1": 60_000, "e2": -4, "unknown": 5}})
	for n := range 30 {
		require.Equal(t, 200, tr.request("GET", "/view/"+strconv.Itoa(n), "").status)
	}
	require.Empty(t, e1.seenRequests())

	// It was not said to this instance, so a pool without any other target is still used.
	pool := tr.relay.Targets.pool("p")
	pool.recordLeaving(time.Now(), "e2")
	require.Equal(t, 200, tr.request("GET", "/view/last", "").status)
	require.Len(t, e1.seenRequests(), 1)
}

// Guards against a report about a former incarnation that closes the next one, which may have its ID.
func TestReportOfFormerIncarnationIsIgnored(t *testing.T) {
	r := &TargetRegistry{DataCentre: "a", Instances: func() int { return 1 }}
	born := time.UnixMilli(1_800_000_000_000)
	target := route.Target{ID: "e1", Pool: "p", StartedAt: born}
	r.Update(time.Now(), testRelayTable(), map[string][]route.Target{"p": {target}})
	p := r.pool("p")
	open := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.isOpen(time.Now(), &p.targets[0])
	}
	r.ApplyRemoteProgress(time.Now(), "x", gossip.Progress{LeavingTargets: map[string]int64{"e1": born.UnixMilli() - 1, "e9": 1}})
	require.True(t, open())
	r.ApplyRemoteProgress(time.Now(), "x", gossip.Progress{LeavingTargets: map[string]int64{"e1": born.UnixMilli()}})
	require.False(t, open())
	target.StartedAt = born.Add(time.Second)
	r.Update(time.Now(), testRelayTable(), map[string][]route.Target{"p": {target}})
	require.True(t, open())
}
