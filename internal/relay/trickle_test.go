package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that never ends since its engine sends a byte of an unfinished header or event now and then.
func TestStreamOfSingleBytesIsGivenUp(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		for _, events := range []int{-1, 0, 2} {
			t.Run(fmt.Sprintf("every %v after %d events", pause, events), func(t *testing.T) {
				t.Parallel()
				begin, text := func(c net.Conn, r *http.Request) {
					writeStreamHeader(c, r)
					writeStreamEvents(c, 1, events, false)
				}, "1\r\n:\r\n"
				if events < 0 {
					begin, text = func(c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nName: ") }, "x"
				}
				stalled := startEndlessStub(t, begin, text, pause)
				sound := startStub(t, "e2", func(c net.Conn, r *http.Request, _ string) bool {
					first := 1
					if r.Header.Get("After") != "" {
						first = events + 1
					}
					writeEvents(c, r, first, 5, true)
					return true
				})
				tr := startRelay(t, stalled.engineStub, sound)
				for n := 0; stalled.sent.Load() == 0; n++ {
					require.Less(t, n, 50)
					got := tr.request("POST", "/draft/1", "", "Patience", "9s")
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, eventsText(1, 5), got.body)
				}
			})
		}
	}
}
