package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAttemptWithLongBodyStaysCounted guards against an attempt that counts at its target for good, since its long answer was
// not passed on.
func TestAttemptWithLongBodyStaysCounted(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+1)
	for name, c := range map[string]struct {
		path    string
		status  int
		headers []string
		// leaves is set if the caller leaves before the answer.
		leaves bool
	}{
		"encoded":               {"/book/1", 200, []string{"Content-Encoding: gzip"}, false},
		"refusal not stated":    {"/book/1", 503, nil, false},
		"failure that is tried": {"/view/1", 500, nil, false},
		"caller has left":       {"/book/1", 200, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls := atomic.Int64{}
			handle := func(conn net.Conn, r *http.Request, _ string) bool {
				if calls.Add(1) > 1 {
					return writeResponse(conn, r, 200, "short", "Seal: s")
				}
				time.Sleep(50 * time.Millisecond)
				return writeResponse(conn, r, c.status, long, append(c.headers, "Seal: s")...)
			}
			tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
			if c.leaves {
				conn, err := net.Dial("tcp", tr.callerAddress)
				require.NoError(t, err)
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", c.path)
				require.Eventually(t, func() bool { return calls.Load() > 0 }, 3*time.Second, time.Millisecond)
				require.NoError(t, conn.Close())
			} else {
				tr.request("POST", c.path, "")
			}
			require.Positive(t, calls.Load())
			pool := tr.relay.Targets.pool("p")
			require.Eventually(t, func() bool {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				return pool.enginePool.CountsOf(time.Now(), "e1").Own+pool.enginePool.CountsOf(time.Now(), "e2").Own == 0
			}, 3*time.Second, 10*time.Millisecond)
		})
	}
}
