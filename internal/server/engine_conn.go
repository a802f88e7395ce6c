package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

const (
	// connBufferBytes is the size of the read buffer of an engine's connection.
	connBufferBytes = 2 << 10
	// engineSocketBytes is the size requested for the kernel's receive buffer of an engine's connection.
	// With 16 KiB, less than a segment of 64 KiB on loopback, an answer arrived at only some 100 KB/s, since
	// each window update waited for a timer. After a reader stops, the buffer is held only for detach_after.
	engineSocketBytes = 64 << 10
	// maxHeaderBytes bounds the header of a target's response and the informational ones before it.
	maxHeaderBytes = header.MaxBytes
	// lateAnswerWait bounds the wait for the response of an engine that did not read the whole request.
	lateAnswerWait = 100 * time.Millisecond
)

// engineConn is a connection for one request to an engine.
//
// http.Transport is not used: it reads and writes each connection in separate goroutines,
// which with their buffers hold 16 KiB while the reader has stopped. They bring no benefit,
// since connections are not reused.
type engineConn struct {
	net.Conn
	header header.Reader
	// stopWatch stops watching the context.
	stopWatch func() bool
}

// dialEngine opens a connection to an engine that is closed when ctx ends.
func (s *Server) dialEngine(ctx context.Context, t catalogue.Target) (*engineConn, error) {
	conn, err := s.calls.dial(ctx, "tcp", t.Address.String())
	if err != nil {
		return nil, err
	}
	if b, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = b.SetReadBuffer(engineSocketBytes)
	}
	c := &engineConn{Conn: conn, header: header.Reader{Src: conn}}
	c.stopWatch = context.AfterFunc(ctx, func() { socket.GiveUp(conn) })
	return c, nil
}

// roundTrip sends the request and reads the response's header; the response's body ends with the connection.
func (c *engineConn) roundTrip(r *http.Request) (*http.Response, error) {
	r.Close = true
	sendErr := r.Write(c.Conn)
	if sendErr != nil {
		// An engine that refuses early may answer and close without reading all of the body.
		_ = c.SetReadDeadline(time.Now().Add(lateAnswerWait))
	}
	in := bufio.NewReaderSize(&c.header, connBufferBytes)
	for begin := c.header.Begin; ; begin = c.header.Next {
		buffered, _ := in.Peek(in.Buffered())
		if err := begin(buffered); err != nil {
			return nil, err
		}
		res, err := header.ReadResponse(in, r)
		switch {
		case err != nil && sendErr != nil:
			return nil, sendErr
		case err != nil:
			return nil, err
		case sendErr != nil && res.StatusCode == http.StatusOK:
			return nil, sendErr
		case res.StatusCode >= http.StatusOK:
			c.header.End()
			return res, nil
		}
	}
}

// Close closes the connection.
func (c *engineConn) Close() error {
	c.stopWatch()
	return c.Conn.Close()
}

// onceBody is a request body that releases its data once it has been sent.
//
// The request stays referenced until the response has ended; with a bytes.Reader it would keep
// a second copy of the prompt.
type onceBody struct{ data []byte }

// Read reads the next bytes.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.data = nil
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close releases the data that was not sent.
func (b *onceBody) Close() error {
	b.data = nil
	return nil
}
