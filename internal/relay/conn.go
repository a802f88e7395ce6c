package relay

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBytes is the size of the buffer for what a target sends; events have some hundred bytes.
	readBytes = 4 << 10
	// maxAnswerHeader bounds the header of a target's answer.
	maxAnswerHeader = 32 << 10
	// recheck is the time in which data that came during a pause of the process is read
	// before a target counts as silent.
	recheck = 20 * time.Millisecond
)

// silence decides what a read that got nothing by its time means: it returns when to look
// again, or false to give up.
type silence func(now time.Time) (time.Time, bool)

// SilentError tells that a target sent nothing for as long as the request waits for it.
type SilentError struct{ Target netip.AddrPort }

func (e *SilentError) Error() string { return "target " + e.Target.String() + " is silent" }

// conn is a connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	to netip.AddrPort
	in *bufio.Reader
	// left bounds what is read until the header is complete.
	left io.LimitedReader
	// wake is when silence is asked; both belong to the request that uses the connection.
	wake    time.Time
	silence silence
	// used tells that the connection carried a request before.
	used bool
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
	// heard tells that the target sent something since the request was sent. What was read last
	// came after heardAt, which is when all that had come before was read at readAt.
	heard   bool
	heardAt time.Time
	readAt  time.Time
}

func newConn(c net.Conn, to netip.AddrPort) *conn {
	out := &conn{Conn: c, to: to}
	out.left = io.LimitedReader{R: patient{out}, N: math.MaxInt64}
	out.in = bufio.NewReaderSize(&out.left, readBytes)
	return out
}

// patient reads from a connection and asks its silence function at each time-out.
//
// Time-outs are handled below the decoders of net/http, which cannot go on after one.
type patient struct{ c *conn }

func (p patient) Read(b []byte) (int, error) {
	c := p.c
	for {
		if err := c.SetReadDeadline(c.wake); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.hear(time.Now(), n)
			return n, err
		}
		if n, err := c.again(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.hear(time.Now(), n)
			return n, err
		}
		if c.silence == nil {
			return 0, &SilentError{Target: c.to}
		}
		next, ok := c.silence(time.Now())
		if !ok {
			return 0, &SilentError{Target: c.to}
		}
		c.wake = next
	}
}

// hear notes that n bytes were read. They may have come long ago, if the process was paused.
func (c *conn) hear(now time.Time, n int) {
	if n > 0 {
		c.heard, c.heardAt, c.readAt = true, c.readAt, now
	}
}

// again reads what has come while the process was paused.
func (c *conn) again(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(recheck)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// exchange sends a request and returns the next answer's header.
func (c *conn) exchange(r *http.Request) (*http.Response, error) {
	c.heard, c.readAt = false, time.Now()
	sent := r.Write(c.Conn)
	if sent != nil {
		// A target that refuses early may answer without taking all of the body.
		c.wake, c.silence = time.Now().Add(lateAnswerWait), nil
	}
	res, err := c.answer(r)
	if err != nil && sent != nil {
		return nil, sent
	}
	return res, err
}

// lateAnswerWait bounds the wait for the answer of a target that did not take the whole request.
const lateAnswerWait = 100 * time.Millisecond

// answer reads the header of one answer.
func (c *conn) answer(r *http.Request) (*http.Response, error) {
	for {
		c.left.N = maxAnswerHeader
		res, err := http.ReadResponse(c.in, r)
		c.left.N = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// quiet reports whether an idle connection is open and brought nothing since its last answer.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		b := [1]byte{}
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
