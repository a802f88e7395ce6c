package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a failure without proof of origin whose body has no end and is passed on.
func TestEndlessUnsealedFailure(t *testing.T) {
	begin := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
	}
	endless := startEndlessStub(t, begin, strings.Repeat("x", 4<<10), 0)
	tr := startRelay(t, endless.engineStub)
	got := tr.request("POST", "/book/1", "")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Contains(t, got.body, `"code":"bad_answer","outcome":"unknown"`)
}
