package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against crashes that are not recognised since something accepts connections at the engine's address,
// and against a lost connection that is taken for a crash.
func TestCrashBehindAnAcceptingAddress(t *testing.T) {
	for name, c := range map[string]struct {
		after func(c net.Conn, r *http.Request) bool
		kind  string
		why   string
	}{
		"closes": {func(net.Conn, *http.Request) bool { return false }, "target_crashed", "connection_closed"},
		"next incarnation": {func(c net.Conn, r *http.Request) bool {
			return writeResponse(c, r, 421, "", "Not-Run: 1", "Target: e1-next")
		}, "target_crashed", "other_incarnation"},
		"same incarnation": {func(c net.Conn, r *http.Request) bool {
			return writeResponse(c, r, 200, "", "Target: e1")
		}, "target_crash_unlikely", "connection_accepted"},
	} {
		t.Run(name, func(t *testing.T) {
			var lost atomic.Bool
			tr := startRelay(t, startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				if lost.Swap(true) {
					return c.after(conn, r)
				}
				return false
			}))
			tr.request("POST", "/once/1", "", "Parts", "a,own")
			require.Eventually(t, func() bool {
				return fmt.Sprint(tr.log.reasons(t, c.kind)) == fmt.Sprint([]string{c.why})
			}, 2*time.Second, 10*time.Millisecond)
		})
	}
}
