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
	// maxWaiting bounds the requests that wait on one instance, over all entries.
	maxWaiting = 4096
	// queuePollInterval is how often the queue is checked when no slot is reported free.
	queuePollInterval = 50 * time.Millisecond
)

// The classes of queued work. Work that a target already runs has priority, since the
// target's output is not read while the work waits.
const (
	classBatch = iota
	classInteractive
	classRunning
)

// SlotAdmitter queues work and admits it up to the limits that apply to all instances together.
//
// The lock guards the queue and the state of its items.
type SlotAdmitter struct {
	Slots *Slots
	// Capacity, if set, holds requests back until a target can run them.
	Capacity TargetCapacity

	mu       sync.Mutex
	queue    workspace.Queue
	requests map[string]*queuedRequest
	// unplacedCount counts the started requests that do not have a slot of a target yet.
	unplacedCount map[capacityKey]int
	// reserved holds the slots kept for calls that were started and have not been sent yet.
	reserved map[capacityKey][]ReservedSlot
	// borrowingUntil holds, by pool, the time until which no further slot may be borrowed.
	borrowingUntil map[string]time.Time
	spares         spareSlots
	wake           chan struct{}
}

// capacityKey identifies the targets whose free slots are counted together.
type capacityKey struct{ entry, version string }

// queuedRequest is one request that waits or is in progress.
type queuedRequest struct {
	work        Work
	item        workspace.Item
	capacityKey capacityKey
	needsTarget bool
	arrivedAt   time.Time
	startedAt   time.Time
	// unplaced is set from the start of the request until it has a slot of a target.
	unplaced bool
	// progressAt and share are the time and extent of the target's last reported progress.
	progressAt time.Time
	share      float64
	release    []func()
	// done receives nil when the request may start, or an error when it is refused.
	done chan error
}

// NewSlotAdmitter returns an admitter; capacity may be nil.
func NewSlotAdmitter(slots *Slots, capacity TargetCapacity) *SlotAdmitter {
	return &SlotAdmitter{
		Slots: slots, Capacity: capacity, wake: make(chan struct{}, 1),
		queue:    workspace.Queue{EntryLimits: map[string]int{}, TotalLimit: maxWaiting},
		requests: map[string]*queuedRequest{}, unplacedCount: map[capacityKey]int{}, reserved: map[capacityKey][]ReservedSlot{}, borrowingUntil: map[string]time.Time{},
	}
}

// Admit queues the work and blocks until it may start or is refused.
func (a *SlotAdmitter) Admit(ctx context.Context, w Work) (func(), error) {
	q := a.newQueuedRequest(w)
	if err := a.enqueue(q); err != nil {
		return nil, a.toRefusal(err)
	}
	select {
	case err := <-q.done:
		if err != nil {
			return nil, a.toRefusal(err)
		}
	case <-ctx.Done():
		if a.cancel(q) {
			return nil, newRefusal(http.StatusServiceUnavailable, "caller_gone", "the caller closed its connection while the request waited")
		}
		if err := <-q.done; err != nil {
			return nil, a.toRefusal(err)
		}
	}
	a.Slots.Metrics.GetOrCreateHistogram("bambooferry_queue_wait_seconds").Update(q.startedAt.Sub(q.arrivedAt).Seconds())
	return sync.OnceFunc(func() { a.finish(q) }), nil
}

func (a *SlotAdmitter) newQueuedRequest(w Work) *queuedRequest {
	class := classInteractive
	switch {
	case w.AlreadyRunning:
		class = classRunning
	case w.Entry.Class == catalogue.Batch:
		class = classBatch
	}
	q := &queuedRequest{
		work: w, done: make(chan error, 1), arrivedAt: time.Now(), capacityKey: capacityKey{w.Entry.Name, w.Version},
		needsTarget: a.Capacity != nil && !w.AlreadyRunning,
		item: workspace.Item{
			ID: w.Request, Workspace: w.Workspace.Name, Weight: max(w.Workspace.Weight, 1), Entry: w.Entry.Name,
			Class: class, Cost: float64(max(w.Tokens, 1)), Deadline: w.Deadline,
		},
	}
	if w.CurrentVersion != nil {
		q.capacityKey.version = w.CurrentVersion()
	}
	if q.needsTarget {
		q.item.Group = q.capacityKey.version
	}
	return q
}

// errInstanceIsolated refuses work on an instance that may not start any.
var errInstanceIsolated = errors.New("instance is isolated")

// enqueue adds a request to the queue and starts the work that can start.
func (a *SlotAdmitter) enqueue(q *queuedRequest) error {
	now := time.Now()
	if !a.Slots.CanStartWork(now) {
		return errInstanceIsolated
	}
	a.mu.Lock()
	// Work that does not have to wait passes through the queue as well.
	a.queue.EntryLimits[q.item.Entry] = max(q.work.Entry.Limits.Queue, 1)
	displaced, err := a.queue.Offer(now, q.item)
	if err != nil {
		a.mu.Unlock()
		return err
	}
	a.deliverRefusal(displaced)
	a.requests[q.item.ID] = q
	missing := a.startReady(now)
	waits := q.startedAt.IsZero() && len(q.done) == 0
	if waits && q.work.Entry.Limits.Queue == 0 {
		a.queue.Cancel(q.item.ID)
		delete(a.requests, q.item.ID)
		err = &workspace.RefusedError{ID: q.item.ID, Reason: workspace.QueueFull, RetryAfter: time.Second}
	}
	waiting := a.queue.Len()
	a.mu.Unlock()
	a.borrowMissing(missing)
	if waits && err == nil {
		a.Slots.Events.Write(now, timeline.Event{
			Kind: "request_queued", Request: q.work.Request, Workspace: q.item.Workspace, Entry: q.item.Entry, Version: q.work.Version,
			Decision: "wait", Inputs: []timeline.Input{{Name: "waiting", Value: int64(waiting)}, {Name: "class", Value: int64(q.item.Class)}},
		})
	}
	return err
}

// cancel removes a request whose caller has disconnected from the queue and reports whether it was there.
func (a *SlotAdmitter) cancel(q *queuedRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Cancel(q.item.ID) {
		return false
	}
	delete(a.requests, q.item.ID)
	return true
}

// RecordProgress records what share of an admitted request its target has completed at a time.
func (a *SlotAdmitter) RecordProgress(request string, share float64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.requests[request]; q != nil {
		q.share, q.progressAt = share, at
	}
}

// MarkPlaced records that an admitted request has a slot of a target, or needs none.
func (a *SlotAdmitter) MarkPlaced(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.requests[request]
	if q == nil || !q.unplaced {
		return
	}
	a.clearUnplaced(q)
	if a.queue.Len() > 0 {
		// A pass over the queue since the slot was taken has counted the slot twice.
		a.Wake()
	}
}

// clearUnplaced stops counting a request against the free slots; the caller holds the lock.
func (a *SlotAdmitter) clearUnplaced(q *queuedRequest) {
	if !q.unplaced {
		return
	}
	q.unplaced = false
	if a.unplacedCount[q.capacityKey]--; a.unplacedCount[q.capacityKey] <= 0 {
		delete(a.unplacedCount, q.capacityKey)
	}
	a.releaseSurplus(q.capacityKey)
}

// releaseSurplus gives back slots that are no longer needed for a call; the caller holds the lock.
//
// A call may have taken a slot that was kept for another call, so slots are counted by capacityKey.
func (a *SlotAdmitter) releaseSurplus(key capacityKey) {
	list := slices.DeleteFunc(a.reserved[key], func(h ReservedSlot) bool { return !h.IsUnused() })
	for len(list) > a.unplacedCount[key] {
		last := len(list) - 1
		list[last].Release()
		list = list[:last]
		signal(a.wake)
	}
	if a.reserved[key] = list; len(list) == 0 {
		delete(a.reserved, key)
	}
}

// finish ends a request and lets others start.
func (a *SlotAdmitter) finish(q *queuedRequest) {
	now := time.Now()
	a.mu.Lock()
	a.clearUnplaced(q)
	delete(a.requests, q.item.ID)
	a.queue.RecordEnd(now, q.item, workspace.RunResult{StartedAt: q.startedAt, LastProgress: q.progressAt, FractionDone: q.share})
	a.mu.Unlock()
	for _, r := range q.release {
		r()
	}
	a.Wake()
}

// toRefusal converts the queue's errors into refusals. None of the refused work was sent to a target.
func (a *SlotAdmitter) toRefusal(err error) error {
	var r *workspace.RefusedError
	if !errors.As(err, &r) {
		return newRefusal(http.StatusServiceUnavailable, "instance_isolated", "this instance may start no work at present; another may").retryAfter(queuePollInterval)
	}
	a.Slots.Metrics.GetOrCreateCounter(`bambooferry_queue_refusals_total{reason="` + string(r.Reason) + `"}`).Inc()
	status := http.StatusTooManyRequests
	if r.Reason == workspace.DeadlineUnreachable {
		status = http.StatusServiceUnavailable
	}
	return newRefusal(status, string(r.Reason), queueRefusalMessages[r.Reason]).retryAfter(r.RetryAfter)
}

var queueRefusalMessages = map[workspace.Reason]string{
	workspace.QueueFull:           "too many requests wait for the entry",
	workspace.DeadlineUnreachable: "the request could not end by its deadline",
	workspace.Displaced:           "the place in the queue went to a request that goes first",
}
