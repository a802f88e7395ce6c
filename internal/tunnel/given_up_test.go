package tunnel

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/socket"
)

// smallWindow makes targets receive little before they read.
var smallWindow = &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
}}

// Guards against a target that begins a request after the caller's instance gave it up, since the carrier still delivers
// what the paused target had not read.
func TestCarrierDropsWhatIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		size, writeBuffer int
		giveUp            func(c net.Conn)
	}{
		"buffered and closed": {55 << 10, 0, func(c net.Conn) { _ = c.Close() }},
		"blocked and closed":  {55 << 10, 4 << 10, func(c net.Conn) { _ = c.Close() }},
		"blocked and reset":   {8 << 20, 4 << 10, reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn, received := make(chan struct{}), make(chan int64, 1)
			carrier := startCarrier(t, startTargetOf(t, smallWindow, func(c *net.TCPConn) {
				<-goOn
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				n, _ := io.Copy(io.Discard, c)
				received <- n
				_ = c.Close()
			}))
			connect := carrier.Connect
			carrier.Connect = func(ctx context.Context, name string, confirm bool) (net.Conn, error) {
				target, err := connect(ctx, name, confirm)
				if err == nil && c.writeBuffer > 0 {
					err = target.(*socket.Conn).SetWriteBuffer(c.writeBuffer)
				}
				return target, err
			}
			conn := dial(t, carrier)
			_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			// It ends at the deadline if the buffers on the way are full.
			_, _ = conn.Write(make([]byte, c.size))
			time.Sleep(100 * time.Millisecond)
			c.giveUp(conn.Conn)
			require.Eventually(t, func() bool { return carrier.Open() == 0 }, 400*time.Millisecond, 5*time.Millisecond, "the carrier still has the target's connection")
			close(goOn)
			require.Less(t, <-received, int64(c.size))
		})
	}
}
