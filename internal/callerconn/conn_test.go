package callerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns a tracked connection and its caller's end.
func connPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	accepted, err := (&listener{Listener: ln, track: func(*conn) {}}).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	c := accepted.(*conn)
	c.setIdle(time.Now())
	return c, caller
}

// Guards against dropping a request that the kernel holds when the close is decided.
func TestCloseKeepsArrivedRequest(t *testing.T) {
	for name, expire := range map[string]func(c *conn){
		"idle close":      func(c *conn) { c.closeIfIdle(time.Now().Add(time.Minute), time.Second, IdleTimeout) },
		"header deadline": func(c *conn) { require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second))) },
	} {
		t.Run(name, func(t *testing.T) {
			c, caller := connPair(t)
			_, err := caller.Write([]byte("GET"))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return arrived(t, c) }, time.Second, time.Millisecond)
			expire(c)
			b := make([]byte, 10)
			n, err := c.Read(b)
			require.NoError(t, err)
			require.Equal(t, "GET", string(b[:n]))
		})
	}
}

// arrived reports whether the kernel holds data for the connection.
func arrived(t *testing.T, c *conn) bool {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	found := false
	require.NoError(t, raw.Control(func(fd uintptr) { found = arrivedAt(int(fd)) }))
	return found
}

// arrivedAt reports whether the kernel holds data for a descriptor.
func arrivedAt(fd int) bool {
	n, _, _ := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0
}

// Guards against a read that still fails after the close was given up for a request.
func TestReadsContinueAfterCancelledClose(t *testing.T) {
	c, caller := connPair(t)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := caller.Write([]byte("G"))
	require.NoError(t, err)
	c.closeIfIdle(time.Now().Add(time.Minute), time.Second, IdleTimeout)
	b := make([]byte, 1)
	require.Eventually(t, func() bool { n, _ := c.Read(b); return n == 1 }, time.Second, time.Millisecond)
	c.closeIfIdle(time.Now().Add(time.Minute), time.Second, IdleTimeout)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = caller.Write([]byte("E"))
	}()
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, 1, n)
}

// Guards against a close that stays due after net/http has found that it holds bytes of the next request.
func TestDueCloseIsCancelledByBufferedRequest(t *testing.T) {
	c, caller := connPair(t)
	c.setServing()
	c.setIdle(time.Now())
	c.closeIfIdle(time.Now().Add(time.Minute), time.Second, IdleTimeout)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	// net/http has peeked four bytes that it read with the former request.
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = caller.Write([]byte("rest"))
	}()
	n, err := c.Read(make([]byte, 10))
	require.NoError(t, err)
	require.Equal(t, 4, n)
}

// Guards against idle connections that stay open, and against closes that count as the caller's.
func TestIdleConnIsClosed(t *testing.T) {
	c, _ := connPair(t)
	c.closeIfIdle(time.Now().Add(time.Second), time.Minute, IdleTimeout)
	c.closeIfIdle(time.Now().Add(time.Hour), time.Minute, IdleTimeout)
	require.NoError(t, c.SetReadDeadline(time.Time{}), "net/http sets its own deadline before it reads")
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, IdleTimeout, c.closedBy)
	_, unanswered := c.unanswered(time.Now())
	require.False(t, unanswered)
}

// Guards against requests that arrive between the decision to close a connection and its close, for instance while the
// process is paused.
func TestConnIsClosedAsItIsDecided(t *testing.T) {
	c, caller := connPair(t)
	c.closeIfIdle(time.Now().Add(time.Hour), time.Minute, IdleTimeout)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a request that arrives while the process is paused between its last read of an idle connection and the close.
func TestRequestDuringPauseBeforeCloseIsRead(t *testing.T) {
	c, caller := connPair(t)
	reads := 0
	c.readNow = func(fd int, p []byte) (int, error) {
		n, err := syscall.Read(fd, p)
		if reads++; reads == 1 {
			_, _ = caller.Write([]byte("GET"))
			require.Eventually(t, func() bool { return arrivedAt(fd) }, time.Second, time.Millisecond)
			time.Sleep(10 * maxReadTime)
		}
		return n, err
	}
	c.closeIfIdle(time.Now().Add(time.Hour), time.Minute, IdleTimeout)
	b := make([]byte, 10)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "GET", string(b[:n]))
	_, err = c.Write([]byte("HTTP"))
	require.NoError(t, err)
	_, err = io.ReadFull(caller, b[:4])
	require.NoError(t, err)
}

// Guards against resetting connections that the kernel has completed when the listener closes.
func TestDrainAcceptsQueuedConns(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &HTTPServer{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) })}
	slow := &delayedListener{Listener: ln}
	callers := make([]net.Conn, 20)
	for i := range callers {
		callers[i], err = net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer callers[i].Close()
		fmt.Fprint(callers[i], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(slow) }()
	require.Eventually(t, slow.began.Load, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, s.Drain(ctx))
	require.NoError(t, <-served)
	for _, c := range callers {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.True(t, res.Close)
	}
}

// delayedListener accepts one connection each few milliseconds.
type delayedListener struct {
	net.Listener
	began atomic.Bool
}

func (l *delayedListener) Accept() (net.Conn, error) {
	l.began.Store(true)
	time.Sleep(5 * time.Millisecond)
	return l.Listener.Accept()
}

// SetDeadline sets the deadline of the wrapped listener.
func (l *delayedListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// SyscallConn gives access to the queue of the wrapped listener.
func (l *delayedListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(*net.TCPListener).SyscallConn()
}

// Guards against requests that are read, or handled, and get no answer, whatever closes their
// connection meanwhile.
func TestClosesLeaveNoRequestUnanswered(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			handled := sync.Map{}
			var lost atomic.Int64
			s := &HTTPServer{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handled.Store(r.URL.Path, true)
					time.Sleep(time.Millisecond)
					_, _ = io.Copy(w, r.Body)
				}),
				ReportUnanswered: func(time.Time, Unanswered) { lost.Add(1) },
			}
			served := make(chan error, 1)
			go func() { served <- s.Serve(ln) }()
			var group sync.WaitGroup
			var answered, crossed atomic.Int64
			for i := range 40 {
				group.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(i)))
					for n := 0; ; {
						c, err := net.Dial("tcp", ln.Addr().String())
						if err != nil {
							return
						}
						in := bufio.NewReader(c)
						for {
							n++
							path := fmt.Sprintf("/%d/%d", i, n)
							body := strings.Repeat("x", rng.IntN(100))
							parts := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
							cut := rng.IntN(len(parts))
							_, _ = io.WriteString(c, parts[:cut])
							if rng.IntN(2) == 0 {
								time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
							}
							_, _ = io.WriteString(c, parts[cut:])
							res, err := http.ReadResponse(in, nil)
							if err != nil {
								crossed.Add(1)
								if _, ok := handled.Load(path); ok {
									t.Errorf("%s reached the handler and got no answer: %v", path, err)
								}
								break
							}
							got, err := io.ReadAll(res.Body)
							if err != nil || string(got) != body {
								t.Errorf("%s: answer is not whole: %v", path, err)
							}
							answered.Add(1)
							if res.Close {
								break
							}
							time.Sleep(time.Duration(rng.IntN(4000)) * time.Microsecond)
						}
						_ = c.Close()
					}
				})
			}
			for range 300 {
				time.Sleep(2 * time.Millisecond)
				s.CloseIdle(time.Now(), time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			require.NoError(t, s.Drain(ctx))
			require.NoError(t, <-served)
			group.Wait()
			require.Zero(t, lost.Load())
			t.Logf("%d answered, %d crossed a close", answered.Load(), crossed.Load())
		})
	}
}

// Guards against closing a connection as idle whose next request began while a handler ran.
func TestCloseSparesRequestThatBeganDuringHandler(t *testing.T) {
	for name, begun := range map[string]string{"first byte": "G", "header line": "GET / HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			running, release := make(chan struct{}, 2), make(chan struct{}, 2)
			s := &HTTPServer{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				running <- struct{}{}
				<-release
			})}
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.Close(GraceOver) }()
			c, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			fmt.Fprint(c, request)
			<-running
			fmt.Fprint(c, begun)
			tracked := s.openConns()[0]
			require.Eventually(t, func() bool { return tracked.bytesRead() > int64(len(request)) }, time.Second, time.Millisecond)
			release <- struct{}{}
			in := bufio.NewReader(c)
			_, err = http.ReadResponse(in, nil)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			s.CloseIdle(time.Now().Add(time.Hour), time.Minute)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(c, request[len(begun):])
			release <- struct{}{}
			_, err = http.ReadResponse(in, nil)
			require.NoError(t, err)
		})
	}
}

// Guards against connections that are kept for good by the first bytes of a request.
func TestUnfinishedHeaderIsBounded(t *testing.T) {
	for name, sent := range map[string]string{"first byte": "G", "header line": "GET / HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &HTTPServer{HeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.Close(GraceOver) }()
			c, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			in := bufio.NewReader(c)
			for range 2 {
				fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				_, err = http.ReadResponse(in, nil)
				require.NoError(t, err)
				time.Sleep(150 * time.Millisecond)
			}
			fmt.Fprint(c, sent)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			// net/http may state the reason.
			_, err = io.ReadAll(in)
			require.NoError(t, err, "the connection must be closed")
		})
	}
}

func (c *conn) bytesRead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBytes
}

// Guards against a drain that does not end, or that hides requests in progress.
func TestDrainReportsOpenConns(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	release := make(chan struct{})
	s := &HTTPServer{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	go func() { _ = s.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { list := s.openConns(); return len(list) == 1 && list[0].isServing() }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	open := (*OpenConnsError)(nil)
	require.True(t, errors.As(s.Drain(ctx), &open))
	require.Equal(t, OpenConnsError{Serving: 1, Open: 1}, *open)
	close(release)
	require.NoError(t, s.Drain(context.Background()))
	require.NoError(t, s.Close(GraceOver))
}
