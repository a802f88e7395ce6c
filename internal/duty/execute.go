package duty

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/duty"
)

// execute makes the store calls of an action and records their results; the caller holds calls.
func (h *Holder) execute(ctx context.Context, now time.Time, action duty.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch action.Kind {
	case duty.Acquire:
		h.acquire(ctx, now, action)
	case duty.ReadBack:
		h.readBack(ctx)
	case duty.Renew:
		h.renew(ctx, now, action.Lease)
	case duty.Resign:
		// If the call fails, the lease expires.
		h.count("revoke", h.Store.Revoke(ctx, feed.Lease(action.Lease)))
	case duty.Wait, duty.Renumber:
	}
}

func (h *Holder) acquire(ctx context.Context, sentAt time.Time, action duty.Action) {
	granted, err := h.Store.Grant(ctx, duty.LeaseTTL)
	h.count("grant", err)
	lease := duty.Lease(granted)
	var at feed.Version
	if err == nil && lease.Era != action.Era {
		// The store was restored since the decision, and the condition may hold again. The lease expires.
		err = &feed.LeaseEndedError{Lease: lease.ID}
	}
	if err == nil {
		at, err = h.commit(ctx, action.Expected, action.Record, lease)
	}
	now := maxTime(sentAt, h.now())
	e := h.lock()
	defer h.unlock(now)
	conflict, ended := (*feed.ConflictError)(nil), (*feed.LeaseEndedError)(nil)
	switch {
	case err == nil:
		e.Acquired(now, lease, at.Revision)
	case lease.ID == 0 || errors.As(err, &ended):
		e.Failed(now)
	case errors.As(err, &conflict):
		e.Conflicted(now, h.presentState(conflict))
		h.logHolder(now)
	default:
		e.WriteLost(now, lease)
	}
}

// commit writes the duty's key on condition that it is at a revision.
func (h *Holder) commit(ctx context.Context, expected int64, r duty.Record, lease duty.Lease) (feed.Version, error) {
	at, err := h.Store.Commit(ctx, []feed.Condition{{Key: h.Key, Revision: expected}}, []feed.Write{{Key: h.Key, Value: r.Encode(), Lease: feed.Lease(lease)}})
	h.count("commit", err)
	return at, err
}

// presentState returns the state of the key that a conflict states, or the zero value.
func (h *Holder) presentState(conflict *feed.ConflictError) duty.KeyState {
	for i := range conflict.Current {
		if it := &conflict.Current[i]; it.Key == h.Key {
			return newKeyState(it)
		}
	}
	return duty.KeyState{}
}

func (h *Holder) readBack(ctx context.Context) {
	it, err := h.Store.Get(ctx, h.Key)
	h.count("get", err)
	now := h.now()
	e := h.lock()
	defer h.unlock(now)
	if err != nil {
		e.ReadBackFailed(now)
		return
	}
	e.ReadBackDone(now, newKeyState(&it))
}

func (h *Holder) renew(ctx context.Context, sentAt time.Time, lease duty.Lease) {
	err := h.Store.Renew(ctx, feed.Lease(lease))
	h.count("renew", err)
	now := maxTime(sentAt, h.now())
	e := h.lock()
	defer h.unlock(now)
	if err == nil {
		e.Renewed(sentAt, lease)
		return
	}
	ended := (*feed.LeaseEndedError)(nil)
	e.RenewFailed(now, lease, errors.As(err, &ended))
}

// Renumber gets a higher token for the present term; without one the error is a *NotHeldError. After another error the
// token may still become higher.
func (h *Holder) Renumber(ctx context.Context) (duty.Term, error) {
	h.calls.Lock()
	defer h.calls.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	now := h.now()
	e := h.lock()
	before, _ := e.Term(now)
	action, ok := e.BeginRenumber(now, rand.Text())
	h.unlock(now)
	if !ok {
		return duty.Term{}, &NotHeldError{Duty: h.Name}
	}
	err := h.renumber(ctx, action)
	now = h.now()
	t, ok := h.Term(now)
	switch {
	case !ok:
		return duty.Term{}, &NotHeldError{Duty: h.Name, Token: before.Token}
	case t.Token > before.Token:
		return t, nil
	case err == nil:
		err = errors.New("the write was not executed yet")
	}
	return duty.Term{}, errors.Wrap(err, "renumber")
}

// renumber writes the key, reads it back if there was no response, and records the result.
func (h *Holder) renumber(ctx context.Context, action duty.Action) error {
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := h.commit(writeCtx, action.Expected, action.Record, action.Lease)
	conflict, ended := (*feed.ConflictError)(nil), (*feed.LeaseEndedError)(nil)
	var state duty.KeyState
	if err != nil && !errors.As(err, &conflict) && !errors.As(err, &ended) {
		it, getErr := h.Store.Get(ctx, h.Key)
		h.count("get", getErr)
		if getErr != nil {
			return err
		}
		state = newKeyState(&it)
	}
	now := h.now()
	e := h.lock()
	defer h.unlock(now)
	switch {
	case err == nil:
		e.RenumberDone(now, action, at.Revision)
	case ended != nil:
		e.RenewFailed(now, action.Lease, true)
	case conflict != nil:
		e.RenumberConflicted(now, action, h.presentState(conflict))
	case state.Exists:
		e.Observe(now, state)
	default:
		e.RenumberConflicted(now, action, duty.KeyState{})
	}
	return err
}

// count counts a call to the store.
func (h *Holder) count(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	h.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_duty_store_calls_total{duty=%q,call=%q,result=%q}", h.Name, call, result)).Inc()
}
