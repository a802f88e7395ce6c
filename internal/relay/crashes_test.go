package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against a request that crashes one engine after another because instances and callers
// retry it.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	for _, path := range []string{"/draft/1", "/view/1"} {
		t.Run(path, func(t *testing.T) {
			var crashed atomic.Int32
			var stubs []*engineStub
			for i := range 7 {
				var e *engineStub
				e = startStub(t, fmt.Sprintf("e%d", i), func(c net.Conn, r *http.Request, body string) bool {
					if body == "poison" {
						crashed.Add(1)
						_ = e.closeListener()
						return false
					}
					if r.URL.Path == "/draft/1" {
						writeEvents(c, r, 1, 3, true)
						return true
					}
					return writeResponse(c, r, 200, "fine", "Seal: s")
				})
				stubs = append(stubs, e)
			}
			tr := startRelay(t, stubs...)
			var broadcasts atomic.Int32
			tr.relay.Crashes.Broadcast = func([]byte) bool { broadcasts.Add(1); return true }
			var got callerResponse
			require.Eventually(t, func() bool {
				got = tr.request("POST", path, "poison")
				return got.status == http.StatusServiceUnavailable
			}, 5*time.Second, 100*time.Millisecond)
			require.Contains(t, got.body, codeCrashes)
			require.Contains(t, got.body, "not_run")
			require.NotEmpty(t, got.header.Get("Retry-After"))
			if crashed.Load() > 4 {
				t.Log(tr.log.String())
			}
			require.LessOrEqual(t, crashed.Load(), int32(4), "three engines, and one that received the request as the third crashed")
			require.Equal(t, 200, tr.request("POST", path, "fine").status)
			require.NotZero(t, broadcasts.Load())
		})
	}
}

// Guards against crash reports of other instances that are ignored, and against malformed ones that
// are applied.
func TestCrashesReportedByOtherInstances(t *testing.T) {
	tracker := &CrashTracker{counter: booking.CrashCounter{Retention: crashRetention}}
	now := time.Now()
	for i := range 3 {
		tracker.HandleMessage(now.Add(time.Duration(i)*time.Second), []byte(`{"digest":"d","certain":true,"age_ms":100,"begun_ms":900}`))
	}
	require.True(t, tracker.counter.IsMarked(now.Add(3*time.Second), "d"))
	tracker.HandleMessage(now, []byte(`{"digest":"d","served":true}`))
	require.False(t, tracker.counter.IsMarked(now.Add(3*time.Second), "d"))
	for _, bad := range []string{"", "{", `{"digest":"d","age_ms":-1}`, `{"digest":"d","age_ms":9,"begun_ms":1}`, `{"age_ms":1,"begun_ms":2}`} {
		tracker.HandleMessage(now, []byte(bad))
	}
	require.True(t, tracker.counter.Empty())
}

// Guards against a request that crashes a fourth target, since the checks of the first three ended in another order.
func TestCrashesReportedOutOfOrderCount(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		tracker, now := &CrashTracker{}, time.Now()
		for _, n := range order {
			require.False(t, tracker.counter.IsMarked(now, "d"))
			age := 100 * (3 - n)
			tracker.HandleMessage(now, []byte(fmt.Sprintf(`{"digest":"d","certain":true,"target":"e%d","age_ms":%d,"begun_ms":%d}`, n, age-90, age)))
		}
		require.True(t, tracker.counter.IsMarked(now, "d"), "order %v", order)
	}
}

// Guards against a request that is refused after one crash, since each repeated report of it, which arrives a little later
// than its age says, counts as a further one.
func TestRepeatedReportsOfOneCrashCountOnce(t *testing.T) {
	tracker, now := &CrashTracker{}, time.Now()
	for n, age := range []int{1, 301, 1301} {
		at := now.Add(time.Duration(age+5*n) * time.Millisecond)
		tracker.HandleMessage(at, []byte(fmt.Sprintf(`{"digest":"d","certain":true,"target":"e1","age_ms":%d,"begun_ms":%d}`, age, age+1)))
	}
	require.False(t, tracker.counter.IsMarked(now.Add(2*time.Second), "d"))
}

// Guards against requests that are refused since their path was lost, although their target went on or left by itself, and against
// crashes that never count since no target can be reached.
func TestLossesCountOnceTheirTargetHasEnded(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	entry := func(id string, leaving bool) route.Target {
		return route.Target{ID: id, Pool: "p", Address: address, Leaving: leaving}
	}
	for name, c := range map[string]struct {
		next []route.Target
		want bool
	}{
		"listed":   {[]route.Target{entry("e1", false)}, false},
		"leaving":  {[]route.Target{entry("e1", true)}, false},
		"replaced": {[]route.Target{entry("e2", false)}, true},
		"gone":     {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := &CrashTracker{}, time.Now()
			for n := range 3 {
				at := now.Add(time.Duration(n) * 4 * time.Second)
				tracker.ObserveTargets(at, map[string][]route.Target{"p": {entry("e1", false)}})
				tracker.HandleMessage(at, []byte(`{"digest":"d","target":"e1","age_ms":100,"begun_ms":900,"unconfirmed":{"address":"127.0.0.1:9","refused":true}}`))
				require.False(t, tracker.counter.IsMarked(at, "d"))
				tracker.ObserveTargets(at.Add(time.Second), map[string][]route.Target{"p": c.next})
				if name == "leaving" {
					tracker.ObserveTargets(at.Add(1100*time.Millisecond), nil)
				}
			}
			require.Equal(t, c.want, tracker.counter.IsMarked(now.Add(10*time.Second), "d"))
		})
	}
	tracker, now := &CrashTracker{}, time.Now()
	for range 3 {
		tracker.HandleMessage(now, []byte(`{"digest":"d","target":"e1","age_ms":100,"begun_ms":900,"unconfirmed":{"address":"127.0.0.1:9","refused":true}}`))
	}
	require.True(t, tracker.unconfirmed.Empty(), "a target that is not listed may have been replaced before the request began")
}

// Guards against a part that is not refused since each instance has only seen a few answers, though all together have seen enough.
func TestAnswersOfOtherInstancesCount(t *testing.T) {
	now := time.Now()
	trackers := make([]*CrashTracker, 8)
	for i := range trackers {
		trackers[i] = &CrashTracker{Instances: func() int { return len(trackers) }}
		trackers[i].Broadcast = func(data []byte) bool {
			for j, other := range trackers {
				if j != i {
					other.HandleMessage(now, data)
				}
			}
			return true
		}
	}
	request := func(parts ...string) *callerRequest {
		req := &callerRequest{route: &route.Route{Kind: route.Streaming}}
		for _, part := range append(parts, "own") {
			req.PromptParts = append(req.PromptParts, PromptPart{ID: part})
		}
		return req
	}
	for i := range 8 {
		now = now.Add(2 * time.Second)
		trackers[i].recordAnswer(now, now.Add(-time.Second), request("template"))
	}
	for n := range 5 {
		now = now.Add(300 * time.Millisecond)
		crash := booking.PartCrash{Target: fmt.Sprint("e", n), At: now, Request: fmt.Sprint("r", n), Parts: []string{"template", "bad"}}
		trackers[0].recordPartCrash(now, crash)
		for _, other := range trackers[1:] {
			other.HandleMessage(now, []byte(fmt.Sprintf(`{"digest":"r%d","target":"e%d","parts":["template","bad"]}`, n, n)))
		}
	}
	now = now.Add(time.Second)
	for i, tracker := range trackers {
		require.NotNil(t, tracker.refusal(now, request("template", "bad")), "instance %d", i)
		require.Nil(t, tracker.refusal(now, request("template")), "instance %d", i)
	}
}

// Guards against a request that is refused for good although its targets were repaired, and against one that crashes more than one
// target in a trial.
func TestRefusedRequestIsTestedByOneAttempt(t *testing.T) {
	for _, repaired := range []bool{false, true} {
		var runs atomic.Int32
		var stubs []*engineStub
		for i := range 4 {
			var e *engineStub
			e = startStub(t, fmt.Sprintf("e%d", i), func(c net.Conn, r *http.Request, _ string) bool {
				runs.Add(1)
				if !repaired {
					_ = e.closeListener()
					return false
				}
				return writeResponse(c, r, 200, "fine", "Seal: s")
			})
			stubs = append(stubs, e)
		}
		tr := startRelay(t, stubs...)
		req := &callerRequest{http: mustRequest(t, "POST", "/view/1", "poison"), RequestInfo: RequestInfo{APIKey: "k"}, body: []byte("poison")}
		for n := range 3 {
			at := time.Now().Add(-time.Hour + time.Duration(n)*time.Second)
			tr.relay.Crashes.recordCrash(at, at.Add(-100*time.Millisecond), fmt.Sprint("former", n), req.digest())
		}
		got := tr.request("POST", "/view/1", "poison")
		require.EqualValues(t, 1, runs.Load(), "repaired %t: %+v", repaired, got)
		got = tr.request("POST", "/view/1", "poison")
		if repaired {
			require.Equal(t, 200, got.status)
		} else {
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.EqualValues(t, 1, runs.Load())
		}
	}
}

func mustRequest(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host, r.RequestURI = "h.example", path
	return r
}
