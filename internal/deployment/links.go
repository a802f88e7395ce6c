package deployment

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"bambooferry.example/bambooferry/internal/platform"
)

// links are the connections of one instance, which can be held up or cut.
type links struct {
	deployment *Deployment
	owner      *Instance
	mu         sync.Mutex
	// gate is closed unless the instance is frozen.
	gate chan struct{}
	open map[*gatedConn]netip.AddrPort
	// peerBytes counts what the links to other instances that this one opened carried both ways.
	peerBytes atomic.Int64
}

// PeerBytes returns how many bytes the links that the instance opened to others have carried.
func (in *Instance) PeerBytes() int64 { return in.links.peerBytes.Load() }

// PauseNetwork holds back everything that the instance sends or receives until ResumeNetwork. Its timers
// keep running, as in a process that cannot reach the network; in a stopped process they would stop too.
func (in *Instance) PauseNetwork() {
	in.links.mu.Lock()
	defer in.links.mu.Unlock()
	in.links.gate = make(chan struct{})
}

// ResumeNetwork ends a PauseNetwork.
func (in *Instance) ResumeNetwork() {
	in.links.mu.Lock()
	defer in.links.mu.Unlock()
	close(in.links.gate)
	in.links.gate = nil
}

// Disconnect closes the connections between two instances and refuses new ones until Reconnect.
func (d *Deployment) Disconnect(a, b *Instance) {
	d.mu.Lock()
	if d.cuts == nil {
		d.cuts = map[[2]*Instance]bool{}
	}
	d.cuts[[2]*Instance{a, b}], d.cuts[[2]*Instance{b, a}] = true, true
	d.mu.Unlock()
	a.links.closeTo(b.Network.Address())
	b.links.closeTo(a.Network.Address())
}

// Reconnect allows connections between two instances again.
func (d *Deployment) Reconnect(a, b *Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cuts, [2]*Instance{a, b})
	delete(d.cuts, [2]*Instance{b, a})
}

// reaches reports whether an instance may connect to another's address.
func (d *Deployment) reaches(from *Instance, to netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range d.Instances {
		if in.Network.Address() == to && d.cuts[[2]*Instance{from, in}] {
			return false
		}
	}
	return true
}

func (l *links) closeTo(to netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, a := range l.open {
		if a == to {
			_ = c.Conn.Close()
		}
	}
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Conn.Close()
	}
}

func (l *links) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil || !l.deployment.reaches(l.owner, to) {
		return nil, net.ErrClosed
	}
	c, err := l.gated((&net.Dialer{}).DialContext)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &l.peerBytes}, nil
}

func (l *links) gated(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		to, _ := netip.ParseAddrPort(address)
		return l.wrap(c, to), nil
	}
}

func (l *links) wrap(c net.Conn, to netip.AddrPort) net.Conn {
	g := &gatedConn{Conn: c, links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*gatedConn]netip.AddrPort{}
	}
	l.open[g] = to
	return g
}

func (l *links) listener(ln net.Listener) net.Listener { return &gatedListener{ln, l} }

// pass waits while the instance is frozen.
func (l *links) pass() {
	l.mu.Lock()
	gate := l.gate
	l.mu.Unlock()
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-l.deployment.ctx.Done():
	}
}

type gatedListener struct {
	net.Listener
	links *links
}

// Accept holds up connections while the instance is frozen.
func (g *gatedListener) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return g.links.wrap(c, netip.AddrPort{}), nil
}

type gatedConn struct {
	net.Conn
	links *links
}

// Read delivers nothing while the instance is frozen.
func (g *gatedConn) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.links.pass()
	return n, err
}

// Write sends nothing while the instance is frozen.
func (g *gatedConn) Write(b []byte) (int, error) {
	g.links.pass()
	return g.Conn.Write(b)
}

// Close also forgets the connection.
func (g *gatedConn) Close() error {
	g.links.mu.Lock()
	delete(g.links.open, g)
	g.links.mu.Unlock()
	return g.Conn.Close()
}

type countedConn struct {
	net.Conn
	n *atomic.Int64
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// store returns the instance's own client of the key-value service.
func (in *Instance) store(d *Deployment) *platform.Client {
	c := d.KeyValueClient()
	c.HTTP = &http.Client{Transport: &http.Transport{DialContext: in.dialer(in.links.gated((&net.Dialer{}).DialContext))}}
	return c
}
