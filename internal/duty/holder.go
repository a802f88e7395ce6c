package duty

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/internal/steady"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// callTimeout bounds one call to the store, so that a second renewal can follow a failed one within the lease.
	callTimeout = 500 * time.Millisecond
	// checkInterval is the time between two checks of a term for a restore of the store and a silent platform.
	checkInterval = 200 * time.Millisecond
	// stopTimeout bounds the call that revokes the lease when ctx has ended. It is less than the 250 ms of the grace
	// period that the relay leaves to the other parts.
	stopTimeout = 200 * time.Millisecond
	// maxActions bounds the actions of one step.
	maxActions = 8
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
	// Now returns the present time, that of internal/steady if it is nil.
	Now func() time.Time

	// calls is held during the calls to the store that change the term, of which there is one at a time.
	calls sync.Mutex

	mu      sync.Mutex
	elector *duty.Elector
	// heldSince is when the present term began, or the zero time.
	heldSince time.Time
	// loggedHolder is the other instance that was last logged as the holder.
	loggedHolder string
	changed      chan struct{}
}

// lock locks mu and returns the elector.
func (h *Holder) lock() *duty.Elector {
	h.mu.Lock()
	if h.elector == nil {
		h.elector = &duty.Elector{Key: h.Key, Instance: h.Instance, Address: h.Address, ThawSlack: h.ThawSlack, Separation: h.Separation}
		h.changed = make(chan struct{}, 1)
		h.registerMetrics()
	}
	return h.elector
}

// unlock logs the changes of the term and unlocks mu.
func (h *Holder) unlock(now time.Time) {
	h.logChanges(now)
	h.mu.Unlock()
}

func (h *Holder) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return steady.Now()
}

// Run holds the duty while it can, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.lock()
	h.unlock(h.now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-h.changed:
		case <-ctx.Done():
			h.stop(context.WithoutCancel(ctx))
			return ctx.Err()
		}
		if until := h.Step(ctx, h.now()); until.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(max(until.Sub(h.now()), 0))
		}
	}
}

// Step makes the store calls that are due, and returns the time of the next step unless an update comes before it, or
// the zero time.
func (h *Holder) Step(ctx context.Context, now time.Time) time.Time {
	h.calls.Lock()
	defer h.calls.Unlock()
	for range maxActions {
		era := int64(0)
		if h.Era != nil {
			era = h.Era()
		}
		// The time is read after the era: if the process is suspended between, a restore of the store after the end of
		// the lease would seem to come before it, and the term to have gone on without another holder.
		now = maxTime(now, h.now())
		e := h.lock()
		if h.Era != nil {
			e.ObserveEra(now, era)
		}
		action := e.Next(now, h.Rank(), rand.Text())
		_, holds := e.Term(now)
		h.unlock(now)
		if action.Kind == duty.Wait {
			if check := now.Add(checkInterval); holds && check.Before(action.Until) {
				return check
			}
			return action.Until
		}
		h.execute(ctx, now, action)
		if ctx.Err() != nil {
			break
		}
	}
	return now
}

// stop ends the term and revokes its lease.
func (h *Holder) stop(ctx context.Context) {
	h.calls.Lock()
	defer h.calls.Unlock()
	now := h.now()
	e := h.lock()
	e.Stop(now)
	action := e.Next(now, 0, rand.Text())
	h.unlock(now)
	if action.Kind != duty.Resign {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	h.execute(ctx, now, action)
}

// Apply applies an update of the store's copy.
func (h *Holder) Apply(_ time.Time, update feed.Update) {
	// The time of the update is on the scale of the wall clock.
	now := h.now()
	e := h.lock()
	defer h.unlock(now)
	state, found := h.keyState(&update)
	switch {
	case found:
		e.Observe(now, state)
	case update.Restored:
		e.Restored(now, update.Era, update.Revision)
	default:
		return
	}
	h.logHolder(now)
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// keyState returns the state of the duty's key that an update holds.
func (h *Holder) keyState(update *feed.Update) (state duty.KeyState, found bool) {
	for i := range update.Changed {
		if it := &update.Changed[i]; it.Key == h.Key {
			return newKeyState(it), true
		}
	}
	for _, key := range update.Removed {
		found = found || key == h.Key
	}
	return duty.KeyState{Era: update.Era, Revision: update.Revision}, found || update.Full
}

// newKeyState returns the state of a key from its item. The record of an unusable value names no one, so the key counts
// as another instance's.
func newKeyState(it *feed.Item) duty.KeyState {
	k := duty.KeyState{Exists: it.Revision > 0, Era: it.Era, Revision: it.Revision}
	if k.Exists {
		k.Record, _ = duty.DecodeRecord(it.Value)
	}
	return k
}

// Term returns the term under which this instance may act now; ok is false if it holds none.
func (h *Holder) Term(now time.Time) (t duty.Term, ok bool) {
	e := h.lock()
	defer h.mu.Unlock()
	t, ok = e.Term(now)
	if ok && h.Era != nil && h.Era() > t.Era {
		// Run ends the term.
		return duty.Term{}, false
	}
	return t, ok
}

// RecordRefused ends a term whose token the platform has refused.
func (h *Holder) RecordRefused(now time.Time, token int64) {
	e := h.lock()
	defer h.unlock(now)
	e.RecordRefused(now, token)
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// RecordAnswered records that the platform responded.
func (h *Holder) RecordAnswered(now time.Time) {
	e := h.lock()
	defer h.mu.Unlock()
	e.RecordAnswered(now)
}

// RecordSilent records that the platform did not respond to a call that was begun at sentAt.
func (h *Holder) RecordSilent(now, sentAt time.Time) {
	e := h.lock()
	defer h.mu.Unlock()
	e.RecordSilent(now, sentAt)
}

// Condition returns the condition on which the store writes of a term depend.
func Condition(t duty.Term) feed.Condition {
	return feed.Condition{Key: t.Key, Revision: t.Revision}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
