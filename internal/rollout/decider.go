package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// leaseTTL is the time after which another candidate takes over from a decider that has ended.
	leaseTTL = 2 * time.Second
	// renewInterval allows for one failed renewal within leaseTTL.
	renewInterval = 600 * time.Millisecond
	// callTimeout bounds one call of the decider.
	callTimeout = 500 * time.Millisecond
	// retryInterval is the time after a failed call or a conflict until the next try.
	retryInterval = 400 * time.Millisecond
	// isolationTimeout is the time without evidence of other members after which a decider resigns, and
	// isolationRetryInterval the time until it may acquire the lease again.
	isolationTimeout       = 2 * time.Second
	isolationRetryInterval = time.Second
	// summaryInterval is the time after which the counts of an undecided change are written.
	summaryInterval = 2 * time.Second
)

// leaseState is the lease under which this instance decides; only the goroutine of Run changes it.
type leaseState struct {
	feed.Lease
	// until is when the lease may end at the store, counted from before the call that renewed it.
	until     time.Time
	renewedAt time.Time
	// version is the version of DeciderKey, on which all writes depend.
	version feed.Version
	begunAt time.Time
	retryAt time.Time
}

// holdLease acquires or renews the lease and reports whether this instance is the decider.
func (c *Controller) holdLease(ctx context.Context, now time.Time) bool {
	l := &c.lease
	c.mu.Lock()
	current, exists := c.versions[c.DeciderKey]
	lost := l.ID != 0 && (c.restoredAt.After(l.renewedAt) || exists && current != l.version)
	isolated := l.ID != 0 && c.isIsolated(now)
	c.mu.Unlock()
	if isolated {
		c.Log.Write(now, timeline.Event{Kind: "decider_ended", Why: "no_evidence_of_others", Decision: "resign"})
		c.resign()
		l.retryAt = now.Add(isolationRetryInterval)
		return false
	}
	if lost || !l.until.IsZero() && !now.Before(l.until) {
		*l = leaseState{retryAt: now.Add(retryInterval)}
	}
	if now.Before(l.retryAt) {
		return false
	}
	if l.ID != 0 && now.Sub(l.renewedAt) < renewInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if l.ID != 0 {
		return c.renewLease(ctx, now)
	}
	if exists {
		// Another candidate decides.
		return false
	}
	return c.acquireLease(ctx, now)
}

// isIsolated reports whether a decider has received no evidence of other members for isolationTimeout; the caller holds mu.
func (c *Controller) isIsolated(now time.Time) bool {
	n, _ := c.Place()
	return n > 1 && now.Sub(c.heardAt) > isolationTimeout && now.Sub(c.lease.begunAt) > isolationTimeout
}

func (c *Controller) renewLease(ctx context.Context, now time.Time) bool {
	l := &c.lease
	err := c.Store.Renew(ctx, l.Lease)
	if ended := (*feed.LeaseEndedError)(nil); errors.As(err, &ended) {
		*l = leaseState{retryAt: now.Add(retryInterval)}
		return false
	}
	if err == nil {
		l.until, l.renewedAt = now.Add(leaseTTL), now
	}
	return true
}

func (c *Controller) acquireLease(ctx context.Context, now time.Time) bool {
	l := &c.lease
	lease, err := c.Store.Grant(ctx, leaseTTL)
	var at feed.Version
	if err == nil {
		at, err = c.Store.Commit(ctx, []feed.Condition{{Key: c.DeciderKey}}, []feed.Write{{Key: c.DeciderKey, Value: []byte(c.Instance), Lease: lease}})
	}
	if err != nil {
		l.retryAt = now.Add(retryInterval)
		return false
	}
	*l = leaseState{Lease: lease, until: now.Add(leaseTTL), renewedAt: now, version: at, begunAt: now}
	c.mu.Lock()
	c.versions[c.DeciderKey], c.decider = at, c.Instance
	c.mu.Unlock()
	c.Log.Write(now, timeline.Event{Kind: "decider_began", Decision: "decide", Inputs: []timeline.Input{{Name: "fence", Value: at.Revision}}})
	return true
}

// resign gives up the lease, so that another candidate need not wait for its end.
func (c *Controller) resign() {
	if c.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If the call fails, the lease expires.
	_ = c.Store.Revoke(ctx, c.lease.Lease)
	c.lease = leaseState{}
}

// decide takes the steps of one pool's change and writes its record; it reports whether this instance still is
// the decider.
func (c *Controller) decide(ctx context.Context, now time.Time, name string) bool {
	c.mu.Lock()
	p := c.pools[name]
	if p.order != nil && p.change != nil && !p.finished() && p.tracks(now) {
		c.stepChange(now, name, p)
	} else if p.order == nil && p.record != nil && p.record.state() == Running {
		p.withdraw(now)
	}
	if !p.dirty || p.record == nil {
		c.mu.Unlock()
		return true
	}
	key := c.RecordPrefix + name
	r := *p.record
	r.Change.Decider, r.Change.Fence = c.Instance, c.lease.version.Revision
	r.Sequence, r.Confirmed = p.record.Sequence+1, true
	conditions := []feed.Condition{{Key: c.DeciderKey, Revision: c.lease.version.Revision}, {Key: key, Revision: c.versions[key].Revision}}
	c.mu.Unlock()
	statusKey, status := c.EncodeStatus(r.Order, r.state())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := c.Store.Commit(ctx, conditions, []feed.Write{{Key: statusKey, Value: status}, {Key: key, Value: r.encode()}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// The write may have been executed; the copy of the store, or a conflict, will show it.
		c.lease.retryAt = now.Add(retryInterval)
		c.applyConflict(now, key, err)
		return false
	}
	c.versions[key], p.dirty, p.record.unsaved = at, false, false
	if p.record.Number == r.Number && p.record.Sequence < r.Sequence {
		p.record.Sequence, p.record.Confirmed = r.Sequence, true
	}
	c.logRecord(now, &r)
	c.publish(now)
	return true
}

// applyConflict applies the present record that the store returns with a conflict; the caller holds mu.
func (c *Controller) applyConflict(now time.Time, key string, err error) {
	conflict := (*feed.ConflictError)(nil)
	if !errors.As(err, &conflict) {
		return
	}
	c.Log.Write(now, timeline.Event{Kind: "rollout_conflict", Entry: key, Inputs: []timeline.Input{{Name: "expected_revision", Value: c.versions[key].Revision}}})
	delete(c.versions, key)
	for i := range conflict.Current {
		if it := &conflict.Current[i]; it.Key == key {
			c.applyItem(now, it)
		}
	}
}

// stepChange takes the steps of a change; the caller holds mu.
func (c *Controller) stepChange(now time.Time, name string, p *poolState) {
	c.planShares(now, p)
	events := []version.Event{
		{Kind: version.CapacityChanged, Capacity: capacity(c.Pools.OpenSlots(now, name), p.order.Version)},
		{Kind: version.Ticked},
	}
	if p.markedBad {
		events = append([]version.Event{{Kind: version.MarkedBad, Why: "marked_bad"}}, events...)
	}
	for _, ev := range events {
		if len(p.change.Step(now, ev)) > 0 {
			p.dirty = true
		}
	}
	r := &p.change.Record
	sent, exposed := p.exposure()
	capped := !r.Finished() && c.Exposure.Exhausted(exposed, sent)
	if capped != p.record.Capped || now.Sub(p.record.Updated) >= summaryInterval && r.New.Requests != p.record.Change.New.Requests {
		p.dirty = true
	}
	if p.dirty {
		p.record.Change, p.record.Capped, p.record.Updated = *r, capped, now
	}
}

// withdraw ends a change whose order the operator has removed.
func (p *poolState) withdraw(now time.Time) {
	r := &p.record.Change
	r.State, r.Share, r.Why, r.StateStart, r.LastStep = version.RolledBack, 0, "order_withdrawn", now, now
	p.record.Updated, p.dirty, p.change = now, true, nil
}
