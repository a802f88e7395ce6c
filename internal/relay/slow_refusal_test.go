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

// TestRequestWaitsForBodyOfRefusal guards against a request that is not offered to another target until its deadline, since
// the body of a refusal comes byte by byte or stops.
func TestRequestWaitsForBodyOfRefusal(t *testing.T) {
	for name, pause := range map[string]time.Duration{"slow": 10 * time.Millisecond, "stops": time.Minute} {
		for _, path := range []string{"/book/1", "/draft/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				refusing := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
					_, err := fmt.Fprintf(c, "HTTP/1.1 503 S\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 4000\r\n\r\n", r.Header.Get("Id"))
					for err == nil {
						_, err = c.Write([]byte("x"))
						select {
						case <-t.Context().Done():
							return false
						case <-time.After(pause):
						}
					}
					return false
				})
				sound := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
					if strings.HasPrefix(r.URL.Path, "/draft/") {
						writeEvents(c, r, 1, 3, true)
						return true
					}
					return writeResponse(c, r, 200, "done", "Seal: s")
				})
				tr := startRelay(t, refusing, sound)
				for n := 0; len(refusing.seenRequests()) == 0; n++ {
					require.Less(t, n, 50)
					res := tr.request("POST", path, "", "Id", fmt.Sprint("r-", n), "Patience", "2s")
					require.Equal(t, 200, res.status, res.body)
				}
			})
		}
	}
}
