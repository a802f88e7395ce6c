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

// Default limits of a Network.
const (
	DefaultMaxMessage = 2 << 20
	DefaultMaxInbound = 1024
	maxCallsPerLink   = 256
	// writeTimeout bounds how long a peer that does not read can block a call.
	writeTimeout = 2 * time.Second
)

// CallError reports that a call to a peer failed.
type CallError struct {
	Peer   netip.AddrPort
	Method string
	// MaybeSent is false when the request was certainly not sent to the peer.
	MaybeSent bool
	Err       error
}

func (e *CallError) Error() string {
	return "peer " + e.Peer.String() + ": " + e.Method + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// PlaintextError reports that an unencrypted link beyond the loopback interface was refused.
type PlaintextError struct{ Peer netip.AddrPort }

func (e *PlaintextError) Error() string {
	return "unencrypted link to " + e.Peer.String() + ": only loopback addresses may be called without TLS keys"
}

// Network calls other instances and serves their calls; set its exported fields before Run.
type Network struct {
	// Listener accepts connections from other instances.
	Listener net.Listener
	// TLS returns the configuration of a new link; nil means unencrypted connections.
	TLS func() *tls.Config
	// AllowPlaintext permits unencrypted connections beyond the loopback interface, for deployments
	// whose network between instances is private. It has no effect with TLS.
	AllowPlaintext bool
	// DialTimeout bounds the set-up of outgoing links and the TLS handshake of inbound ones.
	DialTimeout time.Duration
	// Dial opens connections; nil means the net package's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxMessage bounds the bytes of one message, and MaxInbound the inbound connections.
	MaxMessage int
	MaxInbound int

	server  *rpc.Server
	once    sync.Once
	mu      sync.Mutex
	closed  bool
	links   map[netip.AddrPort]*link
	inbound map[net.Conn]struct{}
	group   sync.WaitGroup
}

// Register publishes the methods of a service under a name, by the rules of net/rpc.
//
// A message with a method Check() error is validated when it is decoded; an invalid
// message changes nothing and closes the link.
func (n *Network) Register(name string, service any) error {
	n.init()
	return n.server.RegisterName(name, service)
}

func (n *Network) init() {
	n.once.Do(func() {
		n.server = rpc.NewServer()
		n.links, n.inbound = map[netip.AddrPort]*link{}, map[net.Conn]struct{}{}
		if n.MaxMessage == 0 {
			n.MaxMessage = DefaultMaxMessage
		}
		if n.MaxInbound == 0 {
			n.MaxInbound = DefaultMaxInbound
		}
	})
}

// Address returns the address at which other instances connect to this one.
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
			// The listener was closed by the shutdown, which is not an error.
			if err == nil {
				_ = c.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		if !n.addInbound(c) {
			_ = c.Close()
			continue
		}
		n.group.Go(func() {
			defer n.removeInbound(c)
			n.serveConn(ctx, c)
		})
	}
}

// addInbound registers an inbound connection and reports whether it is accepted.
func (n *Network) addInbound(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.inbound) >= n.MaxInbound {
		return false
	}
	n.inbound[c] = struct{}{}
	return true
}

func (n *Network) removeInbound(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, c)
	closeNow(c)
}

func (n *Network) serveConn(ctx context.Context, c net.Conn) {
	if n.TLS != nil {
		tlsConn := tls.Server(c, n.TLS())
		handshakeCtx, cancel := context.WithTimeout(ctx, n.DialTimeout)
		err := tlsConn.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			return
		}
		c = tlsConn
	}
	n.server.ServeCodec(&serverCodec{gobConn: newGobConn(writeTimeoutConn{c}, n.MaxMessage), callPermits: make(chan struct{}, maxCallsPerLink)})
}

// writeTimeoutConn is a connection whose writes fail after writeTimeout if the peer does not read.
type writeTimeoutConn struct{ net.Conn }

func (c writeTimeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

func (c writeTimeoutConn) Close() error {
	closeNow(c.Conn)
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
	for c := range n.inbound {
		closeNow(c)
	}
}

// Call calls a method of a peer; every error is a *CallError.
func (n *Network) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	n.init()
	for attempt := 0; ; attempt++ {
		l, isNew, err := n.getLink(ctx, to)
		if err != nil {
			return &CallError{Peer: to, Method: method, Err: err}
		}
		startedAt := time.Now()
		maybeSent, err := l.call(ctx, method, args, reply)
		n.finishCall(to, l, l.reusableAfter(err, startedAt))
		if err == nil {
			return nil
		}
		// If a reused link proves dead before the request was sent, it is replaced once.
		if maybeSent || isNew || attempt > 0 || ctx.Err() != nil {
			return &CallError{Peer: to, Method: method, MaybeSent: maybeSent, Err: err}
		}
	}
}

// getLink returns a link to a peer, with its pending calls incremented, and reports whether it is new.
func (n *Network) getLink(ctx context.Context, to netip.AddrPort) (*link, bool, error) {
	if l := n.existingLink(to); l != nil {
		return l, false, nil
	}
	conn, err := n.dialPeer(ctx, to)
	if err != nil {
		return nil, false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		closeNow(conn)
		return nil, false, net.ErrClosed
	}
	if l := n.links[to]; l != nil {
		closeNow(conn)
		l.pending++
		return l, false, nil
	}
	l := &link{conn: newGobConn(writeTimeoutConn{conn}, n.MaxMessage), pending: 1}
	l.client = rpc.NewClientWithCodec(clientCodec{l.conn})
	n.links[to] = l
	return l, true, nil
}

// existingLink returns the link to a peer, with its pending calls incremented, or nil if there is none.
func (n *Network) existingLink(to netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to]
	if l != nil {
		l.pending++
	}
	return l
}

func (n *Network) dialPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
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
	tlsConn := tls.Client(conn, n.TLS())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		closeNow(conn)
		return nil, err
	}
	return tlsConn, nil
}

// finishCall records the end of a call. A link that is not reusable gets no further calls and is
// closed when its last pending call ends.
func (n *Network) finishCall(to netip.AddrPort, l *link, reusable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.pending--
	if !reusable {
		l.retired = true
		if n.links[to] == l {
			delete(n.links, to)
		}
	}
	if l.retired && l.pending == 0 {
		_ = l.client.Close()
	}
}
