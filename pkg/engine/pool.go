package engine

import (
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// AvailableTarget is a target of a pool at which the instance may use a slot now.
type AvailableTarget struct {
	Name string
	// Slots is the number of requests that the target can hold.
	Slots int
	// RoundTrip is the round-trip time to the target's data centre.
	RoundTrip time.Duration
}

// Pool is what one instance knows of an entry's targets; set Policy before the first call.
type Pool struct {
	Policy policy.Policy

	targets map[string]*target
	prefill float64
	service float64
	others  map[string]others
}

// target is what is known of one target.
type target struct {
	load Load
	own  int
	// pending is the number of own requests without output; it is kept only for those whose
	// first output is told by Begun.
	pending  int
	sends    []time.Time
	ends     []time.Time
	prefixes prefixes
	health   health
}

// ownMemory bounds the sends and ends remembered of one target.
const ownMemory = 256

// Choose returns the name of the target for a prompt with the given blocks, or false.
//
// Targets in avoid and those that cannot be reached are taken only when there are no others.
func (p *Pool) Choose(now time.Time, open []AvailableTarget, blocks []uint64, avoid []string) (string, bool) {
	c, ok := p.ChooseCandidate(now, open, blocks, avoid)
	return c.Name, ok
}

// ChooseCandidate does as Choose and returns all that the choice was made on.
func (p *Pool) ChooseCandidate(now time.Time, open []AvailableTarget, blocks []uint64, avoid []string) (policy.Candidate, bool) {
	for _, least := range []func(o AvailableTarget) bool{
		func(o AvailableTarget) bool { return !slices.Contains(avoid, o.Name) && !p.down(now, o.Name) },
		func(o AvailableTarget) bool { return !slices.Contains(avoid, o.Name) },
		func(AvailableTarget) bool { return true },
	} {
		if list := p.candidates(now, open, blocks, least); len(list) > 0 {
			return list[p.Policy.Pick(now, list)], true
		}
	}
	return policy.Candidate{}, false
}

func (p *Pool) down(now time.Time, name string) bool {
	return now.Before(p.target(name).health.downUntil)
}

// candidates returns the open targets that pass a filter, with what is known of them.
func (p *Pool) candidates(now time.Time, open []AvailableTarget, blocks []uint64, pass func(AvailableTarget) bool) []policy.Candidate {
	list := make([]policy.Candidate, 0, len(open))
	for _, o := range open {
		if !pass(o) {
			continue
		}
		t := p.target(o.Name)
		there := p.elsewhere(now, o.Name)
		load := max(t.estimate(now), float64(t.own+there.Running))
		list = append(list, policy.Candidate{
			Name: o.Name, Load: load, Pending: t.pending + there.Pending, Slots: o.Slots, RoundTrip: o.RoundTrip,
			QueueWait: p.wait(load, o.Slots), PrefillTime: time.Duration(p.prefill * float64(time.Second)),
			CachedShare: t.prefixes.hit(now, blocks),
		})
	}
	for i, w := range p.weights(now, list) {
		list[i].Weight = w
	}
	return list
}

func (p *Pool) weights(now time.Time, list []policy.Candidate) []float64 {
	first, gap := make([]float64, 0, len(list)), make([]float64, 0, len(list))
	for _, c := range list {
		h := &p.target(c.Name).health
		first, gap = append(first, h.first), append(gap, h.gap)
	}
	mf, mg := median(first), median(gap)
	weights := make([]float64, len(list))
	for i, c := range list {
		weights[i] = p.target(c.Name).health.weight(now, mf, mg)
	}
	capShunned(weights)
	return weights
}

// wait estimates the time until a target of the given load takes up new work.
func (p *Pool) wait(load float64, slots int) time.Duration {
	over := load + 1 - float64(slots)
	if over <= 0 || slots == 0 {
		return 0
	}
	return time.Duration(over / float64(slots) * p.service * float64(time.Second))
}

// estimate corrects the last report by what this instance sent and ended since.
func (t *target) estimate(now time.Time) float64 {
	if t.load.At.IsZero() || now.Sub(t.load.At) > reportLife {
		return float64(t.own)
	}
	n := t.load.Running + t.load.Waiting + after(t.sends, t.load.At) - after(t.ends, t.load.At)
	return float64(max(n, t.own))
}

// reportLife is the age at which a load report says nothing any more.
const reportLife = 10 * time.Second

func after(times []time.Time, at time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(at); i-- {
		n++
	}
	return n
}

// RecordSent notes that the instance sent a prompt with the given blocks to a target.
func (p *Pool) RecordSent(now time.Time, name string, blocks []uint64) {
	t := p.target(name)
	t.own++
	t.pending++
	t.sends = remember(t.sends, now)
	t.prefixes.computed(now, blocks)
}

// RecordEnd notes that work which the instance sent is over, and how it went.
func (p *Pool) RecordEnd(now time.Time, name string, r RequestResult, took time.Duration) {
	t := p.target(name)
	t.own = max(t.own-1, 0)
	t.pending = min(t.pending, t.own)
	t.ends = remember(t.ends, now)
	if r.Cancelled {
		return
	}
	t.health.take(now, r)
	if !r.Unreachable && !r.Failed && took > 0 {
		p.service = average(p.service, took.Seconds())
	}
}

// RecordPrefill notes the time to the first token of a prompt of which a share was expected to be cached.
func (p *Pool) RecordPrefill(took time.Duration, hit float64) {
	if hit < 0.9 {
		p.prefill = average(p.prefill, took.Seconds()/(1-hit))
	}
}

// CachedShare returns the share of the blocks that a target is expected to have cached.
func (p *Pool) CachedShare(now time.Time, name string, blocks []uint64) float64 {
	return p.target(name).prefixes.hit(now, blocks)
}

// SetLoad takes in a target's load report; an older one changes nothing.
func (p *Pool) SetLoad(name string, l Load) {
	t := p.target(name)
	if l.At.After(t.load.At) {
		t.load = l
	}
}

// ApplyCacheEvents takes in a target's cache events.
func (p *Pool) ApplyCacheEvents(name string, events []CacheEvent) {
	p.target(name).prefixes.take(events)
}

// CacheSequence returns the sequence number of the last cache event of a target.
func (p *Pool) CacheSequence(name string) uint64 { return p.target(name).prefixes.sequence }

// Weights returns the weights of all known targets, for operators.
func (p *Pool) Weights(now time.Time) map[string]float64 {
	var list []policy.Candidate
	for name := range p.targets {
		list = append(list, policy.Candidate{Name: name})
	}
	slices.SortFunc(list, func(a, b policy.Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	out := map[string]float64{}
	for i, w := range p.weights(now, list) {
		out[list[i].Name] = w
		if p.down(now, list[i].Name) {
			out[list[i].Name] = 0
		}
	}
	return out
}

// RetainTargets forgets the targets that are not named.
func (p *Pool) RetainTargets(names []string) {
	for n := range p.targets {
		if !slices.Contains(names, n) {
			delete(p.targets, n)
		}
	}
}

func (p *Pool) target(name string) *target {
	if p.targets == nil {
		p.targets = map[string]*target{}
	}
	t := p.targets[name]
	if t == nil {
		t = &target{}
		p.targets[name] = t
	}
	return t
}

func remember(list []time.Time, now time.Time) []time.Time {
	if len(list) >= ownMemory {
		list = append(list[:0], list[ownMemory/2:]...)
	}
	return append(list, now)
}
