package workspace

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Queue orders the waiting requests of one instance; set its exported fields before the first call.
type Queue struct {
	// EntryLimits is the maximum number of waiting items per entry; a missing entry may have none.
	EntryLimits map[string]int
	// TotalLimit is the maximum number of waiting items in all.
	TotalLimit int

	items        map[string]*queuedItem
	entries      map[string]*entryQueue
	lanes        map[laneKey]*itemTree
	virtualTime  map[int]float64
	finishTags   map[tagKey]float64
	estimators   map[string]*estimator
	lastSequence uint64
	counts       Counts
	// freedSlots holds, by entry, when the target slots became free that have not been used since.
	freedSlots map[string][]time.Time
}

type tagKey struct {
	class     int
	workspace string
}

// queuedItem is an item with its virtual start time in the fair order of its class.
type queuedItem struct {
	Item
	startTag float64
	sequence uint64
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// EntryLen returns the number of waiting items of an entry.
func (q *Queue) EntryLen(entry string) int {
	e := q.entries[entry]
	if e == nil {
		return 0
	}
	return e.byOrder.root.size()
}

// Offer queues an item or refuses it; it also returns the item that was displaced, if any.
//
// A full queue drops the item that would be served last, so that one workspace that fills
// the queue cannot exclude the others.
func (q *Queue) Offer(now time.Time, it Item) (displaced *RefusedError, err error) {
	q.init()
	r := q.estimator(it.Entry)
	r.recordAllowedTime(it.Deadline.Sub(now))
	w := q.tagItem(it)
	if wait := r.waitTime(q.costAhead(w)); now.Add(wait + r.serviceTimeBound(now)).After(it.Deadline) {
		return nil, &RefusedError{ID: it.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(it)}
	}
	if last, full := q.lastIfFull(it.Entry); full {
		if last == nil || cmp.Or(cmp.Compare(last.Class, w.Class), cmp.Compare(w.startTag, last.startTag)) >= 0 {
			return nil, &RefusedError{ID: it.ID, Reason: QueueFull, RetryAfter: q.retryAfter(it)}
		}
		q.remove(last)
		q.finishTags[tagKey{last.Class, last.Workspace}] = last.startTag
		displaced = &RefusedError{ID: last.ID, Reason: Displaced, RetryAfter: q.retryAfter(last.Item)}
	}
	q.insert(w)
	return displaced, nil
}

// lastIfFull returns the item served last among those that count against an exhausted limit; full is false if no limit is exhausted.
func (q *Queue) lastIfFull(entry string) (last *queuedItem, full bool) {
	if q.EntryLen(entry) >= q.EntryLimits[entry] {
		if e := q.entries[entry]; e != nil {
			last = e.byOrder.last()
		}
		return last, true
	}
	if len(q.items) < q.TotalLimit {
		return nil, false
	}
	for _, e := range q.entries {
		if w := e.byOrder.last(); w != nil && (last == nil || compareOrder(last, w) < 0) {
			last = w
		}
	}
	return last, true
}

// StartResult states whether an item was started and, if not, what it waits for.
type StartResult int

const (
	// Started means that the item has acquired the resources it needs.
	Started StartResult = iota
	// ItemBlocked means that this item cannot start; others may still start.
	ItemBlocked
	// GroupBlocked means that no item of the entry and group can start.
	GroupBlocked
	// WorkspaceBlocked means that no item of the workspace can start.
	WorkspaceBlocked
	// EntryBlocked means that no item of the entry can start.
	EntryBlocked
)

// Dispatch removes and returns the items that can start now, in order, and those that are too late.
//
// It calls start for each item in turn, which acquires the resources the item needs
// or returns false. After false, no more items of that entry are tried.
func (q *Queue) Dispatch(now time.Time, start func(Item) bool) (started []Item, late []*RefusedError) {
	return q.DispatchFunc(now, func(it Item) StartResult {
		if start(it) {
			return Started
		}
		return EntryBlocked
	})
}

// DispatchFunc is Dispatch with a start function that states what a blocked item waits for.
//
// Its cost grows with the number of lanes (class, entry, group and workspace) and of items that
// start, are late or are individually blocked, and not with the number of all waiting items.
func (q *Queue) DispatchFunc(now time.Time, start func(Item) StartResult) (started []Item, late []*RefusedError) {
	q.init()
	late = q.removeLate(now)
	blocked := blockedSet{entries: map[string]bool{}, workspaces: map[string]bool{}, groups: map[[2]string]bool{}}
	for h := q.laneHeads(); len(h) > 0; {
		w := h[0].queuedItem
		if blocked.contains(w) {
			h.advanceFirst(nil)
			continue
		}
		next := h[0].lane.after(w)
		answer := start(w.Item)
		if answer == Started {
			q.virtualTime[w.Class] = max(q.virtualTime[w.Class], w.startTag)
			started = append(started, w.Item)
			q.recordTakenSlot(now, w.Entry)
			q.remove(w)
		}
		blocked.add(w, answer)
		h.advanceFirst(next)
		if answer == EntryBlocked || answer == GroupBlocked {
			h.removeBlocked(&blocked)
		}
	}
	q.dropOldTags()
	// Slots not used now are not counted as idle, as they may have been returned to their lender.
	clear(q.freedSlots)
	return started, late
}

// removeLate removes the items that can no longer end by their deadline.
func (q *Queue) removeLate(now time.Time) (list []*RefusedError) {
	for _, name := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[name]
		end := now.Add(q.estimator(name).serviceTimeBound(now))
		for w := e.byDeadline.first(); w != nil && (end.After(w.Deadline) || !now.Before(w.Deadline)); w = e.byDeadline.first() {
			q.remove(w)
			list = append(list, &RefusedError{ID: w.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(w.Item)})
		}
	}
	return list
}

// laneHeads returns the first item of each lane as a heap.
func (q *Queue) laneHeads() laneHeap {
	h := make(laneHeap, 0, len(q.lanes))
	for _, lane := range q.lanes {
		h = append(h, laneHead{lane.first(), lane})
	}
	heap.Init(&h)
	return h
}

// blockedSet records which items cannot start in this pass.
type blockedSet struct {
	entries, workspaces map[string]bool
	groups              map[[2]string]bool
}

func (b *blockedSet) contains(w *queuedItem) bool {
	return b.entries[w.Entry] || b.workspaces[w.Workspace] || b.groups[[2]string{w.Entry, w.Group}]
}

func (b *blockedSet) add(w *queuedItem, a StartResult) {
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

// Cancel removes an item whose caller has disconnected and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	w := q.items[id]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

// RecordEnd updates the counters and estimates with the end of a started request.
func (q *Queue) RecordEnd(now time.Time, it Item, run RunResult) {
	q.init()
	q.countEnd(now, it, run)
	r := q.estimator(it.Entry)
	took, ok := r.wholeDuration(now, run)
	if !ok {
		r.restartStep(now)
		return
	}
	r.recordEnd(now, it.Cost*run.FractionDone, took, q.EntryLen(it.Entry) > 0)
}

func (q *Queue) init() {
	if q.virtualTime == nil {
		q.virtualTime, q.finishTags, q.estimators = map[int]float64{}, map[tagKey]float64{}, map[string]*estimator{}
		q.freedSlots = map[string][]time.Time{}
		q.items, q.entries, q.lanes = map[string]*queuedItem{}, map[string]*entryQueue{}, map[laneKey]*itemTree{}
	}
}

func (q *Queue) estimator(entry string) *estimator {
	r := q.estimators[entry]
	if r == nil {
		r = &estimator{}
		q.estimators[entry] = r
	}
	return r
}

// tagItem computes an item's start tag: start-time fair queueing by workspace.
func (q *Queue) tagItem(it Item) *queuedItem {
	q.lastSequence++
	start := max(q.virtualTime[it.Class], q.finishTags[tagKey{it.Class, it.Workspace}])
	return &queuedItem{Item: it, startTag: start, sequence: q.lastSequence}
}

func (q *Queue) insert(w *queuedItem) {
	q.finishTags[tagKey{w.Class, w.Workspace}] = w.startTag + w.Cost/float64(w.Weight)
	q.items[w.ID] = w
	e := q.entries[w.Entry]
	if e == nil {
		e = newEntryQueue()
		q.entries[w.Entry] = e
	}
	e.byOrder.insert(w)
	e.byDeadline.insert(w)
	lane := q.lanes[w.laneKey()]
	if lane == nil {
		lane = &itemTree{compare: compareOrder}
		q.lanes[w.laneKey()] = lane
	}
	lane.insert(w)
}

// remove removes a waiting item.
func (q *Queue) remove(w *queuedItem) {
	delete(q.items, w.ID)
	e, lane := q.entries[w.Entry], q.lanes[w.laneKey()]
	e.byOrder.remove(w)
	e.byDeadline.remove(w)
	if lane.remove(w); lane.root == nil {
		delete(q.lanes, w.laneKey())
	}
	if e.byOrder.root == nil {
		delete(q.entries, w.Entry)
	}
}

// costAhead returns the total cost of the entry's items that are served before an item.
func (q *Queue) costAhead(w *queuedItem) float64 {
	e := q.entries[w.Entry]
	if e == nil {
		return 0
	}
	return e.byOrder.costAhead(w)
}

// minRetryAfter keeps callers from retrying at once while no estimate exists yet.
const minRetryAfter = 500 * time.Millisecond

// retryAfter estimates the time until half of the entry's waiting work has been started.
func (q *Queue) retryAfter(it Item) time.Duration {
	cost := 0.0
	if e := q.entries[it.Entry]; e != nil {
		cost = e.byOrder.root.cost()
	}
	return max(q.estimator(it.Entry).waitTime(cost/2), minRetryAfter)
}

// dropOldTags drops the finish tags that are not after the virtual time of their class and so have no effect.
func (q *Queue) dropOldTags() {
	for k, tag := range q.finishTags {
		if tag <= q.virtualTime[k.class] {
			delete(q.finishTags, k)
		}
	}
}
