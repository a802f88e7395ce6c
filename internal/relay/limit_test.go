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

// exchangeProgress lets relays tell each other of their targets until the test ends.
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
