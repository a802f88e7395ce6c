package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/workspace"
)

// Wake makes Run check for work that can start; it does not block.
func (a *SlotAdmitter) Wake() { signal(a.wake) }

// SlotFreed records that a target's slot of an entry became free, and wakes the queue.
func (a *SlotAdmitter) SlotFreed(entry string) {
	now := time.Now()
	a.mu.Lock()
	a.queue.RecordFreedSlot(now, entry)
	a.mu.Unlock()
	a.Wake()
}

// Counts returns the queue's counters.
func (a *SlotAdmitter) Counts() workspace.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Counts()
}

// Run starts waiting work as slots become free, until ctx ends.
func (a *SlotAdmitter) Run(ctx context.Context) error {
	a.Slots.Metrics.GetOrCreateGauge("bambooferry_queue_waiting", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.queue.Len())
	})
	tick := time.NewTicker(queuePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.wake:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.startWaiting(time.Now())
	}
}

func (a *SlotAdmitter) startWaiting(now time.Time) {
	working := a.Slots.CanStartWork(now)
	a.mu.Lock()
	if a.queue.Len() == 0 {
		a.mu.Unlock()
		return
	}
	var missing missingSlots
	if working {
		missing = a.startReady(now)
	} else {
		a.refuseWaiting()
	}
	maps.DeleteFunc(a.borrowingUntil, func(_ string, until time.Time) bool { return now.After(until) })
	a.mu.Unlock()
	a.borrowMissing(missing)
}

// refuseWaiting refuses all waiting work on an instance that may not start any; the caller holds the lock.
func (a *SlotAdmitter) refuseWaiting() {
	for id, q := range a.requests {
		if a.queue.Cancel(id) {
			delete(a.requests, id)
			q.done <- errInstanceIsolated
		}
	}
}

// missingSlots maps each pool that lacks a slot to the function that borrows one.
type missingSlots map[string]func(ctx context.Context) bool

// queuePass is one pass over the queue.
type queuePass struct {
	*SlotAdmitter
	now       time.Time
	freeSlots map[capacityKey]int
	missing   missingSlots
}

// startReady starts the work that can start and returns the missing slots; the caller holds the lock.
func (a *SlotAdmitter) startReady(now time.Time) missingSlots {
	p := &queuePass{a, now, map[capacityKey]int{}, missingSlots{}}
	started, late := a.queue.DispatchFunc(now, p.tryStart)
	for _, it := range started {
		q := a.requests[it.ID]
		q.startedAt = now
		q.done <- nil
	}
	for _, r := range late {
		a.deliverRefusal(r)
	}
	return p.missing
}

// deliverRefusal delivers a refusal to the waiting request; the caller holds the lock.
func (a *SlotAdmitter) deliverRefusal(r *workspace.RefusedError) {
	if r == nil {
		return
	}
	if q := a.requests[r.ID]; q != nil {
		delete(a.requests, r.ID)
		q.done <- r
	}
}

// tryStart takes the slots that a request needs.
func (p *queuePass) tryStart(it workspace.Item) workspace.StartResult {
	q := p.requests[it.ID]
	if q.work.CurrentVersion != nil {
		q.capacityKey.version = q.work.CurrentVersion()
	}
	if q.needsTarget && p.remainingSlots(q) <= 0 {
		if q.capacityKey.version != it.Group {
			// The version of the call has changed since it was queued.
			return workspace.ItemBlocked
		}
		return workspace.GroupBlocked
	}
	ws, ok := p.takeSlot(q, WorkspacePool(it.Workspace))
	if !ok {
		return workspace.WorkspaceBlocked
	}
	entry, ok := p.takeSlot(q, EntryPool(it.Entry))
	if !ok {
		ws()
		return workspace.EntryBlocked
	}
	if !p.holdTargetSlot(q) {
		ws()
		entry()
		return workspace.ItemBlocked
	}
	q.release = []func(){ws, entry}
	if q.needsTarget {
		p.freeSlots[q.capacityKey]--
		p.unplacedCount[q.capacityKey]++
		q.unplaced = true
	}
	return workspace.Started
}

// holdTargetSlot keeps a target's slot for a call, which is sent only after its claim is written. Otherwise
// another instance could borrow the slot in that time, and the call would be refused after its claim was written.
func (p *queuePass) holdTargetSlot(q *queuedRequest) bool {
	if !q.needsTarget || q.work.CurrentVersion == nil {
		return true
	}
	h, ok := p.Capacity.HoldSlot(p.now, q.work.Entry, q.capacityKey.version)
	if ok {
		p.SlotAdmitter.reserved[q.capacityKey] = append(p.SlotAdmitter.reserved[q.capacityKey], h)
		return true
	}
	// If no target serves the version, the call is refused when it is sent.
	_, known := p.Capacity.FreeSlots(p.now, q.work.Entry, q.capacityKey.version)
	return !known
}

// remainingSlots returns the free target slots that are not needed by requests started earlier.
func (p *queuePass) remainingSlots(q *queuedRequest) int {
	n, cached := p.freeSlots[q.capacityKey]
	if !cached {
		free, known := p.Capacity.FreeSlots(p.now, q.work.Entry, q.capacityKey.version)
		n = free - p.unplacedCount[q.capacityKey]
		if !known {
			// The stream reports to its caller why there is no target.
			n = maxWaiting
		}
		p.freeSlots[q.capacityKey] = n
	}
	if n <= 0 {
		key := q.capacityKey
		p.missing["room/"+key.entry+"/"+key.version] = func(ctx context.Context) bool {
			return p.Capacity.BorrowSlot(ctx, q.work.Entry, key.version)
		}
	}
	return n
}

// takeSlot takes a slot of a pool that this instance holds or borrowed earlier.
//
// Work that began on another instance is already counted there, in a slot that
// nobody else can use until that instance releases it or is proved to have ended.
func (p *queuePass) takeSlot(q *queuedRequest, pool string) (func(), bool) {
	if release, ok := p.Slots.Acquire(p.now, pool); ok {
		return release, true
	}
	if q.work.AlreadyRunning {
		// An instance that may not adopt work without a slot borrows one.
		if release, ok := p.Slots.Adopt(p.now, pool); ok {
			return release, true
		}
	}
	if release, ok := p.spares.take(pool); ok {
		return release, true
	}
	p.missing[pool] = func(ctx context.Context) bool {
		for range maxBorrowAttempts {
			if release, ok := p.Slots.Borrow(ctx, pool); ok {
				p.spares.keep(pool, release)
				return true
			}
		}
		return false
	}
	return nil, false
}

// maxBorrowTime is longer than any attempt to borrow takes. It blocks further attempts for a pool while one is in progress.
const maxBorrowTime = time.Minute

// borrowMissing asks other instances for the missing slots, one request at a time for each pool.
func (a *SlotAdmitter) borrowMissing(missing missingSlots) {
	for _, pool := range slices.Sorted(maps.Keys(missing)) {
		now := time.Now()
		a.mu.Lock()
		allowed := now.After(a.borrowingUntil[pool])
		if allowed {
			a.borrowingUntil[pool] = now.Add(maxBorrowTime)
		}
		a.mu.Unlock()
		if !allowed {
			continue
		}
		go func() {
			ok := missing[pool](context.Background())
			a.mu.Lock()
			delete(a.borrowingUntil, pool)
			if !ok {
				// Asking lenders without a free slot again at once would only load them.
				a.borrowingUntil[pool] = time.Now().Add(queuePollInterval)
			}
			a.mu.Unlock()
			if ok {
				a.Wake()
			}
		}()
	}
}
