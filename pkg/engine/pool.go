package engine

import (
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// AvailableTarget is a target of a pool with a slot that the instance may use now.
type AvailableTarget struct {
	Name string
	// Slots is the number of requests that the target can run at once.
	Slots int
	// RoundTrip is the round-trip time to the target's data centre.
	RoundTrip time.Duration
}

// Pool tracks the load, health and cached prefixes of an entry's targets as one instance knows
// them; set Policy before the first call.
type Pool struct {
	Policy policy.Policy
	// PredictionPolicy is used by ChoosePredicted; set it before the first call of that.
	PredictionPolicy policy.Policy

	targets        map[string]*target
	prefillSeconds float64
	serviceSeconds float64
	remote         map[string]remoteCounts
	remoteSums     remoteSums
	// list and known are reused by candidates.
	list  []policy.Candidate
	known []*health
}

// target holds what is known of one target.
type target struct {
	load Load
	// running is the number of this instance's requests in progress.
	running int
	// pending is the number of those requests without output; it is accurate only for
	// requests whose first output is reported to RecordFirstOutput.
	pending  int
	sentAt   []time.Time
	endedAt  []time.Time
	prefixes prefixCache
	health   health
}

// maxTimestamps bounds the start and end times kept for one target.
const maxTimestamps = 256

// Choose returns the name of the target for a prompt with the given blocks; it returns false if no
// target is available.
//
// Targets in avoid and unreachable targets are chosen only if there are no others.
func (p *Pool) Choose(now time.Time, available []AvailableTarget, blocks []uint64, avoid []string) (string, bool) {
	c, ok := p.ChooseCandidate(now, available, blocks, avoid)
	return c.Name, ok
}

// ChooseCandidate chooses like Choose and returns the chosen candidate with the data that the
// choice was based on.
func (p *Pool) ChooseCandidate(now time.Time, available []AvailableTarget, blocks []uint64, avoid []string) (policy.Candidate, bool) {
	list := p.preferred(now, available, blocks, avoid)
	if len(list) == 0 {
		return policy.Candidate{}, false
	}
	return list[p.Policy.Pick(now, list)], true
}

// ChoosePredicted chooses like ChooseCandidate, by PredictionPolicy and what is predicted for the request.
func (p *Pool) ChoosePredicted(now time.Time, available []AvailableTarget, avoid []string, predict func(c *policy.Candidate) policy.Prediction) (policy.Candidate, bool) {
	list := p.preferred(now, available, nil, avoid)
	if len(list) == 0 {
		return policy.Candidate{}, false
	}
	for i := range list {
		list[i].Predict = predict
	}
	return list[p.PredictionPolicy.Pick(now, list)], true
}

// preferred returns the candidates that are neither avoided nor unreachable, or if there are none, those that are not
// avoided, or else all.
func (p *Pool) preferred(now time.Time, available []AvailableTarget, blocks []uint64, avoid []string) []policy.Candidate {
	for _, allowed := range []struct {
		avoid []string
		down  bool
	}{{avoid, false}, {avoid, true}, {nil, true}} {
		if list := p.candidates(now, available, blocks, allowed.avoid, allowed.down); len(list) > 0 {
			return list
		}
	}
	return nil
}

// candidates returns the available targets that are not avoided, and not unreachable unless down is set, with what is
// known of them. The list is valid until the next call.
func (p *Pool) candidates(now time.Time, available []AvailableTarget, blocks []uint64, avoid []string, down bool) []policy.Candidate {
	list, known := p.list[:0], p.known[:0]
	for _, a := range available {
		if slices.Contains(avoid, a.Name) {
			continue
		}
		t := p.target(a.Name)
		if !down && now.Before(t.health.downUntil) {
			continue
		}
		remote := p.remoteTotal(now, a.Name)
		load := max(t.estimatedLoad(now), float64(t.running+remote.Running))
		known = append(known, &t.health)
		list = append(list, policy.Candidate{
			Name: a.Name, Load: load, Pending: t.pending + remote.Pending, Slots: a.Slots, RoundTrip: a.RoundTrip,
			QueueWait: p.queueWait(load, a.Slots), PrefillTime: time.Duration(p.prefillSeconds * float64(time.Second)),
			CachedShare: t.prefixes.cachedShare(now, blocks),
		})
	}
	p.list, p.known = list, known
	for i, w := range weights(now, known) {
		list[i].Weight = w
	}
	return list
}

func weights(now time.Time, known []*health) []float64 {
	first, gap := make([]float64, 0, len(known)), make([]float64, 0, len(known))
	for _, h := range known {
		first, gap = append(first, h.firstTokenRatio), append(gap, h.tokenGapSeconds)
	}
	medianFirst, medianGap := median(first), median(gap)
	weights := make([]float64, len(known))
	for i, h := range known {
		weights[i] = h.weight(now, medianFirst, medianGap)
	}
	capLowWeights(weights)
	return weights
}

// queueWait estimates how long new work waits at a target with the given load.
func (p *Pool) queueWait(load float64, slots int) time.Duration {
	excess := load + 1 - float64(slots)
	if excess <= 0 || slots == 0 {
		return 0
	}
	return time.Duration(excess / float64(slots) * p.serviceSeconds * float64(time.Second))
}

// ServiceTime returns the time that a request takes on average, or 0 if none has ended.
func (p *Pool) ServiceTime() time.Duration {
	return time.Duration(p.serviceSeconds * float64(time.Second))
}

// CountedLoad returns the number of requests at a target by what the instances have sent and not yet ended. What the
// target itself has reported is used only if no other instance is known: the ends of others' requests are missing
// in it.
func (p *Pool) CountedLoad(now time.Time, name string) float64 {
	t := p.target(name)
	if counted := p.remoteTotal(now, name).Running; len(p.remote) > 0 {
		return float64(t.running + counted)
	}
	return t.estimatedLoad(now)
}

// estimatedLoad corrects the last load report by the requests that this instance started and
// finished since.
func (t *target) estimatedLoad(now time.Time) float64 {
	if t.load.At.IsZero() || now.Sub(t.load.At) > maxReportAge {
		return float64(t.running)
	}
	n := t.load.Running + t.load.Waiting + countAfter(t.sentAt, t.load.At) - countAfter(t.endedAt, t.load.At)
	return float64(max(n, t.running))
}

// maxReportAge is the age above which a load report is ignored.
const maxReportAge = 10 * time.Second

func countAfter(times []time.Time, at time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(at); i-- {
		n++
	}
	return n
}

// RecordSent records that the instance sent a prompt with the given blocks to a target.
func (p *Pool) RecordSent(now time.Time, name string, blocks []uint64) {
	t := p.target(name)
	t.running++
	t.pending++
	t.sentAt = appendTimestamp(t.sentAt, now)
	t.prefixes.recordPrompt(now, blocks)
}

// RecordNotSent takes back a RecordSent whose request was not sent after all.
func (p *Pool) RecordNotSent(now time.Time, name string) {
	t := p.target(name)
	t.pending = max(t.pending-1, 0)
	p.RecordLeft(now, name)
}

// RecordEnd records the end of a request that the instance sent, and its result.
func (p *Pool) RecordEnd(now time.Time, name string, r RequestResult, took time.Duration) {
	p.RecordLeft(now, name)
	p.RecordResult(now, name, r, took)
}

// RecordLeft records that a request which the instance sent no longer runs at its target, as far as is known.
func (p *Pool) RecordLeft(now time.Time, name string) {
	t := p.target(name)
	t.running = max(t.running-1, 0)
	t.pending = min(t.pending, t.running)
	t.endedAt = appendTimestamp(t.endedAt, now)
}

// RecordResult records the result of a request of which RecordLeft was called before.
func (p *Pool) RecordResult(now time.Time, name string, r RequestResult, took time.Duration) {
	if r.Cancelled {
		return
	}
	p.target(name).health.record(now, r)
	if !r.Unreachable && !r.Failed && took > 0 {
		p.serviceSeconds = movingAverage(p.serviceSeconds, took.Seconds())
	}
}

// ForgetLosses makes a target that was unreachable since a time available again, since the cause was not the target.
func (p *Pool) ForgetLosses(name string, since time.Time) {
	if t := p.targets[name]; t != nil && !t.health.lostAt.Before(since) {
		t.health.downTime, t.health.downUntil, t.health.lostAt = 0, time.Time{}, time.Time{}
	}
}

// RecordPrefill records the time to the first token of a prompt of which a share was expected to be
// cached.
func (p *Pool) RecordPrefill(took time.Duration, cachedShare float64) {
	if cachedShare < 0.9 {
		p.prefillSeconds = movingAverage(p.prefillSeconds, took.Seconds()/(1-cachedShare))
	}
}

// CachedShare returns the share of the blocks that a target is expected to have cached.
func (p *Pool) CachedShare(now time.Time, name string, blocks []uint64) float64 {
	return p.target(name).prefixes.cachedShare(now, blocks)
}

// SetLoad stores a target's load report if it is newer than the last one.
func (p *Pool) SetLoad(name string, l Load) {
	t := p.target(name)
	if l.At.After(t.load.At) {
		t.load = l
	}
}

// ApplyCacheEvents applies a target's cache events.
func (p *Pool) ApplyCacheEvents(name string, events []CacheEvent) {
	p.target(name).prefixes.applyEvents(events)
}

// CacheSequence returns the sequence number of the last cache event of a target.
func (p *Pool) CacheSequence(name string) uint64 { return p.target(name).prefixes.sequence }

// Weights returns the weights of all known targets for display; an unreachable target has weight 0.
func (p *Pool) Weights(now time.Time) map[string]float64 {
	names := slices.Sorted(maps.Keys(p.targets))
	known := make([]*health, len(names))
	for i, name := range names {
		known[i] = &p.target(name).health
	}
	out := map[string]float64{}
	for i, w := range weights(now, known) {
		out[names[i]] = w
		if now.Before(known[i].downUntil) {
			out[names[i]] = 0
		}
	}
	return out
}

// RetainTargets removes the targets that are not named.
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

func appendTimestamp(list []time.Time, now time.Time) []time.Time {
	if len(list) >= maxTimestamps {
		list = append(list[:0], list[maxTimestamps/2:]...)
	}
	return append(list, now)
}
