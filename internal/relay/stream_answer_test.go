package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that ends for its caller without a status line though nothing was passed on.
func TestStreamWithoutEventsEndsWithAnAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"junk": strings.Repeat("x", 1<<10), "closed": "", "bad id": "8\r\nid: no\n\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
				writeStreamHeader(c, r)
				_, _ = fmt.Fprint(c, text)
				return false
			})
			tr := startRelay(t, e)
			got := tr.request("POST", "/once/1", "")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
			require.Contains(t, got.body, `"outcome":"unknown"`)
			require.Empty(t, got.header.Get("Seal"))
		})
	}
}
