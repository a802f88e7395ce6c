package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/tunnel"
)

const (
	// carriedDialTimeout bounds the connection to a target for another instance, which needs the time to ask a further
	// one within dialTimeout.
	carriedDialTimeout = 120 * time.Millisecond
	// soundLinkWait bounds the wait for data that shows that the own links are sound.
	soundLinkWait = 100 * time.Millisecond
	// soundLinkInterval is the time between two looks for such data.
	soundLinkInterval = 10 * time.Millisecond
)

// ConnectForOther connects to a target directly for another instance. It reports a target that does not respond as
// unreachable only if data from its pool shows that the own links are sound; if confirm is set, the same holds for one
// that refuses connections.
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
		sound = r.awaitContact(ctx, t.Pool, time.Now())
	} else if refused {
		sound = true
	}
	if !sound {
		return nil, tunnel.ErrLinksLost
	}
	return nil, err
}

// awaitContact waits until data came from a pool over a direct connection after a time, and reports whether it did.
func (r *Relay) awaitContact(ctx context.Context, pool string, since time.Time) bool {
	deadline := since.Add(soundLinkWait)
	for !r.Links.contactAt(pool).After(since) {
		if time.Now().After(deadline) || !sleepFor(ctx, soundLinkInterval) {
			return false
		}
	}
	return true
}
