package duty

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// Store is what a holder needs of the store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (feed.Lease, error)
	Renew(ctx context.Context, lease feed.Lease) error
	Revoke(ctx context.Context, lease feed.Lease) error
	Commit(ctx context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error)
	// Get returns the item of a key; its revision is 0 if the key does not exist.
	Get(ctx context.Context, key string) (feed.Item, error)
}

// Holder holds one duty while it can; set its exported fields before the first call.
type Holder struct {
	// Name is the duty's name, and Key its key in the store.
	Name string
	Key  string
	// Instance and Address identify this instance to the others.
	Instance string
	Address  netip.AddrPort
	Store    Store
	// Era returns the latest known era of the store.
	Era func() int64
	// Rank returns this instance's place in the order of the candidates, from 0, or -1 if it is not listed.
	Rank func() int
	// ThawSlack is how long before its end at the store a lease ends for this instance. Separation is the time within
	// which two instances must not act in the order A, B, A.
	ThawSlack  time.Duration
	Separation time.Duration
	Log        *timeline.Writer
	Metrics    *metrics.Set
}

// Run holds the duty while it can, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Apply applies an update of the store's copy.
func (h *Holder) Apply(now time.Time, update feed.Update) {}

// Term returns the term under which this instance may act now; ok is false if it holds none.
func (h *Holder) Term(now time.Time) (t duty.Term, ok bool) { return duty.Term{}, false }

// Renumber gets a higher token for the present term; without one the error is a *NotHeldError.
func (h *Holder) Renumber(ctx context.Context) (duty.Term, error) {
	return duty.Term{}, &NotHeldError{Duty: h.Name}
}

// RecordRefused ends a term whose token the platform has refused.
func (h *Holder) RecordRefused(now time.Time, token int64) {}

// RecordAnswered records that the platform responded.
func (h *Holder) RecordAnswered(now time.Time) {}

// RecordSilent records that the platform did not respond to a call that was begun at sentAt.
func (h *Holder) RecordSilent(now, sentAt time.Time) {}

// Condition returns the condition on which the store writes of a term depend.
func Condition(t duty.Term) feed.Condition {
	return feed.Condition{Key: t.Key, Revision: t.Revision}
}
