package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call to a method that the other build does not have, which breaks the other calls on its link or has no end.
func TestUnknownMethodKeepsLink(t *testing.T) {
	a, e, _ := startNetwork(t, nil, nil)
	b, _, _ := startNetwork(t, nil, nil)
	slowCall := make(chan error, 1)
	go func() { slowCall <- b.Call(t.Context(), a.Address(), "Echo.Wait", &Text{"x"}, &Text{}) }()
	startedAt := time.Now()
	require.Error(t, b.Call(t.Context(), a.Address(), "Echo.Later", &Text{"x"}, &Text{}))
	require.Less(t, time.Since(startedAt), time.Second)
	require.NoError(t, callEcho(b, a.Address()))
	e.release <- struct{}{}
	require.NoError(t, <-slowCall)
}
