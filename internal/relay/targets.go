package relay

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/spread"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// nearDistance and farDistance are the round trips within and between data centres that
	// hold until they are measured.
	nearDistance = 200 * time.Microsecond
	farDistance  = 3 * time.Millisecond
)

// Targets is what one instance knows of all targets; set its exported fields before the first call.
type Targets struct {
	DataCentre string
	// RetryShare, RetrySlack and RetryWindow bound what all instances together send again to a
	// pool, as booking.SharedBudget says.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Instances returns the number of instances.
	Instances func() int
	Seed      uint64
	// AddressReuse is the time after a target's end in which no other pool gets its address, or 0.
	AddressReuse time.Duration

	mu    sync.RWMutex
	pools map[string]*pool
	// changed tells that what this instance has in progress at engines has changed.
	changed chan struct{}
}

// pool is what is known of one pool.
type pool struct {
	mu         sync.Mutex
	model      *route.Model
	healthPath string
	// targets are those that have an entry, which listed holds, and the successors.
	targets    []route.Target
	listed     []route.Target
	successors route.Successors
	// awaiting holds the lost targets whose successors are looked for.
	awaiting  map[string]bool
	engines   engine.Pool
	gaps      generation.TimeoutEstimator
	delay     booking.HedgeDelay
	budget    booking.SharedRetryBudget
	instances func() int
	lost      losses
	// gone holds targets whose address another incarnation has answered at.
	gone    map[string]route.Target
	changed chan struct{}
}

// Update takes in the pools of a table and the targets of a roster.
func (s *Targets) Update(now time.Time, table *route.Table, targets map[string][]route.Target) {
	changed := s.Changed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = changed
	old := s.pools
	s.pools = map[string]*pool{}
	for _, name := range table.Pools() {
		p := old[name]
		if p == nil {
			p = s.newPool()
		}
		conf, _ := table.Pool(name)
		p.update(now, conf, targets[name])
		s.pools[name] = p
	}
}

// Changed returns the channel that tells of changes of Own.
func (s *Targets) Changed() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{}, 1)
	}
	return s.changed
}

// Own returns what this instance tells others of its targets.
func (s *Targets) Own(now time.Time) gossip.Progress {
	shares := map[string]engine.Share{}
	sendings := map[string]booking.SendCounts{}
	var lost, gone []string
	successors := map[string]string{}
	for name, p := range s.all() {
		p.mu.Lock()
		if own := p.budget.LocalCounts(now); own != (booking.SendCounts{}) {
			sendings[name] = own
		}
		if p.model != nil {
			maps.Copy(shares, p.engines.Own())
			lost = append(lost, p.lost.recent(now)...)
			gone = slices.AppendSeq(gone, maps.Keys(p.gone))
		}
		maps.Copy(successors, p.successors.Own())
		p.mu.Unlock()
	}
	return gossip.Progress{Shares: shares, Sendings: sendings, Lost: lost, Gone: gone, Successors: successors}
}

// Others takes in what another instance tells of its targets.
func (s *Targets) Others(now time.Time, instance string, told gossip.Progress) {
	for name, p := range s.all() {
		p.mu.Lock()
		p.budget.SetRemoteCounts(now, instance, told.Sendings[name])
		if p.model != nil {
			p.engines.Others(now, instance, told.Shares)
			p.lost.tell(now, instance, told.Lost)
			for _, id := range told.Gone {
				p.leaveOut(id)
			}
		}
		for former, id := range told.Successors {
			if t := p.find(former); t.ID != "" {
				p.join(now, t, id, false)
			}
		}
		p.mu.Unlock()
	}
}

func (s *Targets) all() map[string]*pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools
}

func (s *Targets) newPool() *pool {
	chosen, err := policy.New(spread.Name, s.Seed)
	if err != nil {
		panic(err) // the policy is linked in by this file
	}
	return &pool{
		changed: s.changed, engines: engine.Pool{Policy: chosen}, lost: newLosses(), gone: map[string]route.Target{},
		successors: route.Successors{AddressReuse: s.AddressReuse}, awaiting: map[string]bool{},
		budget: booking.SharedRetryBudget{Ratio: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow}, instances: s.Instances,
	}
}

func (s *Targets) pool(name string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
}

func (p *pool) update(now time.Time, conf *route.Pool, listed []route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model, p.healthPath, p.listed = conf.Model, conf.HealthPath, listed
	p.targets = p.successors.Join(now, listed)
	names := make([]string, 0, len(p.targets))
	for _, t := range p.targets {
		names = append(names, t.ID)
	}
	p.engines.Keep(names)
	for id, t := range p.gone {
		if p.find(id) != t {
			delete(p.gone, id)
		}
	}
}

// misdirected notes that another incarnation is at a target's address. The target is left out
// until its entry changes.
func (p *pool) misdirected(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaveOut(id)
	p.tell()
}

// leaveOut leaves a target out; the caller holds mu.
func (p *pool) leaveOut(id string) {
	if t := p.find(id); t.ID != "" {
		p.gone[id] = t
	}
}

// question is what a target is chosen for.
type question struct {
	avoid []string
	// prefer is taken if it is open.
	prefer string
	// awayFrom is a data centre that is taken only if there is no other, or empty.
	awayFrom string
}

// choose returns a target and the load that it was chosen with.
func (p *pool) choose(now time.Time, dataCentre string, q question) (route.Target, float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bad := p.lost.centres(now, p.centreOf)
	if q.awayFrom != "" {
		bad = append(bad, q.awayFrom)
	}
	for _, passes := range []func(t *route.Target) bool{
		func(t *route.Target) bool { return t.ID == q.prefer && !slices.Contains(q.avoid, t.ID) },
		func(t *route.Target) bool {
			return !slices.Contains(bad, t.DataCentre) && !slices.Contains(q.avoid, t.ID)
		},
		func(t *route.Target) bool { return !slices.Contains(q.avoid, t.ID) },
		func(*route.Target) bool { return len(q.avoid) > 0 },
	} {
		if c, ok := p.engines.Pick(now, p.open(dataCentre, passes), nil, nil); ok {
			return p.find(c.Name), c.Load, true
		}
	}
	return route.Target{}, 0, false
}

// open returns the targets that take new work and pass a filter.
func (p *pool) open(dataCentre string, passes func(t *route.Target) bool) []engine.Open {
	var list []engine.Open
	for i := range p.targets {
		t := &p.targets[i]
		if _, gone := p.gone[t.ID]; gone || t.Leaving || !passes(t) {
			continue
		}
		distance := farDistance
		if t.DataCentre == dataCentre {
			distance = nearDistance
		}
		list = append(list, engine.Open{Name: t.ID, Slots: t.Slots, Distance: distance})
	}
	return list
}

func (p *pool) find(id string) route.Target {
	for _, t := range p.targets {
		if t.ID == id {
			return t
		}
	}
	return route.Target{}
}

// at returns the target at an address.
func (p *pool) at(a netip.AddrPort) (route.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if _, gone := p.gone[t.ID]; t.Address == a && !t.Leaving && !gone {
			return t, true
		}
	}
	return route.Target{}, false
}

// centreOf returns the data centre of a target; the caller holds mu.
func (p *pool) centreOf(id string) string { return p.find(id).DataCentre }

// sent notes that a request goes to a target.
func (p *pool) sent(now time.Time, t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.Sent(now, t.ID, nil)
	p.tell()
}

// flowing notes that a request has brought its first output.
func (p *pool) flowing(t route.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.Begun(t.ID)
	p.tell()
}

// tell wakes the exchange with other instances; the caller holds mu.
func (p *pool) tell() {
	if p.model == nil {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// ended notes how a request went at a target; silent tells that it was lost without a word.
func (p *pool) ended(now time.Time, t route.Target, r engine.Result, silent bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.Ended(now, t.ID, r, took)
	p.tell()
	if r.Unreachable {
		p.lost.saw(now, t.ID, silent)
	} else if !r.Failed && !r.Cancelled {
		p.successors.Answered(now, t.ID)
	}
}

// lostSince reports whether a target was lost after a time.
func (p *pool) lostSince(now time.Time, id string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	centre, size := p.centreOf(id), 0
	for i := range p.targets {
		if p.targets[i].DataCentre == centre {
			size++
		}
	}
	return p.lost.since(now, id, since, p.centreOf, size)
}

// report takes in a load that a target told.
func (p *pool) report(t route.Target, l *engine.Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines.Report(t.ID, *l)
}

// earn counts a first sending, spend takes leave for a further one.
func (p *pool) earn(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordRequest(now)
}

func (p *pool) spend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.AllowRetry(now, p.instances())
}

// patience returns the silence time-outs of the pool's streams.
func (p *pool) patience(base generation.Timeouts) generation.Timeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gaps.Timeouts(base)
}

func (p *pool) sawGap(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gaps.ObserveGap(d)
}

func (p *pool) sawAnswer(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay.Observe(took)
}

// hedgeDelay returns the time after which a repeatable request is sent to a second target.
func (p *pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay.Estimate()
}

// backups reports whether the pool's engines copy the memory of their runs.
func (p *pool) backups() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model != nil && p.model.Backups
}
