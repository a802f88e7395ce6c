package link

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// directPatience is the time after which a direct connection is raced by one through a carrier: several round
	// trips within a region, and the target's own delay.
	directPatience = 50 * time.Millisecond
	// VerdictTime is the time after which a direct connection that is not established counts as failed.
	VerdictTime = 150 * time.Millisecond
	// evidenceWindow is how long a carrier's success counts, and how long the losses of several paths count together.
	evidenceWindow = 2 * time.Second
	// lostTargets is the number of targets of a pool that only carriers reach from which all direct paths to the pool
	// count as lost.
	lostTargets = 3
	// minProbeDelay and maxProbeDelay bound the time between two direct connections to a target whose direct path
	// is lost.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// stableTime is the time for which a direct path must hold until the delay of its probes starts anew.
	stableTime = 10 * time.Second
	// checkInterval is the least time between two checks of the paths to a pool for the same reason.
	checkInterval = 500 * time.Millisecond
	// retention is how long nothing must have happened on a path until it is no longer kept.
	retention = time.Minute
)

// Plan is how to connect to a target.
type Plan struct {
	// Direct is set if a direct connection is to be tried at once.
	Direct bool
	// CarryAfter is the time after which a connection through a carrier is tried as well, unless the direct one has
	// failed before.
	CarryAfter time.Duration
}

// Paths holds what an instance knows about its links to targets; its zero value is ready for use.
//
// A direct path counts as lost only once another instance has connected to a target to which this one could
// not. A failure of targets, which all instances share, is therefore never taken for one of the own links.
type Paths struct {
	// Seed varies the times of probes, so that instances that are cut together do not probe together.
	Seed uint64

	rng   *rand.Rand
	pools map[string]*pool
}

// pool is what is known of the direct paths to the targets of one pool.
type pool struct {
	targets map[string]*path
	// lostAt is the time of the first failure that counts if all direct paths are lost, or zero, and probe the probing
	// of all paths meanwhile.
	lostAt time.Time
	probe  probing
	// connectedAt is the last direct connection to any target, and checkedAt the last check, by its reason.
	connectedAt time.Time
	checkedAt   map[CheckReason]time.Time
	sweptAt     time.Time
}

// path is what is known of the direct path to one target.
type path struct {
	// failedAt is when the first connection began that has failed since the last one that succeeded. lastFailedAt
	// is the time of the last failure, and carriedAt that of the last connection through a carrier.
	failedAt     time.Time
	lastFailedAt time.Time
	carriedAt    time.Time
	connectedAt  time.Time
	lost         bool
	probe        probing
}

// provesLost reports whether the failure of a direct connection that began at a time proves that the path is lost: a
// carrier had reached the target shortly before. The failure of one that began earlier proves nothing, since the target
// may have come back between the two.
func (t *path) provesLost(begunAt time.Time) bool {
	return !t.carriedAt.IsZero() && !begunAt.Before(t.carriedAt) && begunAt.Sub(t.carriedAt) <= evidenceWindow
}

// probing holds when a lost path is tried again.
type probing struct {
	delay  time.Duration
	nextAt time.Time
}

// begin schedules the first probe of a path that is lost and was last connected at a time.
func (p *probing) begin(now, connectedAt time.Time, jitter float64) {
	if p.delay == 0 || now.Sub(connectedAt) >= stableTime {
		p.delay = minProbeDelay
	}
	p.schedule(now, jitter)
}

// take reports whether a probe is due, and schedules the next one.
func (p *probing) take(now time.Time, jitter float64) bool {
	if now.Before(p.nextAt) {
		return false
	}
	p.delay = min(2*p.delay, maxProbeDelay)
	p.schedule(now, jitter)
	return true
}

func (p *probing) schedule(now time.Time, jitter float64) {
	p.nextAt = now.Add(time.Duration((0.5 + jitter) * float64(p.delay)))
}

// Plan returns how to connect to a target of a pool now.
func (p *Paths) Plan(now time.Time, poolName, target string) Plan {
	g := p.pools[poolName]
	if g == nil {
		return Plan{Direct: true, CarryAfter: directPatience}
	}
	t := g.targets[target]
	switch {
	case !g.lostAt.IsZero():
		return Plan{Direct: g.probe.take(now, p.jitter())}
	case t != nil && t.lost:
		return Plan{Direct: t.probe.take(now, p.jitter())}
	}
	return Plan{Direct: true, CarryAfter: directPatience}
}

// RecordConnected records a direct connection to a target, and reports whether its path was lost until then.
func (p *Paths) RecordConnected(now time.Time, poolName, target string) (regained bool) {
	g, t := p.path(now, poolName, target)
	regained = t.lost || !g.lostAt.IsZero()
	if !g.lostAt.IsZero() {
		g.lostAt = time.Time{}
		// The other paths may be back as well, and are not all probed together.
		for _, other := range g.targets {
			other.probe.nextAt = now.Add(time.Duration(p.jitter() * float64(minProbeDelay)))
		}
	}
	g.connectedAt, t.connectedAt = now, now
	t.lost, t.failedAt, t.lastFailedAt, t.carriedAt = false, time.Time{}, time.Time{}, time.Time{}
	return regained
}

// RecordFailed records that a direct connection to a target, started at a time, could not be established, and reports
// whether its path is lost from now on.
func (p *Paths) RecordFailed(now, begunAt time.Time, poolName, target string) (lost bool) {
	g, t := p.path(now, poolName, target)
	if t.failedAt.IsZero() || !t.lost && now.Sub(t.lastFailedAt) > evidenceWindow {
		t.failedAt = begunAt
	}
	t.lastFailedAt = now
	if t.lost || !t.provesLost(begunAt) {
		return false
	}
	t.lost = true
	t.probe.begin(now, t.connectedAt, p.jitter())
	if g.lostAt.IsZero() {
		p.judgePool(now, g)
	}
	return true
}

// RecordCarried records that a carrier has connected to a target.
func (p *Paths) RecordCarried(now time.Time, poolName, target string) {
	_, t := p.path(now, poolName, target)
	t.carriedAt = now
}

// judgePool decides whether all direct paths to a pool are lost: several were lost one after another, with no direct
// connection since the first of them.
func (p *Paths) judgePool(now time.Time, g *pool) {
	lost, since := 0, now
	for _, t := range g.targets {
		if !t.lost || now.Sub(t.lastFailedAt) > evidenceWindow || !t.failedAt.After(g.connectedAt) {
			continue
		}
		lost++
		if t.failedAt.Before(since) {
			since = t.failedAt
		}
	}
	if lost >= lostTargets {
		g.lostAt = since
		g.probe.begin(now, g.connectedAt, p.jitter())
	}
}

// LostSince returns when the direct path to a target was lost, or the zero time.
func (p *Paths) LostSince(poolName, target string) time.Time {
	g := p.pools[poolName]
	if g == nil {
		return time.Time{}
	}
	if t := g.targets[target]; t != nil && t.lost {
		return t.failedAt
	}
	return g.lostAt
}

// PoolLost reports whether all direct paths to a pool count as lost.
func (p *Paths) PoolLost(poolName string) bool {
	g := p.pools[poolName]
	return g != nil && !g.lostAt.IsZero()
}

// LostPools returns the pools to which all direct paths count as lost.
func (p *Paths) LostPools() []string {
	var list []string
	for name, g := range p.pools {
		if !g.lostAt.IsZero() {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// LostCount returns the number of targets of a pool whose direct paths are known to be lost.
func (p *Paths) LostCount(poolName string) int {
	g := p.pools[poolName]
	if g == nil {
		return 0
	}
	n := 0
	for _, t := range g.targets {
		if t.lost {
			n++
		}
	}
	return n
}

// CheckReason is why direct paths are checked by new connections.
type CheckReason string

// The reasons for a check: a target is silent, or the path to another target of its pool is lost.
const (
	TargetSilent CheckReason = "target_silent"
	PathLost     CheckReason = "path_lost"
)

// TakeCheck reports whether direct paths to a pool are to be checked for a reason, which is done once in a while at most.
func (p *Paths) TakeCheck(now time.Time, poolName string, reason CheckReason) bool {
	g := p.pool(now, poolName)
	if !g.lostAt.IsZero() || now.Sub(g.checkedAt[reason]) < checkInterval {
		return false
	}
	g.checkedAt[reason] = now
	return true
}

func (p *Paths) pool(now time.Time, name string) *pool {
	if p.pools == nil {
		p.pools = map[string]*pool{}
	}
	g := p.pools[name]
	if g == nil {
		g = &pool{targets: map[string]*path{}, checkedAt: map[CheckReason]time.Time{}, sweptAt: now}
		p.pools[name] = g
	}
	return g
}

func (p *Paths) path(now time.Time, poolName, target string) (*pool, *path) {
	g := p.pool(now, poolName)
	if now.Sub(g.sweptAt) > retention {
		g.sweep(now)
	}
	t := g.targets[target]
	if t == nil {
		t = &path{}
		g.targets[target] = t
	}
	return g, t
}

// sweep drops the targets of which nothing was recorded for long.
func (g *pool) sweep(now time.Time) {
	g.sweptAt = now
	for name, t := range g.targets {
		if now.Sub(t.lastFailedAt) > retention && now.Sub(t.carriedAt) > retention && now.Sub(t.connectedAt) > retention {
			delete(g.targets, name)
		}
	}
}

func (p *Paths) jitter() float64 {
	if p.rng == nil {
		p.rng = rand.New(rand.NewPCG(p.Seed, 1))
	}
	return p.rng.Float64()
}
