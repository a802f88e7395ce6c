package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against comments without end that keep a stream open without progress.
func TestEndlessComments(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		for _, events := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d events", name, events), func(t *testing.T) {
				begin := func(c net.Conn, r *http.Request) {
					writeStreamHeader(c, r)
					writeStreamEvents(c, 1, events, false)
				}
				endless := startEndlessStub(t, begin, "8\r\n: ping\n\n\r\n", pause)
				sound := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
					first := 1
					if r.Header.Get("After") != "" {
						first = events + 1
					}
					writeEvents(c, r, first, 5, true)
					return true
				})
				tr := startRelay(t, endless.engineStub, sound)
				for n := 0; endless.sent.Load() == 0; n++ {
					require.Less(t, n, 50)
					got := tr.request("POST", "/draft/1", "", "Patience", "9s")
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, eventsText(1, 5), strings.ReplaceAll(got.body, ": ping\n\n", ""))
				}
			})
		}
	}
}
