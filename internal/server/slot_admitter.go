package server

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/workspace"
)

// TargetCapacity reports free target slots, so that work waits in the queue until a target can run it.
type TargetCapacity interface {
	// FreeSlots returns this instance's free slots on the version's targets; known is false when no target serves the version.
	FreeSlots(now time.Time, e *catalogue.Entry, version string) (free int, known bool)
	// BorrowSlot borrows a slot on one of the targets and keeps it for the next choice.
	BorrowSlot(ctx context.Context, e *catalogue.Entry, version string) bool
	// HoldSlot keeps a free slot on one of the targets for the next choice, so that it is not lent.
	HoldSlot(now time.Time, e *catalogue.Entry, version string) (ReservedSlot, bool)
}

// ReservedSlot is a target's slot that is kept for an admitted request.
type ReservedSlot interface {
	// IsUnused reports whether no choice has taken the slot yet.
	IsUnused() bool
	// Release gives the slot back unless it was taken.
	Release()
}

const (
	// maxWaiting bounds the requests of all entries that wait on one instance.
	maxWaiting = 4096
	// queuePeriod is how often the queue is looked at when nothing tells of a free slot.
	queuePeriod = 50 * time.Millisecond
)

// The classes of queued work. Work that a target already runs goes first, since each
// moment it waits is computed for nobody.
const (
	classBatch = iota
	classInteractive
	classBegun
)

// SlotAdmitter admits work up to the limits that hold across all instances together, and queues it.
//
// The lock guards the queue and what is known of its items.
type SlotAdmitter struct {
	Slots *Slots
	// Capacity, if set, holds requests back until a target can run them.
	Capacity TargetCapacity

	mu     sync.Mutex
	queue  workspace.Queue
	known  map[string]*ticket
	placed map[roomKey]int
	// held has the slots kept for calls that were started and have not been sent yet.
	held map[roomKey][]ReservedSlot
	// borrowing has the time until which no slot of a pool is to be borrowed.
	borrowing map[string]time.Time
	spares    spares
	wake      chan struct{}
}

// roomKey names the targets that share free slots.
type roomKey struct{ entry, version string }

// ticket is one request that waits or is in progress.
type ticket struct {
	work    Work
	item    workspace.Item
	room    roomKey
	gated   bool
	arrived time.Time
	started time.Time
	// unplaced is set from the start until the request has a slot of a target.
	unplaced bool
	// last and share tell how far the target got with the work.
	last    time.Time
	share   float64
	release []func()
	// done receives nil when the request may start, or its refusal.
	done chan error
}

// NewSlotAdmitter returns an admitter; capacity may be nil.
func NewSlotAdmitter(slots *Slots, capacity TargetCapacity) *SlotAdmitter {
	return &SlotAdmitter{
		Slots: slots, Capacity: capacity, wake: make(chan struct{}, 1),
		queue: workspace.Queue{EntryLimits: map[string]int{}, TotalLimit: maxWaiting},
		known: map[string]*ticket{}, placed: map[roomKey]int{}, held: map[roomKey][]ReservedSlot{}, borrowing: map[string]time.Time{},
	}
}

// Admit queues the work and blocks until it may start or is refused.
func (a *SlotAdmitter) Admit(ctx context.Context, w Work) (func(), error) {
	t := a.ticket(w)
	if err := a.offer(t); err != nil {
		return nil, a.refused(err)
	}
	select {
	case err := <-t.done:
		if err != nil {
			return nil, a.refused(err)
		}
	case <-ctx.Done():
		if a.cancel(t) {
			return nil, refuse(http.StatusServiceUnavailable, "caller_gone", "the caller closed its connection while the request waited")
		}
		if err := <-t.done; err != nil {
			return nil, a.refused(err)
		}
	}
	a.Slots.Metrics.GetOrCreateHistogram("bambooferry_queue_wait_seconds").Update(t.started.Sub(t.arrived).Seconds())
	return sync.OnceFunc(func() { a.leave(t) }), nil
}

func (a *SlotAdmitter) ticket(w Work) *ticket {
	class := classInteractive
	switch {
	case w.AlreadyRunning:
		class = classBegun
	case w.Entry.Class == catalogue.Batch:
		class = classBatch
	}
	t := &ticket{
		work: w, done: make(chan error, 1), arrived: time.Now(), room: roomKey{w.Entry.Name, w.Version},
		gated: a.Capacity != nil && !w.AlreadyRunning,
		item: workspace.Item{
			ID: w.Request, Workspace: w.Workspace.Name, Weight: max(w.Workspace.Weight, 1), Entry: w.Entry.Name,
			Class: class, Cost: float64(max(w.Tokens, 1)), Deadline: w.Deadline,
		},
	}
	if w.CurrentVersion != nil {
		t.room.version = w.CurrentVersion()
	}
	if t.gated {
		t.item.Group = t.room.version
	}
	return t
}

// errIsolated refuses work on an instance that may start none.
var errIsolated = errors.New("the instance is cut off")

// offer puts a ticket into the queue and starts what can start.
func (a *SlotAdmitter) offer(t *ticket) error {
	now := time.Now()
	if !a.Slots.CanStartWork(now) {
		return errIsolated
	}
	a.mu.Lock()
	// Also work that need not wait passes through the queue.
	a.queue.EntryLimits[t.item.Entry] = max(t.work.Entry.Limits.Queue, 1)
	displaced, err := a.queue.Offer(now, t.item)
	if err != nil {
		a.mu.Unlock()
		return err
	}
	a.settle(displaced)
	a.known[t.item.ID] = t
	wanted := a.next(now)
	waits := t.started.IsZero() && len(t.done) == 0
	if waits && t.work.Entry.Limits.Queue == 0 {
		a.queue.Cancel(t.item.ID)
		delete(a.known, t.item.ID)
		err = &workspace.RefusedError{ID: t.item.ID, Reason: workspace.QueueFull, RetryAfter: time.Second}
	}
	waiting := a.queue.Len()
	a.mu.Unlock()
	a.borrow(wanted)
	if waits && err == nil {
		a.Slots.Events.Write(now, timeline.Event{
			Kind: "request_queued", Request: t.work.Request, Workspace: t.item.Workspace, Entry: t.item.Entry, Version: t.work.Version,
			Decision: "wait", Inputs: []timeline.Input{{Name: "waiting", Value: int64(waiting)}, {Name: "class", Value: int64(t.item.Class)}},
		})
	}
	return err
}

// cancel takes a ticket whose caller has gone out of the queue and reports whether it was there.
func (a *SlotAdmitter) cancel(t *ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Cancel(t.item.ID) {
		return false
	}
	delete(a.known, t.item.ID)
	return true
}

// RecordProgress records what share of an admitted request its target has completed at a time.
func (a *SlotAdmitter) RecordProgress(request string, share float64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.known[request]; t != nil {
		t.share, t.last = share, at
	}
}

// MarkPlaced records that an admitted request has a slot of a target, or needs none.
func (a *SlotAdmitter) MarkPlaced(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.known[request]
	if t == nil || !t.unplaced {
		return
	}
	a.place(t)
	if a.queue.Len() > 0 {
		// A look at the queue since the slot was taken has counted it twice.
		a.Wake()
	}
}

// place ends the time in which a ticket counts against free slots; the caller holds the lock.
func (a *SlotAdmitter) place(t *ticket) {
	if !t.unplaced {
		return
	}
	t.unplaced = false
	if a.placed[t.room]--; a.placed[t.room] <= 0 {
		delete(a.placed, t.room)
	}
	a.unhold(t.room)
}

// unhold gives back slots that are kept for no call any more; the caller holds the lock.
//
// A call may have taken a slot that was kept for another one, so that slots are counted by room.
func (a *SlotAdmitter) unhold(room roomKey) {
	list := slices.DeleteFunc(a.held[room], func(h ReservedSlot) bool { return !h.IsUnused() })
	for len(list) > a.placed[room] {
		last := len(list) - 1
		list[last].Release()
		list = list[:last]
		signal(a.wake)
	}
	if a.held[room] = list; len(list) == 0 {
		delete(a.held, room)
	}
}

// leave ends a request and lets others start.
func (a *SlotAdmitter) leave(t *ticket) {
	now := time.Now()
	a.mu.Lock()
	a.place(t)
	delete(a.known, t.item.ID)
	a.queue.RecordEnd(now, t.item, workspace.RunResult{StartedAt: t.started, LastProgress: t.last, FractionDone: t.share})
	a.mu.Unlock()
	for _, r := range t.release {
		r()
	}
	a.Wake()
}

// refused turns the queue's errors into what callers are told. None of the work has left the instance.
func (a *SlotAdmitter) refused(err error) error {
	var r *workspace.RefusedError
	if !errors.As(err, &r) {
		return refuse(http.StatusServiceUnavailable, "instance_isolated", "this instance may start no work at present; another may").after(queuePeriod)
	}
	a.Slots.Metrics.GetOrCreateCounter(`bambooferry_queue_refusals_total{reason="` + string(r.Reason) + `"}`).Inc()
	status := http.StatusTooManyRequests
	if r.Reason == workspace.DeadlineUnreachable {
		status = http.StatusServiceUnavailable
	}
	return refuse(status, string(r.Reason), queueText[r.Reason]).after(r.RetryAfter)
}

var queueText = map[workspace.Reason]string{
	workspace.QueueFull:           "too many requests wait for the entry",
	workspace.DeadlineUnreachable: "the request could not end by its deadline",
	workspace.Displaced:           "the place in the queue went to a request that goes first",
}
