package callerconn

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// queuedAcceptTimeout bounds one accept from a queue that is not empty.
const queuedAcceptTimeout = time.Second

// listener tracks the connections that it accepts, and can be closed without losing one.
//
// Only the goroutine that accepts closes it, after a look at the queue: a close from elsewhere takes
// effect when that goroutine runs next, and connections that come until then are reset.
type listener struct {
	net.Listener
	// headerTimeout is that of its connections, track is called with each.
	headerTimeout time.Duration
	track         func(c *conn)

	closing  atomic.Bool
	closed   chan struct{}
	markOnce sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			if !l.hasQueued() {
				return nil, l.closeAndMark()
			}
			if err := l.setDeadline(time.Now().Add(queuedAcceptTimeout)); err != nil {
				return nil, err
			}
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.newConn(nc)
		}
		if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

func (l *listener) newConn(nc net.Conn) (net.Conn, error) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		network := nc.LocalAddr().Network()
		_ = nc.Close()
		return nil, &net.OpError{Op: "accept", Net: network, Err: net.UnknownNetworkError(network)}
	}
	c := &conn{TCPConn: t, headerTimeout: l.headerTimeout, readNow: syscall.Read}
	l.track(c)
	return c, nil
}

// closeWhenEmpty lets the listener be closed once the connections that the kernel has completed are
// accepted, since callers may already have sent requests on them. It returns when that is done, or
// when ctx ends.
func (l *listener) closeWhenEmpty(ctx context.Context) {
	l.closing.Store(true)
	if err := l.setDeadline(expired); err != nil {
		_ = l.closeAndMark()
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.closeAndMark()
	}
}

// closeAndMark closes the listener and returns the error with which it stops to accept.
func (l *listener) closeAndMark() error {
	// The error of closing a listener twice says nothing about connections.
	_ = l.Listener.Close()
	l.markClosed()
	return net.ErrClosed
}

// markClosed records that no more connections are accepted.
func (l *listener) markClosed() { l.markOnce.Do(func() { close(l.closed) }) }

func (l *listener) setDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.New("listener has no deadlines")
	}
	return d.SetDeadline(t)
}

// hasQueued reports whether a connection waits to be accepted.
func (l *listener) hasQueued() bool {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		queued = n > 0 && fds[0].Revents&unix.POLLIN != 0 || errors.Is(pollErr, unix.EINTR)
	})
	return err == nil && queued
}
