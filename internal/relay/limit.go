package relay

import (
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// limitPatience is how long a stream waits for a target with a limit, in place of a refusal.
const limitPatience = 500 * time.Millisecond

// limitWait returns how long this instance must wait before it may send a request to a target that has named
// a limit; the caller holds mu.
func (p *pool) limitWait(now time.Time, t route.Target) time.Duration {
	perSecond, ok := p.limits.Limit(t)
	if !ok {
		return 0
	}
	n := p.instanceCount()
	if p.isUser != nil && !p.isUser(t.ID, route.Users(perSecond, n)) {
		return route.MeanInterval(perSecond)
	}
	return p.limits.Wait(now, t, n)
}

// countProbe counts a health check against the target's limit.
func (p *pool) countProbe(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.Take(now, t, p.instanceCount())
}

// addLimits adds what the pool's targets have stated to this instance; the caller holds mu.
func (p *pool) addLimits(now time.Time, limits map[string]gossip.LimitStatement) {
	for id, s := range p.limits.Recent(now) {
		limits[id] = gossip.LimitStatement{
			PerSecond: s.PerSecond, Ended: !s.Limited, AgeMillis: now.Sub(s.HeardAt).Milliseconds(), StartedMillis: startedMillis(p.findTarget(id)),
		}
	}
}

// applyLimits applies what targets have stated to another instance; the caller holds mu.
func (p *pool) applyLimits(now time.Time, limits map[string]gossip.LimitStatement) {
	for id, s := range limits {
		t := p.findTarget(id)
		if t.ID == "" || s.AgeMillis < 0 || s.AgeMillis > route.MaxBackoff.Milliseconds() || s.StartedMillis != startedMillis(t) || !route.ValidRateLimit(s.PerSecond) {
			continue
		}
		p.limits.Record(t, route.RateStatement{PerSecond: s.PerSecond, Limited: !s.Ended, HeardAt: millisBefore(now, s.AgeMillis)}, false)
	}
}

// startedMillis returns the start of a target's incarnation in Unix milliseconds, or 0 if it is not known.
func startedMillis(t route.Target) int64 {
	if t.StartedAt.IsZero() {
		return 0
	}
	return t.StartedAt.UnixMilli()
}

// recordLimit records what the target's response states about the requests that it takes.
func (a *attempt) recordLimit(now time.Time) {
	if a.info.LimitUnknown || a.res.StatusCode == http.StatusMisdirectedRequest || !a.info.Limited && !a.info.Sealed && !a.info.NotRun {
		return
	}
	p, r := a.req.pool, a.relay
	changed := false
	withLock(&p.mu, func() {
		if changed = p.limits.Record(a.target, route.RateStatement{PerSecond: a.info.Limit, Limited: a.info.Limited, HeardAt: now}, true); changed {
			p.signalProgress()
		}
	})
	if !changed {
		return
	}
	statement, decision := "limit", "limited"
	if !a.info.Limited {
		statement, decision = "limit_ended", "not_limited"
	}
	r.instruments.recordStatement(statement)
	r.Log.Write(now, timeline.Event{
		Kind: "target_limit", Request: a.req.ID, Target: a.target.ID, Entry: a.target.Pool, Why: "said_by_target", Decision: decision,
		Inputs: []timeline.Input{
			{Name: "per_1000_s", Value: int64(1000 * min(a.info.Limit, route.MaxRateLimit))},
			{Name: "instances", Value: int64(p.instanceCount())},
		},
	})
}
