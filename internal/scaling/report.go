package scaling

import (
	"fmt"
	"maps"
	"time"

	"bambooferry.example/bambooferry/pkg/scaling"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// logLimits logs once that a pool's limits can't be used; why is empty if they can.
func (s *Scaler) logLimits(wall time.Time, in *scaling.Input, why string) {
	l := s.logged[in.Pool]
	if l.limits == why {
		return
	}
	l.limits = why
	s.logged[in.Pool] = l
	if why != "" {
		s.Log.Write(wall, timeline.Event{Kind: "scaling_limits_unusable", Entry: in.Pool, Why: why, Decision: "ignored"})
	}
}

// logWanted logs the numbers that were decided in a step, with their inputs.
func (s *Scaler) logWanted(wall time.Time, in *scaling.Input, p *scaling.Plan) {
	l := s.logged[in.Pool]
	statuses, ordered := p.Statuses(), map[string]int{}
	for dc, st := range statuses {
		ordered[dc] = st.Ordered
	}
	if maps.Equal(l.ordered, ordered) {
		return
	}
	former := l.ordered
	l.ordered = ordered
	s.logged[in.Pool] = l
	for dc, st := range statuses {
		if n, ok := former[dc]; ok && n == st.Ordered {
			continue
		}
		s.Log.Write(wall, timeline.Event{
			Kind: "engines_wanted", Entry: in.Pool, Member: dc, Why: p.Why(dc),
			Inputs: []timeline.Input{
				{Name: "ordered", Value: int64(st.Ordered)},
				{Name: "wanted", Value: int64(st.Wanted)},
				{Name: "present", Value: int64(st.Present)},
				{Name: "per_1000_s", Value: int64(in.Demand.PerSecond * 1000)},
				{Name: "reading_ms", Value: in.Demand.ReadingTime.Milliseconds()},
				{Name: "in_progress", Value: int64(in.Demand.InProgress)},
				{Name: "growth_percent", Value: int64(p.Growth()*100 + 0.5)},
				{Name: "without_output", Value: int64(in.Demand.Pending)},
			},
		})
	}
}

// logResult counts the result of an order, and logs it unless it repeats the last one of the pool and data centre; the
// caller holds mu.
func (s *Scaler) logResult(wall time.Time, kind string, o scaling.Order, token int64, took time.Duration, why string) {
	s.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_target_orders_total{pool=%q,result=%q}", o.Pool, why)).Inc()
	l := s.logged[o.Pool]
	if l.failed == nil {
		l.failed = map[string]string{}
	}
	repeated := l.failed[o.DataCentre] == why && kind != "order_sent"
	l.failed[o.DataCentre] = why
	s.logged[o.Pool] = l
	if repeated {
		return
	}
	s.Log.Write(wall, timeline.Event{
		Kind: kind, Entry: o.Pool, Member: o.DataCentre, Decision: o.Why, Why: why,
		Inputs: []timeline.Input{{Name: "desired", Value: int64(o.Desired)}, {Name: "token", Value: token}, {Name: "took_ms", Value: took.Milliseconds()}},
	})
}

// addGauges adds the gauges of a pool's data centres, which are 0 while this instance does not hold the duty; the caller
// holds mu.
func (s *Scaler) addGauges(pool string, p *scaling.Plan) {
	for dc := range p.Statuses() {
		key := subjectKey{pool, dc}
		if s.gauges[key] {
			continue
		}
		s.gauges[key] = true
		for name, value := range map[string]func(st scaling.Status) int{
			"wanted":  func(st scaling.Status) int { return st.Wanted },
			"present": func(st scaling.Status) int { return st.Present },
			"ordered": func(st scaling.Status) int { return st.Ordered },
		} {
			s.Metrics.GetOrCreateGauge(fmt.Sprintf("bambooferry_targets_%s{pool=%q,data_centre=%q}", name, pool, dc), func() float64 {
				return float64(value(s.status(key)))
			})
		}
	}
}

// status returns the state of a pool in a data centre, or the zero value.
func (s *Scaler) status(key subjectKey) scaling.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.plans[key.pool]; p != nil {
		return p.Statuses()[key.dataCentre]
	}
	return scaling.Status{}
}
