package version

import (
	"sync"
	"time"
)

// Result is what one request did, or the part of it that is known.
type Result struct {
	// Version is the version that ran the request, Route its route.
	Version string
	Route   string
	// LostTarget names the target whose loss made the request fail, if it was lost.
	LostTarget string
	// Ended is set when the request ended, Failed when it ended badly.
	Ended  bool
	Failed bool
	// FirstToken is the time to the first token (or the whole answer), if it is above 0.
	FirstToken time.Duration
	// TokenInterval is a mean time between tokens, if it is above 0.
	TokenInterval time.Duration
}

// lossWindow is the time in which losses at one target count once: a crash takes
// all requests of a target with it, which is one event and not many.
const lossWindow = 250 * time.Millisecond

// maxLosses bounds the targets whose last loss is remembered.
const maxLosses = 1024

// Counter collects what one instance sees of one change.
type Counter struct {
	mu         sync.Mutex
	plan       Plan
	report     Report
	references map[string]*[2]reference
	losses     map[string]time.Time
}

// NewCounter returns a counter for a change.
func NewCounter(p Plan) *Counter {
	return &Counter{plan: p, report: Report{ChangeID: p.ID}, references: map[string]*[2]reference{}, losses: map[string]time.Time{}}
}

// Add counts one result if it belongs to one of the change's versions.
func (c *Counter) Add(now time.Time, r Result) {
	if r.Version != c.plan.From && r.Version != c.plan.To {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Failed && r.LostTarget != "" && c.counted(now, r.LostTarget) {
		return
	}
	row := c.report.row(r.Route)
	refs := c.references[row.Route]
	if refs == nil {
		refs = &[2]reference{}
		c.references[row.Route] = refs
	}
	n := &row.Old
	if r.Version == c.plan.To {
		n = &row.New
	}
	if r.Ended {
		n.Requests++
		n.Failed += one(r.Failed)
	}
	if r.FirstToken > 0 {
		n.FirstTokens++
		n.SlowFirstTokens += one(refs[0].slow(r.FirstToken))
	}
	if r.TokenInterval > 0 {
		n.TokenIntervals++
		n.SlowTokenIntervals += one(refs[1].slow(r.TokenInterval))
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

// counted reports whether a loss at the target was counted a moment ago.
func (c *Counter) counted(now time.Time, target string) bool {
	if last, ok := c.losses[target]; ok && now.Sub(last) < lossWindow {
		return true
	}
	if len(c.losses) >= maxLosses {
		clear(c.losses)
	}
	c.losses[target] = now
	return false
}

func one(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// TakeReport returns what was counted since the last call.
func (c *Counter) TakeReport() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	c.report = Report{ChangeID: c.plan.ID}
	for _, refs := range c.references {
		refs[0].settle()
		refs[1].settle()
	}
	return out
}
