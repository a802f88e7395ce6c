package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/socket"
)

// Guards against a caller that resumes its stream at another instance while the engine still works on it for this one:
// the end of the grace period is to reach engines before callers.
func TestEnginesLearnBeforeCallersThatGraceIsOver(t *testing.T) {
	const streams = 16
	var mu sync.Mutex
	atEngine := map[string]net.Conn{}
	tr := startRelay(t, startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		mu.Lock()
		atEngine[r.Header.Get("Id")] = c
		mu.Unlock()
		writeEvents(c, r, 1, 4, false)
		_, _ = c.Read(make([]byte, 1))
		// HasEnded needs an open connection.
		<-t.Context().Done()
		return false
	}))
	tr.relay.Targets.pool("p").targets[0].Slots = streams
	tr.relay.GracePeriod = time.Second
	var group sync.WaitGroup
	late := make(chan string, streams)
	for i := range streams {
		c, err := net.Dial("tcp", tr.callerAddress)
		require.NoError(t, err)
		defer c.Close()
		id := fmt.Sprint("s-", i)
		fmt.Fprintf(c, "POST /draft/%d HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nKey: k\r\nContent-Length: 0\r\n\r\n", i, id)
		group.Go(func() {
			_, _ = io.Copy(io.Discard, c)
			mu.Lock()
			defer mu.Unlock()
			if engine := atEngine[id]; engine != nil && !socket.HasEnded(engine) {
				late <- id
			}
		})
	}
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(atEngine) >= 8
	}, 2*time.Second, time.Millisecond)
	tr.stop()
	group.Wait()
	require.Empty(t, late, "the caller's connection was closed before the engine's")
	for _, why := range tr.log.reasons(t, "request_failed") {
		require.Equal(t, "grace_over", why)
	}
}
