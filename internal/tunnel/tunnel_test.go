package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bambooferry.example/bambooferry/internal/socket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startTarget serves each connection with a function.
func startTarget(t *testing.T, serve func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	return startTargetOf(t, &net.ListenConfig{}, serve)
}

func startTargetOf(t *testing.T, config *net.ListenConfig, serve func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// testCarrier is a server with one target, "e1".
type testCarrier struct {
	*Server
	address netip.AddrPort
	stop    func()
}

func startCarrier(t *testing.T, target netip.AddrPort) *testCarrier {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{
		Listener: ln, MaxTunnels: 4, IsMember: func(instance, key string) bool { return instance == "i1" && key == "k1" },
		Connect: func(ctx context.Context, name string, _ bool) (net.Conn, error) {
			switch name {
			case "e1":
				return (&socket.Dialer{}).DialContext(ctx, "tcp", target.String())
			case "cut":
				return nil, ErrLinksLost
			case "refuses":
				return nil, syscall.ECONNREFUSED
			case "silent":
				return nil, context.DeadlineExceeded
			}
			return nil, ErrUnknownTarget
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return &testCarrier{Server: s, address: ln.Addr().(*net.TCPAddr).AddrPort(), stop: stop}
}

var member = &Dialer{Instance: "i1", Key: "k1"}

func dial(t *testing.T, c *testCarrier) *Conn {
	t.Helper()
	conn, err := member.Dial(t.Context(), c.address, "e1", false)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echo(c *net.TCPConn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// Guards against bytes that are changed or lost on their way, also in pieces of any size.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	conn := dial(t, startCarrier(t, startTarget(t, echo)))
	sent := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	go func() {
		for rest := sent; len(rest) > 0; {
			n := min(len(rest), 7001)
			if _, err := conn.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = conn.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Write([]byte("more"))
	require.NoError(t, err)
	n, err := conn.Read(got)
	require.NoError(t, err, "a timeout leaves the connection usable")
	require.Equal(t, "more", string(got[:n]))
}

// Guards against an answer without length that looks complete though its end was lost.
func TestEndOfAnswerIsNotMistaken(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(c *net.TCPConn)
		check func(t *testing.T, err error)
	}{
		"complete": {func(c *net.TCPConn) {
			_, _ = c.Write([]byte("answer"))
			_ = c.Close()
		}, func(t *testing.T, err error) { require.NoError(t, err) }},
		"reset": {func(c *net.TCPConn) {
			_, _ = c.Write([]byte("answer"))
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}, func(t *testing.T, err error) {
			lost := (*TargetLostError)(nil)
			require.ErrorAs(t, err, &lost)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := io.ReadAll(dial(t, startCarrier(t, startTarget(t, c.serve))))
			c.check(t, err)
			require.Equal(t, "answer", string(got))
		})
	}
	t.Run("carrier ends", func(t *testing.T) {
		carrier := startCarrier(t, startTarget(t, func(c *net.TCPConn) { _, _ = c.Write([]byte("answer")); echo(c) }))
		conn := dial(t, carrier)
		_, err := io.ReadFull(conn, make([]byte, 6))
		require.NoError(t, err)
		carrier.stop()
		_, err = conn.Read(make([]byte, 1))
		lost := (*CarrierError)(nil)
		require.ErrorAs(t, err, &lost, "the loss of the carrier says nothing about the target")
		require.NotErrorIs(t, err, io.EOF)
	})
}

// Guards against an answer that is lost because its target did not read the whole request.
func TestAnswerBeforeTheRequestIsRead(t *testing.T) {
	conn := dial(t, startCarrier(t, startTarget(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 10))
		_, _ = c.Write([]byte("early"))
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
	})))
	_, err := conn.Write(make([]byte, 64<<10))
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "early", string(got))
}

// Guards against a target that goes on working for an instance that has left.
func TestTargetIsClosedWithTheTunnel(t *testing.T) {
	closed := make(chan struct{})
	conn := dial(t, startCarrier(t, startTarget(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		close(closed)
	})))
	require.NoError(t, conn.Close())
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the target's connection is still open")
	}
}

// Guards against connections to anything but known targets, and for anyone but listed instances.
func TestTunnelIsRefused(t *testing.T) {
	carrier := startCarrier(t, startTarget(t, echo))
	for name, c := range map[string]struct {
		dialer *Dialer
		target string
		result Result
	}{
		"unknown instance": {&Dialer{Instance: "i2", Key: "k1"}, "e1", Denied},
		"wrong key":        {&Dialer{Instance: "i1", Key: "k2"}, "e1", Denied},
		"unknown target":   {member, "127.0.0.1:22", TargetUnknown},
		"links lost":       {member, "cut", LinksLost},
		"target refuses":   {member, "refuses", TargetRefused},
		"target silent":    {member, "silent", TargetUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.dialer.Dial(t.Context(), carrier.address, c.target, false)
			refused := (*ResultError)(nil)
			require.ErrorAs(t, err, &refused)
			require.Equal(t, c.result, refused.Result)
		})
	}
	require.Eventually(t, func() bool { return !carrier.busy() }, time.Second, time.Millisecond, "the refused requests have ended")
	for range carrier.MaxTunnels {
		dial(t, carrier)
	}
	_, err := member.Dial(t.Context(), carrier.address, "e1", false)
	refused := (*ResultError)(nil)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, Full, refused.Result)
	carrier.BeginStop()
	_, err = member.Dial(t.Context(), carrier.address, "e1", false)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, Stopping, refused.Result)
	require.Eventually(t, func() bool { return carrier.Open() == carrier.MaxTunnels }, time.Second, time.Millisecond, "a stop leaves open tunnels alone")
}

// Guards against a tunnel that is opened and cut off since a stop began meanwhile.
func TestTunnelThatIsBeingOpenedOutlivesAStop(t *testing.T) {
	carrier := startCarrier(t, startTarget(t, echo))
	connect, opening, goOn := carrier.Connect, make(chan struct{}), make(chan struct{})
	carrier.Connect = func(ctx context.Context, name string, confirm bool) (net.Conn, error) {
		close(opening)
		<-goOn
		return connect(ctx, name, confirm)
	}
	go func() {
		<-opening
		carrier.BeginStop()
		close(goOn)
	}()
	conn := dial(t, carrier)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, "request", string(got))
}

// Guards against requests for a tunnel that end or hold up the process.
func TestMalformedRequestsAreDropped(t *testing.T) {
	carrier := startCarrier(t, startTarget(t, echo))
	for _, line := range []string{"", "\n", "{}\n", "null\n", `{"instance":"i1"}` + "\n", "[1]\n", strings.Repeat("x", 2*maxRequestLine) + "\n", `{"instance":"i1","key":"k1","target":"e1"}` + "\nearly"} {
		c, err := net.Dial("tcp", carrier.address.String())
		require.NoError(t, err)
		// The server may have closed the connection by then.
		_, _ = c.Write([]byte(line))
		_ = c.(*net.TCPConn).CloseWrite()
		got, _ := io.ReadAll(c)
		require.NotContains(t, string(got), string(rune(Connected)), line)
		_ = c.Close()
	}
	conn := dial(t, carrier)
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err)
}

// Guards against a carrier that does not respond and is waited for beyond the caller's time.
func TestSilentCarrierIsGivenUp(t *testing.T) {
	silent := startTarget(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := member.Dial(ctx, silent, "e1", false)
	lost := (*CarrierError)(nil)
	require.True(t, errors.As(err, &lost))
}

// Guards against frames from a faulty carrier that hold up or end the reader's process.
func FuzzConnRead(f *testing.F) {
	f.Add([]byte{0, 3, 'a', 'b', 'c', 0, 0})
	f.Add([]byte{0xff, 0xff})
	f.Add([]byte{0xff, 0xfe, 1, 2})
	f.Add([]byte{0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		here, there := net.Pipe()
		go func() {
			_, _ = there.Write(data)
			_ = there.Close()
		}()
		c := &Conn{Conn: here}
		got, err := io.ReadAll(c)
		require.LessOrEqual(t, len(got), len(data))
		if err == nil {
			require.ErrorIs(t, c.err, io.EOF)
		}
		_ = here.Close()
	})
}
