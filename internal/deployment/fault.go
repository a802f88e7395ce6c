package deployment

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// cuts are the peers whose answers an instance no longer gets.
type cuts struct {
	mu    sync.Mutex
	peers map[string]bool
}

func (c *cuts) has(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[address]
}

// SetSendBlocked discards, or delivers again, what the instance sends to a peer. The other direction is not affected.
func (in *Instance) SetSendBlocked(to netip.AddrPort, cut bool) {
	in.cuts.mu.Lock()
	defer in.cuts.mu.Unlock()
	if in.cuts.peers == nil {
		in.cuts.peers = map[string]bool{}
	}
	in.cuts.peers[to.String()] = cut
}

// cuttable wraps dial so that bytes to cut peers are swallowed, on open connections too.
func (in *Instance) cuttable(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if in.cuts.has(address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: c, in: in, address: address}, nil
	}
}

type cutConn struct {
	net.Conn
	in      *Instance
	address string
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.in.cuts.has(c.address) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// RestartInstance starts an instance again with its former name and peer address.
func (d *Deployment) RestartInstance(i int, seeds ...netip.AddrPort) error {
	var in *Instance
	var err error
	// The address is free as soon as the former instance's listener is closed.
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
