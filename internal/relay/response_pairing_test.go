package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestContradictoryRefusalIsNotBelieved guards against a call that runs twice since the response to the first run has the
// header of a refusal.
func TestContradictoryRefusalIsNotBelieved(t *testing.T) {
	for status, want := range map[int]int{200: 502, 204: 502, 302: 502, 500: 502, 502: 502, 504: 502, 400: 503, 408: 503, 421: 503, 429: 503, 503: 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runs := atomic.Int64{}
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				runs.Add(1)
				return writeResponse(conn, r, status, "", "Seal: s", "Not-Run: 1")
			})
			res := startRelay(t, stub).request("POST", "/book/1", "")
			require.Equal(t, want, res.status, res.body)
			if want == 502 {
				require.EqualValues(t, 1, runs.Load())
			}
		})
	}
}

// TestLateAnswerIsNotTheNextAnswer guards against a response that is read from the wrong place after a late one to a HEAD
// request, which has no body, and against a late one without an id that is passed on to a request without one.
func TestLateAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, c := range map[string]struct{ method, late, nextID string }{
		"to a HEAD request":                  {"HEAD", "HTTP/1.1 200 S\r\nId: r-1\r\nSeal: s\r\nContent-Length: 50\r\n\r\n", "r-2"},
		"without an id to one without an id": {"GET", "HTTP/1.1 404 S\r\nSeal: s\r\nContent-Length: 4\r\n\r\nlate", ""},
	} {
		t.Run(name, func(t *testing.T) {
			used := sync.Map{}
			stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
				if _, ok := used.LoadOrStore(conn, true); ok {
					fmt.Fprint(conn, c.late)
				}
				if r.Method == http.MethodHead {
					_, err := fmt.Fprint(conn, c.late)
					return err == nil
				}
				return writeResponse(conn, r, 404, "own", "Seal: s")
			})
			tr := startRelay(t, stub)
			tr.request(c.method, "/view/1", "", "Id", "r-1")
			res := tr.request("POST", "/book/1", "", "Id", c.nextID, "Patience", "500ms")
			require.Equal(t, "own", res.body)
		})
	}
}

// TestUnnamedResponseAfterStaleOneIsNotBelieved guards against a call that runs twice since a refusal that names no request
// follows a response to another one.
func TestUnnamedResponseAfterStaleOneIsNotBelieved(t *testing.T) {
	runs := atomic.Int64{}
	stub := startStub(t, "e1", func(conn net.Conn, _ *http.Request, _ string) bool {
		runs.Add(1)
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 S\r\nId: other\r\nSeal: s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	res := startRelay(t, stub).request("POST", "/book/1", "")
	require.Equal(t, 502, res.status, res.body)
	require.EqualValues(t, 1, runs.Load())
}
