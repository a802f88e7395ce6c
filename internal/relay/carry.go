package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// carriedDialTimeout bounds the connection to a target for another instance, which needs the time to ask a further
	// one within dialTimeout.
	carriedDialTimeout = 120 * time.Millisecond
)

// ConnectForOther connects to a target directly for another instance. It reports a target that does not respond as
// unreachable only if data from its pool shows that the own links are sound. If confirm is set, it reports one that refuses
// connections only if another target of the pool is reached.
func (r *Relay) ConnectForOther(ctx context.Context, id string, confirm bool) (net.Conn, error) {
	r.init()
	t, ok := r.Targets.findTarget(id)
	switch {
	case !ok:
		return nil, tunnel.ErrUnknownTarget
	case r.Links.poolLost(t.Pool):
		return nil, tunnel.ErrLinksLost
	}
	startedAt := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, carriedDialTimeout)
	defer cancel()
	c, err := r.targetConns.dialDirect(dialCtx, t)
	if err == nil {
		return c, nil
	}
	sound := r.Links.contactAt(t.Pool).After(startedAt)
	if refused := errors.Is(err, syscall.ECONNREFUSED); refused && confirm {
		sound = r.linksAreSound(ctx, t, time.Now())
	} else if refused {
		sound = true
	}
	if !sound {
		return nil, tunnel.ErrLinksLost
	}
	return nil, err
}

// maxLinkChecks is the number of other targets that are connected to in one check of the links. Some may have ended as well, and
// refuse connections at once.
const maxLinkChecks = 3

// linksAreSound reports whether another target of a target's pool is reached directly after a time; if there is no other
// one, nothing speaks against it.
func (r *Relay) linksAreSound(ctx context.Context, t route.Target, since time.Time) bool {
	others := r.Targets.othersOf(since, t, maxLinkChecks)
	if len(others) == 0 || r.Links.contactAt(t.Pool).After(since) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, carriedDialTimeout)
	defer cancel()
	for _, other := range others {
		if c, err := r.targetConns.dialDirect(ctx, other); err == nil {
			r.targetConns.put(time.Now(), newConn(c, other, r.Links, ""), 0)
			return true
		}
	}
	return false
}
