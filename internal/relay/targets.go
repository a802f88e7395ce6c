package relay

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
	"bambooferry.example/bambooferry/pkg/engine/policy/work"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	// sameDataCentreRTT and otherDataCentreRTT are the round-trip times within and between data
	// centres that are assumed until they are measured.
	sameDataCentreRTT  = 200 * time.Microsecond
	otherDataCentreRTT = 3 * time.Millisecond
	// removedPoolTime is how long a pool is kept that is no longer in the table; requests with longer
	// time limits keep it with the targets of that time.
	removedPoolTime = 2 * time.Minute
)

// TargetRegistry holds what one instance knows about all targets; set its exported fields before
// the first call.
type TargetRegistry struct {
	DataCentre string
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all instances together to one
	// pool, as described at booking.SharedRetryBudget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Instances returns the number of instances.
	Instances func() int
	// IsUser reports whether this instance is among the given number of instances that use a target with a
	// limit; if it is nil, each instance is.
	IsUser func(target string, users int) bool
	// Rank returns the rank of this instance in an order of all that depends on a key, from 0, or -1 if it is not listed;
	// if it is nil, there is no other instance.
	Rank func(key string) int
	Seed uint64
	// AddressReuse is the time after a target's end in which no other pool gets its address, or 0.
	AddressReuse time.Duration

	// Links holds what is known of this instance's links to targets; it may be nil.
	Links *Links

	// ObserveTargets, if set, is called with the targets of each Update.
	ObserveTargets func(now time.Time, targets map[string][]route.Target)
	// ObserveResult, if set, is called with the result of each attempt for a pool.
	ObserveResult func(now time.Time, pool string, r version.Result)

	mu    sync.RWMutex
	pools map[string]*pool
	// splits divide the requests of pools between versions.
	splits     map[string]version.Split
	allowances map[string]changeAllowance
	// progressChanged signals that the requests which this instance has in progress at engines have
	// changed.
	progressChanged chan struct{}
}

// pool holds the state of one pool of targets.
type pool struct {
	mu         sync.Mutex
	model      *route.EngineSpec
	healthPath string
	// targets are the targets with an entry, which listedTargets holds, and their successors.
	targets       []route.Target
	listedTargets []route.Target
	successors    route.Successors
	// searchingSuccessor holds the lost targets whose successors are being searched for.
	searchingSuccessor map[string]bool
	enginePool         engine.Pool
	timeouts           generation.TimeoutEstimator
	hedgeDelays        booking.HedgeDelay
	retryBudget        booking.SharedRetryBudget
	instanceCount      func() int
	losses             lossTracker
	trials             trials
	// replaced holds targets at whose address another incarnation has responded.
	replaced map[string]route.Target
	// availability holds what targets have said about new requests.
	availability route.Availability
	// limits holds how many requests targets take.
	limits route.RateLimits
	// refusalLimits holds which targets bear few refusals, and their room.
	refusalLimits route.RefusalLimits
	// rooms holds the calls that wait until such a target has room.
	rooms roomQueue
	// admission decides on requests while the room is short; it is nil where it is not enabled.
	// lastAdmissionKey outlives admission, so that keys are not used again.
	lastAdmissionKey uint64
	admission        *poolAdmission
	// reachability holds whether any target can be reached.
	reachability route.Reachability
	// arrivals measures the requests that this instance gets for the pool.
	arrivals rateMeter
	demand   demand
	isUser   func(target string, users int) bool
	rank     func(key string) int
	// turn is the last turn for which rank was called, and turnRank its result.
	turn            int64
	turnRank        int
	split           version.Split
	allowance       *version.Allowance
	placement       placement
	progressChanged chan struct{}
	// removedAt is when the table no longer had the pool, or zero; the registry's lock guards it.
	removedAt time.Time
}

// Update applies the pools of a table and the targets of each pool.
func (r *TargetRegistry) Update(now time.Time, table *route.Table, targets map[string][]route.Target) {
	changed := r.ProgressChanged()
	if r.ObserveTargets != nil {
		r.ObserveTargets(now, targets)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressChanged = changed
	old := r.pools
	r.pools = map[string]*pool{}
	for _, name := range table.PoolNames() {
		p := old[name]
		if p == nil {
			p = r.newPool()
			p.split, p.allowance = r.splits[name], r.allowances[name].Allowance
		}
		conf, _ := table.Pool(name)
		p.update(now, conf, targets[name])
		p.updateAdmission(table.PrioritiesDiffer(name), r.Seed)
		p.removedAt = time.Time{}
		r.pools[name] = p
	}
	for name, p := range old {
		if r.pools[name] == nil && p.keepRemoved(now) {
			p.update(now, &route.Pool{Model: p.model, HealthPath: p.healthPath}, targets[name])
			r.pools[name] = p
		}
	}
}

// keepRemoved reports whether a pool that is not in the table is kept, since requests that were
// admitted before still use it.
func (p *pool) keepRemoved(now time.Time) bool {
	if p.removedAt.IsZero() {
		p.removedAt = now
	}
	return now.Sub(p.removedAt) < removedPoolTime
}

// ProgressChanged returns the channel that signals changes of LocalProgress.
func (r *TargetRegistry) ProgressChanged() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.progressChanged == nil {
		r.progressChanged = make(chan struct{}, 1)
	}
	return r.progressChanged
}

func (r *TargetRegistry) allPools() map[string]*pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pools
}

func (r *TargetRegistry) newPool() *pool {
	p := &pool{
		progressChanged: r.progressChanged, enginePool: engine.Pool{Policy: newPolicy(spread.Name, r.Seed), PredictionPolicy: newPolicy(work.Name, r.Seed)}, losses: newLossTracker(), replaced: map[string]route.Target{},
		successors: route.Successors{AddressReuse: r.AddressReuse}, searchingSuccessor: map[string]bool{},
		retryBudget: booking.SharedRetryBudget{Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow}, instanceCount: r.Instances, isUser: r.IsUser, rank: r.Rank,
	}
	p.placement.init()
	return p
}

func newPolicy(name string, seed uint64) policy.Policy {
	selected, err := policy.New(name, seed)
	if err != nil {
		panic(err) // the policies are linked in by this file
	}
	return selected
}

func (r *TargetRegistry) pool(name string) *pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pools[name]
}

func (p *pool) update(now time.Time, conf *route.Pool, listed []route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model, p.healthPath, p.listedTargets, p.demand.spec = conf.Model, conf.HealthPath, listed, conf.Scaling
	p.targets = p.successors.MergeInto(now, listed)
	names := make([]string, 0, len(p.targets))
	for _, t := range p.targets {
		names = append(names, t.ID)
	}
	p.enginePool.RetainTargets(names)
	p.reachability.Retain(names)
	p.placement.update(p.model, p.targets, names)
	p.availability.Retain(now, p.targets)
	p.limits.Retain(now, p.targets)
	p.refusalLimits.Retain(now, p.targets)
	for id, t := range p.replaced {
		if p.findTarget(id) != t {
			delete(p.replaced, id)
		}
	}
}

// recordMisdirected records that another incarnation is at a target's address. The target is
// excluded until its entry changes.
func (p *pool) recordMisdirected(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exclude(id)
	p.notifyProgressChanged()
}

// exclude excludes a target from new requests; the caller holds mu.
func (p *pool) exclude(id string) {
	if t := p.findTarget(id); t.ID != "" {
		p.replaced[id] = t
	}
}

// targetCriteria restricts the choice of a target.
type targetCriteria struct {
	avoidTargets []string
	// silentTarget is the target that is to be replaced only if another one is expected to accept
	// the request, or empty.
	silentTarget string
	// paused is set if the silent target is expected to go on, so that only a target that has room may replace it.
	paused bool
	// preferredTarget is chosen if it is open to new requests.
	preferredTarget string
	// avoidDataCentre is a data centre that is chosen only if there is no other, or empty.
	avoidDataCentre string
	// sendsNothing is set if the target will get no request, so that none counts there or against its limit.
	sendsNothing bool
	// work is the work that the request is expected to be, or nil if it is not known.
	work *expectedWork
	// firstAttempt is set for the first attempt of a request, which the new version may get while a pool's version changes.
	firstAttempt bool
}

// chooseTarget returns a target and its load at the time of the choice. The request counts there from then on, so that
// concurrent choices take it into account; if it is not sent, the target is released.
func (p *pool) chooseTarget(now time.Time, dataCentre string, criteria targetCriteria) (route.Target, float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	avoidDataCentres := p.losses.failingDataCentres(now, p.dataCentreOf)
	if criteria.avoidDataCentre != "" {
		avoidDataCentres = append(avoidDataCentres, criteria.avoidDataCentre)
	}
	for _, passes := range []func(t *route.Target) bool{
		func(t *route.Target) bool {
			return t.ID == criteria.preferredTarget && !slices.Contains(criteria.avoidTargets, t.ID)
		},
		func(t *route.Target) bool {
			return !slices.Contains(avoidDataCentres, t.DataCentre) && !slices.Contains(criteria.avoidTargets, t.ID) && !p.availability.BacksOffElsewhere(now, t.ID)
		},
		func(t *route.Target) bool {
			return !slices.Contains(criteria.avoidTargets, t.ID) && !p.availability.BacksOffElsewhere(now, t.ID)
		},
		func(t *route.Target) bool { return !slices.Contains(criteria.avoidTargets, t.ID) },
		func(*route.Target) bool { return len(criteria.avoidTargets) > 0 },
	} {
		if c, ok := p.chooseCandidate(now, p.openTargets(now, dataCentre, p.withVersion(now, criteria, p.replacing(now, criteria, passes))), criteria); ok {
			t := p.findTarget(c.Name)
			load := c.Load
			if p.refusalLimits.Brittle(t) {
				load = p.enginePool.CountedLoad(now, t.ID)
			}
			if !criteria.sendsNothing {
				p.limits.Take(now, t, p.instanceCount())
				p.refusalLimits.Take(now, t, load)
				p.enginePool.RecordSent(now, t.ID, nil)
				p.beginWork(now, t, criteria)
				p.recordVersionChoice(now, criteria, t)
				if p.admission != nil {
					p.admission.roomAt = time.Time{}
				}
				p.notifyProgressChanged()
			}
			return t, load, true
		}
	}
	return route.Target{}, 0, false
}

// replacing restricts a filter to the targets that may replace a silent one; the caller holds mu.
func (p *pool) replacing(now time.Time, criteria targetCriteria, passes func(t *route.Target) bool) func(t *route.Target) bool {
	if criteria.silentTarget == "" {
		return passes
	}
	return func(t *route.Target) bool {
		return t.ID != criteria.silentTarget && !(criteria.paused && p.trials.hasRefused(now, t.ID)) && !p.availability.BacksOffElsewhere(now, t.ID) && !p.losses.lostRecently(now, t.ID) && passes(t)
	}
}

// openTargets returns the targets that accept new requests and pass a filter.
func (p *pool) openTargets(now time.Time, dataCentre string, passes func(t *route.Target) bool) []engine.AvailableTarget {
	var list []engine.AvailableTarget
	for i := range p.targets {
		t := &p.targets[i]
		if !p.isOpen(now, t) || !passes(t) {
			continue
		}
		roundTrip := otherDataCentreRTT
		if t.DataCentre == dataCentre {
			roundTrip = sameDataCentreRTT
		}
		list = append(list, engine.AvailableTarget{Name: t.ID, Slots: t.Slots, RoundTrip: roundTrip})
	}
	return list
}

func (p *pool) findTarget(id string) route.Target {
	for _, t := range p.targets {
		if t.ID == id {
			return t
		}
	}
	return route.Target{}
}

// targetAt returns the open target at an address.
func (p *pool) targetAt(now time.Time, address netip.AddrPort) (route.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if t := &p.targets[i]; t.Address == address && p.isOpen(now, t) {
			return *t, true
		}
	}
	return route.Target{}, false
}

// dataCentreOf returns the data centre of a target; the caller holds mu.
func (p *pool) dataCentreOf(id string) string { return p.findTarget(id).DataCentre }

// releaseTarget takes back a choice: no request is sent.
func (p *pool) releaseTarget(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enginePool.RecordNotSent(now, t.ID)
	p.roomChanged(now)
	p.notifyProgressChanged()
}

// recordFirstOutput records that a request has returned its first output.
func (p *pool) recordFirstOutput(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enginePool.RecordFirstOutput(t.ID)
	p.losses.recordHeard(now, t.ID)
	p.notifyProgressChanged()
}

// recordHanging records that the path is lost on which a call waits since a time, and reports whether the call no longer
// counts at its target: it must be twice as old as the pool's calls take on average.
func (p *pool) recordHanging(now time.Time, t route.Target, startedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.enginePool.ServiceTime()
	if usual == 0 || now.Sub(startedAt) < 2*usual {
		return false
	}
	p.enginePool.RecordLeft(now, t.ID)
	p.roomChanged(now)
	p.notifyProgressChanged()
	return true
}

// recordEnded records the result of a request at a target, which counts there until now if counted is set; silent means
// that it was lost without any data or reset.
func (p *pool) recordEnded(now time.Time, t route.Target, counted bool, result engine.RequestResult, silent bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if counted {
		p.enginePool.RecordLeft(now, t.ID)
		p.roomChanged(now)
	}
	p.enginePool.RecordResult(now, t.ID, result, took)
	p.notifyProgressChanged()
	if result.Unreachable {
		p.losses.recordLocal(now, t.ID, silent)
	} else if !result.Failed && !result.Cancelled {
		p.successors.RecordResponse(now, t.ID)
	}
}

// lostSince reports whether a target was lost after a time.
func (p *pool) lostSince(now time.Time, id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	dataCentre, size := p.dataCentreOf(id), 0
	for i := range p.targets {
		if p.targets[i].DataCentre == dataCentre {
			size++
		}
	}
	return p.losses.silentSince(now, id, since, p.dataCentreOf, size)
}

// recordAnswered records that a target has run a request.
func (p *pool) recordAnswered(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses.recordHeard(now, t.ID)
	p.recordOwnEnd(now)
}

// recordLoad records a load that a target reported.
func (p *pool) recordLoad(t route.Target, l *engine.Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enginePool.SetLoad(t.ID, *l)
}

// recordRequest counts a request, which adds to the retry budget.
func (p *pool) recordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.RecordRequest(now)
	p.arrivals.record(now)
}

// allowRetry reports whether the retry budget allows one more attempt, and counts it if so.
func (p *pool) allowRetry(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.AllowRetry(now, p.instanceCount())
}

// silenceTimeouts returns the silence timeouts of the pool's streams.
func (p *pool) silenceTimeouts(base generation.Timeouts) generation.Timeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timeouts.Timeouts(base)
}

func (p *pool) recordGap(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts.ObserveGap(d)
}

// hedgeDelay returns the time after which a repeatable request is sent to a second target.
func (p *pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedgeDelays.Estimate()
}

// copiesKVCache reports whether the pool's engines copy the KV cache of their runs to a backup.
func (p *pool) copiesKVCache() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model != nil && p.model.Backups
}
