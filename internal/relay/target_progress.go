package relay

import (
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
)

// LocalProgress returns what this instance reports to others about its targets.
func (r *TargetRegistry) LocalProgress(now time.Time) gossip.Progress {
	inProgress := map[string]engine.RequestCounts{}
	attemptCounts := map[string]booking.SendCounts{}
	var silent, replaced []string
	successors := map[string]string{}
	leaving, backoffs := map[string]int64{}, map[string]int64{}
	limits, refusalLimits := map[string]gossip.LimitStatement{}, map[string]gossip.RefusalLimitStatement{}
	paces := map[string]gossip.PaceStatement{}
	links := gossip.LinkStatement{}
	if r.Links != nil {
		links = r.Links.statement(now)
	}
	for name, p := range r.allPools() {
		p.mu.Lock()
		p.addStatements(now, leaving, backoffs)
		p.addLimits(now, limits)
		if counts := p.retryBudget.LocalCounts(now); counts != (booking.SendCounts{}) {
			attemptCounts[name] = counts
		}
		p.addRefusalLimits(now, refusalLimits)
		if p.sharesProgress() {
			maps.Copy(inProgress, p.localCounts(now))
			contactAt := now
			if r.Links != nil {
				contactAt = r.Links.contactAt(name)
			}
			silent = append(silent, p.losses.recentSilent(now, contactAt)...)
			replaced = slices.AppendSeq(replaced, maps.Keys(p.replaced))
		}
		maps.Copy(successors, p.successors.ProvenLocally())
		p.addPaces(now, paces)
		p.mu.Unlock()
	}
	return gossip.Progress{InProgress: inProgress, AttemptCounts: attemptCounts, SilentTargets: silent, ReplacedTargets: replaced, Successors: successors, LeavingTargets: leaving, BackoffMillis: backoffs, Limits: limits, RefusalLimits: refusalLimits, Links: links, Paces: paces}
}

// ApplyRemoteProgress applies what another instance reports about its targets.
func (r *TargetRegistry) ApplyRemoteProgress(now time.Time, instance string, progress gossip.Progress) {
	if r.Links != nil {
		r.Links.applyStatement(now, instance, progress.Links)
	}
	for name, p := range r.allPools() {
		p.mu.Lock()
		p.retryBudget.SetRemoteCounts(now, instance, progress.AttemptCounts[name])
		p.applyRefusalLimits(now, progress.RefusalLimits)
		if p.sharesProgress() {
			p.enginePool.SetRemoteCounts(now, instance, progress.InProgress)
			p.applyRemoteWork(now, instance, progress.InProgress)
			p.losses.recordReport(now, instance, progress.SilentTargets)
			p.demand.recordReport(now, instance, progress.SilentTargets)
			for _, id := range progress.ReplacedTargets {
				p.exclude(id)
			}
		}
		for former, id := range progress.Successors {
			if t := p.findTarget(former); t.ID != "" {
				p.addSuccessor(now, t, id, false)
			}
		}
		p.applyStatements(now, progress)
		p.applyPaces(now, progress.Paces)
		p.applyLimits(now, progress.Limits)
		p.applyArrivals(now, instance, name, &progress)
		p.mu.Unlock()
	}
}

// notifyProgressChanged wakes the exchange with other instances; the caller holds mu.
func (p *pool) notifyProgressChanged() {
	if p.sharesProgress() {
		p.signalProgress()
	}
}

// sharesProgress reports whether the instances exchange what they have in progress at the pool's targets: engines, and
// targets that bear few refusals; the caller holds mu.
func (p *pool) sharesProgress() bool { return p.model != nil || p.refusalLimits.Any() }

func (p *pool) signalProgress() {
	select {
	case p.progressChanged <- struct{}{}:
	default:
	}
}
