package platform

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/responder"
)

// requireNoAnswer checks that a header is not that of an answer of the service.
func requireNoAnswer(t *testing.T, head string) {
	t.Helper()
	const body = `{"version":9}`
	s := &responder.Responder{Answer: func(*http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}}
	address, err := s.Start()
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	c := &Client{Address: address, HTTP: NewHTTPClient(), Timeout: 5 * time.Second}
	_, err = c.Get(t.Context(), "k")
	require.Error(t, err, head)
	require.NotErrorAs(t, err, new(*StatusError), head)
	_, err = c.CompareAndSwap(t.Context(), "k", 8, []byte("v"))
	require.Error(t, err, head)
	require.NotErrorAs(t, err, new(*ConflictError), head)
}

// TestStatusOutsideHTTPIsNoAnswer guards against a header with a status below 100 that is taken for an answer.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	requireNoAnswer(t, "000 S")
	requireNoAnswer(t, "099 S")
}

// TestInvalidFieldNameIsNoAnswer guards against a header in which the name of a field holds a blank or a control byte, and
// that is taken for that of an answer.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, head := range []string{"200 S\r\nX Note: a", "200 S\r\nX-Note : a", "200 S\r\nX\x01Note: a", "409 S\r\nX Note: a"} {
		requireNoAnswer(t, head)
	}
}
