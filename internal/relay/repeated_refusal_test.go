package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSecondCopyOfRefusalIsNotTheAnswer guards against an earlier refusal that is taken for the answer to a later attempt.
func TestSecondCopyOfRefusalIsNotTheAnswer(t *testing.T) {
	for _, path := range []string{"/book/1", "/view/1"} {
		t.Run(path, func(t *testing.T) {
			var mu sync.Mutex
			offers, runs := map[string]int{}, 0
			handle := func(name string) func(c net.Conn, r *http.Request, _ string) bool {
				copyOfRefusal := map[net.Conn]string{}
				return func(c net.Conn, r *http.Request, _ string) bool {
					mu.Lock()
					defer mu.Unlock()
					id := r.Header.Get("Id")
					if r.URL.Path != path {
						return writeResponse(c, r, 200, "other", "Seal: s")
					}
					if late := copyOfRefusal[c]; late != "" {
						fmt.Fprint(c, late)
					}
					offers[name]++
					if offers[name] == 1 {
						copyOfRefusal[c] = fmt.Sprintf("HTTP/1.1 503 S\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
						return writeResponse(c, r, 503, "", "Not-Run: 1")
					}
					runs++
					time.Sleep(5 * time.Millisecond)
					return writeResponse(c, r, 200, "done", "Seal: s")
				}
			}
			tr := startRelay(t, startStub(t, "e1", handle("e1")), startStub(t, "e2", handle("e2")))
			for i := range 12 {
				warm := tr.request("POST", fmt.Sprintf("/book/warm-%d", i), "")
				require.Equal(t, 200, warm.status, warm.body)
			}
			res := tr.request("POST", path, "")
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, 1, runs)
			require.Equal(t, 200, res.status, res.body)
			require.Equal(t, "done", res.body)
		})
	}
}
