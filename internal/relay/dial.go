package relay

import (
	"cmp"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/socket"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/link"
	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// dialTimeout bounds connection setup: some round trips within a region, and the target's own
	// delay of milliseconds.
	dialTimeout = 300 * time.Millisecond
	// carrierPatience is the time after which a further carrier is tried beside one that has not answered.
	carrierPatience = 80 * time.Millisecond
	// maxCarriers bounds the carriers that are tried for one connection, and maxCarriersAtOnce those at a time.
	maxCarriers       = 3
	maxCarriersAtOnce = 2
)

// UnreachableError reports that no connection to a target could be made over any path.
type UnreachableError struct {
	// Direct is the error of the direct connection, or nil if none was tried, and Carried that of the last carrier.
	Direct  error
	Carried error
}

func (e *UnreachableError) Error() string {
	if err := e.Unwrap(); err != nil {
		return "target unreachable: " + err.Error()
	}
	return "target unreachable"
}

// Unwrap returns the error of the direct connection, or that of the last carrier.
func (e *UnreachableError) Unwrap() error {
	if e.Direct != nil {
		return e.Direct
	}
	return e.Carried
}

// dialResult is the result of one connection setup in a race.
type dialResult struct {
	conn *conn
	err  error
	// direct is set for the direct connection.
	direct bool
}

// dialRace connects to a target over the first path that works.
type dialRace struct {
	pool    *connPool
	target  route.Target
	ctx     context.Context
	results chan dialResult
	// pending is the number of connection setups that have not ended, and pendingCarriers that of those through carriers.
	pending         int
	pendingCarriers int
	directStarted   bool
	carriers        []string
	failure         UnreachableError
}

// dial connects to a target, directly or through another instance.
func (p *connPool) dial(ctx context.Context, t route.Target) (*conn, error) {
	plan := p.Links.plan(time.Now(), t)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r := &dialRace{pool: p, target: t, ctx: ctx, results: make(chan dialResult, maxCarriers+2)}
	defer r.closeLosers()
	return r.run(plan)
}

// dialKnownPath connects to a target directly, or through another instance if the direct path is lost.
func (p *connPool) dialKnownPath(ctx context.Context, t route.Target) (*conn, error) {
	if !p.Links.lostSince(t).IsZero() {
		return p.dial(ctx, t)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dialDirect(ctx, t)
	if err != nil {
		return nil, err
	}
	return newConn(c, t, p.Links, ""), nil
}

func (r *dialRace) run(plan link.Plan) (*conn, error) {
	if plan.Direct {
		r.startDirect()
	}
	if plan.CarryAfter == 0 {
		r.startCarrier()
	}
	next := time.NewTimer(cmp.Or(plan.CarryAfter, carrierPatience))
	defer next.Stop()
	for r.pending > 0 || r.startDirect() {
		select {
		case result := <-r.results:
			r.pending--
			if !result.direct {
				r.pendingCarriers--
			}
			if result.err == nil {
				r.confirmFailure(result)
				return result.conn, nil
			}
			if r.recordFailure(result) {
				r.startCarrier()
			}
		case <-next.C:
			if r.startCarrier() {
				next.Reset(carrierPatience)
			}
		case <-r.ctx.Done():
			if r.failure.Direct == nil && r.failure.Carried == nil {
				r.failure.Direct = r.ctx.Err()
			}
			return nil, &r.failure
		}
	}
	return nil, &r.failure
}

// recordFailure keeps the error of a connection setup and reports whether a carrier may still succeed.
func (r *dialRace) recordFailure(result dialResult) bool {
	if result.direct {
		r.failure.Direct = result.err
		return len(r.carriers) == 0
	}
	r.failure.Carried = result.err
	refused := (*tunnel.ResultError)(nil)
	return !errors.As(result.err, &refused) || isCarrierRefusal(result.err) || refused.Result == tunnel.TargetUnknown
}

// startDirect starts the direct connection, and returns false if that was done before.
func (r *dialRace) startDirect() bool {
	if r.directStarted {
		return false
	}
	r.directStarted = true
	r.pending++
	// It goes on beside a carrier, so that it shows whether the path is lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), dialTimeout)
	go func() {
		defer cancel()
		c, err := r.pool.dialDirect(ctx, r.target)
		result := dialResult{err: err, direct: true}
		if err == nil {
			result.conn = newConn(c, r.target, r.pool.Links, "")
		}
		r.results <- result
	}()
	return true
}

// confirmFailure tries the direct connection once more if a carrier has reached the target before the first one did: the
// target may have come back between the two.
func (r *dialRace) confirmFailure(result dialResult) {
	if !result.direct && r.directStarted {
		r.directStarted = false
		r.startDirect()
	}
}

// startCarrier starts a connection through one more carrier, and returns false if there is none.
func (r *dialRace) startCarrier() bool {
	if len(r.carriers) >= maxCarriers || r.pendingCarriers >= maxCarriersAtOnce {
		return false
	}
	links := r.pool.Links
	carrier, ok := links.chooseCarrier(time.Now(), r.target.Pool, r.carriers)
	if !ok {
		return false
	}
	r.carriers = append(r.carriers, carrier.Name)
	r.pending++
	r.pendingCarriers++
	go func() {
		c, err := links.dialCarried(r.ctx, carrier, r.target, false)
		result := dialResult{err: err}
		if err == nil {
			result.conn = newConn(c, r.target, links, carrier.Name)
		}
		r.results <- result
	}()
	return true
}

// closeLosers keeps a direct connection that was established too late, and closes those through carriers.
func (r *dialRace) closeLosers() {
	pending := r.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			result := <-r.results
			switch {
			case result.conn == nil:
			case result.direct:
				r.pool.put(time.Now(), result.conn, 0)
			default:
				_ = result.conn.Close()
			}
		}
	}()
}

// dialDirect connects to a target from this instance, and records what that shows about the path.
func (p *connPool) dialDirect(ctx context.Context, t route.Target) (net.Conn, error) {
	links, startedAt := p.Links, time.Now()
	late := time.AfterFunc(link.VerdictTime, func() { links.recordFailed(time.Now(), startedAt, t) })
	defer late.Stop()
	d := socket.Dialer{Dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}}
	c, err := d.DialContext(ctx, "tcp", t.Address.String())
	now := time.Now()
	if p.ObserveDial != nil {
		p.ObserveDial(now.Sub(startedAt), err)
	}
	if err == nil {
		links.recordConnected(now, t)
	} else if !errors.Is(ctx.Err(), context.Canceled) {
		links.recordFailed(now, startedAt, t)
	}
	return c, err
}
