package relay

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// keepAliveInterval is the time without data after which the kernel probes whether a target's
	// machine is reachable, and the time between probes; it is the shortest that the kernel
	// accepts. Two are sent, since links lose packets.
	keepAliveInterval = time.Second
	// unackedTimeout bounds the time that sent data may stay unacknowledged. It also decides when the kernel gives up a
	// connection whose probes stay unanswered, whatever their number.
	unackedTimeout = 3 * time.Second
	// unreadTimeout is unackedTimeout while a body of more than maxUnreadBody is sent: the time for which a target that
	// reads late leaves the window full counts as well. A smaller body fits into the target's receive buffer.
	unreadTimeout = 10 * time.Second
	maxUnreadBody = 48 << 10
	// defaultIdleTime is how long a connection is kept if its target does not say how long it keeps
	// it.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the time that a target states, since its close may be under
	// way.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
	// tcpUserTimeout is the number of the TCP_USER_TIMEOUT option on Linux; package syscall does
	// not define it.
	tcpUserTimeout = 18
)

// connPool keeps idle connections to targets; set its exported fields before the first call.
type connPool struct {
	// Links decides over which path a connection is made.
	Links *Links
	// ObserveDial is called after each attempt to connect directly.
	ObserveDial func(took time.Duration, err error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// get returns an idle connection to a target that has not carried the request before, or a new one if there is none.
//
// Responses are matched to requests by the request's id, so a second copy of the response to a former attempt would be
// taken for that to this one.
func (p *connPool) get(ctx context.Context, t route.Target, requestID string) (*conn, error) {
	for {
		now := time.Now()
		c := p.popIdle(now, t.Address, requestID)
		if c == nil {
			return p.dial(ctx, t)
		}
		if !p.Links.mayReuse(now, t, c) {
			_ = c.Close()
			continue
		}
		if c.isReusable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *connPool) popIdle(now time.Time, address netip.AddrPort, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		expired := !now.Before(c.idleUntil)
		if !expired && c.hasCarried(requestID) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		if !expired {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection whose last response was read completely.
func (p *connPool) put(now time.Time, c *conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = defaultIdleTime + idleMargin
	}
	c.idleUntil = now.Add(keepAlive - idleMargin)
	c.onSilence, c.nextCheck = nil, time.Time{}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	list := p.idle[c.address]
	if len(list) >= maxIdlePerTarget || len(c.carried) >= maxCarried || !now.Before(c.idleUntil) {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// closeIdle closes the idle connections to a target.
func (p *connPool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// closeExpired closes the connections that must no longer be used.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && (c.carrier == "" || p.Links.isCarrierUsable(now, c.carrier, c.pool)) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
