package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/booking"
)

// Guards against a request that crashes one engine after another, sent again by instances and callers.
func TestRequestThatCrashesEngines(t *testing.T) {
	for _, path := range []string{"/draft/1", "/view/1"} {
		t.Run(path, func(t *testing.T) {
			var crashed atomic.Int32
			var stubs []*engineStub
			for i := range 7 {
				var e *engineStub
				e = startStub(t, fmt.Sprintf("e%d", i), func(c net.Conn, r *http.Request, body string) bool {
					if body == "poison" {
						crashed.Add(1)
						_ = e.end()
						return false
					}
					if r.URL.Path == "/draft/1" {
						events(c, r, 1, 3, true)
						return true
					}
					return whole(c, r, 200, "fine", "Seal: s")
				})
				stubs = append(stubs, e)
			}
			d := startRelay(t, stubs...)
			var told atomic.Int32
			d.relay.Crashes.Tell = func([]byte) bool { told.Add(1); return true }
			var a answerOf
			require.Eventually(t, func() bool {
				a = d.ask("POST", path, "poison")
				return a.status == http.StatusServiceUnavailable
			}, 5*time.Second, 100*time.Millisecond)
			require.Contains(t, a.body, codeCrashes)
			require.Contains(t, a.body, "not_run")
			require.NotEmpty(t, a.header.Get("Retry-After"))
			require.LessOrEqual(t, crashed.Load(), int32(4), "three engines, and one that was reached as the third crashed")
			require.Equal(t, 200, d.ask("POST", path, "fine").status)
			require.NotZero(t, told.Load())
		})
	}
}

// Guards against an instance that learns nothing of what crashed engines at others, or too much.
func TestCrashesOfOthers(t *testing.T) {
	c := &Crashes{chains: booking.CrashCounter{Retention: crashLife}}
	now := time.Now()
	for i := range 3 {
		c.Receive(now.Add(time.Duration(i)*time.Second), []byte(`{"digest":"d","age_ms":100,"begun_ms":900}`))
	}
	require.True(t, c.chains.IsMarked(now.Add(3*time.Second), "d"))
	c.Receive(now, []byte(`{"digest":"d","served":true}`))
	require.False(t, c.chains.IsMarked(now.Add(3*time.Second), "d"))
	for _, bad := range []string{"", "{", `{"digest":"d","age_ms":-1}`, `{"digest":"d","age_ms":9,"begun_ms":1}`, `{"age_ms":1,"begun_ms":2}`} {
		c.Receive(now, []byte(bad))
	}
	require.True(t, c.chains.Empty())
}
