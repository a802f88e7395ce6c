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
	// harmRate is the probability that a good version is taken back because its results look worse when it is decided.
	harmRate = 0.005
	// holdAfterHarm is how long a change takes no further step after the last sign of harm: an interval is
	// seconds long.
	holdAfterHarm = time.Second
	// writeReserve is the time before the end of the interval at which the change is closed, so that the operator has the
	// status in time; writeReserveShare limits it to a part of a short final time.
	writeReserve      = 500 * time.Millisecond
	writeReserveShare = 0.4
	// minFinalTime and maxFinalTime bound the time before the end of the interval in which the version gets all
	// requests: the old targets finish theirs in it. finalDivisor limits it to a part of a short interval.
	minFinalTime = 600 * time.Millisecond
	maxFinalTime = 2500 * time.Millisecond
	finalDivisor = 4
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
			t := c.timetable(now, p)
			p.change = version.NewChange(now, t.plan(p), t.limits())
			p.change.Adopt(p.record.Change)
			p.heard, p.trackedAt = nil, now
		}
	}
}

// beginChange creates the record of an order's change at this candidate.
func (c *Controller) beginChange(now time.Time, p *poolState) {
	number, sequence, barred := int64(1), int64(0), []string(nil)
	if p.record != nil {
		number, sequence, barred = p.record.Number+1, p.record.Sequence, p.record.barredAfter(*p.order)
	}
	p.record = &record{
		Order: *p.order, Number: number, Sequence: sequence, Updated: now, OrderEra: p.orderAt.Era, OrderRevision: p.orderAt.Revision, Barred: barred,
		unsaved: true, Change: version.Record{ID: p.order.changeID(number)},
	}
	t := c.timetable(now, p)
	p.record.Change = version.NewChange(now, t.plan(p), t.limits()).Record
	p.record.Change.Deadline = t.ends.Add(-p.order.recordedSettle())
	p.dirty, p.change, p.markedBad = true, nil, false
}

// timetable says when the steps of a change are due.
type timetable struct {
	// ends is the end of the order's interval. From decides on the version gets all requests, and closes is the latest
	// time at which the change is closed.
	ends, decides, closes time.Time
	// expected is the number of requests in the interval, and rate the number a second.
	expected, rate float64
}

// timetable returns the timetable of a pool's recorded change at the present rate of requests. Times are counted from
// when this instance learned of the order, since clocks differ, unless the record shows that the order is older.
func (c *Controller) timetable(now time.Time, p *poolState) timetable {
	n, _ := c.Place()
	t := timetable{ends: p.orderSeen.Add(p.order.Interval), rate: p.requestRate(now, c.Pools.RequestRate(now, p.order.Pool), n)}
	if recorded := p.record.Change.Deadline.Add(p.order.recordedSettle()); recorded.Before(t.ends) && now.Sub(recorded) < p.order.Interval {
		t.ends = recorded
	}
	t.expected = t.rate * p.order.Interval.Seconds()
	final := min(max(c.Exposure.FinalTime(t.expected, p.order.Interval), minFinalTime), maxFinalTime, p.order.Interval/finalDivisor)
	t.decides, t.closes = t.ends.Add(-final), t.ends.Add(-min(writeReserve, time.Duration(writeReserveShare*float64(final))))
	return t
}

// plan returns the plan of the pool's recorded change.
func (t *timetable) plan(p *poolState) version.Plan {
	return version.Plan{ID: p.record.Change.ID, Entry: p.order.Pool, From: formerVersion, To: p.order.Version, Deadline: t.decides, End: t.closes}
}

func (t *timetable) limits() version.Limits {
	l := version.DefaultLimits()
	l.ControlShare, l.HoldAfterHarm, l.ExtraFailures, l.TrialUntilDeadline = 0, holdAfterHarm, extraFailures, true
	l.DeadlineHarmRate = harmRate
	l.KeepWarm = t.closes.Sub(t.decides)
	return l
}

// planShares sets how large the share may be and when the change may be closed, so that the requests that the version
// gets by the end of the interval stay within the exposure limit whatever it does; the caller holds mu.
func (c *Controller) planShares(now time.Time, p *poolState) {
	t := c.timetable(now, p)
	sent, exposed := p.exposure()
	// Requests that have arrived count as they are, and those to come as the rate says.
	expected := sent + t.rate*max(t.ends.Sub(now), 0).Seconds()
	change := p.change
	if change.Record.State == version.Waiting || change.Record.State == version.Trial {
		change.Plan.Deadline, change.Plan.End, change.Limits = t.decides, t.closes, t.limits()
	}
	remaining := t.rate * max(t.decides.Sub(now), 0).Seconds()
	change.Plan.LargestShare = c.Exposure.TrialShare(expected, remaining, t.rate*t.ends.Sub(t.decides).Seconds(), exposed)
	change.CloseAfter = time.Time{}
	// Requests of the time since the last reports are not known yet.
	exposed += t.rate * change.Record.Share * stepInterval.Seconds()
	if free := c.Exposure.Allowed(expected) - exposed; t.rate > 0 {
		change.CloseAfter = t.ends.Add(-time.Duration(max(free, 0) / t.rate * float64(time.Second)))
	}
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
