package callerconn

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is why a connection ended.
type Reason string

// The reasons for the end of a connection.
const (
	// CallerLeft means that the caller closed or reset the connection.
	CallerLeft Reason = "caller_gone"
	// IdleTimeout means that the instance closed the connection since it was idle for too long.
	IdleTimeout Reason = "idle_timeout"
	// Stopping means that the instance closed the idle connection as part of a stop.
	Stopping Reason = "instance_stopping"
	// GraceOver means that the instance closed the connection at the end of the grace period.
	GraceOver Reason = "grace_over"
	// ClosedByServer means that net/http closed the connection, for instance after a malformed request.
	ClosedByServer Reason = "http_server"
)

// phase is what a connection is doing.
type phase int

const (
	// idle: no byte of the next request has been read.
	idle phase = iota
	// receiving: some of a request has been read, and its handler has not begun.
	receiving
	// serving: a request's handler runs.
	serving
)

var phaseNames = [...]string{"idle", "receiving", "serving"}

// peekedBytes is the number of bytes of a request that net/http reads before it sets the deadline for
// the header.
const peekedBytes = 4

// maxReadTime is the time within which a read that does not wait has to return.
const maxReadTime = 200 * time.Microsecond

// expired is a read deadline that ends a read immediately.
var expired = time.Unix(1, 0)

// conn is one connection of a caller.
//
// Between requests only the goroutine that reads the connection closes it: a close that is due ends
// its read, and it is carried out if a last read finds that the kernel holds no data either. So a
// request that the process has read, or that has arrived when the close is decided, is served.
type conn struct {
	*net.TCPConn
	// headerTimeout bounds the time from a request's first byte to the end of its header; 0 means that
	// there is no bound.
	headerTimeout time.Duration
	// readNow reads what the kernel holds without waiting; it is syscall.Read outside tests.
	readNow func(fd int, p []byte) (int, error)

	mu    sync.Mutex
	phase phase
	// used is set once a request has been answered.
	used bool
	// idleSince is when the last answer was complete, or when the connection was accepted; requestAt is
	// when the first byte of the request was read.
	idleSince time.Time
	requestAt time.Time
	// readBytes and writtenBytes count the bytes of the current request and its answer.
	readBytes    int64
	writtenBytes int64
	// nextRequestAt is when the first byte of the next request was read while a handler ran, or zero.
	nextRequestAt time.Time
	// closeDue is the reason for which the connection is to be closed while it is idle, or "".
	closeDue Reason
	// readDeadline is the deadline that net/http has set. While a close is due the connection has the
	// deadline expired instead.
	readDeadline time.Time
	// closedBy is why the instance closed the connection, or CallerLeft once the caller has.
	closedBy Reason
}

// Read reads from the connection. A deadline that passes before a request's handler begins does not
// discard data that has arrived by then.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsRequest() {
		n, err = c.readArrived(p, err, c.isCloseDue())
	}
	c.recordRead(time.Now(), n, len(p), err)
	return n, err
}

// readArrived reads what the kernel holds without waiting. If that is nothing, it returns none and, if
// shutDown is set, shuts the connection down first.
func (c *conn) readArrived(p []byte, none error, shutDown bool) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for startedAt := time.Now(); ; startedAt = time.Now() {
			n, readErr = c.readNow(int(fd), p)
			// After a longer read the process may have been paused since the kernel looked for data.
			if !errors.Is(readErr, syscall.EINTR) && (!shutDown || !errors.Is(readErr, syscall.EAGAIN) || time.Since(startedAt) < maxReadTime) {
				break
			}
		}
		if shutDown && errors.Is(readErr, syscall.EAGAIN) {
			// Here, and not when net/http closes the connection: the process may be paused meanwhile. A raw call,
			// since the scheduler may delay other ones. On an error that close follows.
			_, _, _ = syscall.RawSyscall(syscall.SYS_SHUTDOWN, fd, syscall.SHUT_RDWR, 0)
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, none
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// isCloseDue reports whether the connection is to be closed while it is idle.
func (c *conn) isCloseDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeDue != ""
}

func (c *conn) awaitsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != serving
}

// recordRead records the result of a read into a buffer of size bytes.
func (c *conn) recordRead(now time.Time, n, size int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.cancelClose()
		if c.readBytes == 0 {
			c.requestAt = now
		}
		c.readBytes += int64(n)
		switch {
		case c.phase == idle:
			c.phase = receiving
			c.applyReadDeadline()
		case c.phase == serving && size == 1:
			// net/http watches the connection of a running handler by a read of one byte, which begins
			// after the request's last byte.
			c.nextRequestAt = now
		}
		return
	}
	switch {
	case err == nil || c.closedBy != "":
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closedBy = c.closeDue
	case !errors.Is(err, net.ErrClosed):
		c.closedBy = CallerLeft
	}
}

// cancelClose keeps the connection for the request that has begun; the caller holds mu.
func (c *conn) cancelClose() {
	if c.closeDue == "" {
		return
	}
	c.closeDue = ""
	c.applyReadDeadline()
}

// SetReadDeadline sets the deadline of reads, which a close that is due precedes.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && c.used && !t.IsZero() {
		// net/http sets the deadline for a header when it holds bytes of the next request. They may
		// have been read together with the former one.
		c.phase, c.requestAt, c.readBytes, c.closeDue = receiving, time.Now(), peekedBytes, ""
	}
	c.readDeadline = t
	c.applyReadDeadline()
	return nil
}

// applyReadDeadline sets the deadline that applies in the current phase; the caller holds mu.
//
// net/http sets none until it has read four bytes of a request.
func (c *conn) applyReadDeadline() {
	t := c.readDeadline
	switch {
	case c.closeDue != "":
		t = expired
	case t.IsZero() && c.phase == receiving && c.headerTimeout > 0:
		t = c.requestAt.Add(c.headerTimeout)
	}
	// On an error the next read returns it too.
	_ = c.TCPConn.SetReadDeadline(t)
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenBytes += int64(n)
	return n, err
}

// setServing records that a request's handler begins.
func (c *conn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.closeDue = serving, ""
	c.applyReadDeadline()
}

// setIdle records that the connection was accepted, or that a request was answered completely.
func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.phase == serving
	c.phase, c.idleSince, c.readBytes, c.writtenBytes = idle, now, 0, 0
	if !c.nextRequestAt.IsZero() {
		c.phase, c.requestAt, c.readBytes, c.nextRequestAt = receiving, c.nextRequestAt, 1, time.Time{}
	}
}

// closeIfIdle lets the connection be closed if it has been idle for longer than limit and no data
// arrives before that.
func (c *conn) closeIfIdle(now time.Time, limit time.Duration, reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.closeDue != "" || now.Sub(c.idleSince) <= limit {
		return
	}
	c.closeDue = reason
	c.applyReadDeadline()
}

// markClosed records why the instance closes the connection.
func (c *conn) markClosed(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedBy == "" {
		c.closedBy = reason
	}
}

func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == serving
}

// Unanswered describes a request, or a part of one, that was read and got no byte of an answer
// although the caller did not leave.
type Unanswered struct {
	Caller netip.AddrPort
	// ClosedBy is why the connection ended.
	ClosedBy Reason
	// Phase is "receiving" if the request was dropped before its handler began, else "serving".
	Phase string
	// ReadBytes is what was read of the request, and Held the time since its first byte.
	ReadBytes int64
	Held      time.Duration
}

// unanswered returns the request that the end of the connection leaves without an answer.
func (c *conn) unanswered(now time.Time) (Unanswered, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readBytes == 0 || c.writtenBytes > 0 || c.closedBy == CallerLeft {
		return Unanswered{}, false
	}
	u := Unanswered{ClosedBy: c.closedBy, Phase: phaseNames[c.phase], ReadBytes: c.readBytes, Held: now.Sub(c.requestAt)}
	if u.ClosedBy == "" {
		u.ClosedBy = ClosedByServer
	}
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		u.Caller = a.AddrPort()
	}
	return u, true
}

type connKey struct{}

// EndReason returns why the connection of a request's context has ended: CallerLeft, unless the
// instance closed it itself.
func EndReason(ctx context.Context) Reason {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return CallerLeft
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedBy == "" {
		return CallerLeft
	}
	return c.closedBy
}
