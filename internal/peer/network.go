package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"
)

// Bounds that hold when nothing else is set.
const (
	DefaultMaxMessage = 2 << 20
	DefaultMaxInbound = 1024
	callsPerLink      = 256
	// writeWait bounds how long a call can be held up by a peer that does not read.
	writeWait = 2 * time.Second
)

// CallError tells that a call to a peer failed.
type CallError struct {
	Peer   netip.AddrPort
	Method string
	// MaybeSent is false when the call has certainly not left for the peer.
	MaybeSent bool
	Err       error
}

func (e *CallError) Error() string {
	return "peer " + e.Peer.String() + ": " + e.Method + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// PlaintextError tells that a plain link beyond the loopback interface was refused.
type PlaintextError struct{ Peer netip.AddrPort }

func (e *PlaintextError) Error() string {
	return "plain link to " + e.Peer.String() + ": only loopback addresses may be called without keys"
}

// Network calls other instances and serves their calls; set its exported fields before Run.
type Network struct {
	// Listener takes connections of other instances.
	Listener net.Listener
	// TLS returns the settings of each new link; nil means plain connections.
	TLS func() *tls.Config
	// AllowPlaintext permits plain connections beyond the loopback interface, for deployments whose
	// network between instances is private. It has no effect with TLS.
	AllowPlaintext bool
	// DialTimeout bounds the set-up of a link, in both directions.
	DialTimeout time.Duration
	// Dial opens connections; nil means the net package's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxMessage bounds the bytes of one message, and MaxInbound the connections of others.
	MaxMessage int
	MaxInbound int

	server *rpc.Server
	once   sync.Once
	mu     sync.Mutex
	closed bool
	links  map[netip.AddrPort]*link
	taken  map[net.Conn]struct{}
	group  sync.WaitGroup
}

// Register offers the methods of a service under a name, by the rules of net/rpc.
//
// A message with a method Check() error is checked when it is decoded; a message that
// fails changes nothing and closes the link.
func (n *Network) Register(name string, service any) error {
	n.init()
	return n.server.RegisterName(name, service)
}

func (n *Network) init() {
	n.once.Do(func() {
		n.server = rpc.NewServer()
		n.links, n.taken = map[netip.AddrPort]*link{}, map[net.Conn]struct{}{}
		if n.MaxMessage == 0 {
			n.MaxMessage = DefaultMaxMessage
		}
		if n.MaxInbound == 0 {
			n.MaxInbound = DefaultMaxInbound
		}
	})
}

// Address returns the address at which other instances reach this one.
func (n *Network) Address() netip.AddrPort {
	return n.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves the calls of other instances until ctx ends, then closes all links.
func (n *Network) Run(ctx context.Context) error {
	n.init()
	ctx, cancel := context.WithCancel(ctx)
	defer n.group.Wait()
	defer cancel()
	n.group.Go(func() {
		<-ctx.Done()
		_ = n.Listener.Close()
		n.closeAll()
	})
	for {
		c, err := n.Listener.Accept()
		if ctx.Err() != nil {
			// The listener was closed for the stop, which is no fault of its own.
			if err == nil {
				_ = c.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		if !n.take(c) {
			_ = c.Close()
			continue
		}
		n.group.Go(func() {
			defer n.release(c)
			n.serve(ctx, c)
		})
	}
}

func (n *Network) take(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.taken) >= n.MaxInbound {
		return false
	}
	n.taken[c] = struct{}{}
	return true
}

func (n *Network) release(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.taken, c)
	closeConn(c)
}

func (n *Network) serve(ctx context.Context, c net.Conn) {
	if n.TLS != nil {
		secured := tls.Server(c, n.TLS())
		shake, cancel := context.WithTimeout(ctx, n.DialTimeout)
		err := secured.HandshakeContext(shake)
		cancel()
		if err != nil {
			return
		}
		c = secured
	}
	n.server.ServeCodec(&serverCodec{coder: newCoder(timed{c}, n.MaxMessage), places: make(chan struct{}, callsPerLink)})
}

// timed is a connection whose writes do not wait for ever for a peer that does not read.
type timed struct{ net.Conn }

func (t timed) Write(p []byte) (int, error) {
	_ = t.SetWriteDeadline(time.Now().Add(writeWait))
	return t.Conn.Write(p)
}

func (t timed) Close() error {
	closeConn(t.Conn)
	return nil
}

func (n *Network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for a, l := range n.links {
		_ = l.client.Close()
		delete(n.links, a)
	}
	for c := range n.taken {
		closeConn(c)
	}
}

// Call calls a method of a peer; any error is a *CallError.
func (n *Network) Call(ctx context.Context, to netip.AddrPort, method string, in, out any) error {
	n.init()
	for try := 0; ; try++ {
		l, fresh, err := n.link(ctx, to)
		if err != nil {
			return &CallError{Peer: to, Method: method, Err: err}
		}
		begun := time.Now()
		sent, err := l.call(ctx, method, in, out)
		n.done(to, l, l.usable(err, begun))
		if err == nil {
			return nil
		}
		// A kept link that turns out dead before the call left is replaced once.
		if sent || fresh || try > 0 || ctx.Err() != nil {
			return &CallError{Peer: to, Method: method, MaybeSent: sent, Err: err}
		}
	}
}

// link returns the link to a peer with one more pending call, and whether it is new.
func (n *Network) link(ctx context.Context, to netip.AddrPort) (*link, bool, error) {
	if l := n.kept(to); l != nil {
		return l, false, nil
	}
	conn, err := n.open(ctx, to)
	if err != nil {
		return nil, false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		closeConn(conn)
		return nil, false, net.ErrClosed
	}
	if l := n.links[to]; l != nil {
		closeConn(conn)
		l.pending++
		return l, false, nil
	}
	l := &link{coder: newCoder(timed{conn}, n.MaxMessage), pending: 1}
	l.client = rpc.NewClientWithCodec(clientCodec{l.coder})
	n.links[to] = l
	return l, true, nil
}

func (n *Network) kept(to netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to]
	if l != nil {
		l.pending++
	}
	return l
}

func (n *Network) open(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if n.TLS == nil && !n.AllowPlaintext && !to.Addr().IsLoopback() {
		return nil, &PlaintextError{Peer: to}
	}
	ctx, cancel := context.WithTimeout(ctx, n.DialTimeout)
	defer cancel()
	dial := n.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", to.String())
	if err != nil || n.TLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, n.TLS())
	if err := secured.HandshakeContext(ctx); err != nil {
		closeConn(conn)
		return nil, err
	}
	return secured, nil
}

// done ends a call; a link that is not usable takes no more, and closes with its last call.
func (n *Network) done(to netip.AddrPort, l *link, usable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.pending--
	if !usable {
		l.retired = true
		if n.links[to] == l {
			delete(n.links, to)
		}
	}
	if l.retired && l.pending == 0 {
		_ = l.client.Close()
	}
}
