package server

import (
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	// failingTTL is how long a target that failed one stream is avoided by others.
	failingTTL = 2 * time.Second
	// resumePollInterval is how often waiting resumes are checked when no slot is reported free.
	resumePollInterval = 50 * time.Millisecond
)

// resumeQueues paces the attempts that require recomputation by engines, with one queue per entry and version.
//
// It counts the slots that this instance uses, so that it grants only as many attempts as the
// remaining targets can run. One lock guards it; it is not involved in delivering tokens.
type resumeQueues struct {
	mu           sync.Mutex
	lastID       uint64
	queues       map[versionKey]*resumeQueue
	usedSlots    map[string]int
	failingUntil map[string]time.Time
}

type versionKey struct{ entry, version string }

// resumeQueue is the queue of one entry and version.
type resumeQueue struct {
	core   generation.ResumeQueue
	grants map[uint64]chan struct{}
	// placed holds the IDs of the granted attempts that already use a slot.
	placed map[uint64]bool
	timer  *time.Timer
	key    versionKey
	entry  func(name string) *catalogue.Entry
}

// permit represents one attempt that is queued or running.
type permit struct {
	queues  *resumeQueues
	queue   *resumeQueue
	id      uint64
	granted chan struct{}
}

// enqueue queues an attempt; its granted channel is closed when the attempt may start.
func (r *resumeQueues) enqueue(now time.Time, k versionKey, entry func(name string) *catalogue.Entry, resume generation.QueuedResume) *permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	resume.ID = r.lastID
	if r.queues == nil {
		r.queues = map[versionKey]*resumeQueue{}
	}
	q := r.queues[k]
	if q == nil {
		q = &resumeQueue{grants: map[uint64]chan struct{}{}, placed: map[uint64]bool{}, key: k, entry: entry}
		r.queues[k] = q
	}
	pm := &permit{queues: r, queue: q, id: resume.ID, granted: make(chan struct{})}
	q.grants[resume.ID] = pm.granted
	q.core.Add(resume)
	r.grantPending(now, q)
	return pm
}

// markPlaced records that a granted attempt now uses a slot.
func (p *permit) markPlaced() {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	p.queue.placed[p.id] = true
}

// release removes the attempt; further calls have no effect.
func (p *permit) release(now time.Time) {
	r := p.queues
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := p.queue.grants[p.id]; !ok {
		return
	}
	delete(p.queue.grants, p.id)
	delete(p.queue.placed, p.id)
	p.queue.core.Remove(p.id)
	if len(p.queue.grants) == 0 && p.queue.timer == nil {
		delete(r.queues, p.queue.key)
		return
	}
	r.grantPending(now, p.queue)
}

// grantPending grants as many attempts as there is capacity for; the caller holds the lock.
func (r *resumeQueues) grantPending(now time.Time, q *resumeQueue) {
	if q.core.Waiting() == 0 {
		return
	}
	for _, id := range q.core.Grant(r.freeSlots(now, q) + len(q.placed)) {
		close(q.grants[id])
	}
	if q.core.Waiting() == 0 || q.timer != nil {
		return
	}
	q.timer = time.AfterFunc(resumePollInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		q.timer = nil
		r.grantPending(time.Now(), q)
	})
}

// freeSlots returns the slots that this instance does not use, on targets that are not known to fail.
func (r *resumeQueues) freeSlots(now time.Time, q *resumeQueue) int {
	e := q.entry(q.key.entry)
	if e == nil {
		return 1
	}
	n, working := 0, false
	for i := range e.Targets {
		t := &e.Targets[i]
		key := e.Name + "/" + t.Name
		if t.Leaving || t.Version != q.key.version || now.Before(r.failingUntil[key]) {
			continue
		}
		working = true
		n += max(t.Slots-r.usedSlots[key], 0)
	}
	if !working && len(q.placed) == 0 {
		// One resume is allowed, so that a recovery of targets regarded as failing is detected.
		return 1
	}
	return n
}

// countSlot counts a slot as used and returns the choice with a Release that also ends the count.
func (r *resumeQueues) countSlot(k versionKey, c TargetChoice) TargetChoice {
	key := k.entry + "/" + c.Target.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usedSlots == nil {
		r.usedSlots = map[string]int{}
	}
	r.usedSlots[key]++
	release := c.Release
	c.Release = sync.OnceFunc(func() {
		release()
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.usedSlots[key]--; r.usedSlots[key] == 0 {
			delete(r.usedSlots, key)
		}
		if q := r.queues[k]; q != nil {
			r.grantPending(time.Now(), q)
		}
	})
	return c
}

// markFailing records targets that have just failed a stream.
func (r *resumeQueues) markFailing(now time.Time, entry string, targets []string) {
	if len(targets) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingUntil == nil {
		r.failingUntil = map[string]time.Time{}
	}
	for key, until := range r.failingUntil {
		if !now.Before(until) {
			delete(r.failingUntil, key)
		}
	}
	for _, t := range targets {
		r.failingUntil[entry+"/"+t] = now.Add(failingTTL)
	}
}

// clearFailing records that a target accepted an attempt.
func (r *resumeQueues) clearFailing(entry, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failingUntil, entry+"/"+target)
}

// failingTargets returns the targets of an entry that recently failed a stream.
func (r *resumeQueues) failingTargets(now time.Time, e *catalogue.Entry) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failingUntil) == 0 {
		return nil
	}
	var list []string
	for i := range e.Targets {
		if now.Before(r.failingUntil[e.Name+"/"+e.Targets[i].Name]) {
			list = append(list, e.Targets[i].Name)
		}
	}
	return list
}
