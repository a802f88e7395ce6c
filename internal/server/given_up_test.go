package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/caller"
	"bambooferry.example/bambooferry/internal/server"
)

// Guards against an engine that begins a request after its stream has ended at another one, since the kernel still
// delivers what the engine had not read.
func TestRequestIsNotDeliveredOnceGivenUp(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	sound := fastEngine{tokenBytes: 12}
	in := startInstance(t, server.DefaultLimits(), netip.MustParseAddrPort(ln.Addr().String()), startEngine(t, sound))
	for n := range 6 {
		c := caller.Completion{APIKey: testKey, Model: testModel, Prompt: strings.Repeat("x", 55<<10+n), Tokens: 5, Instances: []netip.AddrPort{in.Address()}, MaxAttempts: 1}
		got, err := c.Stream(t.Context())
		require.NoError(t, err)
		require.Equal(t, sound.expectedAnswer(c.Prompt, c.Tokens), got.Text)
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(300*time.Millisecond)))
	posts := 0
	for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil && r.Method == http.MethodPost {
			posts++
			_, err = io.Copy(io.Discard, r.Body)
			require.Error(t, err, "the engine got a whole request")
		}
		_ = conn.Close()
	}
	require.Positive(t, posts, "no request was sent to the paused engine")
}
