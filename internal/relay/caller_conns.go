package relay

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConnTracker tracks which connections of callers are idle, and since when.
//
// It replaces http.Server.IdleTimeout, which cannot be changed when the table changes.
type callerConnTracker struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]struct{}
}

// onStateChange is the ConnState hook of an http.Server.
func (c *callerConnTracker) onStateChange(conn net.Conn, s http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince, c.active = map[net.Conn]time.Time{}, map[net.Conn]struct{}{}
	}
	delete(c.idleSince, conn)
	delete(c.active, conn)
	switch s {
	case http.StateIdle, http.StateNew:
		c.idleSince[conn] = now
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

// activeCount returns the number of connections that carry a request.
func (c *callerConnTracker) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// closeIdle closes the connections that have been idle for longer than limit.
func (c *callerConnTracker) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit {
			delete(c.idleSince, conn)
			// The server's own read returns the error of the closed connection.
			_ = conn.Close()
		}
	}
}
