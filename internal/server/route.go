package server

import (
	"slices"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// TargetQuery describes the work that a target is to be chosen for.
type TargetQuery struct {
	Now     time.Time
	Entry   *catalogue.Entry
	Version string
	// Prompt and Adapter determine which cached prefixes are useful.
	Prompt  string
	Adapter string
	// Avoid names targets that recently failed the request; they are chosen last.
	Avoid []string
	// Resume is set for work that has already begun.
	Resume bool
	// Retry is set for further attempts of a call, which take no slot that is kept for an admitted call.
	Retry bool
}

// TargetChoice is a chosen target with a slot on it, which Release gives back.
type TargetChoice struct {
	Target  catalogue.Target
	Release func()
	// Placement records how the work proceeds; it is nil when the router keeps no such record.
	Placement *Placement
}

// Router chooses targets and accounts for the slots in use on them.
type Router interface {
	// Choose returns a target with a free slot, or false.
	Choose(q TargetQuery) (TargetChoice, bool)
	// Adopt takes a slot for work that already runs at the target, even beyond the limit.
	Adopt(now time.Time, e *catalogue.Entry, target string) (TargetChoice, bool)
}

// LeastRouter chooses the target with the fewest requests of this instance; it does not know of other instances.
type LeastRouter struct {
	mu   sync.Mutex
	used map[string]int
}

// Choose returns the least used target of the version that has a free slot.
func (l *LeastRouter) Choose(q TargetQuery) (TargetChoice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *catalogue.Target
	rank := func(t *catalogue.Target) int {
		n := l.used[q.Entry.Name+"/"+t.Name]
		if slices.Contains(q.Avoid, t.Name) {
			n += 1 << 20
		}
		return n
	}
	for i := range q.Entry.Targets {
		t := &q.Entry.Targets[i]
		free := !t.Leaving && t.Version == q.Version && l.used[q.Entry.Name+"/"+t.Name] < t.Slots
		if free && (best == nil || rank(t) < rank(best)) {
			best = t
		}
	}
	if best == nil {
		return TargetChoice{}, false
	}
	return l.take(q.Entry, best), true
}

// Adopt counts work that the target already runs.
func (l *LeastRouter) Adopt(_ time.Time, e *catalogue.Entry, target string) (TargetChoice, bool) {
	t := e.Target(target)
	if t == nil {
		return TargetChoice{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(e, t), true
}

// take counts one slot; the caller holds the lock.
func (l *LeastRouter) take(e *catalogue.Entry, t *catalogue.Target) TargetChoice {
	if l.used == nil {
		l.used = map[string]int{}
	}
	key := e.Name + "/" + t.Name
	l.used[key]++
	return TargetChoice{Target: *t, Release: sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.used[key]--
	})}
}
