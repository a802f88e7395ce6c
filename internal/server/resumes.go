package server

import (
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	// failedFor is how long a target that failed one stream is not counted on by others.
	failedFor = 2 * time.Second
	// resumePeriod is how often waiting resumes are looked at when no slot is reported free.
	resumePeriod = 50 * time.Millisecond
)

// resumes paces the attempts for which engines must compute again, one pacer per entry and version.
//
// It counts the slots that this instance uses, so that it grants only what the
// surviving targets can hold. One lock guards it; no token passes it.
type resumes struct {
	mu     sync.Mutex
	last   uint64
	pools  map[poolKey]*resumePool
	used   map[string]int
	failed map[string]time.Time
}

type poolKey struct{ entry, version string }

// resumePool is the queue of one entry and version.
type resumePool struct {
	pacer  generation.ResumeQueue
	grants map[uint64]chan struct{}
	// placed counts the tickets in flight that already use a slot.
	placed map[uint64]bool
	timer  *time.Timer
	key    poolKey
	entry  func(name string) *catalogue.Entry
}

// permit is one attempt's place in the queue or in flight.
type permit struct {
	resumes *resumes
	pool    *resumePool
	id      uint64
	granted chan struct{}
}

// enter queues an attempt; its granted channel closes when it may be sent.
func (r *resumes) enter(now time.Time, k poolKey, entry func(name string) *catalogue.Entry, t generation.QueuedResume) *permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	t.ID = r.last
	if r.pools == nil {
		r.pools = map[poolKey]*resumePool{}
	}
	p := r.pools[k]
	if p == nil {
		p = &resumePool{grants: map[uint64]chan struct{}{}, placed: map[uint64]bool{}, key: k, entry: entry}
		r.pools[k] = p
	}
	pm := &permit{resumes: r, pool: p, id: t.ID, granted: make(chan struct{})}
	p.grants[t.ID] = pm.granted
	p.pacer.Add(t)
	r.pump(now, p)
	return pm
}

// place notes that a granted attempt now uses a slot.
func (p *permit) place() {
	p.resumes.mu.Lock()
	defer p.resumes.mu.Unlock()
	p.pool.placed[p.id] = true
}

// leave gives the place back; further calls have no effect.
func (p *permit) leave(now time.Time) {
	r := p.resumes
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := p.pool.grants[p.id]; !ok {
		return
	}
	delete(p.pool.grants, p.id)
	delete(p.pool.placed, p.id)
	p.pool.pacer.Remove(p.id)
	if len(p.pool.grants) == 0 && p.pool.timer == nil {
		delete(r.pools, p.pool.key)
		return
	}
	r.pump(now, p.pool)
}

// pump grants what there is capacity for; the caller holds the lock.
func (r *resumes) pump(now time.Time, p *resumePool) {
	if p.pacer.Waiting() == 0 {
		return
	}
	for _, id := range p.pacer.Grant(r.free(now, p) + len(p.placed)) {
		close(p.grants[id])
	}
	if p.pacer.Waiting() == 0 || p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(resumePeriod, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.timer = nil
		r.pump(time.Now(), p)
	})
}

// free returns the slots that this instance does not use on targets not known to fail.
func (r *resumes) free(now time.Time, p *resumePool) int {
	e := p.entry(p.key.entry)
	if e == nil {
		return 1
	}
	n, working := 0, false
	for i := range e.Targets {
		t := &e.Targets[i]
		key := e.Name + "/" + t.Name
		if t.Leaving || t.Version != p.key.version || now.Before(r.failed[key]) {
			continue
		}
		working = true
		n += max(t.Slots-r.used[key], 0)
	}
	if !working && len(p.placed) == 0 {
		// One resume may try, so that targets taken for failing are found working again.
		return 1
	}
	return n
}

// occupy counts a slot in use and returns a function that gives it back once.
func (r *resumes) occupy(k poolKey, c TargetChoice) TargetChoice {
	key := k.entry + "/" + c.Target.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used == nil {
		r.used = map[string]int{}
	}
	r.used[key]++
	release := c.Release
	c.Release = sync.OnceFunc(func() {
		release()
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.used[key]--; r.used[key] == 0 {
			delete(r.used, key)
		}
		if p := r.pools[k]; p != nil {
			r.pump(time.Now(), p)
		}
	})
	return c
}

// fail notes targets that lately failed a stream.
func (r *resumes) fail(now time.Time, entry string, targets []string) {
	if len(targets) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = map[string]time.Time{}
	}
	for key, until := range r.failed {
		if !now.Before(until) {
			delete(r.failed, key)
		}
	}
	for _, t := range targets {
		r.failed[entry+"/"+t] = now.Add(failedFor)
	}
}

// recover notes that a target accepted an attempt.
func (r *resumes) recover(entry, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, entry+"/"+target)
}

// failing returns the targets of an entry that lately failed a stream.
func (r *resumes) failing(now time.Time, e *catalogue.Entry) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) == 0 {
		return nil
	}
	var list []string
	for i := range e.Targets {
		if now.Before(r.failed[e.Name+"/"+e.Targets[i].Name]) {
			list = append(list, e.Targets[i].Name)
		}
	}
	return list
}
