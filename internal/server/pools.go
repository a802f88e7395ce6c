package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/engine/policy/expected"

	// The other policies register themselves.
	_ "bambooferry.example/bambooferry/pkg/engine/policy/least"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/roundrobin"
	_ "bambooferry.example/bambooferry/pkg/engine/policy/twochoices"
)

// DefaultRouting is the policy that chooses targets when none is set.
const DefaultRouting = expected.Name

// Pools holds this instance's state of all targets; set its exported fields before the first choice.
//
// The lock guards the maps; each entry's pool has its own lock.
type Pools struct {
	// Policy is the name of a registered policy.
	Policy string
	Seed   uint64
	Slots  *Slots
	Board  *blackboard.Board
	// Client fetches the targets' reports.
	Client  *http.Client
	Metrics *metrics.Set

	mu      sync.Mutex
	entries map[string]*entryPool
	polling map[string]bool
}

// entryPool is the pool of one entry with its lock.
type entryPool struct {
	mu sync.Mutex
	engine.Pool
}

// poolFor returns an entry's pool.
func (p *Pools) poolFor(entry string) *entryPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[entry]; e != nil {
		return e
	}
	if p.entries == nil {
		p.entries = map[string]*entryPool{}
	}
	chosen, err := policy.New(p.Policy, p.Seed)
	if err != nil {
		// The setting was validated before, so this is a programming error.
		panic(err)
	}
	e := &entryPool{Pool: engine.Pool{Policy: chosen}}
	p.entries[entry] = e
	return e
}

// pickTarget chooses one of the available targets.
func (e *entryPool) pickTarget(now time.Time, available []engine.AvailableTarget, blocks []uint64, avoid []string) (policy.Candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ChooseCandidate(now, available, blocks, avoid)
}

// recordSent counts work as sent to a target.
func (e *entryPool) recordSent(now time.Time, c policy.Candidate, blocks []uint64) *Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.RecordSent(now, c.Name, blocks)
	return &Placement{pool: e, sentAt: now, chosen: c}
}

// prune deletes the state of entries and targets that the catalogue no longer has.
func (p *Pools) prune(d *catalogue.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.entries {
		e := d.Entry(name)
		if e == nil {
			delete(p.entries, name)
			continue
		}
		var targets []string
		for _, t := range e.Targets {
			targets = append(targets, t.Name)
		}
		pool.mu.Lock()
		pool.RetainTargets(targets)
		pool.mu.Unlock()
	}
}

// Run polls the targets' reports in turn until ctx ends.
func (p *Pools) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	var last *catalogue.Document
	for turn := 0; sleep(ctx, pollInterval) == nil; turn++ {
		d, ok := Catalogue.Get(p.Board)
		if !ok {
			continue
		}
		if d != last {
			p.prune(d)
			last = d
		}
		if list := p.heldEngines(d); len(list) > 0 {
			t := list[turn%len(list)]
			group.Go(func() { p.poll(ctx, t) })
		}
	}
	return ctx.Err()
}
