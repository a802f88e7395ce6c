package callerconn

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainCheckInterval is the interval at which a drain closes the connections that have become idle.
	drainCheckInterval = 20 * time.Millisecond
	// drainIdleTime is how long a connection must have been idle until a drain closes it: one that was
	// opened or used more recently probably carries another request, whose answer announces the close.
	drainIdleTime = 500 * time.Millisecond
	// handlerEndTimeout bounds the time in which handlers end before their connections are closed.
	handlerEndTimeout = 100 * time.Millisecond
)

// OpenConnsError reports that a drain ended before all connections were closed.
type OpenConnsError struct {
	// Serving is the number of connections whose request was being served, of Open connections.
	Serving int
	Open    int
}

func (e *OpenConnsError) Error() string {
	return fmt.Sprintf("%d connections are open, %d of them with a request in progress", e.Open, e.Serving)
}

// HTTPServer serves HTTP/1.1 on TCP connections; set its exported fields before Serve.
//
// It does not use http.Server.Shutdown, which closes connections whose request is still being read
// and drops requests that are read while it begins.
type HTTPServer struct {
	Handler http.Handler
	// HeaderTimeout bounds the time in which a request's header must arrive, MaxHeaderBytes its size.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// WriteBufferBytes is the size of a connection's send buffer in the kernel; 0 means the default.
	WriteBufferBytes int
	// BaseContext returns the context from which those of requests derive; nil means the background.
	BaseContext func(net.Listener) context.Context
	// ReportUnanswered is called for each request that ends without an answer; nil if nobody asks.
	ReportUnanswered func(now time.Time, u Unanswered)

	server   http.Server
	initOnce sync.Once
	stopping atomic.Bool
	mu       sync.Mutex
	listener *listener
	conns    map[*conn]struct{}
	// cancelRequests ends the contexts of all requests; it is nil before Serve.
	cancelRequests context.CancelFunc
}

func (s *HTTPServer) init() {
	s.initOnce.Do(func() {
		s.conns = map[*conn]struct{}{}
		s.server = http.Server{
			Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: s.HeaderTimeout, MaxHeaderBytes: s.MaxHeaderBytes,
			BaseContext: s.baseContext, ConnState: s.onStateChange, ErrorLog: log.New(io.Discard, "", 0),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		}
	})
}

// baseContext returns the context from which those of all requests derive.
func (s *HTTPServer) baseContext(ln net.Listener) context.Context {
	ctx := context.Background()
	if s.BaseContext != nil {
		ctx = s.BaseContext(ln)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, s.cancelRequests = context.WithCancel(ctx)
	return ctx
}

// Serve accepts connections on ln until the server is drained or closed.
func (s *HTTPServer) Serve(ln net.Listener) error {
	s.init()
	l := &listener{Listener: ln, headerTimeout: s.HeaderTimeout, track: s.track, closed: make(chan struct{})}
	defer l.markClosed()
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

func (s *HTTPServer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	rw := &responseWriter{ResponseWriter: w, stopping: &s.stopping}
	s.Handler.ServeHTTP(rw, r)
	// net/http writes the header if the handler has not.
	rw.announceClose()
}

// track adds a connection that was accepted. net/http reports it later, so that a drain that relied on
// the report could end before it.
func (s *HTTPServer) track(c *conn) {
	if s.WriteBufferBytes > 0 {
		// A buffer of the default size works too.
		_ = c.SetWriteBuffer(s.WriteBufferBytes)
	}
	c.setIdle(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// onStateChange is the ConnState hook of net/http.
func (s *HTTPServer) onStateChange(nc net.Conn, state http.ConnState) {
	now := time.Now()
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.setServing()
	case http.StateIdle:
		c.setIdle(now)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		if u, ok := c.unanswered(now); ok && s.ReportUnanswered != nil {
			s.ReportUnanswered(now, u)
		}
	}
}

func (s *HTTPServer) openConns() []*conn {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// CloseIdle closes the connections that have been idle for longer than limit.
func (s *HTTPServer) CloseIdle(now time.Time, limit time.Duration) {
	for _, c := range s.openConns() {
		c.closeIfIdle(now, limit, IdleTimeout)
	}
}

// BeginStop makes each answer from now on announce that its connection will be closed.
func (s *HTTPServer) BeginStop() { s.stopping.Store(true) }

// Drain accepts the connections that callers have opened, then no more, and closes each connection
// that has no request. It returns nil once all are closed, and an OpenConnsError when ctx ends before.
func (s *HTTPServer) Drain(ctx context.Context) error {
	s.BeginStop()
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.closeWhenEmpty(ctx)
	}
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for now := time.Now(); ; {
		open, serving := s.closeAllIdle(now)
		if open == 0 {
			return nil
		}
		select {
		case now = <-tick.C:
		case <-ctx.Done():
			return &OpenConnsError{Serving: serving, Open: open}
		}
	}
}

// closeAllIdle closes the idle connections and counts those that are open and those that serve a
// request.
func (s *HTTPServer) closeAllIdle(now time.Time) (open, serving int) {
	for _, c := range s.openConns() {
		c.closeIfIdle(now, drainIdleTime, Stopping)
		open++
		if c.isServing() {
			serving++
		}
	}
	return open, serving
}

// Close closes all connections, also those with a request in progress.
//
// The contexts of requests end first, and handlers have handlerEndTimeout to end what they do for a caller, who may send the
// request to another instance as soon as the connection is closed.
func (s *HTTPServer) Close(reason Reason) error {
	for _, c := range s.openConns() {
		c.markClosed(reason)
	}
	s.mu.Lock()
	cancel := s.cancelRequests
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	for deadline := time.Now().Add(handlerEndTimeout); s.isServing() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return s.server.Close()
}

func (s *HTTPServer) isServing() bool {
	return slices.ContainsFunc(s.openConns(), (*conn).isServing)
}
