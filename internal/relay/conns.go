package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the set-up of a connection: some round trips of a region, and the
	// target's own delay of milliseconds.
	dialTimeout = 300 * time.Millisecond
	// probeIdle is the time without data after which the kernel asks whether a target's machine
	// is there, and between two such probes; it is the shortest that the kernel takes. Two are sent, since
	// links lose packets.
	probeIdle = time.Second
	// unackedTimeout bounds the time that sent data may stay unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// idleDefault is how long a connection is kept to a target that does not say how long it keeps it.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the time that a target says, since its close may be under way.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 16
	// tcpUserTimeout is the option's number on Linux; package syscall does not name it.
	tcpUserTimeout = 18
)

// connPool keeps idle connections to targets; set its exported fields before the first call.
type connPool struct {
	// Opened is told of each new connection.
	Opened func(took time.Duration, err error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// take returns a connection to a target, a kept one if there is one.
func (p *connPool) take(ctx context.Context, to netip.AddrPort) (*conn, error) {
	for {
		c := p.pop(time.Now(), to)
		if c == nil {
			return p.dial(ctx, to)
		}
		if c.quiet() {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *connPool) dial(ctx context.Context, to netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	begun := time.Now()
	c, err := d.DialContext(ctx, "tcp", to.String())
	if p.Opened != nil {
		p.Opened(time.Since(begun), err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(c, to), nil
}

func (p *connPool) pop(now time.Time, to netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[to] = list
		if now.Before(c.idleUntil) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection whose last answer was read whole.
func (p *connPool) put(now time.Time, c *conn, keep time.Duration) {
	if keep == 0 {
		keep = idleDefault + idleMargin
	}
	c.idleUntil = now.Add(keep - idleMargin)
	c.silence, c.wake = nil, time.Time{}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	list := p.idle[c.to]
	if len(list) >= maxIdle || !now.Before(c.idleUntil) {
		_ = c.Close()
		return
	}
	p.idle[c.to] = append(list, c)
}

// drop closes the idle connections to a target.
func (p *connPool) drop(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		_ = c.Close()
	}
	delete(p.idle, to)
}

// sweep closes the connections that must not be used any more.
func (p *connPool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = kept
	}
}
