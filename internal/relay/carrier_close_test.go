package relay

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
)

// startLateCarrier forwards connections to a carrier, to which it passes the end of each one late.
func startLateCarrier(t *testing.T, address netip.AddrPort, delay time.Duration) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			carrier, err := net.Dial("tcp", address.String())
			if err != nil {
				_ = c.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(c, carrier)
				_ = c.Close()
			}()
			go func() {
				_, _ = io.Copy(carrier, c)
				time.Sleep(delay)
				_ = carrier.(*net.TCPConn).CloseWrite()
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a stream that goes on at another engine while the one before still works on it, since the carrier of its
// connection has not passed on the close.
func TestStreamGoesOnOnceItsCarrierHasClosed(t *testing.T) {
	for name, c := range map[string]struct {
		delay    time.Duration
		overlaps bool
	}{
		"late carrier":   {carrierCloseTimeout / 2, false},
		"silent carrier": {10 * carrierCloseTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			begun, ended := make(chan string, 1), make(chan struct{})
			overlapped := make(chan bool, 1)
			handle := func(c net.Conn, r *http.Request, _ string) bool {
				if runs.Add(1) == 1 {
					begun <- r.Header.Get("Expect-Target")
					_, _ = c.Read(make([]byte, 1))
					close(ended)
					return false
				}
				select {
				case <-ended:
					overlapped <- false
				case <-time.After(carrierCloseTimeout / 10):
					overlapped <- true
				}
				writeEvents(c, r, 1, 4, true)
				return true
			}
			f := startFleet(t, 2, []*engineStub{startStub(t, "e0", handle), startStub(t, "e1", handle)})
			f.carriers[1].Address = startLateCarrier(t, f.carriers[1].Address, c.delay)
			f.cut(0, cutSilent, []int{0, 1})
			responses := make(chan callerResponse, 1)
			go func() { responses <- f.relays[0].request("POST", "/draft/1", "prompt") }()
			first := <-begun
			for _, instance := range []string{"i2", "i3"} {
				f.relays[0].relay.Targets.ApplyRemoteProgress(time.Now(), instance, gossip.Progress{SilentTargets: []string{first}})
			}
			require.Equal(t, c.overlaps, <-overlapped)
			require.Equal(t, eventsText(1, 4), (<-responses).body)
			require.Equal(t, c.overlaps, strings.Contains(f.relays[0].log.String(), "close_unconfirmed"))
		})
	}
}
