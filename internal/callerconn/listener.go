package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// acceptPollInterval is the interval at which a listener that is to close checks its queue.
const acceptPollInterval = time.Millisecond

// listener wraps accepted connections.
type listener struct {
	net.Listener
	// headerTimeout is that of its connections.
	headerTimeout time.Duration
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		network := c.LocalAddr().Network()
		_ = c.Close()
		return nil, &net.OpError{Op: "accept", Net: network, Err: net.UnknownNetworkError(network)}
	}
	return &conn{TCPConn: t, headerTimeout: l.headerTimeout}, nil
}

// closeWhenEmpty closes the listener once the connections that the kernel has completed are accepted,
// or when ctx ends: callers may already have sent requests on them.
func (l *listener) closeWhenEmpty(ctx context.Context) {
	tick := time.NewTicker(acceptPollInterval)
	defer tick.Stop()
	for ctx.Err() == nil && l.hasQueued() {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	// The error of closing a listener twice says nothing about connections.
	_ = l.Close()
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
