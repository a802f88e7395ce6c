package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// TestCutHealthAnswerNamesNoIncarnation guards against a health answer that breaks off and is taken for the statement of
// which incarnation is at an address.
func TestCutHealthAnswerNamesNoIncarnation(t *testing.T) {
	for length, ok := range map[int]bool{2: true, 3: false} {
		stub := startStub(t, "e1", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 S\r\nTarget: e2\r\nContent-Length: %d\r\n\r\nok", length)
			return false
		})
		tr := startRelay(t, stub)
		tr.relay.init()
		target := route.Target{ID: "e1", Pool: "p", Address: stub.address, DataCentre: "a"}
		id, err := tr.relay.incarnationAt(t.Context(), tr.relay.Targets.pool("p"), target)
		require.Equal(t, ok, err == nil, "length %d: %v", length, err)
		require.Equal(t, ok, id == "e2", "length %d: %q", length, id)
	}
}
