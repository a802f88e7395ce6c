package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/route"
)

// pausedStub reads nothing of its first connection until goOn is closed, and reports then whether it got a whole request.
type pausedStub struct {
	*engineStub
	accepted, goOn chan struct{}
	began          chan bool
}

// startPausedStub starts a stub whose receive window is smaller than a long prompt.
func startPausedStub(t *testing.T, id string) *pausedStub {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &pausedStub{engineStub: &engineStub{id: id, address: ln.Addr().(*net.TCPAddr).AddrPort()}, accepted: make(chan struct{}), goOn: make(chan struct{}), began: make(chan bool, 1)}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		close(s.accepted)
		<-s.goOn
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		s.began <- err == nil
	}()
	return s
}

// Guards against an engine that begins a request after it was given up, since the kernel still delivers what the engine
// had not read.
func TestRequestIsNotDeliveredOnceGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		path, patience string
		giveUp         func(tr *testRelay, leave context.CancelFunc)
	}{
		"lost by others": {"/draft/1", "4s", func(tr *testRelay, _ context.CancelFunc) {
			for _, instance := range []string{"i2", "i3"} {
				tr.relay.Targets.ApplyRemoteProgress(time.Now(), instance, gossip.Progress{SilentTargets: []string{"e1"}})
			}
		}},
		"caller left": {"/draft/1", "4s", func(_ *testRelay, leave context.CancelFunc) { leave() }},
		"deadline":    {"/book/1", "300ms", func(*testRelay, context.CancelFunc) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			paused := startPausedStub(t, "e1")
			tr := startRelay(t, paused.engineStub)
			table := route.NewTable(2, route.Limits{MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute}, testRoutes, []route.Pool{{Name: "p", HealthPath: "/health", Model: &route.EngineSpec{Slots: 8, MemoryTokens: 1000}}}, map[string]*route.Workspace{"k": {Name: "w"}})
			TableKey.Put(tr.relay.Board, table)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tr.callerAddress+c.path, strings.NewReader(strings.Repeat("x", 55<<10)))
			require.NoError(t, err)
			httpReq.Host = "h.example"
			httpReq.Header = http.Header{"Id": {"a"}, "Key": {"k"}, "Patience": {c.patience}}
			go func() {
				if res, err := http.DefaultTransport.RoundTrip(httpReq); err == nil {
					_ = res.Body.Close()
				}
			}()
			<-paused.accepted
			other := startStub(t, "e2", func(conn net.Conn, r *http.Request, _ string) bool { writeEvents(conn, r, 1, 2, true); return true })
			tr.relay.Targets.Update(time.Now(), table, map[string][]route.Target{"p": {
				{ID: "e1", Pool: "p", Address: paused.address, DataCentre: "a", Slots: 8}, {ID: "e2", Pool: "p", Address: other.address, DataCentre: "b", Slots: 8},
			}})
			time.Sleep(100 * time.Millisecond)
			c.giveUp(tr, leave)
			require.Eventually(t, func() bool {
				return len(tr.log.reasons(t, "attempt_lost")) > 0
			}, 3*time.Second, 5*time.Millisecond)
			close(paused.goOn)
			require.False(t, <-paused.began, "the engine got the whole request that was given up: %s", tr.log)
		})
	}
}
