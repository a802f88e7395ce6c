package relay

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns knows which connections of callers are idle, and since when.
//
// It takes the place of http.Server.IdleTimeout, which cannot change with the table.
type callerConns struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
	busy map[net.Conn]struct{}
}

// state is an http.Server's ConnState hook.
func (c *callerConns) state(conn net.Conn, s http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle, c.busy = map[net.Conn]time.Time{}, map[net.Conn]struct{}{}
	}
	delete(c.idle, conn)
	delete(c.busy, conn)
	switch s {
	case http.StateIdle, http.StateNew:
		c.idle[conn] = now
	case http.StateActive:
		c.busy[conn] = struct{}{}
	}
}

// active returns the number of connections that carry a request.
func (c *callerConns) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// sweep closes the connections that were idle for longer than limit.
func (c *callerConns) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			delete(c.idle, conn)
			// The server's own read returns the error of the closed connection.
			_ = conn.Close()
		}
	}
}
