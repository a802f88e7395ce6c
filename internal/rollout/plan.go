package rollout

import (
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// extraFailures is the rate of failures beyond the old version's that the acceptance test excludes. With the
	// few results of an interval of seconds, smaller rates are not distinguishable from chance; the test for a bad version
	// finds them where there are more.
	extraFailures = 0.25
	// minTrialPart leaves time for the steps from the trial's share to all requests before the deadline.
	minTrialPart = 0.75
	// holdAfterHarm is how long a change takes no further step after the last sign of harm: an interval is
	// seconds long.
	holdAfterHarm = time.Second
)

// syncChanges keeps one change for each pending pool; the caller holds mu.
func (c *Controller) syncChanges(now time.Time, pending []string) {
	for _, name := range pending {
		p := c.pools[name]
		if p.order == nil || p.finished() {
			continue
		}
		if p.record == nil || !p.record.covers(*p.order, p.orderAt) {
			c.beginChange(now, p)
		}
		if p.change == nil || p.change.Plan.ID != p.record.Change.ID {
			p.change = version.NewChange(now, c.plan(now, p), changeLimits())
			p.change.ResumeFrom(p.record.Change)
		}
	}
}

// beginChange creates the record of an order's change at this candidate.
func (c *Controller) beginChange(now time.Time, p *poolState) {
	number, barred := int64(1), []string(nil)
	if p.record != nil {
		number, barred = p.record.Number+1, p.record.barredAfter(*p.order)
	}
	plan := c.planFor(now, p, p.order.changeID(number))
	p.record = &record{Order: *p.order, Number: number, Updated: now, OrderEra: p.orderAt.Era, OrderRevision: p.orderAt.Revision, Barred: barred, Change: version.NewChange(now, plan, changeLimits()).Record}
	p.dirty, p.change = true, nil
}

// plan returns the plan of the recorded change, whose deadline may be earlier than this instance would set it.
func (c *Controller) plan(now time.Time, p *poolState) version.Plan {
	plan := c.planFor(now, p, p.record.Change.ID)
	if recorded := p.record.Change.Deadline; recorded.Before(plan.Deadline) && now.Sub(recorded) < p.order.Interval {
		plan.Deadline = recorded
	}
	return plan
}

// planFor returns the plan of a change. Its deadline is counted from the time at which this instance learned of
// the order, since clocks differ.
func (c *Controller) planFor(now time.Time, p *poolState, id uint64) version.Plan {
	return version.Plan{
		ID: id, Entry: p.order.Pool, From: formerVersion, To: p.order.Version,
		Deadline: p.orderSeen.Add(p.order.Interval - p.order.settle()), LargestShare: c.Exposure.LargestShare(c.expectedRequests(now, p)),
	}
}

// expectedRequests returns how many requests are expected in the interval of the pool's order.
func (c *Controller) expectedRequests(now time.Time, p *poolState) float64 {
	return c.Pools.RequestRate(now, p.order.Pool) * p.order.Interval.Seconds()
}

func changeLimits() version.Limits {
	l := version.DefaultLimits()
	l.ControlShare, l.KeepWarm, l.HoldAfterHarm, l.ExtraFailures, l.MinTrialPart = 0, settleTime, holdAfterHarm, extraFailures, minTrialPart
	return l
}

// capacity returns the share that the new version's targets can take.
func capacity(slots map[string]int, newVersion string) float64 {
	oldSlots := 0
	for v, n := range slots {
		if v != newVersion {
			oldSlots += n
		}
	}
	if slots[newVersion] == 0 {
		return 0
	}
	return min(1, capacityHeadroom*float64(slots[newVersion])/float64(max(oldSlots, 1)))
}

// capacityHeadroom lets slightly fewer new targets take over from the old ones.
const capacityHeadroom = 1.25
