package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// presenceTTL is how long an instance that has ended stays listed; a stale address only costs a
	// failed call.
	presenceTTL = 30 * time.Second
	// renewInterval allows for two failed renewals within presenceTTL.
	renewInterval = 10 * time.Second
	// leaveTimeout bounds the call that revokes the lease at shutdown.
	leaveTimeout = 300 * time.Millisecond
)

// restoreWriteSpread is the time over which the instances list themselves again after a restore of the
// store.
const restoreWriteSpread = time.Second

// Lease is a lease of the store. After a restore its number may belong to another owner.
type Lease struct {
	ID  int64
	Era int64
}

// LeaseEndedError reports that the store no longer has a lease.
type LeaseEndedError struct{ Lease int64 }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// LeaseClient writes keys that are bound to a lease.
type LeaseClient interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error)
	// Renew renews a lease; the error is a *LeaseEndedError if it has ended.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
	// Put writes a key that is removed with its lease; the error is a *LeaseEndedError if it has
	// ended.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
}

// Presence keeps this instance listed in the store; set its fields before Run.
type Presence struct {
	Leases LeaseClient
	Key    string
	Member Member
	Log    *timeline.Writer
	// EraRaised signals that Era, the latest known era of the store, has risen; both may be nil.
	EraRaised <-chan struct{}
	Era       func() int64
}

// Run keeps the instance listed until ctx ends and then removes it from the list.
func (p *Presence) Run(ctx context.Context) error {
	value, err := json.Marshal(p.Member)
	if err != nil {
		return errors.Wrap(err, "presence")
	}
	lease := Lease{}
	pause := minBackoff
	for ctx.Err() == nil {
		if lease, err = p.renewOrRegister(ctx, lease, value); err == nil {
			pause = minBackoff
			if p.waitForRenewal(ctx, lease) {
				lease = Lease{}
			}
			continue
		}
		sleep(ctx, pause)
		pause = min(2*pause, renewInterval)
	}
	if lease != (Lease{}) {
		p.revokeLease(lease)
	}
	return ctx.Err()
}

// waitForRenewal waits until the lease is due for renewal, and reports whether the store was restored
// meanwhile, so that the instance may not be listed and the lease may be another owner's.
func (p *Presence) waitForRenewal(ctx context.Context, lease Lease) (restored bool) {
	t := time.NewTimer(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		case <-p.EraRaised:
			if p.Era() > lease.Era {
				p.Log.Write(time.Now(), timeline.Event{Kind: "presence_lapsed", Why: "store_restored"})
				sleep(ctx, rand.N(restoreWriteSpread))
				return true
			}
		}
	}
}

// renewOrRegister renews the lease, or writes the member's key with a new one.
func (p *Presence) renewOrRegister(ctx context.Context, lease Lease, value []byte) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if lease != (Lease{}) {
		err := p.Leases.Renew(ctx, lease)
		if ended := (*LeaseEndedError)(nil); !errors.As(err, &ended) {
			return lease, err
		}
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_lapsed"})
	}
	lease, err := p.Leases.Grant(ctx, presenceTTL)
	if err != nil {
		return Lease{}, err
	}
	if err := p.Leases.Put(ctx, p.Key, value, lease); err != nil {
		return Lease{}, err
	}
	return lease, nil
}

func (p *Presence) revokeLease(lease Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.Leases.Revoke(ctx, lease); err != nil {
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_left_behind", Why: errorReason(err)})
	}
}
