package tunnel

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Dialer opens connections to targets through other instances; set its fields before the first call.
type Dialer struct {
	// Instance names this instance, and Key proves it to the others.
	Instance string
	Key      string
}

// Dial connects to a target through the carrier at an address. The error is a *ResultError if the carrier has
// responded, and a *CarrierError otherwise; in both cases nothing has reached the target. If confirm is set, the
// carrier shows that its own links are sound before it reports that the target refuses connections.
func (d *Dialer) Dial(ctx context.Context, carrier netip.AddrPort, target string, confirm bool) (*Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", carrier.String())
	if err != nil {
		return nil, &CarrierError{Err: err}
	}
	setTimeouts(c)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	result, err := d.open(c, &openRequest{Instance: d.Instance, Key: d.Key, Target: target, Confirm: confirm})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || result != Connected {
		_ = c.Close()
		if err != nil {
			return nil, &CarrierError{Err: err}
		}
		return nil, &ResultError{Result: result}
	}
	return &Conn{Conn: c}, nil
}

// open asks for a tunnel and reads the response.
func (d *Dialer) open(c net.Conn, request *openRequest) (Result, error) {
	line, err := json.Marshal(request)
	if err != nil {
		return 0, err
	}
	if _, err := c.Write(append(line, '\n')); err != nil {
		return 0, err
	}
	var result [1]byte
	if _, err := io.ReadFull(c, result[:]); err != nil {
		return 0, err
	}
	return Result(result[0]), nil
}

// Conn is a connection to a target through a carrier.
type Conn struct {
	net.Conn
	// buf holds bytes that were received and not yet returned, in store; payload is what remains of the present
	// frame.
	buf     []byte
	store   []byte
	payload int
	err     error
}

// SyscallConn returns the raw connection to the carrier.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// Buffered returns the number of bytes that were received and not yet read.
func (c *Conn) Buffered() int { return len(c.buf) }

// CloseTarget has the carrier close the target's connection, and returns nil once it has done so. It discards what the
// target has sent, and gives up at a deadline; the connection to the carrier is still to be closed.
//
// It needs no frame of its own: a carrier closes the target's connection at the end of the caller's bytes, and reports
// then that it is lost.
func (c *Conn) CloseTarget(deadline time.Time) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			return &CarrierError{Err: err}
		}
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	if lost := (*TargetLostError)(nil); errors.As(err, &lost) {
		return nil
	}
	return err
}

// Read reads bytes that the target has sent. It returns io.EOF only if the target has ended its bytes.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for c.err == nil {
		if c.payload > 0 && len(c.buf) > 0 {
			n := copy(b, c.buf[:min(c.payload, len(c.buf))])
			c.buf, c.payload = c.buf[n:], c.payload-n
			return n, nil
		}
		if c.payload == 0 && len(c.buf) >= headerSize {
			c.beginFrame()
			continue
		}
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	return 0, c.err
}

func (c *Conn) beginFrame() {
	switch n := binary.BigEndian.Uint16(c.buf); {
	case n == endFrame:
		c.err = io.EOF
	case n == lostFrame:
		c.err = &TargetLostError{}
	case n > maxFrame:
		c.err = &CarrierError{Err: io.ErrNoProgress}
	default:
		c.payload = int(n)
	}
	c.buf = c.buf[headerSize:]
}

// receive reads more bytes from the carrier. A timeout leaves the connection usable.
func (c *Conn) receive() error {
	if c.store == nil {
		c.store = make([]byte, headerSize+maxFrame)
	}
	kept := copy(c.store, c.buf)
	n, err := c.Conn.Read(c.store[kept:])
	c.buf = c.store[:kept+n]
	if n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		if n > 0 {
			return nil
		}
		return err
	}
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.err = &CarrierError{Err: err}
	return c.err
}
