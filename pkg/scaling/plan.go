package scaling

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long the view must have been reliable before the first order: an instance that has just begun to
	// decide knows neither the demand of the last seconds nor the orders of its predecessor.
	settleTime = 6 * time.Second
	// deadBand is the share by which less must be needed before a number goes down.
	deadBand = 0.1
	// lowerInterval is the least time between two steps down in a data centre, each of at most 1/lowerPart.
	lowerInterval = 5 * time.Second
	lowerPart     = 4
	// lossTime is how long after a loss in a data centre numbers do not go down.
	lossTime = 3 * time.Second
	// absentTime is the time without targets after which a data centre no longer counts as one that has the pool.
	absentTime = time.Minute
)

// Plan decides the number of targets of one pool. Set its exported fields before the first call.
type Plan struct {
	Pool   string
	Limits Limits
	// ReadingShare bounds the share of time in which a target reads prompts, while no data centre is lost; 0 stands for 0.5.
	ReadingShare float64

	history  history
	subjects map[string]*subject
	// reliableSince is since when the view has been reliable, until settled is set.
	reliableSince time.Time
	settled       bool
	lostAt        time.Time
	// unreliableAt is when the view was last unreliable.
	unreliableAt time.Time
	latest       need
	// calm is set if a number may go down now.
	calm bool
}

// Step records what is known now, and returns the orders that are due, by data centre.
func (p *Plan) Step(now time.Time, d Demand, supply Supply, v View) []Order {
	p.recordSupply(now, supply)
	disturbed := !p.lostAt.IsZero() && now.Sub(p.lostAt) < lossTime
	p.settle(now, v)
	names := p.dataCentres(now)
	if len(names) == 0 || p.Limits.Check() != nil {
		return nil
	}
	if v.CostUnknown {
		// What is needed is not known yet. The samples begin with the first known cost: holdTime is longer than the window
		// of the rate, which is then full before a number goes down, and a start is not taken for growth.
		p.history = history{}
	}
	p.recordDemand(now, d, disturbed, len(names))
	if !p.settled {
		return nil
	}
	p.calm = !disturbed && !v.Changing && !v.CostUnknown && p.reliableFor(now, holdTime)
	// One standard deviation more: a number that fits the lowest rate of random arrivals would soon go up again.
	most := roundUp(float64(p.history.mostNeeded(now)) * (1 + d.deviation()))
	for i, name := range names {
		s := p.subjects[name]
		s.wanted = p.Limits.clamp(partOf(p.latest.total, len(names), i))
		p.decide(now, s, p.Limits.clamp(partOf(most, len(names), i)), disturbed)
	}
	return p.orders(names)
}

// recordDemand adds a sample, with what it needs.
func (p *Plan) recordDemand(now time.Time, d Demand, disturbed bool, dataCentres int) {
	p.history.add(sample{at: now, perSecond: d.PerSecond, streams: d.InProgress, reading: d.ReadingTime, disturbed: disturbed})
	d.ReadingTime, d.readingShare = p.history.readingTime(now), p.ReadingShare
	p.latest = sizeFor(d, p.history.streams(now), growthAhead(&p.history, now, d, p.Limits.BootTime), dataCentres)
	p.history.samples[len(p.history.samples)-1].need = p.latest
}

// recordSupply records the targets. Their number counts as ordered until something is decided here.
func (p *Plan) recordSupply(now time.Time, supply Supply) {
	if p.subjects == nil {
		p.subjects = map[string]*subject{}
	}
	for name, dc := range supply {
		if p.subjects[name] == nil && dc.Present+dc.Leaving+dc.Lost > 0 {
			p.subjects[name] = &subject{assumed: true, presentAt: now}
		}
	}
	for name, s := range p.subjects {
		dc := supply[name]
		if at := now.Add(-dc.SinceLoss); dc.Failing && at.After(p.lostAt) {
			p.lostAt = at
		}
		// More than a step down has gone at once.
		if s.present-dc.Present > max(s.present/lowerPart, 1) {
			p.lostAt = now
		}
	}
	for name, s := range p.subjects {
		s.present = supply[name].Present
		if s.present > 0 {
			s.presentAt = now
		}
		if lost := !p.lostAt.IsZero() && now.Sub(p.lostAt) < lossTime; s.assumed && (!lost || s.present > s.decided) {
			s.decided = s.present
		}
	}
}

// settle records whether the view is reliable.
func (p *Plan) settle(now time.Time, v View) {
	if v.Stale || v.StoreAway {
		p.unreliableAt, p.reliableSince = now, time.Time{}
		return
	}
	if p.reliableSince.IsZero() {
		p.reliableSince = now
	}
	p.settled = p.settled || now.Sub(p.reliableSince) >= settleTime
}

// reliableFor reports whether the view has been reliable for a time, of which the samples tell.
func (p *Plan) reliableFor(now time.Time, d time.Duration) bool {
	return p.history.covers(now, d) && (p.unreliableAt.IsZero() || now.Sub(p.unreliableAt) >= d)
}

// dataCentres returns the names of those that have the pool, sorted.
func (p *Plan) dataCentres(now time.Time) []string {
	for name, s := range p.subjects {
		if now.Sub(s.presentAt) > max(absentTime, 2*p.Limits.BootTime) {
			delete(p.subjects, name)
		}
	}
	return slices.Sorted(maps.Keys(p.subjects))
}

// decide decides the number for one data centre. most is the largest number that was needed within holdTime.
func (p *Plan) decide(now time.Time, s *subject, most int, disturbed bool) {
	switch limited := p.Limits.clamp(s.decided); {
	case s.wanted > s.decided && (!disturbed || float64(s.wanted) > (1+deadBand)*float64(s.decided)):
		s.decide(s.wanted, p.latest.why)
	case !p.calm || now.Sub(s.loweredAt) < lowerInterval:
	case limited < s.decided:
		s.lower(now, limited, WhyLimits)
	case float64(most) <= (1-deadBand)*float64(s.decided):
		s.lower(now, max(most, s.decided-max(s.decided/lowerPart, 1)), WhyLess)
	}
}

// orders returns the orders that the platform has not accepted.
func (p *Plan) orders(names []string) []Order {
	var list []Order
	for _, name := range names {
		if o, ok := p.Due(name); ok {
			list = append(list, o)
		}
	}
	return list
}

// Due returns the order for a data centre if the platform has not accepted it. One for less waits while no number may go
// down.
func (p *Plan) Due(dataCentre string) (Order, bool) {
	s := p.subjects[dataCentre]
	if s == nil || !s.pending() || s.lowered && !p.calm {
		return Order{}, false
	}
	return Order{Pool: p.Pool, DataCentre: dataCentre, Desired: s.decided, Why: s.why, Above: s.above()}, true
}

// Status is the state of a pool in one data centre.
type Status struct {
	// Wanted is the number needed now, Ordered the one that is ordered, and Present that of the targets.
	Wanted  int
	Ordered int
	Present int
}

// Statuses returns the state by data centre.
func (p *Plan) Statuses() map[string]Status {
	out := map[string]Status{}
	for name, s := range p.subjects {
		out[name] = Status{Wanted: s.wanted, Ordered: s.decided, Present: s.present}
	}
	return out
}

// Why returns the reason for the number that is ordered in a data centre, or WhyAssumed.
func (p *Plan) Why(dataCentre string) string {
	if s := p.subjects[dataCentre]; s != nil && !s.assumed {
		return s.why
	}
	return WhyAssumed
}

// Growth returns the factor by which the demand is expected to grow within the boot time.
func (p *Plan) Growth() float64 { return max(p.latest.growth, 1) }
