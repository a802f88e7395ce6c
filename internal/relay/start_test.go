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

// Guards against requests that are counted twice for further attempts, or not at all, and against refused requests, and
// those without a workspace, that are counted.
func TestStartIsObservedOncePerRequest(t *testing.T) {
	type handler = func(c net.Conn, r *http.Request, first bool) bool
	refuse := func(c net.Conn, r *http.Request, _ bool) bool { return writeResponse(c, r, 429, "x", "Not-Run: 1") }
	answer := func(c net.Conn, r *http.Request, _ bool) bool { return writeResponse(c, r, 200, "good", "Seal: s") }
	loseFirst := func(c net.Conn, r *http.Request, first bool) bool { return !first && answer(c, r, false) }
	for name, c := range map[string]struct {
		method, path string
		handle       handler
		want         int32
	}{
		"call":                 {"POST", "/book/1", answer, 1},
		"call, lost":           {"POST", "/book/1", func(net.Conn, *http.Request, bool) bool { return false }, 1},
		"call, second attempt": {"GET", "/view/1", loseFirst, 1},
		"call, hedge": {"GET", "/view/1", func(c net.Conn, r *http.Request, first bool) bool {
			time.Sleep(map[bool]time.Duration{true: 700 * time.Millisecond}[first])
			return answer(c, r, first)
		}, 1},
		"call, refused once": {"POST", "/book/1", func(c net.Conn, r *http.Request, first bool) bool {
			return first && refuse(c, r, first) || answer(c, r, first)
		}, 1},
		"call, refused":                {"POST", "/book/1", refuse, 0},
		"call of no workspace":         {"GET", "/open/1", answer, 0},
		"stream, refused":              {"POST", "/draft/1", refuse, 0},
		"stream, failed without event": {"POST", "/draft/1", func(c net.Conn, r *http.Request, _ bool) bool { return writeResponse(c, r, 400, "x", "Seal: s") }, 0},
		"stream, lost before its first event": {"POST", "/draft/1", func(c net.Conn, r *http.Request, first bool) bool {
			if !first {
				writeEvents(c, r, 1, 4, true)
			}
			return !first
		}, 1},
		"stream that continues elsewhere": {"POST", "/draft/1", func(c net.Conn, r *http.Request, first bool) bool {
			if first {
				writeEvents(c, r, 1, 4, false)
				return false
			}
			writeEvents(c, r, 5, 9, true)
			return true
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts, observed atomic.Int32
			handle := func(conn net.Conn, r *http.Request, _ string) bool { return c.handle(conn, r, attempts.Add(1) == 1) }
			tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
			tr.relay.ObserveStart = func(now time.Time, workspace string) {
				if workspace != "w" || time.Since(now) > time.Second {
					t.Error("observed", workspace, now)
				}
				observed.Add(1)
			}
			for n := range 2 {
				tr.request(c.method, c.path, "", "Id", fmt.Sprint("r", n))
				attempts.Store(0)
			}
			// The loser of a hedge ends later.
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 2*c.want, observed.Load())
		})
	}
}
