package rollout

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// stepInterval is the time between two steps of the changes.
	stepInterval = 200 * time.Millisecond
	// takeoverDelay is how long a change must have had no decider until an instance takes part that is no candidate;
	// each further one in the order of the instances waits for takeoverSpacing longer.
	takeoverDelay   = 1500 * time.Millisecond
	takeoverSpacing = 300 * time.Millisecond
)

// Run takes part in the changes until ctx ends. It only runs periodically while there is one to decide.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	c.mu.Lock()
	changed := c.changedSignal()
	c.mu.Unlock()
	for {
		select {
		case <-timer.C:
			if c.Step(ctx, time.Now()) {
				timer.Reset(c.stepDelay(time.Now()))
			}
		case <-changed:
			timer.Reset(stepInterval)
		case <-ctx.Done():
			c.resign()
			return ctx.Err()
		}
	}
}

// stepDelay returns the time until the next step: stepInterval, or less if a change that this instance decides is due
// to be decided or closed before that.
func (c *Controller) stepDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := stepInterval
	for _, p := range c.pools {
		if p.change == nil || p.change.Record.Finished() || c.lease.ID == 0 {
			continue
		}
		for _, due := range []time.Time{p.change.Plan.Deadline, p.change.Plan.End} {
			if wait := due.Sub(now); wait > 0 && wait < delay {
				delay = wait
			}
		}
	}
	return delay
}

// Step sends the evidence and, at a candidate, decides the changes that are not finished. It reports whether
// there are any.
func (c *Controller) Step(ctx context.Context, now time.Time) bool {
	c.mu.Lock()
	c.acceptDoubtful(now)
	pending := c.pendingPools()
	mayDecide := c.mayDecide(now, len(pending) > 0)
	if mayDecide {
		c.syncChanges(now, pending)
	} else {
		for _, p := range c.pools {
			p.change, p.heard = nil, nil
		}
	}
	c.takeReports(now)
	if mayDecide && c.lease.ID == 0 {
		for _, name := range pending {
			c.evaluate(now, c.pools[name])
		}
	}
	c.publish(now)
	c.mu.Unlock()
	if len(pending) == 0 || !mayDecide {
		c.resign()
		return len(pending) > 0
	}
	if !c.holdLease(ctx, now) {
		return true
	}
	for _, name := range pending {
		if !c.decide(ctx, now, name) {
			break
		}
	}
	return true
}

// mayDecide reports whether this instance may decide: a candidate, the present decider, or any instance once a pending
// change has had no decider for a while; the caller holds mu.
func (c *Controller) mayDecide(now time.Time, pending bool) bool {
	if _, exists := c.versions[c.DeciderKey]; exists || !pending {
		c.deciderMissing = time.Time{}
	} else if c.deciderMissing.IsZero() {
		c.deciderMissing = now
	}
	if c.IsCandidate() || c.lease.ID != 0 {
		return true
	}
	_, rank := c.Place()
	return !c.deciderMissing.IsZero() && rank >= 0 && now.Sub(c.deciderMissing) >= takeoverDelay+time.Duration(rank)*takeoverSpacing
}

// finished reports whether the pool's latest change has ended, or that there is none.
func (p *poolState) finished() bool {
	if p.order != nil && (p.record == nil || !p.record.covers(*p.order, p.orderAt)) {
		return false
	}
	return p.record == nil || p.record.state() != Running
}

// pendingPools returns the pools with a change to decide, a record to write or an order to accept.
func (c *Controller) pendingPools() []string {
	var names []string
	for name, p := range c.pools {
		if !p.finished() || p.dirty || p.doubtful != nil {
			names = append(names, name)
		}
	}
	return names
}

// tracks reports whether this instance has followed a change for long enough to have the evidence of all others.
func (p *poolState) tracks(now time.Time) bool {
	return p.change != nil && (p.record.Change.State == version.Waiting || now.Sub(p.trackedAt) >= 2*reportInterval)
}
