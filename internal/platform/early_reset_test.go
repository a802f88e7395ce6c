package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/responder"
)

// TestResetDuringSwapIsTheEndOfTheAnswer guards against a write that counts as acknowledged although the service has reset
// the connection before it read the value.
func TestResetDuringSwapIsTheEndOfTheAnswer(t *testing.T) {
	s := &responder.Responder{Answer: func(*http.Request) string { return "HTTP/1.1 200 S\r\n\r\n{\"version\":9}" }}
	address, err := s.Start()
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	c := &Client{Address: address, HTTP: NewHTTPClient(), Timeout: 5 * time.Second}
	for range 10 {
		version, err := c.CompareAndSwap(t.Context(), "k", 8, make([]byte, 8<<20))
		require.Error(t, err, "version %d", version)
	}
}
