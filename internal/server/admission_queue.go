package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/workspace"
)

// Wake makes the queue look for work that can start; it does not block.
func (a *SlotAdmitter) Wake() { signal(a.wake) }

// SlotFreed records that a target's slot of an entry became free, and wakes the queue.
func (a *SlotAdmitter) SlotFreed(entry string) {
	now := time.Now()
	a.mu.Lock()
	a.queue.RecordFreedSlot(now, entry)
	a.mu.Unlock()
	a.Wake()
}

// Counts returns what the queue has counted.
func (a *SlotAdmitter) Counts() workspace.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Counts()
}

// Run starts waiting work as slots come free, until ctx ends.
func (a *SlotAdmitter) Run(ctx context.Context) error {
	a.Slots.Metrics.GetOrCreateGauge("bambooferry_queue_waiting", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.queue.Len())
	})
	tick := time.NewTicker(queuePeriod)
	defer tick.Stop()
	for {
		select {
		case <-a.wake:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.pump(time.Now())
	}
}

func (a *SlotAdmitter) pump(now time.Time) {
	working := a.Slots.CanStartWork(now)
	a.mu.Lock()
	if a.queue.Len() == 0 {
		a.mu.Unlock()
		return
	}
	var wanted wants
	if working {
		wanted = a.next(now)
	} else {
		a.refuseAll()
	}
	maps.DeleteFunc(a.borrowing, func(_ string, until time.Time) bool { return now.After(until) })
	a.mu.Unlock()
	a.borrow(wanted)
}

// refuseAll empties the queue of an instance that may start no work; the caller holds the lock.
func (a *SlotAdmitter) refuseAll() {
	for id, t := range a.known {
		if a.queue.Cancel(id) {
			delete(a.known, id)
			t.done <- errIsolated
		}
	}
}

// wants has what borrows a slot, by pool.
type wants map[string]func(ctx context.Context) bool

// pass is one look at the queue.
type pass struct {
	*SlotAdmitter
	now    time.Time
	rooms  map[roomKey]int
	wanted wants
}

// next starts the work that can start and returns the slots that lack; the caller holds the lock.
func (a *SlotAdmitter) next(now time.Time) wants {
	p := &pass{a, now, map[roomKey]int{}, wants{}}
	started, late := a.queue.DispatchFunc(now, p.start)
	for _, it := range started {
		t := a.known[it.ID]
		t.started = now
		t.done <- nil
	}
	for _, r := range late {
		a.settle(r)
	}
	return p.wanted
}

// settle tells a refused request that waited; the caller holds the lock.
func (a *SlotAdmitter) settle(r *workspace.RefusedError) {
	if r == nil {
		return
	}
	if t := a.known[r.ID]; t != nil {
		delete(a.known, r.ID)
		t.done <- r
	}
}

// start takes the slots of a request.
func (p *pass) start(it workspace.Item) workspace.StartResult {
	t := p.known[it.ID]
	if t.work.CurrentVersion != nil {
		t.room.version = t.work.CurrentVersion()
	}
	if t.gated && p.room(t) <= 0 {
		if t.room.version != it.Group {
			// The version of a call has changed since it came.
			return workspace.ItemBlocked
		}
		return workspace.GroupBlocked
	}
	ws, ok := p.take(t, WorkspacePool(it.Workspace))
	if !ok {
		return workspace.WorkspaceBlocked
	}
	entry, ok := p.take(t, EntryPool(it.Entry))
	if !ok {
		ws()
		return workspace.EntryBlocked
	}
	if !p.hold(t) {
		ws()
		entry()
		return workspace.ItemBlocked
	}
	t.release = []func(){ws, entry}
	if t.gated {
		p.rooms[t.room]--
		p.placed[t.room]++
		t.unplaced = true
	}
	return workspace.Started
}

// hold keeps a target's slot for a call, which is sent only once its claim is written. In that
// time another instance could borrow the slot, and the call would be refused with its claim written.
func (p *pass) hold(t *ticket) bool {
	if !t.gated || t.work.CurrentVersion == nil {
		return true
	}
	h, ok := p.Capacity.HoldSlot(p.now, t.work.Entry, t.room.version)
	if ok {
		p.SlotAdmitter.held[t.room] = append(p.SlotAdmitter.held[t.room], h)
		return true
	}
	// Without a target that serves the version the call is told so when it is sent.
	_, known := p.Capacity.FreeSlots(p.now, t.work.Entry, t.room.version)
	return !known
}

// room returns the free target slots that are not meant for requests started before.
func (p *pass) room(t *ticket) int {
	n, seen := p.rooms[t.room]
	if !seen {
		free, known := p.Capacity.FreeSlots(p.now, t.work.Entry, t.room.version)
		n = free - p.placed[t.room]
		if !known {
			// The stream tells its caller why there is no target.
			n = maxWaiting
		}
		p.rooms[t.room] = n
	}
	if n <= 0 {
		room := t.room
		p.wanted["room/"+room.entry+"/"+room.version] = func(ctx context.Context) bool {
			return p.Capacity.BorrowSlot(ctx, t.work.Entry, room.version)
		}
	}
	return n
}

// take uses a slot of a pool that is held or was borrowed before.
//
// Work that was begun at another instance is already counted there, in a slot that
// nobody else can use before that instance gives it up or is proved to have ended.
func (p *pass) take(t *ticket, pool string) (func(), bool) {
	if release, ok := p.Slots.Acquire(p.now, pool); ok {
		return release, true
	}
	if t.work.AlreadyRunning {
		// An instance that may not adopt without a slot borrows one.
		if release, ok := p.Slots.Adopt(p.now, pool); ok {
			return release, true
		}
	}
	if release, ok := p.spares.take(pool); ok {
		return release, true
	}
	p.wanted[pool] = func(ctx context.Context) bool {
		for range borrowTries {
			if release, ok := p.Slots.Borrow(ctx, pool); ok {
				p.spares.put(pool, release)
				return true
			}
		}
		return false
	}
	return nil, false
}

// borrowPatience is longer than any attempt to borrow takes.
const borrowPatience = time.Minute

// borrow asks other instances for the slots that lack, one at a time for each pool.
func (a *SlotAdmitter) borrow(w wants) {
	for _, pool := range slices.Sorted(maps.Keys(w)) {
		now := time.Now()
		a.mu.Lock()
		free := now.After(a.borrowing[pool])
		if free {
			a.borrowing[pool] = now.Add(borrowPatience)
		}
		a.mu.Unlock()
		if !free {
			continue
		}
		go func() {
			ok := w[pool](context.Background())
			a.mu.Lock()
			delete(a.borrowing, pool)
			if !ok {
				// Lenders that have none free would only be kept busy.
				a.borrowing[pool] = time.Now().Add(queuePeriod)
			}
			a.mu.Unlock()
			if ok {
				a.Wake()
			}
		}()
	}
}
