// Package socket closes TCP connections, and reads of their state in the kernel what net does not show. The reads of its
// connections report each loss.
//
// A Conn keeps the error of its writes, under its own lock. The package imports nothing of this module.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// GiveUp closes a connection whose other end is to do nothing more with what was sent. It returns how many bytes the
// other end had not acknowledged, or -1 if that is not known.
//
// If there are any, the connection is reset: after an ordinary close the kernel would still deliver them. Otherwise it is
// not, since the kernel repeats a lost FIN and not a lost RST.
func GiveUp(c net.Conn) int {
	unacked := Unacked(c)
	if unacked > 0 {
		control(c, func(fd int) {
			// On an error the close is an ordinary one.
			_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
	}
	_ = c.Close()
	return unacked
}

// Unacked returns how many bytes the other end of a connection has not acknowledged, or -1 if that is not known.
func Unacked(c net.Conn) int {
	unacked := -1
	control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unacked = n
		}
	})
	return unacked
}

// HasEnded reports whether the other end has closed or reset a connection, also while data from it is unread.
func HasEnded(c net.Conn) bool {
	ended := false
	control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0
	})
	return ended
}

func control(c net.Conn, f func(fd int)) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			// On an error the connection is closed, and f is not called.
			_ = raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}
