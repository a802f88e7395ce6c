package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopReturnsContextError guards against a graceful stop that is reported as a listener error.
func TestStopReturnsContextError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	n := &Network{Listener: ln, DialTimeout: time.Second}
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}
