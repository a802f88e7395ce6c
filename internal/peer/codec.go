package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// checker is implemented by messages that validate themselves after decoding.
type checker interface{ Check() error }

// SizeError reports that a message exceeds the size limit.
type SizeError struct{ Limit int }

func (e *SizeError) Error() string { return "message exceeds the size limit" }

// messageReader reads consecutive messages, each up to a size limit. It implements
// io.ByteReader so that gob adds no buffer that reads past the end of a message.
type messageReader struct {
	src       *bufio.Reader
	limit     int
	remaining int
	// lastRead is when bytes were last received, in Unix nanoseconds.
	lastRead atomic.Int64
}

func (r *messageReader) startMessage() { r.remaining = r.limit }

func (r *messageReader) Read(p []byte) (int, error) {
	// gob requests a whole message, or a chunk that is larger than any limit used here.
	if len(p) > r.remaining {
		return 0, &SizeError{r.limit}
	}
	n, err := r.src.Read(p)
	r.remaining -= n
	r.lastRead.Store(time.Now().UnixNano())
	return n, err
}

func (r *messageReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, &SizeError{r.limit}
	}
	c, err := r.src.ReadByte()
	r.remaining--
	return c, err
}

// gobConn reads and writes the gob messages of one link.
type gobConn struct {
	conn      io.ReadWriteCloser
	in        messageReader
	dec       *gob.Decoder
	writeBuf  bytes.Buffer
	enc       *gob.Encoder
	closeOnce sync.Once
}

func newGobConn(conn io.ReadWriteCloser, limit int) *gobConn {
	c := &gobConn{conn: conn}
	c.in.src, c.in.limit = bufio.NewReader(conn), limit
	c.dec, c.enc = gob.NewDecoder(&c.in), gob.NewEncoder(&c.writeBuf)
	return c
}

// readHeader waits for a message and decodes its header; the rest of the message must
// arrive within messageReadTimeout.
func (c *gobConn) readHeader(v any) error {
	c.in.startMessage()
	c.setReadDeadline(time.Time{})
	if _, err := c.in.src.Peek(1); err != nil {
		return err
	}
	c.setReadDeadline(time.Now().Add(messageReadTimeout))
	return c.dec.Decode(v)
}

func (c *gobConn) setReadDeadline(deadline time.Time) {
	if d, ok := c.conn.(interface{ SetReadDeadline(t time.Time) error }); ok {
		_ = d.SetReadDeadline(deadline)
	}
}

// readBody decodes and validates a message body; after any error the link is unusable.
func (c *gobConn) readBody(v any) error {
	if v == nil {
		return c.dec.DecodeValue(reflect.Value{})
	}
	if err := c.dec.Decode(v); err != nil {
		return err
	}
	if k, ok := v.(checker); ok {
		return k.Check()
	}
	return nil
}

// writeMessage sends a header and a body in a single write; beforeWrite is called before
// the first byte is sent.
func (c *gobConn) writeMessage(header, body any, beforeWrite func()) error {
	c.writeBuf.Reset()
	err := c.enc.Encode(header)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil && c.writeBuf.Len() > c.in.limit {
		err = &SizeError{c.in.limit}
	}
	if err != nil {
		// The encoder assumes that it has sent type definitions that were never written.
		_ = c.close()
		return errors.Wrap(err, "encode")
	}
	beforeWrite()
	_, err = c.conn.Write(c.writeBuf.Bytes())
	if c.writeBuf.Cap() > maxKeptWriteBuffer {
		c.writeBuf = bytes.Buffer{}
	}
	return err
}

// messageReadTimeout bounds the time from the first to the last byte of a message.
const messageReadTimeout = 10 * time.Second

// maxKeptWriteBuffer is the largest write buffer, in bytes, that a link keeps for reuse.
const maxKeptWriteBuffer = 64 << 10

func (c *gobConn) close() error {
	var err error
	c.closeOnce.Do(func() { err = c.conn.Close() })
	return err
}

// outgoingRequest is the body of a request with a flag that is set once it may have been sent.
type outgoingRequest struct {
	body      any
	maybeSent *atomic.Bool
}

// clientCodec implements rpc.ClientCodec, the calling side of a link.
type clientCodec struct{ *gobConn }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	request := body.(*outgoingRequest)
	return c.writeMessage(r, request.body, func() { request.maybeSent.Store(true) })
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

func (c clientCodec) ReadResponseBody(v any) error {
	err := c.readBody(v)
	if err != nil {
		_ = c.close()
	}
	return err
}

func (c clientCodec) Close() error { return c.close() }

// serverCodec implements rpc.ServerCodec, the serving side of a link.
type serverCodec struct {
	*gobConn
	// callPermits bounds the calls in progress on the link.
	callPermits chan struct{}
	broken      atomic.Bool
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.broken.Load() {
		return io.EOF
	}
	c.callPermits <- struct{}{}
	err := c.readHeader(r)
	if err != nil {
		<-c.callPermits
		// net/rpc would log any other error, which it cannot distinguish from the end of the link.
		return io.EOF
	}
	return nil
}

func (c *serverCodec) ReadRequestBody(v any) error {
	err := c.readBody(v)
	if err != nil {
		c.broken.Store(true)
	}
	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error {
	defer func() { <-c.callPermits }()
	if c.broken.Load() {
		_ = c.close()
		return nil
	}
	err := c.writeMessage(r, v, func() {})
	if err != nil {
		_ = c.close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.close() }

// closeNow closes a connection without waiting for a peer that may never read.
func closeNow(c net.Conn) { _ = c.SetDeadline(time.Now()); _ = c.Close() }
