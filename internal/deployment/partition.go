package deployment

import (
	"context"
	"net"
	"sync"
)

// gate passes an instance's connections with other instances, or ends and refuses them.
type gate struct {
	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]struct{}
}

// SetPartitioned disconnects the instance from all other instances, or reconnects it. Targets and platform stay reachable.
func (in *Instance) SetPartitioned(on bool) {
	in.gate.mu.Lock()
	defer in.gate.mu.Unlock()
	in.gate.shut = on
	if on {
		for c := range in.gate.conns {
			_ = c.Close()
		}
		clear(in.gate.conns)
	}
}

// take admits a connection unless the gate is shut.
func (g *gate) take(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		_ = c.Close()
		return false
	}
	if g.conns == nil {
		g.conns = map[net.Conn]struct{}{}
	}
	g.conns[c] = struct{}{}
	return true
}

func (g *gate) dialer(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil && !g.take(c) {
			return nil, net.ErrClosed
		}
		return c, err
	}
}

// admittingListener accepts only while its gate is open.
type admittingListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection that the gate admits.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.gate.take(c) {
			return c, err
		}
	}
}
