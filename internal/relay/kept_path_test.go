package relay

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a repeatable call whose second attempt goes out on a kept connection of the same lost links as the first,
// and hangs there as well until the time limit.
func TestSecondAttemptOfSilentCallUsesWorkingPath(t *testing.T) {
	e := &fleetEngine{}
	f := startFleet(t, 2, e.stubs(t, 3))
	targets := []int{0, 1, 2}
	view := func(id string) callerResponse {
		return f.relays[0].request("POST", "/view/"+id, "x", "Id", id, "Patience", "1s")
	}
	// These leave connections to all targets.
	var group sync.WaitGroup
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		group.Go(func() { view(id) })
	}
	group.Wait()
	for _, links := range f.links[0] {
		links.mu.Lock()
		require.Positive(t, links.opened)
		links.mu.Unlock()
	}
	f.cut(0, cutSilent, targets)
	require.Equal(t, http.StatusOK, view("cut").status)
	require.Equal(t, 1, e.runsOf("cut"))
}

// Guards against a stream that continues on a kept connection of the same lost links, and pauses there once more.
func TestStreamContinuesOnWorkingPath(t *testing.T) {
	e := &fleetEngine{}
	f := startFleet(t, 2, e.stubs(t, 3))
	var group sync.WaitGroup
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		group.Go(func() { f.relays[0].request("POST", "/view/"+id, "x", "Id", id, "Patience", "1s") })
	}
	group.Wait()
	before := len(f.relays[0].log.reasons(t, "attempt_begun"))
	c := f.relays[0].dial()
	c.send("POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nId: s\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(150 * time.Millisecond)
	f.cut(0, cutSilent, []int{0, 1, 2})
	got := c.receive()
	require.NoError(t, got.err)
	require.Equal(t, eventsText(1, fleetStreamEvents), got.body)
	attempts := f.relays[0].log.reasons(t, "attempt_begun")[before:]
	require.Len(t, attempts, 2, "the second attempt reaches its target: %v", attempts)
	p := f.relays[0].relay.Targets.pool("p")
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		return p.enginePool.CountedLoad(now, "e0")+p.enginePool.CountedLoad(now, "e1")+p.enginePool.CountedLoad(now, "e2") == 0
	}, time.Second, time.Millisecond, "a request that has ended still counts")
}
