package feed

import (
	"context"
	"encoding/json"
	"fmt"
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

// LeaseEndedError reports that the store no longer has a lease.
type LeaseEndedError struct{ Lease int64 }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// LeaseClient writes keys that are bound to a lease.
type LeaseClient interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew renews a lease; the error is a *LeaseEndedError if it has ended.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Put writes a key that is removed with its lease; the error is a *LeaseEndedError if it has
	// ended.
	Put(ctx context.Context, key string, value []byte, lease int64) error
}

// Presence keeps this instance listed in the store; set its fields before Run.
type Presence struct {
	Leases LeaseClient
	Key    string
	Member Member
	Log    *timeline.Writer
}

// Run keeps the instance listed until ctx ends and then removes it from the list.
func (p *Presence) Run(ctx context.Context) error {
	value, err := json.Marshal(p.Member)
	if err != nil {
		return errors.Wrap(err, "presence")
	}
	lease := int64(0)
	pause := minBackoff
	for ctx.Err() == nil {
		if lease, err = p.renewOrRegister(ctx, lease, value); err == nil {
			pause = minBackoff
			sleep(ctx, renewInterval)
			continue
		}
		sleep(ctx, pause)
		pause = min(2*pause, renewInterval)
	}
	if lease != 0 {
		p.revokeLease(lease)
	}
	return ctx.Err()
}

// renewOrRegister renews the lease, or writes the member's key with a new one.
func (p *Presence) renewOrRegister(ctx context.Context, lease int64, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if lease != 0 {
		err := p.Leases.Renew(ctx, lease)
		if ended := (*LeaseEndedError)(nil); !errors.As(err, &ended) {
			return lease, err
		}
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_lapsed"})
	}
	lease, err := p.Leases.Grant(ctx, presenceTTL)
	if err != nil {
		return 0, err
	}
	if err := p.Leases.Put(ctx, p.Key, value, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (p *Presence) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.Leases.Revoke(ctx, lease); err != nil {
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_left_behind", Why: errorReason(err)})
	}
}
