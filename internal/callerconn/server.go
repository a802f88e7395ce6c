package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HTTPServer serves HTTP/1.1 on TCP connections; set its exported fields before Serve.
type HTTPServer struct {
	Handler http.Handler
	// HeaderTimeout bounds the time in which a request's header must arrive, MaxHeaderBytes its size.
	HeaderTimeout  time.Duration
	MaxHeaderBytes int
	// ReportUnanswered is called for each request that ends without an answer; nil if nobody asks.
	ReportUnanswered func(now time.Time, u Unanswered)

	server   http.Server
	initOnce sync.Once
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

func (s *HTTPServer) init() {
	s.initOnce.Do(func() {
		s.conns = map[*conn]struct{}{}
		s.server = http.Server{
			Handler: s.Handler, ReadHeaderTimeout: s.HeaderTimeout, MaxHeaderBytes: s.MaxHeaderBytes, ConnState: s.onStateChange,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		}
	})
}

// Serve accepts connections on ln until the server is shut down or closed.
func (s *HTTPServer) Serve(ln net.Listener) error {
	s.init()
	if err := s.server.Serve(&listener{ln}); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
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
		c.setIdle(now)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[c] = struct{}{}
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
		c.closeIfIdle(now, limit)
	}
}

// ServingCount returns the number of connections whose request is being served.
func (s *HTTPServer) ServingCount() int {
	n := 0
	for _, c := range s.openConns() {
		if c.isServing() {
			n++
		}
	}
	return n
}

// Shutdown accepts no more connections and waits for the requests in progress until ctx ends.
func (s *HTTPServer) Shutdown(ctx context.Context) error {
	s.init()
	return s.server.Shutdown(ctx)
}

// Close closes all connections.
func (s *HTTPServer) Close(reason Reason) error {
	s.init()
	for _, c := range s.openConns() {
		c.markClosed(reason)
	}
	return s.server.Close()
}
