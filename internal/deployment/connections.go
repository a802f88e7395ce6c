package deployment

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/socket"
)

// connectionSet holds the connections of one instance, which can be paused or closed.
type connectionSet struct {
	deployment *Deployment
	instance   *Instance
	mu         sync.Mutex
	// resumed is nil unless the network is paused; ResumeNetwork closes it.
	resumed chan struct{}
	open    map[*pausableConn]netip.AddrPort
	// peerBytes counts the bytes, in both directions, on connections that this instance opened to other instances.
	peerBytes atomic.Int64
}

// PeerBytes returns the number of bytes carried, in both directions, by the connections that the instance opened to others.
func (in *Instance) PeerBytes() int64 { return in.connections.peerBytes.Load() }

// PauseNetwork holds back everything that the instance sends or receives until ResumeNetwork. Its timers
// keep running, as in a process that cannot reach the network; in a stopped process they would stop too.
func (in *Instance) PauseNetwork() {
	in.connections.mu.Lock()
	defer in.connections.mu.Unlock()
	in.connections.resumed = make(chan struct{})
}

// ResumeNetwork ends a PauseNetwork.
func (in *Instance) ResumeNetwork() {
	in.connections.mu.Lock()
	defer in.connections.mu.Unlock()
	close(in.connections.resumed)
	in.connections.resumed = nil
}

// Disconnect closes the connections between two instances and refuses new ones until Reconnect.
func (d *Deployment) Disconnect(a, b *Instance) {
	d.mu.Lock()
	if d.disconnected == nil {
		d.disconnected = map[[2]*Instance]bool{}
	}
	d.disconnected[[2]*Instance{a, b}], d.disconnected[[2]*Instance{b, a}] = true, true
	d.mu.Unlock()
	a.connections.closeTo(b.Network.Address())
	b.connections.closeTo(a.Network.Address())
}

// Reconnect allows connections between two instances again.
func (d *Deployment) Reconnect(a, b *Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.disconnected, [2]*Instance{a, b})
	delete(d.disconnected, [2]*Instance{b, a})
}

// canConnect reports whether an instance may connect to the address of another.
func (d *Deployment) canConnect(from *Instance, to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range d.Instances {
		if in.Network.Address() == to && d.disconnected[[2]*Instance{from, in}] {
			return false
		}
	}
	return true
}

func (s *connectionSet) closeTo(to netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, a := range s.open {
		if a == to {
			_ = c.Conn.Close()
		}
	}
}

func (s *connectionSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Conn.Close()
	}
}

// dialPeer connects to another instance unless the two are disconnected, and counts the bytes.
func (s *connectionSet) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil || !s.deployment.canConnect(s.instance, to) {
		return nil, net.ErrClosed
	}
	c, err := s.wrapDial((&net.Dialer{}).DialContext)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &s.peerBytes}, nil
}

// wrapDial wraps dial so that its connections belong to the set.
func (s *connectionSet) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		to, _ := netip.ParseAddrPort(address)
		return s.track(c, to), nil
	}
}

// track adds a connection to the set.
func (s *connectionSet) track(c net.Conn, to netip.AddrPort) net.Conn {
	tracked := &pausableConn{Conn: c, connections: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*pausableConn]netip.AddrPort{}
	}
	s.open[tracked] = to
	return tracked
}

func (s *connectionSet) wrapListener(ln net.Listener) net.Listener { return &pausableListener{ln, s} }

// waitResumed waits while the instance's network is paused.
func (s *connectionSet) waitResumed() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-s.deployment.ctx.Done():
	}
}

type pausableListener struct {
	net.Listener
	connections *connectionSet
}

// Accept returns the next connection, which is added to the set.
func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.track(c, netip.AddrPort{}), nil
}

type pausableConn struct {
	net.Conn
	connections *connectionSet
}

// Read returns no data while the network is paused.
func (c *pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.connections.waitResumed()
	return n, err
}

// Write sends nothing while the network is paused.
func (c *pausableConn) Write(b []byte) (int, error) {
	c.connections.waitResumed()
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the set.
func (c *pausableConn) Close() error {
	c.connections.mu.Lock()
	delete(c.connections.open, c)
	c.connections.mu.Unlock()
	return c.Conn.Close()
}

type countingConn struct {
	net.Conn
	total *atomic.Int64
}

// Read reads and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(int64(n))
	return n, err
}

// newKeyValueClient returns a client of the key-value service over the instance's own connections.
func (in *Instance) newKeyValueClient(d *Deployment) *platform.Client {
	client := d.KeyValueClient()
	client.HTTP = &http.Client{Transport: &http.Transport{DialContext: in.failWhenKilled(in.connections.wrapDial((&socket.Dialer{}).DialContext))}}
	return client
}
