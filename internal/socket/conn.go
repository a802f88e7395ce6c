package socket

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpClosed is the state TCP_CLOSE: the connection was reset or given up, and not only ended by the other end.
const tcpClosed = 7

// Conn is a connection whose reads also report a reset of which a write has received the error.
//
// The kernel reports the loss of a connection once. If a write gets that error, the reads that follow return what has
// arrived and then io.EOF, as if the other end had closed its side.
type Conn struct {
	*net.TCPConn
	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of a write on a connection that was lost before the other end had closed its side.
	lost error
}

// Dialer opens connections of type *Conn.
type Dialer struct{ net.Dialer }

// DialContext connects to an address of a TCP network.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.CombineErrors(net.UnknownNetworkError(network), c.Close())
	}
	return &Conn{TCPConn: tcp}, nil
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(b)
	// EPIPE means that the other end had closed its side before it reset the connection.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE && c.lost == nil {
		c.lost = err
	}
	return n, err
}

// Read reads from the connection. The error is io.EOF only if the other end has closed its side.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.lostInWrite(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// ReadFrom writes what it reads from r; the method of net.TCPConn would bypass Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo writes what it reads to w; the method of net.TCPConn would bypass Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// lostInWrite returns the error of a write on a connection that was lost, or nil.
func (c *Conn) lostInWrite() error {
	if !c.isClosed() {
		return nil
	}
	// A write that is in progress returns at once: the connection is closed.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// isClosed reports whether the connection is closed in both directions, also by this process.
func (c *Conn) isClosed() bool {
	closed := true
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return closed
}
