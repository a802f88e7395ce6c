package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitWindow is the length of the spans in which a limited engine's requests are counted; limitFactor and
	// limitSlack bound them.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of times within limitWindow.
func mostInWindow(times []time.Time) int {
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) >= limitWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// exchangeProgress applies the progress of each relay at the others until the test ends.
func exchangeProgress(t *testing.T, relays []*testRelay) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case now := <-tick.C:
				for i, from := range relays {
					progress := from.relay.Targets.LocalProgress(now)
					for j, to := range relays {
						if i != j {
							to.relay.Targets.ApplyRemoteProgress(now, fmt.Sprint(i), progress)
						}
					}
				}
			case <-done:
				return
			}
		}
	}()
}

// Guards against instances that together send an engine more requests than it says that it takes.
func TestLimitedEngineGetsNoMoreThanItsLimit(t *testing.T) {
	const limit, instances = 3.0, 8
	var mu sync.Mutex
	var arrivals []time.Time
	answer := func(headers ...string) func(c net.Conn, r *http.Request, _ string) bool {
		return func(c net.Conn, r *http.Request, _ string) bool {
			if len(headers) > 0 {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
			}
			return answerWith(headers...)(c, r, "")
		}
	}
	stubs := []*engineStub{startStub(t, "e1", answer("Limit: 3")), startStub(t, "e2", answer()), startStub(t, "e3", answer())}
	var relays []*testRelay
	for i := range instances {
		relays = append(relays, startRelayOf(t, instances, i, stubs...))
	}
	exchangeProgress(t, relays)
	startedAt := time.Now()
	var wg sync.WaitGroup
	failed := 0
	for n := 0; time.Since(startedAt) < 9*time.Second; n++ {
		wg.Go(func() {
			got := relays[n%instances].request("GET", fmt.Sprintf("/view/%d", n), "")
			if got.status != http.StatusOK {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	var counted []time.Time
	for _, at := range arrivals {
		if at.After(arrivals[0].Add(contactTime)) {
			counted = append(counted, at)
		}
	}
	t.Logf("%d requests in %v, %d at once in %v, %d failed", len(counted), 6*time.Second, mostInWindow(counted), limitWindow, failed)
	require.LessOrEqual(t, float64(mostInWindow(counted)), limitFactor*limit*limitWindow.Seconds()+limitSlack)
	require.NotEmpty(t, counted, "the engine takes some requests")
	require.Zero(t, failed, "the other engines take the rest")
}

// Guards against requests that are held or sent while no engine of the pool takes more, and against refusals
// without the time at which one does.
func TestAllEnginesLimited(t *testing.T) {
	for _, path := range []string{"/view/", "/book/", "/draft/"} {
		t.Run(path, func(t *testing.T) {
			e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
				return writeResponse(c, r, 503, "full", "Not-Run: 1", "Limit: 0.5")
			})
			tr := startRelay(t, e)
			require.Equal(t, http.StatusServiceUnavailable, tr.request("POST", path+"1", "").status)
			sent := len(e.seenRequests())
			require.Equal(t, 1, sent, "an engine that refuses counts what it refuses")
			startedAt := time.Now()
			got := tr.request("POST", path+"2", "")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Contains(t, got.body, `"code":"targets_limited","outcome":"not_run"`)
			require.Less(t, time.Since(startedAt), 500*time.Millisecond)
			wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
			require.NoError(t, err)
			// One request in two seconds; callers return within 1.5 times 500 ms after that.
			require.Greater(t, wait, 1500*time.Millisecond)
			require.LessOrEqual(t, wait, 2760*time.Millisecond)
			require.Len(t, e.seenRequests(), sent)
		})
	}
}

// Guards against a limit that outlasts the engine's statement, at this instance or at others, and against one
// that ends with an answer that can't be read.
func TestLimitEndsWithTheStatement(t *testing.T) {
	var mu sync.Mutex
	header := "Limit: 1000"
	e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		return writeResponse(c, r, 200, "ok", "Seal: s", header)
	})
	tr, other := startRelayOf(t, 1, 0, e), startRelayOf(t, 1, 0, e)
	limit := func(tr *testRelay) (perSecond float64, ok bool) {
		p := tr.relay.Targets.pool("p")
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.limits.Limit(p.targets[0])
	}
	tell := func() {
		time.Sleep(100 * time.Millisecond)
		other.relay.Targets.ApplyRemoteProgress(time.Now(), "x", tr.relay.Targets.LocalProgress(time.Now()))
	}
	say := func(h string) {
		mu.Lock()
		header = h
		mu.Unlock()
		require.Equal(t, 200, tr.request("GET", "/view/1", "").status)
		tell()
	}
	say(header)
	for _, r := range []*testRelay{tr, other} {
		got, ok := limit(r)
		require.True(t, ok)
		require.InDelta(t, 1000, got, 0)
	}
	say("Limit: many")
	_, ok := limit(tr)
	require.True(t, ok, "a value that can't be read changes nothing")
	say("Other: 1")
	for _, r := range []*testRelay{tr, other} {
		_, ok := limit(r)
		require.False(t, ok)
	}
}

// Guards against a stream that is refused because one engine has a limit, while another has none.
func TestStreamsUseEnginesWithoutLimit(t *testing.T) {
	limited := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, 503, "full", "Not-Run: 1", "Limit: 0")
	})
	free := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
		writeEvents(c, r, 1, 3, true)
		return true
	})
	tr := startRelay(t, limited, free)
	for n := range 20 {
		require.Equal(t, 200, tr.request("POST", fmt.Sprintf("/draft/%d", n), "").status)
	}
	require.LessOrEqual(t, len(limited.seenRequests()), 1)
}
