package route

import (
	"maps"
	"slices"
	"time"
)

const (
	// unreachableTargets is the number of targets that must have failed one after another, with none reached in between,
	// until a pool counts as unreachable; of a smaller pool, all must have.
	unreachableTargets = 3
	// unreachableWindow is how long these failures count together.
	unreachableWindow = 2 * time.Second
	// ReachInterval is the time between two requests that try an unreachable pool again.
	ReachInterval = 200 * time.Millisecond
)

// Reachability tracks whether any target of a pool can be reached over any path. Its zero value is ready for use; its
// owner guards it.
type Reachability struct {
	failedAt map[string]time.Time
	// failing holds the targets that could not be reached since they were reached last.
	failing map[string]bool
	triedAt time.Time
}

// RecordFailed records that no connection to a target could be made.
func (r *Reachability) RecordFailed(now time.Time, id string) {
	if r.failedAt == nil {
		r.failedAt, r.failing = map[string]time.Time{}, map[string]bool{}
	}
	r.failedAt[id], r.failing[id] = now, true
}

// RecordReached records that a target was reached.
func (r *Reachability) RecordReached(id string) {
	clear(r.failedAt)
	delete(r.failing, id)
}

// Failing reports whether a target could not be reached since it was reached last.
func (r *Reachability) Failing(id string) bool { return r.failing[id] }

// Retain removes the state of targets that are not among those given.
func (r *Reachability) Retain(ids []string) {
	maps.DeleteFunc(r.failing, func(id string, _ bool) bool { return !slices.Contains(ids, id) })
}

// Unreachable reports whether no target of a pool of some size can be reached.
func (r *Reachability) Unreachable(now time.Time, size int) bool {
	for id, at := range r.failedAt {
		if now.Sub(at) > unreachableWindow {
			delete(r.failedAt, id)
		}
	}
	return size > 0 && len(r.failedAt) >= min(unreachableTargets, size)
}

// Refuses reports whether a request is to be refused at once, since the pool is unreachable. It lets one request pass in
// each ReachInterval.
func (r *Reachability) Refuses(now time.Time, size int) bool {
	if !r.Unreachable(now, size) {
		return false
	}
	if now.Sub(r.triedAt) >= ReachInterval {
		r.triedAt = now
		return false
	}
	return true
}
