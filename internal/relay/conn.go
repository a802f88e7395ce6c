package relay

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// readBufferSize is the size of the buffer for data from a target; events have some hundred
	// bytes.
	readBufferSize = 4 << 10
	// maxInformational bounds the responses that are read until a final one.
	maxInformational = 16
	// pendingReadTimeout bounds the read of data that arrived while the process was paused, before
	// a target counts as silent.
	pendingReadTimeout = 20 * time.Millisecond
)

// silenceFunc decides what to do when a read got no data in time: it returns when to check again,
// or false to give up.
type silenceFunc func(now time.Time) (time.Time, bool)

// SilenceTimeoutError reports that a target sent no data for as long as the request waits for it.
type SilenceTimeoutError struct{ Target netip.AddrPort }

func (e *SilenceTimeoutError) Error() string {
	return "target " + e.Target.String() + " sent no data in time"
}

// conn is a connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	address netip.AddrPort
	// carrier names the instance that carries the connection, or is empty; links records the data that comes over
	// a direct one.
	carrier string
	links   *Links
	pool    string
	contact *contact
	// carrierLost is set when the carrier, and not the target, has ended the connection.
	carrierLost bool
	reader      *bufio.Reader
	header      header.Reader
	// nextCheck is when onSilence is called; both belong to the request that uses the connection.
	nextCheck time.Time
	onSilence silenceFunc
	// reused is set if the connection has carried a request before, and carried holds the hashes of the ids of all.
	reused  bool
	carried []uint64
	// idleUntil is when the idle connection must no longer be used.
	idleUntil time.Time
	// dataReceived is set when the target has sent data since the request was sent. lastHeardAt is the
	// earliest time at which the last data read can have arrived: the time of the previous read, or of
	// sending the request. lastReadAt is the time of the last read, or of sending the request.
	dataReceived bool
	lastHeardAt  time.Time
	lastReadAt   time.Time
	// receivedAt is when data was last received for any of the connection's requests, or when it was established.
	receivedAt time.Time
	// unsentBytes is the result of giveUp.
	giveUpOnce  sync.Once
	unsentBytes int
}

func newConn(c net.Conn, t route.Target, links *Links, carrier string) *conn {
	out := &conn{Conn: c, address: t.Address, pool: t.Pool, links: links, carrier: carrier, contact: links.contactOf(t.Pool), receivedAt: time.Now()}
	out.header.Src = silenceReader{out}
	out.reader = bufio.NewReaderSize(&out.header, readBufferSize)
	return out
}

// silenceReader reads from a connection and calls its onSilence function at each timeout.
//
// Timeouts are handled below the decoders of net/http, which cannot continue after one.
type silenceReader struct{ c *conn }

func (r silenceReader) Read(b []byte) (int, error) {
	c := r.c
	for {
		if err := c.SetReadDeadline(c.nextCheck); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordRead(time.Now(), n, err)
			return n, err
		}
		if n, err := c.readPending(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordRead(time.Now(), n, err)
			return n, err
		}
		if c.onSilence == nil {
			return 0, &SilenceTimeoutError{Target: c.address}
		}
		next, ok := c.onSilence(time.Now())
		if !ok {
			return 0, &SilenceTimeoutError{Target: c.address}
		}
		c.nextCheck = next
	}
}

// recordRead records the result of a read. Bytes may have arrived long ago if the process was paused.
func (c *conn) recordRead(now time.Time, n int, err error) {
	if failure := (*tunnel.CarrierError)(nil); errors.As(err, &failure) {
		c.carrierLost = true
	}
	if n > 0 {
		if c.carrier == "" {
			c.links.recordContact(now, c.contact)
		}
		c.dataReceived, c.lastHeardAt, c.lastReadAt, c.receivedAt = true, c.lastReadAt, now, now
	}
}

// readPending reads what has arrived while the process was paused.
func (c *conn) readPending(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(pendingReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// maxCarried is the number of requests after which a connection is closed, which bounds the hashes that it keeps.
const maxCarried = 256

// recordCarried records that the connection carries a request.
func (c *conn) recordCarried(id string) { c.carried = append(c.carried, xxhash.Sum64String(id)) }

// hasCarried reports whether the connection has carried a request with an id.
func (c *conn) hasCarried(id string) bool { return slices.Contains(c.carried, xxhash.Sum64String(id)) }

// roundTrip sends a request and returns the next response with its header.
func (c *conn) roundTrip(r *http.Request) (*http.Response, error) {
	c.dataReceived, c.lastReadAt = false, time.Now()
	if r.ContentLength > maxUnreadBody {
		setUserTimeout(c.Conn, unreadTimeout)
		defer setUserTimeout(c.Conn, unackedTimeout)
	}
	writeErr := r.Write(c.Conn)
	if writeErr != nil {
		// A target that refuses early may respond without reading the complete body.
		c.nextCheck, c.onSilence = time.Now().Add(earlyResponseTimeout), nil
	}
	res, err := c.readResponse(r)
	if err != nil && writeErr != nil {
		return nil, writeErr
	}
	return res, err
}

// setUserTimeout sets the time for which sent data may stay unacknowledged on a connection.
func setUserTimeout(c net.Conn, timeout time.Duration) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
			})
		}
	}
}

// giveUp closes a connection whose response is not complete, and drops what its target has not received: one that was
// paused would begin a request that may run at another one by then. It returns how much of what was sent the other end
// had not acknowledged, or -1 if that is not known.
func (c *conn) giveUp() int {
	c.giveUpOnce.Do(func() { c.unsentBytes = socket.GiveUp(c.Conn) })
	return c.unsentBytes
}

// carrierCloseTimeout bounds the wait until a carrier has closed a target's connection. A carrier that gets no processor
// time may need longer; the stream has been silent then for longer than nextEventTimeout.
const carrierCloseTimeout = 200 * time.Millisecond

// closeAtTarget waits until the carrier of a connection has closed it at the target, and reports whether the target may
// still work for it. The kernel closes a direct connection at once.
func (c *conn) closeAtTarget(now time.Time) (unconfirmed bool) {
	carried, ok := c.Conn.(*carriedConn)
	if !ok {
		return false
	}
	if socket.Unacked(carried) != 0 {
		// They hold up the end of the bytes; a reset does not wait for them.
		return true
	}
	unconfirmed = carried.CloseTarget(now.Add(carrierCloseTimeout)) != nil
	// Only the end can be unacknowledged now; after a reset the kernel would not repeat it.
	c.giveUpOnce.Do(func() { _ = c.Close() })
	return unconfirmed
}

// earlyResponseTimeout bounds the wait for the response of a target that did not accept the
// complete request.
const earlyResponseTimeout = 100 * time.Millisecond

// readResponse reads the header of one final response and the informational ones before it.
func (c *conn) readResponse(r *http.Request) (*http.Response, error) {
	defer c.header.End()
	begin := c.header.Begin
	for range maxInformational {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		err := begin(buffered)
		res := (*http.Response)(nil)
		if err == nil {
			res, err = header.ReadResponse(c.reader, r)
		}
		if err != nil {
			return nil, headerError(err)
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
		begin = c.header.Next
	}
	return nil, &ResponseError{Rule: "informational"}
}

// headerError returns the error of reading a header, as a *ResponseError if the header is too long or invalid.
func headerError(err error) error {
	lines, status, name := (*header.LinesError)(nil), (*header.StatusError)(nil), (*header.FieldNameError)(nil)
	switch {
	case errors.As(err, &lines):
		return &ResponseError{Rule: "header_lines"}
	case errors.As(err, &status):
		return &ResponseError{Rule: "status"}
	case errors.As(err, &name):
		return &ResponseError{Rule: "field_name"}
	}
	return err
}

// isReusable reports whether an idle connection is open and has received no data since its last
// response.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if carried, ok := c.Conn.(*carriedConn); ok && carried.Buffered() > 0 {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		b := [1]byte{}
		_, err := syscall.Read(int(fd), b[:])
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}
