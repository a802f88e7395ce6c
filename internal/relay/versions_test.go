package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/version"
)

// TestRunningStreamIsNoEvidence guards against a version of a service with few and long streams that is taken back for
// want of results, or found slow only when its streams end.
func TestRunningStreamIsNoEvidence(t *testing.T) {
	release := make(chan struct{})
	stub := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeStreamEvents(c, 0, 0, false)
		<-release
		writeStreamEvents(c, 1, 2, true)
		return true
	})
	tr := startRelay(t, stub)
	results := make(chan version.Result, 10)
	tr.relay.Targets.ObserveResult = func(_ time.Time, _ string, r version.Result) { results <- r }
	answered := make(chan callerResponse, 1)
	go func() { answered <- tr.request("POST", "/once/1", "") }()
	select {
	case r := <-results:
		require.Positive(t, r.FirstToken)
		require.False(t, r.Ended)
		require.Equal(t, "once", r.Route)
	case <-time.After(time.Second):
		t.Error("no result of a stream that has begun")
	}
	close(release)
	require.Equal(t, eventsText(0, 2), (<-answered).body)
	r := <-results
	require.True(t, r.Ended)
	require.False(t, r.Failed)
	require.Zero(t, r.FirstToken, "it must not be counted twice")
	require.Positive(t, r.TokenInterval)
	require.Empty(t, results)
}
