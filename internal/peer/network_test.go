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

// Check rejects an empty text.
func (x *Text) Check() error {
	if x.S == "" {
		return errors.New("text is empty")
	}
	return nil
}

// Echo counts its calls and returns its argument.
type Echo struct {
	calls   atomic.Int64
	release chan struct{}
}

// Say returns immediately.
func (e *Echo) Say(in, out *Text) error { e.calls.Add(1); out.S = in.S; return nil }

// Wait returns when the test releases it.
func (e *Echo) Wait(in, out *Text) error { <-e.release; out.S = in.S; return nil }

func startNetwork(t *testing.T, keys *Identity, edit func(*Network)) (*Network, *Echo, func()) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startNetworkOn(t, ln, keys, edit)
}

func startNetworkOn(t *testing.T, ln net.Listener, keys *Identity, edit func(*Network)) (*Network, *Echo, func()) {
	n := &Network{Listener: ln, DialTimeout: time.Second}
	if keys != nil {
		n.TLS = keys.TLSConfig
	}
	if edit != nil {
		edit(n)
	}
	e := &Echo{release: make(chan struct{}, 100)}
	require.NoError(t, n.Register("Echo", e))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return n, e, stop
}

func callEcho(n *Network, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	out := &Text{}
	err := n.Call(ctx, to, "Echo.Say", &Text{"hello"}, out)
	if err == nil && out.S != "hello" {
		return errors.New("wrong response")
	}
	return err
}

func maybeSent(t *testing.T, err error) bool {
	c := (*CallError)(nil)
	require.True(t, errors.As(err, &c), "%v", err)
	return c.MaybeSent
}

// TestMutualAuthenticationAndRotation guards against links that are not authenticated on both sides,
// and against a key rotation that needs a restart.
func TestMutualAuthenticationAndRotation(t *testing.T) {
	oldCA, newCA, untrustedCA := newTestCA(t, "old"), newTestCA(t, "new"), newTestCA(t, "foreign")
	keys := oldCA.newIdentity(t, oldCA)
	a, _, _ := startNetwork(t, keys, nil)
	for _, c := range []struct {
		name string
		keys *Identity
		ok   bool
	}{
		{"same CA", oldCA.newIdentity(t, oldCA), true},
		{"caller signed by an untrusted CA", untrustedCA.newIdentity(t, oldCA), false},
		{"caller does not trust our CA", oldCA.newIdentity(t, untrustedCA), false},
		{"unencrypted caller", nil, false},
	} {
		b, _, _ := startNetwork(t, c.keys, nil)
		err := callEcho(b, a.Address())
		require.Equal(t, c.ok, err == nil, "%s: %v", c.name, err)
	}
	b, _, _ := startNetwork(t, newCA.newIdentity(t, oldCA, newCA), nil)
	require.Error(t, callEcho(b, a.Address()))
	time.Sleep(10 * time.Millisecond)
	oldCA.writeKeyFiles(t, keys, oldCA, newCA)
	require.NoError(t, callEcho(b, a.Address()), "the changed CA file must take effect without a restart")
	require.NoError(t, os.WriteFile(keys.CertFile, []byte("half a file"), 0o600))
	c, _, _ := startNetwork(t, newCA.newIdentity(t, oldCA, newCA), nil)
	require.NoError(t, callEcho(c, a.Address()), "a damaged file must not replace the keys in use")
}

// TestMaybeSent guards against a request that is reported as not sent although it may have been, or the reverse.
func TestMaybeSent(t *testing.T) {
	a, e, stop := startNetwork(t, nil, nil)
	b, _, _ := startNetwork(t, nil, nil)
	to := a.Address()
	require.NoError(t, callEcho(b, to))
	stop()
	// The existing link is dead now, and nothing listens at the address.
	require.Eventually(t, func() bool { err := callEcho(b, to); return err != nil && !maybeSent(t, err) }, 2*time.Second, 10*time.Millisecond)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", to.String())
	require.NoError(t, err)
	_, e, _ = startNetworkOn(t, ln, nil, nil)
	require.NoError(t, callEcho(b, to))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err = b.Call(ctx, to, "Echo.Wait", &Text{"x"}, &Text{})
	require.True(t, maybeSent(t, err), "a call that awaits its response was sent")
	e.release <- struct{}{}
	require.ErrorIs(t, err, context.DeadlineExceeded)
	// A message that cannot be encoded is never sent.
	err = b.Call(t.Context(), to, "Echo.Say", func() {}, &Text{})
	require.False(t, maybeSent(t, err))
	require.NoError(t, callEcho(b, to))
}

// TestDeadIdleLinkIsReplaced guards against a call that fails only because its link was closed while idle.
func TestDeadIdleLinkIsReplaced(t *testing.T) {
	a, _, stop := startNetwork(t, nil, nil)
	b, _, _ := startNetwork(t, nil, nil)
	to := a.Address()
	require.NoError(t, callEcho(b, to))
	stop()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", to.String())
	require.NoError(t, err)
	startNetworkOn(t, ln, nil, nil)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, callEcho(b, to))
}

// TestTimedOutCallKeepsLink guards against a timed-out call that breaks the other calls on its link.
func TestTimedOutCallKeepsLink(t *testing.T) {
	a, e, _ := startNetwork(t, nil, nil)
	b, _, _ := startNetwork(t, nil, nil)
	slowCall := make(chan error, 1)
	go func() { slowCall <- b.Call(context.Background(), a.Address(), "Echo.Wait", &Text{"x"}, &Text{}) }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, b.Call(ctx, a.Address(), "Echo.Wait", &Text{"x"}, &Text{}))
	e.release <- struct{}{}
	e.release <- struct{}{}
	require.NoError(t, <-slowCall)
}

// TestInvalidMessageClosesLink guards against invalid messages that reach a method or leave the link open.
func TestInvalidMessageClosesLink(t *testing.T) {
	encodeGobs := func(values ...any) []byte {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		for _, v := range values {
			require.NoError(t, enc.Encode(v))
		}
		return b.Bytes()
	}
	header := &rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"noise", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"length of a gigabyte", []byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 1, 2}},
		{"oversized text", encodeGobs(header, &Text{string(make([]byte, 5000))})},
		{"rejected by Check", encodeGobs(header, &Text{""})},
		{"wrong type", encodeGobs(header, 7)},
	} {
		a, e, _ := startNetwork(t, nil, func(n *Network) { n.MaxMessage = 4096 })
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

// TestOversizedCall guards against sending a request that exceeds the limit and that no peer accepts.
func TestOversizedCall(t *testing.T) {
	a, e, _ := startNetwork(t, nil, nil)
	b, _, _ := startNetwork(t, nil, func(n *Network) { n.MaxMessage = 4096 })
	err := b.Call(t.Context(), a.Address(), "Echo.Say", &Text{string(make([]byte, 5000))}, &Text{})
	require.False(t, maybeSent(t, err))
	require.Zero(t, e.calls.Load())
	require.NoError(t, callEcho(b, a.Address()))
}

// TestMaxInbound guards against an unlimited number of inbound connections.
func TestMaxInbound(t *testing.T) {
	a, _, _ := startNetwork(t, nil, func(n *Network) { n.MaxInbound = 1 })
	b, _, _ := startNetwork(t, nil, nil)
	c, _, _ := startNetwork(t, nil, nil)
	require.NoError(t, callEcho(b, a.Address()))
	require.Error(t, callEcho(c, a.Address()))
	require.NoError(t, callEcho(b, a.Address()))
}

// TestPlaintextBeyondLoopbackIsRefused guards against an unencrypted link that leaves the machine.
func TestPlaintextBeyondLoopbackIsRefused(t *testing.T) {
	b, _, _ := startNetwork(t, nil, nil)
	err := callEcho(b, netip.MustParseAddrPort("192.0.2.1:7000"))
	var p *PlaintextError
	require.True(t, errors.As(err, &p))
	require.False(t, maybeSent(t, err))
}

// TestStalledHandshake guards against callers that occupy connections without completing the handshake.
func TestStalledHandshake(t *testing.T) {
	ca := newTestCA(t, "ca")
	a, _, _ := startNetwork(t, ca.newIdentity(t, ca), func(n *Network) { n.DialTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", a.Address().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.EqualValues(t, tls.VersionTLS13, ca.newIdentity(t, ca).TLSConfig().MinVersion)
}

// FuzzMessage guards against input that crashes the decoder or is read past the size limit.
func FuzzMessage(f *testing.F) {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	_ = enc.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1})
	_ = enc.Encode(&Text{"hello"})
	f.Add(b.Bytes())
	f.Add([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newGobConn(readOnlyConn{bytes.NewReader(data)}, 1<<10)
		var r rpc.Request
		if c.readHeader(&r) != nil {
			return
		}
		x := &Text{}
		if c.readBody(x) == nil {
			require.NotEmpty(t, x.S)
			require.LessOrEqual(t, len(x.S), 1<<10)
		}
	})
}

type readOnlyConn struct{ io.Reader }

func (readOnlyConn) Write(p []byte) (int, error) { return len(p), nil }
func (readOnlyConn) Close() error                { return nil }
