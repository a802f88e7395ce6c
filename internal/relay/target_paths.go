package relay

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/route"
)

// findTarget returns the target with an ID, if one is known that was not replaced.
func (r *TargetRegistry) findTarget(id string) (route.Target, bool) {
	for _, p := range r.allPools() {
		p.mu.Lock()
		t := p.findTarget(id)
		_, replaced := p.replaced[id]
		p.mu.Unlock()
		if t.ID != "" && !replaced {
			return t, true
		}
	}
	return route.Target{}, false
}

// othersOf returns up to n other open targets of a target's pool, at random.
func (r *TargetRegistry) othersOf(now time.Time, t route.Target, n int) []route.Target {
	p := r.pool(t.Pool)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []route.Target
	for i := range p.targets {
		if other := &p.targets[i]; other.ID != t.ID && p.isOpen(now, other) {
			list = append(list, *other)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// forgetLosses removes the losses of a target, or of its whole pool, that this instance has recorded since a time.
func (r *TargetRegistry) forgetLosses(t route.Target, since time.Time, wholePool bool) {
	p := r.pool(t.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if id := p.targets[i].ID; wholePool || id == t.ID {
			p.losses.forgetLocal(id, since)
			p.enginePool.ForgetLosses(id, since)
		}
	}
	p.signalProgress()
}

// recordUnreachable records that no connection to a target could be made over any path.
func (p *pool) recordUnreachable(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachability.RecordFailed(now, t.ID)
}

// recordReached records that a target was connected.
func (p *pool) recordReached(t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachability.RecordReached(t.ID)
}

// isUnreachable reports whether no target can be reached, so that a request that has tried one tries no other.
func (p *pool) isUnreachable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reachability.Unreachable(now, len(p.targets))
}

// refusesUnreachable reports whether a request is to be refused before it tries, since no target can be reached; one in a
// while is let through.
func (p *pool) refusesUnreachable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reachability.Refuses(now, len(p.targets))
}
