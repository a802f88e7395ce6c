package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Text is a message that must not be empty.
type Text struct{ S string }

// Check refuses an empty text.
func (x *Text) Check() error {
	if x.S == "" {
		return errors.New("text is empty")
	}
	return nil
}

// Echo counts its calls and answers with what it got.
type Echo struct {
	calls atomic.Int64
	hold  chan struct{}
}

// Say answers at once.
func (e *Echo) Say(in, out *Text) error { e.calls.Add(1); out.S = in.S; return nil }

// Wait answers when it is told to.
func (e *Echo) Wait(in, out *Text) error { <-e.hold; out.S = in.S; return nil }

func start(t *testing.T, keys *Identity, edit func(*Network)) (*Network, *Echo, func()) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, ln, keys, edit)
}

func serveOn(t *testing.T, ln net.Listener, keys *Identity, edit func(*Network)) (*Network, *Echo, func()) {
	n := &Network{Listener: ln, DialTimeout: time.Second}
	if keys != nil {
		n.TLS = keys.TLSConfig
	}
	if edit != nil {
		edit(n)
	}
	e := &Echo{hold: make(chan struct{}, 100)}
	require.NoError(t, n.Register("Echo", e))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return n, e, stop
}

func say(n *Network, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	out := &Text{}
	err := n.Call(ctx, to, "Echo.Say", &Text{"hello"}, out)
	if err == nil && out.S != "hello" {
		return errors.New("wrong answer")
	}
	return err
}

func sent(t *testing.T, err error) bool {
	c := (*CallError)(nil)
	require.True(t, errors.As(err, &c), "%v", err)
	return c.MaybeSent
}

// TestLinks guards against links that are not authenticated on both sides, and against a rotation that needs a restart.
func TestLinks(t *testing.T) {
	old, fresh, foreign := newAuthority(t, "old"), newAuthority(t, "new"), newAuthority(t, "foreign")
	ours := old.identity(t, old)
	a, _, _ := start(t, ours, nil)
	for _, c := range []struct {
		name string
		keys *Identity
		ok   bool
	}{
		{"same CA", old.identity(t, old), true},
		{"caller of a foreign CA", foreign.identity(t, old), false},
		{"caller does not trust our CA", old.identity(t, foreign), false},
		{"plain caller", nil, false},
	} {
		b, _, _ := start(t, c.keys, nil)
		err := say(b, a.Address())
		require.Equal(t, c.ok, err == nil, "%s: %v", c.name, err)
	}
	b, _, _ := start(t, fresh.identity(t, old, fresh), nil)
	require.Error(t, say(b, a.Address()))
	time.Sleep(10 * time.Millisecond)
	old.write(t, ours, old, fresh)
	require.NoError(t, say(b, a.Address()), "the changed CA file must be in force without a restart")
	require.NoError(t, os.WriteFile(ours.CertFile, []byte("half a file"), 0o600))
	c, _, _ := start(t, fresh.identity(t, old, fresh), nil)
	require.NoError(t, say(c, a.Address()), "a damaged file must not replace the keys in use")
}

// TestSent guards against a call that is said not to have left although it may have, or the reverse.
func TestSent(t *testing.T) {
	a, e, stop := start(t, nil, nil)
	b, _, _ := start(t, nil, nil)
	to := a.Address()
	require.NoError(t, say(b, to))
	stop()
	// The kept link is dead now; nothing listens at the address.
	require.Eventually(t, func() bool { err := say(b, to); return err != nil && !sent(t, err) }, 2*time.Second, 10*time.Millisecond)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", to.String())
	require.NoError(t, err)
	_, e, _ = serveOn(t, ln, nil, nil)
	require.NoError(t, say(b, to))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err = b.Call(ctx, to, "Echo.Wait", &Text{"x"}, &Text{})
	require.True(t, sent(t, err), "a call that awaits its answer has left")
	e.hold <- struct{}{}
	require.ErrorIs(t, err, context.DeadlineExceeded)
	// A message that cannot be encoded never leaves.
	err = b.Call(t.Context(), to, "Echo.Say", func() {}, &Text{})
	require.False(t, sent(t, err))
	require.NoError(t, say(b, to))
}

// TestDeadLink guards against a call that fails only because a kept link was closed while it was idle.
func TestDeadLink(t *testing.T) {
	a, _, stop := start(t, nil, nil)
	b, _, _ := start(t, nil, nil)
	to := a.Address()
	require.NoError(t, say(b, to))
	stop()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", to.String())
	require.NoError(t, err)
	serveOn(t, ln, nil, nil)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, say(b, to))
}

// TestSlowCall guards against a slow call whose end breaks the other calls on its link.
func TestSlowCall(t *testing.T) {
	a, e, _ := start(t, nil, nil)
	b, _, _ := start(t, nil, nil)
	long := make(chan error, 1)
	go func() { long <- b.Call(context.Background(), a.Address(), "Echo.Wait", &Text{"x"}, &Text{}) }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, b.Call(ctx, a.Address(), "Echo.Wait", &Text{"x"}, &Text{}))
	e.hold <- struct{}{}
	e.hold <- struct{}{}
	require.NoError(t, <-long)
}

// TestHostile guards against messages that change something or keep the link although they break the rules.
func TestHostile(t *testing.T) {
	gobs := func(values ...any) []byte {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		for _, v := range values {
			require.NoError(t, enc.Encode(v))
		}
		return b.Bytes()
	}
	head := &rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"length of a gigabyte", []byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 1, 2}},
		{"oversized text", gobs(head, &Text{string(make([]byte, 5000))})},
		{"refused by its check", gobs(head, &Text{""})},
		{"wrong type", gobs(head, 7)},
	} {
		a, e, _ := start(t, nil, func(n *Network) { n.MaxMessage = 4096 })
		conn, err := net.Dial("tcp", a.Address().String())
		require.NoError(t, err)
		_, err = conn.Write(c.data)
		require.NoError(t, err)
		if c.name == "noise" {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.Copy(io.Discard, conn)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s: the link must be closed", c.name)
		require.Zero(t, e.calls.Load(), c.name)
		require.NoError(t, conn.Close())
	}
}

// TestOversizedCall guards against a call that a caller sends although no peer takes it.
func TestOversizedCall(t *testing.T) {
	a, e, _ := start(t, nil, nil)
	b, _, _ := start(t, nil, func(n *Network) { n.MaxMessage = 4096 })
	err := b.Call(t.Context(), a.Address(), "Echo.Say", &Text{string(make([]byte, 5000))}, &Text{})
	require.False(t, sent(t, err))
	require.Zero(t, e.calls.Load())
	require.NoError(t, say(b, a.Address()))
}

// TestMaxTaken guards against connections without a bound.
func TestMaxTaken(t *testing.T) {
	a, _, _ := start(t, nil, func(n *Network) { n.MaxInbound = 1 })
	b, _, _ := start(t, nil, nil)
	c, _, _ := start(t, nil, nil)
	require.NoError(t, say(b, a.Address()))
	require.Error(t, say(c, a.Address()))
	require.NoError(t, say(b, a.Address()))
}

// TestPlain guards against a plain link that leaves the machine.
func TestPlain(t *testing.T) {
	b, _, _ := start(t, nil, nil)
	err := say(b, netip.MustParseAddrPort("192.0.2.1:7000"))
	var p *PlaintextError
	require.True(t, errors.As(err, &p))
	require.False(t, sent(t, err))
}

// TestStalledHandshake guards against callers that hold connections without ever proving who they are.
func TestStalledHandshake(t *testing.T) {
	ca := newAuthority(t, "ca")
	a, _, _ := start(t, ca.identity(t, ca), func(n *Network) { n.DialTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", a.Address().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.EqualValues(t, tls.VersionTLS13, ca.identity(t, ca).TLSConfig().MinVersion)
}

// FuzzMessage guards against bytes of a peer that crash the decoder or are read past the limit.
func FuzzMessage(f *testing.F) {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	_ = enc.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1})
	_ = enc.Encode(&Text{"hello"})
	f.Add(b.Bytes())
	f.Add([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newCoder(rw{bytes.NewReader(data)}, 1<<10)
		var r rpc.Request
		if c.head(&r) != nil {
			return
		}
		x := &Text{}
		if c.body(x) == nil {
			require.NotEmpty(t, x.S)
			require.LessOrEqual(t, len(x.S), 1<<10)
		}
	})
}

type rw struct{ io.Reader }

func (rw) Write(p []byte) (int, error) { return len(p), nil }
func (rw) Close() error                { return nil }
