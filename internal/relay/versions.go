package relay

import (
	"net/http"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/version"
)

// SetSplit divides the requests for a pool between versions.
func (r *TargetRegistry) SetSplit(name string, s version.Split) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.splits == nil {
		r.splits = map[string]version.Split{}
	}
	r.splits[name] = s
	if a := r.allowances[name]; a.Allowance == nil || a.change != s.Change {
		if r.allowances == nil {
			r.allowances = map[string]changeAllowance{}
		}
		r.allowances[name] = changeAllowance{change: s.Change, Allowance: version.NewAllowance(s.Limit, s.Change^r.Seed)}
	}
	if p := r.pools[name]; p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.split, p.allowance = s, r.allowances[name].Allowance
	}
}

// changeAllowance is the allowance for the new version of a change.
type changeAllowance struct {
	*version.Allowance
	change uint64
}

// Exposure returns how many requests this instance has sent to a pool since the split was set for its present change,
// and for how many it has chosen the new version.
func (r *TargetRegistry) Exposure(name string) (sent, exposed float64) {
	r.mu.RLock()
	a := r.allowances[name]
	r.mu.RUnlock()
	if a.Allowance == nil {
		return 0, 0
	}
	return a.Counts()
}

// OpenSlots returns the slots of a pool's open targets by version, without those of targets that this instance can't reach
// though it reaches others: an entry may have no target behind it.
func (r *TargetRegistry) OpenSlots(now time.Time, name string) map[string]int {
	out := map[string]int{}
	p := r.pool(name)
	if p == nil {
		return out
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	allFailing := !slices.ContainsFunc(p.targets, func(t route.Target) bool { return !p.reachability.Failing(t.ID) })
	for i := range p.targets {
		if t := &p.targets[i]; p.isOpen(now, t) && (allFailing || !p.reachability.Failing(t.ID)) {
			out[t.Version] += max(t.Slots, 1)
		}
	}
	return out
}

// RequestRate returns how many requests a second this instance gets for a pool.
func (r *TargetRegistry) RequestRate(now time.Time, name string) float64 {
	p := r.pool(name)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.RequestRate(now)
}

// withVersion restricts a filter to the versions that an attempt may use; the caller holds mu.
//
// An attempt for the new version goes to the others if no target of the new one is open.
func (p *pool) withVersion(now time.Time, criteria targetCriteria, passes func(t *route.Target) bool) func(t *route.Target) bool {
	if p.split.Change == 0 {
		return passes
	}
	usesNew := p.split.UsesNew(now, p.allowance, criteria.firstAttempt) && p.hasOpenVersion(now, criteria.avoidTargets)
	return func(t *route.Target) bool { return p.split.Allows(t.Version, usesNew) && passes(t) }
}

// recordVersionChoice records the choice of a target for an attempt while the pool's version changes; the caller holds mu.
func (p *pool) recordVersionChoice(now time.Time, criteria targetCriteria, t route.Target) {
	if p.split.Change != 0 {
		p.allowance.Choose(p.split.ShareAt(now), criteria.firstAttempt, t.Version == p.split.Version)
	}
}

// recordSent counts a request that is sent to a target, once for all its attempts.
func (p *pool) recordSent(req *callerRequest) {
	if req.sent.Swap(true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.split.Change != 0 {
		p.allowance.CountSent()
	}
}

// hasOpenVersion reports whether a target of the new version is open; the caller holds mu.
func (p *pool) hasOpenVersion(now time.Time, avoid []string) bool {
	for i := range p.targets {
		if t := &p.targets[i]; t.Version == p.split.Version && p.isOpen(now, t) && !slices.Contains(avoid, t.ID) {
			return true
		}
	}
	return false
}

// observeFirstEvent reports the time to the first event of a stream as evidence about its target's version, long before
// the stream ends.
func (a *attempt) observeFirstEvent(now time.Time) {
	if observe := a.relay.Targets.ObserveResult; observe != nil {
		r := a.newResult()
		r.FirstToken = now.Sub(a.startedAt)
		observe(now, a.req.poolName, r)
	}
}

func (a *attempt) newResult() version.Result {
	return version.Result{Version: a.target.Version, Route: a.req.route.Name, Expected: a.req.route.Objective}
}

// observeResult reports the result of an attempt as evidence about its target's version. A refusal and an
// attempt that was given up for other reasons say nothing.
func (a *attempt) observeResult(now time.Time, result engine.RequestResult) {
	observe := a.relay.Targets.ObserveResult
	if observe == nil || a.info.NotRun || !a.sent {
		return
	}
	r := a.newResult()
	failed := result.Failed || result.Unreachable || a.status() >= http.StatusInternalServerError
	if !result.Cancelled {
		r.Ended, r.Failed = true, failed
	}
	if result.Unreachable {
		r.LostTarget = a.target.ID
	}
	switch {
	case a.eventCount > 1:
		r.TokenInterval = a.lastEventAt.Sub(a.firstEventAt) / time.Duration(a.eventCount-1)
	case a.eventCount == 0 && r.Ended && !failed:
		r.FirstToken = now.Sub(a.startedAt)
	}
	if r.Ended || r.TokenInterval > 0 {
		observe(now, a.req.poolName, r)
	}
}
