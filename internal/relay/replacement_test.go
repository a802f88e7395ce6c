package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
)

// goOn writes the rest of a stream that an engine takes over.
func goOn(c net.Conn, r *http.Request, last int) bool {
	after, _ := strconv.Atoi(r.Header.Get("After"))
	writeEvents(c, r, after+1, last, true)
	return true
}

// Guards against cutting a stream whose silent engine was given up, when the replacement refuses it and no retry is left for now.
func TestRefusedReplacementIsRetried(t *testing.T) {
	var refused atomic.Int32
	tr := startRelay(t,
		startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
			writeEvents(c, r, 1, 4, false)
			_, _ = c.Read(make([]byte, 1))
			return false
		}),
		startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
			if refused.Add(1) == 1 {
				return writeResponse(c, r, 503, "", "Not-Run: 1")
			}
			return goOn(c, r, 9)
		}))
	p := tr.relay.Targets.pool("p")
	p.recordLoad(route.Target{ID: "e2"}, &engine.Load{At: time.Now(), Running: 7, Slots: 8})
	tr.setRetryBudget(0, 2)
	responses := make(chan callerResponse, 1)
	go func() { responses <- tr.request("POST", "/draft/1", "prompt", "Patience", "9s") }()
	require.Eventually(t, func() bool { return refused.Load() == 1 }, 3*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	tr.setRetryBudget(0.5, 20)
	got := <-responses
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, 9), got.body)
	require.Equal(t, []string{"retry_budget"}, tr.log.reasons(t, "attempt_postponed"))
}

// Guards against cutting a stream at once whose engine is really lost, when no retry is left: its caller resumes it sooner.
func TestLostStreamWithoutRetryEndsAtOnce(t *testing.T) {
	handle := func(c net.Conn, r *http.Request, _ string) bool {
		writeEvents(c, r, 1, 4, false)
		return false
	}
	tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
	tr.setRetryBudget(0, 0)
	startedAt := time.Now()
	got := tr.request("POST", "/draft/1", "prompt")
	require.Error(t, got.err)
	require.Equal(t, eventsText(1, 4), got.body)
	require.Less(t, time.Since(startedAt), time.Second)
}

// Guards against giving up an engine that pauses for one whose slots are taken, and against waiting for a lost engine while only such ones are left.
func TestFullEngineReplacesOnlyALongSilentOne(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		runs    int32
	}{
		"pause":        {engineSilence, 1},
		"long silence": {2*time.Second + 1500*time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			tr := startRelay(t,
				startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
					runs.Add(1)
					return silentRun{events: 4, silence: c.silence}.write(conn, r, 1, 9)
				}),
				startStub(t, "e2", func(conn net.Conn, r *http.Request, _ string) bool {
					runs.Add(1)
					return goOn(conn, r, 9)
				}))
			p := tr.relay.Targets.pool("p")
			p.recordLoad(route.Target{ID: "e2"}, &engine.Load{At: time.Now(), Running: 8, Slots: 8})
			got := tr.request("POST", "/draft/1", "prompt", "Patience", "9s")
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 9), got.body)
			require.Equal(t, c.runs, runs.Load())
			require.Equal(t, []string{"targets_full"}, tr.log.reasons(t, "attempt_silent"))
		})
	}
}

// Guards against taking retries from the budget while there is no target for them.
func TestWaitForTargetTakesNoRetry(t *testing.T) {
	for _, path := range []string{"/draft/1", "/view/1"} {
		t.Run(path, func(t *testing.T) {
			var runs atomic.Int32
			e1 := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
				runs.Add(1)
				// The target states that it is leaving, so no target is open.
				return writeResponse(c, r, 503, "", "Not-Run: 1", "Leaving: 1", "Target: e1")
			})
			tr := startRelay(t, e1)
			tr.setRetryBudget(0, 5)
			tr.request("POST", path, "prompt", "Patience", "3s")
			left := 0
			for tr.relay.Targets.pool("p").allowRetry(time.Now()) {
				left++
			}
			require.Equal(t, 3, left, "retries left after a request that was sent %d times", runs.Load())
		})
	}
}
