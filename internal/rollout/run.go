package rollout

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// stepInterval is the time between two steps of the changes.
const stepInterval = 200 * time.Millisecond

// Run takes part in the changes until ctx ends. It only runs periodically while there is one to decide.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	c.mu.Lock()
	changed := c.changedSignal()
	c.mu.Unlock()
	for {
		select {
		case <-tick.C:
			if !c.Step(ctx, time.Now()) {
				tick.Stop()
			}
		case <-changed:
			tick.Reset(stepInterval)
		case <-ctx.Done():
			c.resign()
			return ctx.Err()
		}
	}
}

// Step sends the evidence and, at a candidate, decides the changes that are not finished. It reports whether
// there are any.
func (c *Controller) Step(ctx context.Context, now time.Time) bool {
	candidate := c.IsCandidate()
	c.mu.Lock()
	reports := c.takeReports()
	pending := c.pendingPools()
	if candidate {
		c.syncChanges(now, pending)
		c.addReports(now, reports)
	}
	c.mu.Unlock()
	if len(reports) > 0 {
		c.SendEvidence(version.AppendReports(nil, reports))
	}
	if len(pending) == 0 || !candidate {
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

// finished reports whether the pool's latest change has ended, or that there is none.
func (p *poolState) finished() bool {
	if p.order != nil && (p.record == nil || !p.record.covers(*p.order, p.orderAt)) {
		return false
	}
	return p.record == nil || p.record.state() != Running
}

// pendingPools returns the pools with a change to decide or a record to write.
func (c *Controller) pendingPools() []string {
	var names []string
	for name, p := range c.pools {
		if !p.finished() || p.dirty {
			names = append(names, name)
		}
	}
	return names
}
