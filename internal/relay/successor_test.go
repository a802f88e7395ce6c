package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an engine that stays unused after a restart until its entry arrives, and against
// requests to one that may belong to another pool by then.
func TestSuccessorOfLostTarget(t *testing.T) {
	for name, c := range map[string]struct {
		reuse time.Duration
		found bool
	}{
		"before the address may be used again": {reuse: 4 * time.Second, found: true},
		"after that":                           {reuse: 300 * time.Millisecond, found: false},
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan string, 9)
			crash := make(chan struct{})
			former := startStub(t, "first", func(c net.Conn, r *http.Request, _ string) bool {
				writeEvents(c, r, 1, 4, false)
				<-crash
				return false
			})
			tr := startRelay(t, former)
			tr.relay.Targets.AddressReuse = c.reuse
			tr.relay.Targets.pool("p").successors.AddressReuse = c.reuse
			lost := make(chan callerResponse, 1)
			go func() { lost <- tr.request("POST", "/once/1", "prompt") }()
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, former.closeListener())
			close(crash)
			require.Error(t, (<-lost).err)

			time.Sleep(400 * time.Millisecond)
			startStubAt(t, former.address.String(), "second", func(c net.Conn, r *http.Request, _ string) bool {
				if r.Header.Get("Expect-Target") != "second" {
					fmt.Fprint(c, "HTTP/1.1 421 S\r\nNot-Run: 1\r\nTarget: second\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				served <- r.URL.Path
				writeEvents(c, r, 1, 4, true)
				return true
			})
			for startedAt := time.Now(); time.Since(startedAt) < 2*time.Second && len(served) == 0; time.Sleep(50 * time.Millisecond) {
				tr.request("POST", "/once/2", "prompt")
			}
			require.Equal(t, c.found, len(served) > 0)
		})
	}
}
