package callerconn

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
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
	// GraceOver means that the instance closed the connection at the end of the grace period.
	GraceOver Reason = "grace_over"
	// ClosedByServer means that net/http closed the connection, for instance after a malformed request.
	ClosedByServer Reason = "server"
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

// conn is one connection of a caller.
type conn struct {
	*net.TCPConn

	mu    sync.Mutex
	phase phase
	// idleSince is when the last answer was complete, or when the connection was accepted; requestAt is
	// when the first byte of the request was read.
	idleSince time.Time
	requestAt time.Time
	// readBytes and writtenBytes count the bytes of the current request and its answer.
	readBytes    int64
	writtenBytes int64
	// closedBy is why the instance closed the connection, or CallerLeft once the caller has.
	closedBy Reason
}

// Read reads from the connection and records the start of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.recordRead(time.Now(), n, err)
	return n, err
}

func (c *conn) recordRead(now time.Time, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.readBytes == 0 {
			c.requestAt = now
		}
		c.readBytes += int64(n)
		if c.phase == idle {
			c.phase = receiving
		}
	}
	ownDeadline := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if err != nil && !ownDeadline && c.closedBy == "" {
		c.closedBy = CallerLeft
	}
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
	c.phase = serving
}

// setIdle records that a request was answered completely.
func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince, c.readBytes, c.writtenBytes = idle, now, 0, 0
}

// closeIfIdle closes the connection if it has been idle for longer than limit.
func (c *conn) closeIfIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	if c.phase == serving || now.Sub(c.idleSince) <= limit {
		c.mu.Unlock()
		return
	}
	c.closedBy = IdleTimeout
	c.mu.Unlock()
	// The server's own read returns the error of the closed connection.
	_ = c.Close()
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
