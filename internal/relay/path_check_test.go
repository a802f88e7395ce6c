package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// Guards against calls that hang on a lost path until their deadline while nobody learns of the loss, since the path was
// checked shortly before it was lost, or since another call was answered after they were sent.
func TestPathOfSilentCallsIsCheckedUntilTheirDeadline(t *testing.T) {
	for name, answeredWithin := range map[string]time.Duration{"checked_shortly_before": 0, "another_call_answered_since": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			stub := startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
				time.Sleep(150 * time.Millisecond)
				return writeResponse(c, r, 200, "answer", "Seal: s")
			})
			f := startFleet(t, 2, []*engineStub{stub})
			// The next call uses the connection of this one, so that the path is checked after silentCallTime.
			require.Equal(t, http.StatusOK, f.relays[0].request("POST", "/book/warm-up", "x", "Id", "warm-up", "Patience", "2s").status)
			first := make(chan callerResponse)
			go func() { first <- f.relays[0].request("POST", "/book/first", "x", "Id", "first", "Patience", "2s") }()
			time.Sleep(150*time.Millisecond - answeredWithin)
			done := make(chan struct{})
			if answeredWithin == 0 {
				require.Equal(t, http.StatusOK, (<-first).status)
				f.cut(0, cutSilent, []int{0})
			}
			go func() {
				defer close(done)
				f.relays[0].request("POST", "/book/second", "x", "Id", "second", "Patience", "2s")
			}()
			if answeredWithin > 0 {
				require.Equal(t, http.StatusOK, (<-first).status)
				f.cut(0, cutSilent, []int{0})
			}
			links := f.relays[0].relay.Links
			require.Eventually(t, func() bool {
				return !links.lostSince(route.Target{Pool: "p", ID: "e0"}).IsZero()
			}, time.Second, 5*time.Millisecond)
			<-done
		})
	}
}

// Guards against calls that hang on a lost path and still count as running at their target, so that nobody uses its places.
func TestHangingCallDoesNotCountOnceItsPathIsLost(t *testing.T) {
	stub := startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
		if r.URL.Path == "/book/long" {
			time.Sleep(3 * time.Second)
		}
		time.Sleep(50 * time.Millisecond)
		return writeResponse(c, r, 200, "answer", "Seal: s")
	})
	f := startFleet(t, 2, []*engineStub{stub})
	call := func(id, patience string) chan callerResponse {
		response := make(chan callerResponse, 1)
		go func() { response <- f.relays[0].request("POST", "/book/"+id, "x", "Id", id, "Patience", patience) }()
		return response
	}
	// These leave a connection for each call that hangs.
	for _, response := range []chan callerResponse{call("sound-1", "2s"), call("sound-2", "2s")} {
		require.Equal(t, http.StatusOK, (<-response).status)
	}
	f.cut(0, cutSilent, []int{0})
	hanging := []chan callerResponse{call("hanging-1", "2s")}
	time.Sleep(2 * silentCallTime)
	// This one is sent while the first one's check goes on.
	hanging = append(hanging, call("hanging-2", "2s"))
	p := f.relays[0].relay.Targets.pool("p")
	load := func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.enginePool.CountedLoad(time.Now(), "e0")
	}
	require.Eventually(t, func() bool { return load() == 2 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return load() == 0 }, time.Second, 5*time.Millisecond)
	long := call("long", "5s")
	for _, response := range hanging {
		require.NotEqual(t, http.StatusOK, (<-response).status)
	}
	require.EqualValues(t, 1, load(), "the long call still counts at the end of the hanging ones")
	require.Equal(t, []string{reasonPathLost, reasonPathLost}, f.relays[0].log.reasons(t, "attempt_hangs"))
	require.Equal(t, http.StatusOK, (<-long).status)
	require.Zero(t, load())
}
