package socket

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/responder"
)

// uploadBytes is more than the kernel's buffers of a connection hold.
const uploadBytes = 8 << 20

// TestResetIsReadAsEnd guards against the reset of a connection that a write meets first, and that a read reports as the
// end of what the other end has sent.
func TestResetIsReadAsEnd(t *testing.T) {
	for name, endsBytes := range map[string]bool{"reset": false, "end, then reset": true} {
		t.Run(name, func(t *testing.T) {
			s := &responder.Responder{Answer: func(*http.Request) string { return "answer" }, EndsBytes: endsBytes}
			address, err := s.Start()
			require.NoError(t, err)
			defer func() { require.NoError(t, s.Close()) }()
			for _, concurrent := range []bool{false, true} {
				for range 20 {
					data, err := exchange(t, address.String(), concurrent)
					if endsBytes {
						require.NoError(t, err)
					} else {
						require.Error(t, err, "concurrent: %v", concurrent)
					}
					require.Equal(t, "answer", string(data))
				}
			}
		})
	}
}

// exchange sends a long request and reads until the end, or also while it writes.
func exchange(t *testing.T, address string, concurrent bool) ([]byte, error) {
	c, err := (&Dialer{Dialer: net.Dialer{Timeout: time.Second}}).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	var group sync.WaitGroup
	defer group.Wait()
	write := func() {
		_, _ = io.Copy(c, strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"+strings.Repeat("x", uploadBytes)))
	}
	if concurrent {
		group.Go(write)
	} else {
		write()
	}
	return io.ReadAll(c)
}

// TestHalfClosedConnectionIsReadToItsEnd guards against a read that waits for a blocked write after the other end has ended
// its bytes.
func TestHalfClosedConnectionIsReadToItsEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = io.WriteString(c, "answer")
			_ = c.(*net.TCPConn).CloseWrite()
			accepted <- c
		}
	}()
	c, err := (&Dialer{}).DialContext(context.Background(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	var group sync.WaitGroup
	group.Go(func() { _, _ = c.Write(make([]byte, 4*uploadBytes)) })
	defer group.Wait()
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer", string(data))
	require.NoError(t, (<-accepted).Close())
}
