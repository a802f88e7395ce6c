package workspace

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Queue orders the requests of one instance; set its exported fields before the first call.
type Queue struct {
	// EntryLimits is the largest number of waiting items of one entry; a missing entry has none waiting.
	EntryLimits map[string]int
	// TotalLimit is the largest number of waiting items in all.
	TotalLimit int

	items   map[string]*waiter
	entries map[string]*entryItems
	lanes   map[laneKey]*tree
	clock   map[int]float64
	tags    map[tagKey]float64
	rates   map[string]*rate
	order   uint64
	counts  Counts
	// free has when the entries' target slots came free that have not been taken since.
	free map[string][]time.Time
}

type tagKey struct {
	class     int
	workspace string
}

// waiter is an item with its place in the fair order of its class.
type waiter struct {
	Item
	start float64
	order uint64
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// EntryLen returns the number of waiting items of an entry.
func (q *Queue) EntryLen(entry string) int {
	e := q.entries[entry]
	if e == nil {
		return 0
	}
	return e.order.root.size()
}

// Offer takes in an item or refuses it; it also returns the item that had to make place.
//
// A full queue drops the item that would go last, so that a workspace which fills
// the queue cannot keep the others out of it.
func (q *Queue) Offer(now time.Time, it Item) (displaced *RefusedError, err error) {
	q.init()
	r := q.rate(it.Entry)
	r.allow(it.Deadline.Sub(now))
	w := q.place(it)
	if wait := r.wait(q.ahead(w)); now.Add(wait + r.needs(now)).After(it.Deadline) {
		return nil, &RefusedError{ID: it.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(it)}
	}
	if last, full := q.last(it.Entry); full {
		if last == nil || cmp.Or(cmp.Compare(last.Class, w.Class), cmp.Compare(w.start, last.start)) >= 0 {
			return nil, &RefusedError{ID: it.ID, Reason: QueueFull, RetryAfter: q.retryAfter(it)}
		}
		q.take(last)
		q.tags[tagKey{last.Class, last.Workspace}] = last.start
		displaced = &RefusedError{ID: last.ID, Reason: Displaced, RetryAfter: q.retryAfter(last.Item)}
	}
	q.insert(w)
	return displaced, nil
}

// last returns the item that goes last of those that count against a limit which is reached.
func (q *Queue) last(entry string) (last *waiter, full bool) {
	if q.EntryLen(entry) >= q.EntryLimits[entry] {
		if e := q.entries[entry]; e != nil {
			last = e.order.last()
		}
		return last, true
	}
	if len(q.items) < q.TotalLimit {
		return nil, false
	}
	for _, e := range q.entries {
		if w := e.order.last(); w != nil && (last == nil || before(last, w) < 0) {
			last = w
		}
	}
	return last, true
}

// StartResult tells whether an item was started, and if not, what it waits for.
type StartResult int

const (
	// Started tells that the item has taken what it needs.
	Started StartResult = iota
	// ItemBlocked tells that this item cannot start, which says nothing of others.
	ItemBlocked
	// GroupBlocked tells that no item of the entry and group can start.
	GroupBlocked
	// WorkspaceBlocked tells that no item of the workspace can start.
	WorkspaceBlocked
	// EntryBlocked tells that no item of the entry can start.
	EntryBlocked
)

// Dispatch removes and returns the items that may start now, in order, and those that have become too late.
//
// The function start is asked for each item in turn and takes what the item
// needs, or returns false. An entry that cannot start an item is not asked again.
func (q *Queue) Dispatch(now time.Time, start func(Item) bool) (started []Item, late []*RefusedError) {
	return q.DispatchFunc(now, func(it Item) StartResult {
		if start(it) {
			return Started
		}
		return EntryBlocked
	})
}

// DispatchFunc does as Next with a function that tells what an item waits for.
//
// Its cost grows with the number of lanes (class, entry, group and workspace) and of items that
// start, are late or wait alone, and not with the number of all that wait.
func (q *Queue) DispatchFunc(now time.Time, start func(Item) StartResult) (started []Item, late []*RefusedError) {
	q.init()
	late = q.late(now)
	blocked := blocks{entries: map[string]bool{}, workspaces: map[string]bool{}, groups: map[[2]string]bool{}}
	for h := q.heads(); len(h) > 0; {
		w := h[0].waiter
		if blocked.has(w) {
			h.skip(nil)
			continue
		}
		next := h[0].lane.after(w)
		answer := start(w.Item)
		if answer == Started {
			q.clock[w.Class] = max(q.clock[w.Class], w.start)
			started = append(started, w.Item)
			q.taken(now, w.Entry)
			q.take(w)
		}
		blocked.add(w, answer)
		h.skip(next)
		if answer == EntryBlocked || answer == GroupBlocked {
			h.drop(&blocked)
		}
	}
	q.forget()
	// What was not taken now is of no use here, such as a slot that went back to its lender.
	clear(q.free)
	return started, late
}

// late removes the items that can no longer end by their deadline.
func (q *Queue) late(now time.Time) (list []*RefusedError) {
	for _, name := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[name]
		end := now.Add(q.rate(name).needs(now))
		for w := e.deadline.first(); w != nil && (end.After(w.Deadline) || !now.Before(w.Deadline)); w = e.deadline.first() {
			q.take(w)
			list = append(list, &RefusedError{ID: w.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(w.Item)})
		}
	}
	return list
}

// heads returns the first item of each lane as a heap.
func (q *Queue) heads() heads {
	h := make(heads, 0, len(q.lanes))
	for _, lane := range q.lanes {
		h = append(h, head{lane.first(), lane})
	}
	heap.Init(&h)
	return h
}

// blocks tells which items need not be asked.
type blocks struct {
	entries, workspaces map[string]bool
	groups              map[[2]string]bool
}

func (b *blocks) has(w *waiter) bool {
	return b.entries[w.Entry] || b.workspaces[w.Workspace] || b.groups[[2]string{w.Entry, w.Group}]
}

func (b *blocks) add(w *waiter, a StartResult) {
	switch a {
	case GroupBlocked:
		b.groups[[2]string{w.Entry, w.Group}] = true
	case WorkspaceBlocked:
		b.workspaces[w.Workspace] = true
	case EntryBlocked:
		b.entries[w.Entry] = true
	case Started, ItemBlocked:
	}
}

// Cancel removes an item whose caller has gone and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	w := q.items[id]
	if w == nil {
		return false
	}
	q.take(w)
	return true
}

// RecordEnd takes in the end of a request that was started.
func (q *Queue) RecordEnd(now time.Time, it Item, run RunResult) {
	q.init()
	q.countEnd(now, it, run)
	r := q.rate(it.Entry)
	took, ok := r.whole(now, run)
	if !ok {
		r.restart(now)
		return
	}
	r.ended(now, it.Cost*run.FractionDone, took, q.EntryLen(it.Entry) > 0)
}

func (q *Queue) init() {
	if q.clock == nil {
		q.clock, q.tags, q.rates = map[int]float64{}, map[tagKey]float64{}, map[string]*rate{}
		q.free = map[string][]time.Time{}
		q.items, q.entries, q.lanes = map[string]*waiter{}, map[string]*entryItems{}, map[laneKey]*tree{}
	}
}

func (q *Queue) rate(entry string) *rate {
	r := q.rates[entry]
	if r == nil {
		r = &rate{}
		q.rates[entry] = r
	}
	return r
}

// place computes where an item stands: start-time fair queueing by workspace.
func (q *Queue) place(it Item) *waiter {
	q.order++
	start := max(q.clock[it.Class], q.tags[tagKey{it.Class, it.Workspace}])
	return &waiter{Item: it, start: start, order: q.order}
}

func (q *Queue) insert(w *waiter) {
	q.tags[tagKey{w.Class, w.Workspace}] = w.start + w.Cost/float64(w.Weight)
	q.items[w.ID] = w
	e := q.entries[w.Entry]
	if e == nil {
		e = newEntryItems()
		q.entries[w.Entry] = e
	}
	e.order.insert(w)
	e.deadline.insert(w)
	lane := q.lanes[w.lane()]
	if lane == nil {
		lane = &tree{compare: before}
		q.lanes[w.lane()] = lane
	}
	lane.insert(w)
}

// take removes an item that waits.
func (q *Queue) take(w *waiter) {
	delete(q.items, w.ID)
	e, lane := q.entries[w.Entry], q.lanes[w.lane()]
	e.order.remove(w)
	e.deadline.remove(w)
	if lane.remove(w); lane.root == nil {
		delete(q.lanes, w.lane())
	}
	if e.order.root == nil {
		delete(q.entries, w.Entry)
	}
}

// ahead returns the cost of the items of the same entry that go before an item.
func (q *Queue) ahead(w *waiter) float64 {
	e := q.entries[w.Entry]
	if e == nil {
		return 0
	}
	return e.order.ahead(w)
}

// minRetryAfter keeps callers from coming back at once when no estimate exists yet.
const minRetryAfter = 500 * time.Millisecond

// retryAfter estimates when half of the entry's waiting work will have been started.
func (q *Queue) retryAfter(it Item) time.Duration {
	cost := 0.0
	if e := q.entries[it.Entry]; e != nil {
		cost = e.order.root.cost()
	}
	return max(q.rate(it.Entry).wait(cost/2), minRetryAfter)
}

// forget drops the tags of workspaces that have fallen behind the clock of their class.
func (q *Queue) forget() {
	for k, tag := range q.tags {
		if tag <= q.clock[k.class] {
			delete(q.tags, k)
		}
	}
}
