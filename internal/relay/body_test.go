package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the refusal of a body that is too large waiting for the rest of the body.
func TestTooLargeBodyIsRefusedAtOnce(t *testing.T) {
	for name, head := range map[string]string{
		"content length": "Content-Length: 3000\r\n\r\n" + strings.Repeat("x", 2000),
		"chunked":        "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t)
			c, err := net.Dial("tcp", r.callerAddress)
			require.NoError(t, err)
			defer c.Close()
			// The limit is 1 KiB.
			fmt.Fprint(c, "POST /view/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: k\r\n"+head)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, "no answer although the body is known to be too large")
			require.True(t, res.Close)
		})
	}
}
