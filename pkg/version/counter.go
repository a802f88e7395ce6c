package version

import (
	"sync"
	"time"
)

// Result is the result of one request, or the part of it that is known.
type Result struct {
	// Version is the version that handled the request, Route its route.
	Version string
	Route   string
	// LostTarget is the target whose loss made the request fail, or empty.
	LostTarget string
	// Ended is set if the request ended, Failed if it failed.
	Ended  bool
	Failed bool
	// FirstToken is the time to the first token (or the whole answer), or 0 if it is not known.
	FirstToken time.Duration
	// Expected is the time to the first token that callers expect, or 0; it serves as the reference until there
	// are enough results of the old version.
	Expected time.Duration
	// TokenInterval is a mean time between tokens, or 0 if it is not known.
	TokenInterval time.Duration
}

// lossWindow is the time within which losses at one target count once: a crash makes all
// requests at a target fail, which is one event.
const lossWindow = 250 * time.Millisecond

// expectedDivisor divides Result.Expected: a version that takes several times as long as the old one takes more
// than half of what callers expect. Both versions are measured against the same time, so that any is fair.
const expectedDivisor = 2

// maxLosses is the largest number of targets whose last loss is kept.
const maxLosses = 1024

// Counter counts the results that one instance observes for one change.
type Counter struct {
	mu     sync.Mutex
	plan   Plan
	report Report
	// references has, for each route, the bounds of the first-token time and of the token interval.
	references map[string]*[2]reference
	// lastLoss is when a loss was last counted for each target.
	lastLoss map[string]time.Time
}

// NewCounter returns a counter for a change.
func NewCounter(p Plan) *Counter {
	return &Counter{plan: p, report: Report{ChangeID: p.ID}, references: map[string]*[2]reference{}, lastLoss: map[string]time.Time{}}
}

// SetPlan begins to count for another change; the old version's references are kept.
func (c *Counter) SetPlan(p Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan, c.report, c.lastLoss = p, Report{ChangeID: p.ID}, map[string]time.Time{}
	for _, refs := range c.references {
		refs[0].updateBound()
		refs[1].updateBound()
	}
}

// Add counts one result if it is of one of the two versions of the change.
func (c *Counter) Add(now time.Time, r Result) {
	if r.Version != c.plan.From && r.Version != c.plan.To {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Failed && r.LostTarget != "" && c.lossCounted(now, r.LostTarget) {
		return
	}
	route := c.report.routeCounts(r.Route)
	refs := c.references[route.Route]
	if refs == nil {
		refs = &[2]reference{}
		c.references[route.Route] = refs
	}
	counts := &route.Old
	if r.Version == c.plan.To {
		counts = &route.New
	}
	if r.Ended {
		counts.Requests++
		counts.Failed += countIf(r.Failed)
	}
	if r.FirstToken > 0 {
		counts.FirstTokens++
		counts.SlowFirstTokens += countIf(refs[0].isSlow(r.FirstToken) || refs[0].bound == 0 && r.Expected > 0 && r.FirstToken > r.Expected/expectedDivisor)
	}
	if r.TokenInterval > 0 {
		counts.TokenIntervals++
		counts.SlowTokenIntervals += countIf(refs[1].isSlow(r.TokenInterval))
	}
	if r.Version == c.plan.From {
		if r.FirstToken > 0 {
			refs[0].add(r.FirstToken)
		}
		if r.TokenInterval > 0 {
			refs[1].add(r.TokenInterval)
		}
	}
}

// lossCounted reports whether a loss at the target was counted within lossWindow, and otherwise records one.
func (c *Counter) lossCounted(now time.Time, target string) bool {
	if last, ok := c.lastLoss[target]; ok && now.Sub(last) < lossWindow {
		return true
	}
	if len(c.lastLoss) >= maxLosses {
		clear(c.lastLoss)
	}
	c.lastLoss[target] = now
	return false
}

// countIf returns 1 if b is set, otherwise 0.
func countIf(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// TakeReport returns what was counted since the last call, and updates the bounds of slowness.
func (c *Counter) TakeReport() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	c.report = Report{ChangeID: c.plan.ID}
	for _, refs := range c.references {
		refs[0].updateBound()
		refs[1].updateBound()
	}
	return report
}
