package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 S\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// TestRestOfLongBodyIsNotTheNextAnswer guards against a call that is refused although it ran, or that runs twice, since the
// unread rest of a longer body on its connection is read as the answer to it.
func TestRestOfLongBodyIsNotTheNextAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path, head string
		// late has the long response come with that to the next request on its connection.
		late bool
	}{
		"refused call":   {"/book/long", "HTTP/1.1 503 S\r\nId: r-1\r\nNot-Run: 1\r\n", false},
		"refused stream": {"/draft/long", "HTTP/1.1 503 S\r\nId: r-1\r\nNot-Run: 1\r\n", false},
		"late response":  {"/book/long", "HTTP/1.1 200 S\r\nId: other\r\nSeal: s\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			unfinished, runs := map[net.Conn]bool{}, map[string]int{}
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				mu.Lock()
				defer mu.Unlock()
				id := r.Header.Get("Id")
				long := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.head, maxBufferedBody+len(refusalOf(id)), strings.Repeat("x", maxBufferedBody))
				if r.URL.Path == c.path {
					unfinished[conn] = true
					if c.late {
						return writeResponse(conn, r, 200, "done", "Seal: s")
					}
					_, err := fmt.Fprint(conn, long)
					return err == nil
				}
				if unfinished[conn] && c.late {
					fmt.Fprint(conn, long)
				}
				if unfinished[conn] {
					// The rest of the body of the long response.
					fmt.Fprint(conn, refusalOf(id))
					delete(unfinished, conn)
				}
				runs[id]++
				return writeResponse(conn, r, 200, "done", "Seal: s")
			})
			tr := startRelay(t, stub)
			tr.request("POST", c.path, "", "Id", "r-1", "Patience", "500ms")
			for i := 2; i < 6; i++ {
				id := fmt.Sprint("r-", i)
				res := tr.request("POST", "/book/next", "", "Id", id)
				mu.Lock()
				ran := runs[id]
				mu.Unlock()
				require.LessOrEqual(t, ran, 1, "%s must run once", id)
				require.False(t, ran > 0 && impliesNotRun(res.status), "%s ran and was answered %d: %s", id, res.status, res.body)
			}
		})
	}
}
