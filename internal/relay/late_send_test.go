package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNothingIsSentForCallerThatLeft guards against a call that begins to run after its caller has left, since its connection
// to a target was established late.
func TestNothingIsSentForCallerThatLeft(t *testing.T) {
	for _, kind := range []string{"book", "view", "draft", "once"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				return writeResponse(conn, r, 200, "answer", "Seal: s")
			})
			tr := startRelay(t, stub)
			tr.relay.init()
			dialing := make(chan struct{}, 9)
			tr.relay.targetConns.ObserveDial = func(time.Duration, error) {
				dialing <- struct{}{}
				time.Sleep(100 * time.Millisecond)
			}
			conn, err := net.Dial("tcp", tr.callerAddress)
			require.NoError(t, err)
			fmt.Fprintf(conn, "POST /%s/1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", kind)
			select {
			case <-dialing:
			case <-time.After(5 * time.Second):
				require.Fail(t, "no connection")
			}
			require.NoError(t, conn.Close())
			time.Sleep(400 * time.Millisecond)
			require.Empty(t, stub.seenRequests())
			require.Equal(t, 200, tr.request("POST", "/book/2", "").status, "the target is not blamed")
		})
	}
}
