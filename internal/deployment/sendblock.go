package deployment

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// blockedPeers holds the addresses of the peers to which an instance's data is discarded.
type blockedPeers struct {
	mu        sync.Mutex
	addresses map[string]bool
}

func (b *blockedPeers) contains(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[address]
}

// SetSendBlocked discards, or delivers again, what the instance sends to a peer. The other direction is not affected.
func (in *Instance) SetSendBlocked(to netip.AddrPort, blocked bool) {
	in.blockedPeers.mu.Lock()
	defer in.blockedPeers.mu.Unlock()
	if in.blockedPeers.addresses == nil {
		in.blockedPeers.addresses = map[string]bool{}
	}
	in.blockedPeers.addresses[to.String()] = blocked
}

// discardWhenBlocked wraps dial so that data sent to blocked peers is discarded, on open connections too. Dialling a
// blocked peer does not return until ctx ends.
func (in *Instance) discardWhenBlocked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if in.blockedPeers.contains(address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &blockableConn{Conn: c, in: in, address: address}, nil
	}
}

type blockableConn struct {
	net.Conn
	in      *Instance
	address string
}

// Write sends p, or discards it while the peer is blocked.
func (c *blockableConn) Write(p []byte) (int, error) {
	if c.in.blockedPeers.contains(c.address) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// RestartInstance starts an instance again with its former name and peer address.
func (d *Deployment) RestartInstance(i int, seeds ...netip.AddrPort) error {
	var in *Instance
	var err error
	// The address becomes free when the former instance's listener is closed.
	for range 100 {
		if in, err = d.newInstance(i, d.Instances[i].PeerAddress.String()); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	in.Seeds = seeds
	d.mu.Lock()
	d.Instances[i] = in
	d.mu.Unlock()
	return d.runInstance(in)
}
