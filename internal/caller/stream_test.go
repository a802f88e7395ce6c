package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndlessErrorResponse guards against an error response without end that is read until the caller has no memory left.
func TestEndlessErrorResponse(t *testing.T) {
	sent, done := 0, make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		w.WriteHeader(http.StatusBadGateway)
		_, err := io.WriteString(w, `{"error":{"code":"`)
		for text := strings.Repeat("x", 64<<10); err == nil && sent < 64<<20; sent += len(text) {
			_, err = io.WriteString(w, text)
		}
	}))
	defer s.Close()
	_, err := Completion{Instances: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}}.Stream(t.Context())
	require.ErrorContains(t, err, "status 502")
	<-done
	require.Less(t, sent, 2*maxCallResponseBytes)
}
