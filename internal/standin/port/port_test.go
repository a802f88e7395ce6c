package port

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReservedPortIsGivenToNobodyElse guards against a stand-in whose port another program gets while the stand-in
// does not listen.
func TestReservedPortIsGivenToNobodyElse(t *testing.T) {
	address, release, err := Reserve()
	require.NoError(t, err)
	defer func() { require.NoError(t, release()) }()
	for range 3 {
		_, err = net.DialTimeout("tcp", address.String(), time.Second)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)

		ln, err := net.Listen("tcp", address.String())
		require.NoError(t, err)
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.NoError(t, ln.Close())

		var others []net.Listener
		for range 5000 {
			other, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			require.NotEqual(t, address.String(), other.Addr().String())
			others = append(others, other)
		}
		for _, other := range others {
			require.NoError(t, other.Close())
		}
	}
}
