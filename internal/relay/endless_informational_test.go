package relay

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against informational responses without end that hold a request until its time limit though another
// engine could answer it.
func TestEndlessInformationalResponses(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		for _, path := range []string{"/view/1", "/draft/1"} {
			t.Run(name+path, func(t *testing.T) {
				endless := startEndlessStub(t, func(net.Conn, *http.Request) {}, "HTTP/1.1 102 Processing\r\nX-Note: wait\r\n\r\n", pause)
				sound := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
					if strings.HasPrefix(r.URL.Path, "/draft/") {
						writeEvents(c, r, 1, 3, true)
						return true
					}
					return writeResponse(c, r, 200, "fine", "Seal: s")
				})
				tr := startRelay(t, endless.engineStub, sound)
				for n := 0; endless.sent.Load() == 0; n++ {
					require.Less(t, n, 50)
					got := tr.request("GET", path, "")
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
				}
				require.Less(t, endless.sent.Load(), int64(maxEndlessBytes)+4<<20, "some of it stays in the kernel's buffers")
			})
		}
	}
}
