package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response whose handling panics and takes the whole process down, or stays counted at its target.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	stub := startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("Id") == "bad" {
			return writeResponse(c, r, 200, "answer", "Seal: s", "Panic: 1")
		}
		return writeResponse(c, r, 200, "answer", "Seal: s")
	})
	r := startRelay(t, stub)
	for _, path := range []string{"/view/1", "/book/1", "/draft/1"} {
		got := r.request("POST", path, "x", "Id", "bad", "Patience", "2s")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusBadGateway, got.status)
		require.Contains(t, got.body, "unknown", "the request may have run")
		require.Equal(t, http.StatusOK, r.request("POST", "/book/2", "x", "Id", "good").status)
	}
	p := r.relay.Targets.pool("p")
	p.mu.Lock()
	require.Zero(t, p.enginePool.CountedLoad(time.Now(), "e0"))
	p.mu.Unlock()
	locations := r.log.reasons(t, "panicked")
	require.NotEmpty(t, locations)
	require.Contains(t, locations[0], "harness_test.go:")
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	require.NotContains(t, r.log.lines.String(), "secret prompt")
}
