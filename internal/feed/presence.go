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
	// presenceTTL is how long an instance that has ended stays listed; a stale address only costs
	// a question that fails.
	presenceTTL = 30 * time.Second
	// renewEvery leaves room for two renewals that fail.
	renewEvery = 10 * time.Second
	// leaveTimeout bounds the call that ends the lease at a stop.
	leaveTimeout = 300 * time.Millisecond
)

// LeaseEndedError tells that the store no longer has a lease.
type LeaseEndedError struct{ Lease int64 }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// Registrar writes leased keys.
type Registrar interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew renews a lease; the error is a *LeaseEndedError if it has ended.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
	// Put writes a key that is removed with its lease; the error is a *LeaseEndedError if it has ended.
	Put(ctx context.Context, key string, value []byte, lease int64) error
}

// Presence keeps this instance listed in the store; set its fields before Run.
type Presence struct {
	Store  Registrar
	Key    string
	Member Member
	Log    *timeline.Writer
}

// Run lists the instance until ctx ends and then takes it off the list.
func (p *Presence) Run(ctx context.Context) error {
	value, err := json.Marshal(p.Member)
	if err != nil {
		return errors.Wrap(err, "presence")
	}
	lease := int64(0)
	pause := firstPause
	for ctx.Err() == nil {
		if lease, err = p.step(ctx, lease, value); err == nil {
			pause = firstPause
			wait(ctx, renewEvery)
			continue
		}
		wait(ctx, pause)
		pause = min(2*pause, renewEvery)
	}
	if lease != 0 {
		p.leave(lease)
	}
	return ctx.Err()
}

// step renews the lease or takes a new one.
func (p *Presence) step(ctx context.Context, lease int64, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if lease != 0 {
		err := p.Store.Renew(ctx, lease)
		if ended := (*LeaseEndedError)(nil); !errors.As(err, &ended) {
			return lease, err
		}
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_lapsed"})
	}
	lease, err := p.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return 0, err
	}
	if err := p.Store.Put(ctx, p.Key, value, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (p *Presence) leave(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.Store.End(ctx, lease); err != nil {
		p.Log.Write(time.Now(), timeline.Event{Kind: "presence_left_behind", Why: reason(err)})
	}
}
