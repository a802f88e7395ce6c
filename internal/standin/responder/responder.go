// Package responder stands in for servers that answer before they have read the request, and reset the connection then.
package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// receiveBuffer is the size requested for the kernel's receive buffer, which makes a long request block soon.
	receiveBuffer = 4 << 10
	// resetDelay is the time from the answer to the reset, in which the client's write of a long request blocks.
	resetDelay = 20 * time.Millisecond
)

// Responder answers each request once it has read its header. It leaves a body unread and resets the connection. Set its
// exported fields before Start.
type Responder struct {
	// Answer returns the bytes of the answer.
	Answer func(r *http.Request) string
	// EndsBytes has the answer's bytes end before the reset, so that the answer is whole without a stated length.
	EndsBytes bool

	listener net.Listener
	serving  sync.WaitGroup
	mu       sync.Mutex
	// open holds the open connections, or is nil after Close.
	open map[net.Conn]bool
}

// Start listens on a free loopback port and returns its address.
func (s *Responder) Start() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "responder")
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		// Accepted connections inherit the size.
		err = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(errors.CombineErrors(err, ln.Close()), "responder")
	}
	s.listener, s.open = ln, map[net.Conn]bool{}
	s.serving.Go(s.accept)
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops listening and closes the open connections.
func (s *Responder) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.open {
		_ = c.Close()
	}
	s.open = nil
	s.mu.Unlock()
	s.serving.Wait()
	return err
}

func (s *Responder) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.serve(c.(*net.TCPConn)) })
	}
}

// add adds an open connection, and reports whether the responder still serves any.
func (s *Responder) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		return false
	}
	s.open[c] = true
	return true
}

func (s *Responder) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Responder) serve(c *net.TCPConn) {
	defer c.Close()
	if !s.add(c) {
		return
	}
	defer s.remove(c)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, s.Answer(r)); err != nil {
			return
		}
		if r.ContentLength != 0 {
			break
		}
	}
	if s.EndsBytes {
		_ = c.CloseWrite()
	}
	time.Sleep(resetDelay)
	_ = c.SetLinger(0)
}
