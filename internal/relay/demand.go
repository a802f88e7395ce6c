package relay

import (
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/scaling"
)

const (
	// newsTTL is the age above which the news of another instance counts as missing: it is sent each second, and two
	// datagrams may be lost.
	newsTTL = 2500 * time.Millisecond
	// readingQuantile is the quantile of the times to the first event that stands for the time to read a prompt: higher
	// ones hold the wait for prompts that were read before.
	readingQuantile = 0.3
	// readingStep is the step of the estimate relative to its value.
	readingStep = 0.05
)

// demand is what a pool's number of targets is derived from, beside its counts; the pool's lock guards it.
type demand struct {
	// spec is nil if the number is not adapted.
	spec *route.ScalingSpec
	// readingTime estimates the readingQuantile of the times to the first event, or is 0.
	readingTime time.Duration
	// reported holds the targets that each other instance last reported as lost, and lostAt when one was reported that
	// was not in the report before: a report is repeated for lossReportWindow.
	reported map[string][]string
	lostAt   map[string]time.Time
}

// recordReport records the targets that another instance reports as lost.
func (d *demand) recordReport(now time.Time, instance string, ids []string) {
	if d.spec == nil {
		return
	}
	former := d.reported[instance]
	if len(ids) == 0 {
		delete(d.reported, instance)
		return
	}
	if d.reported == nil {
		d.reported, d.lostAt = map[string][]string{}, map[string]time.Time{}
	}
	d.reported[instance] = ids
	for _, id := range ids {
		if !slices.Contains(former, id) {
			d.lostAt[id] = now
		}
	}
	maps.DeleteFunc(d.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) > lossWindow+lossReportWindow })
}

// observeReading updates the estimate with the time to the first event of one stream.
func (d *demand) observeReading(took time.Duration) {
	step := float64(d.readingTime) * readingStep
	switch {
	case d.readingTime == 0:
		d.readingTime = took
	case took > d.readingTime:
		d.readingTime += time.Duration(step * readingQuantile)
	default:
		d.readingTime -= time.Duration(step * (1 - readingQuantile))
	}
}

// recordReading records the time to the first event of an attempt. A later attempt may find a part of its prompt read.
func (a *attempt) recordReading(now time.Time) {
	if a.number > 1 || a.req.Resuming {
		return
	}
	p := a.req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand.spec != nil {
		p.demand.observeReading(now.Sub(a.startedAt))
	}
}

// HasScaled reports whether the number of targets of any pool is adapted.
func (r *TargetRegistry) HasScaled() bool {
	for _, p := range r.allPools() {
		p.mu.Lock()
		scaled := p.demand.spec != nil
		p.mu.Unlock()
		if scaled {
			return true
		}
	}
	return false
}

// ScalingInputs returns what this instance knows of each pool whose number of targets is adapted.
func (r *TargetRegistry) ScalingInputs(now time.Time) []scaling.Input {
	var list []scaling.Input
	pools := r.allPools()
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if in, ok := pools[name].scalingInput(now); ok {
			in.Pool = name
			list = append(list, in)
		}
	}
	return list
}

func (p *pool) scalingInput(now time.Time) (scaling.Input, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec := p.demand.spec
	if spec == nil {
		return scaling.Input{}, false
	}
	rate, reporters := p.retryBudget.TotalRate(now, now.Add(-newsTTL))
	in := scaling.Input{
		Limits: scaling.Limits{Min: spec.Min, Max: spec.Max, BootTime: spec.BootTime},
		Demand: scaling.Demand{PerSecond: rate, Window: p.retryBudget.Window, Slots: p.slotsPerTarget()},
		Supply: p.supply(now),
		View:   scaling.View{Stale: 2*(reporters+1) <= p.instanceCount(), Changing: p.split.Limited},
	}
	names := make([]string, 0, len(p.targets))
	for i := range p.targets {
		names = append(names, p.targets[i].ID)
	}
	counts := p.enginePool.InProgress(now, names)
	in.Demand.InProgress, in.Demand.Pending = counts.Running, counts.Pending
	if p.model != nil {
		in.Demand.ReadingTime = p.demand.readingTime
		in.View.CostUnknown = p.demand.readingTime == 0
		return in, true
	}
	took := p.enginePool.ServiceTime()
	in.View.CostUnknown = took == 0
	if !p.sharesProgress() {
		// Others do not say what they have in progress: it is the rate multiplied by the time that a request takes.
		in.Demand.InProgress = max(counts.Running, int(rate*took.Seconds()+0.5))
	}
	return in, true
}

// slotsPerTarget returns the least number of requests that a target of the pool can run at once; the caller holds mu.
func (p *pool) slotsPerTarget() int {
	least := 0
	for i := range p.targets {
		if n := p.targets[i].Slots; n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	if least == 0 && p.model != nil {
		least = p.model.Slots
	}
	return max(least, 1)
}

// supply returns the pool's targets by data centre; the caller holds mu.
func (p *pool) supply(now time.Time) scaling.Supply {
	out := scaling.Supply{}
	failing := p.losses.failingDataCentres(now, p.dataCentreOf)
	lostAt := map[string]time.Time{}
	for i := range p.listedTargets {
		t := &p.listedTargets[i]
		dc := out[t.DataCentre]
		dc.Failing = slices.Contains(failing, t.DataCentre)
		if t.Leaving || p.availability.IsLeaving(*t) {
			dc.Leaving++
		} else {
			dc.Present++
			if p.losses.lostRecently(now, t.ID) {
				dc.Lost++
			}
		}
		out[t.DataCentre] = dc
		for _, at := range []time.Time{p.losses.local[t.ID], p.demand.lostAt[t.ID]} {
			if at.After(lostAt[t.DataCentre]) {
				lostAt[t.DataCentre] = at
			}
		}
	}
	for name, at := range lostAt {
		if dc := out[name]; dc.Failing {
			dc.SinceLoss = max(now.Sub(at), 0)
			out[name] = dc
		}
	}
	return out
}
