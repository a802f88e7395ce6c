package deployment

import (
	"context"
	"net"
	"sync"
)

// peerGate admits an instance's connections with other instances, or closes and refuses them while it is closed.
type peerGate struct {
	mu     sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

// SetPartitioned disconnects the instance from all other instances, or reconnects it. Targets and platform stay reachable.
func (in *Instance) SetPartitioned(partitioned bool) {
	in.peerGate.mu.Lock()
	defer in.peerGate.mu.Unlock()
	in.peerGate.closed = partitioned
	if partitioned {
		for c := range in.peerGate.open {
			_ = c.Close()
		}
		clear(in.peerGate.open)
	}
}

// admit registers a connection, or closes it and returns false if the gate is closed.
func (g *peerGate) admit(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = c.Close()
		return false
	}
	if g.open == nil {
		g.open = map[net.Conn]struct{}{}
	}
	g.open[c] = struct{}{}
	return true
}

// wrapDial wraps dial so that it fails while the gate is closed.
func (g *peerGate) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil && !g.admit(c) {
			return nil, net.ErrClosed
		}
		return c, err
	}
}

// admittingListener accepts connections only while its gate is open.
type admittingListener struct {
	net.Listener
	gate *peerGate
}

// Accept returns the next connection that the gate admits.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.gate.admit(c) {
			return c, err
		}
	}
}
