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
	est := q.estimator(it.Entry)
	est.recordAllowedTime(it.Deadline.Sub(now))
	item := q.tagItem(it)
	if wait := est.waitTime(q.costAhead(item)); now.Add(wait + est.serviceTimeBound(now)).After(it.Deadline) {
		return nil, &RefusedError{ID: it.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(it)}
	}
	if last, full := q.lastIfFull(it.Entry); full {
		if last == nil || cmp.Or(cmp.Compare(last.Class, item.Class), cmp.Compare(item.startTag, last.startTag)) >= 0 {
			return nil, &RefusedError{ID: it.ID, Reason: QueueFull, RetryAfter: q.retryAfter(it)}
		}
		q.remove(last)
		q.finishTags[tagKey{last.Class, last.Workspace}] = last.startTag
		displaced = &RefusedError{ID: last.ID, Reason: Displaced, RetryAfter: q.retryAfter(last.Item)}
	}
	q.insert(item)
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
		if item := e.byOrder.last(); item != nil && (last == nil || compareOrder(last, item) < 0) {
			last = item
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
		item := h[0].queuedItem
		if blocked.contains(item) {
			h.advanceFirst(nil)
			continue
		}
		next := h[0].lane.after(item)
		result := start(item.Item)
		if result == Started {
			q.virtualTime[item.Class] = max(q.virtualTime[item.Class], item.startTag)
			started = append(started, item.Item)
			q.recordTakenSlot(now, item.Entry)
			q.remove(item)
		}
		blocked.add(item, result)
		h.advanceFirst(next)
		if result == EntryBlocked || result == GroupBlocked {
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
		for item := e.byDeadline.first(); item != nil && (end.After(item.Deadline) || !now.Before(item.Deadline)); item = e.byDeadline.first() {
			q.remove(item)
			list = append(list, &RefusedError{ID: item.ID, Reason: DeadlineUnreachable, RetryAfter: q.retryAfter(item.Item)})
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

func (b *blockedSet) contains(item *queuedItem) bool {
	return b.entries[item.Entry] || b.workspaces[item.Workspace] || b.groups[[2]string{item.Entry, item.Group}]
}

func (b *blockedSet) add(item *queuedItem, result StartResult) {
	switch result {
	case GroupBlocked:
		b.groups[[2]string{item.Entry, item.Group}] = true
	case WorkspaceBlocked:
		b.workspaces[item.Workspace] = true
	case EntryBlocked:
		b.entries[item.Entry] = true
	case Started, ItemBlocked:
	}
}

// Cancel removes an item whose caller has disconnected and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	item := q.items[id]
	if item == nil {
		return false
	}
	q.remove(item)
	return true
}

// RecordEnd updates the counters and estimates with the end of a started request.
func (q *Queue) RecordEnd(now time.Time, it Item, run RunResult) {
	q.init()
	q.countEnd(now, it, run)
	est := q.estimator(it.Entry)
	took, ok := est.wholeDuration(now, run)
	if !ok {
		est.restartStep(now)
		return
	}
	est.recordEnd(now, it.Cost*run.FractionDone, took, q.EntryLen(it.Entry) > 0)
}

func (q *Queue) init() {
	if q.virtualTime == nil {
		q.virtualTime, q.finishTags, q.estimators = map[int]float64{}, map[tagKey]float64{}, map[string]*estimator{}
		q.freedSlots = map[string][]time.Time{}
		q.items, q.entries, q.lanes = map[string]*queuedItem{}, map[string]*entryQueue{}, map[laneKey]*itemTree{}
	}
}

func (q *Queue) estimator(entry string) *estimator {
	est := q.estimators[entry]
	if est == nil {
		est = &estimator{}
		q.estimators[entry] = est
	}
	return est
}

// tagItem computes an item's start tag: start-time fair queueing by workspace.
func (q *Queue) tagItem(it Item) *queuedItem {
	q.lastSequence++
	start := max(q.virtualTime[it.Class], q.finishTags[tagKey{it.Class, it.Workspace}])
	return &queuedItem{Item: it, startTag: start, sequence: q.lastSequence}
}

func (q *Queue) insert(item *queuedItem) {
	q.finishTags[tagKey{item.Class, item.Workspace}] = item.startTag + item.Cost/float64(item.Weight)
	q.items[item.ID] = item
	e := q.entries[item.Entry]
	if e == nil {
		e = newEntryQueue()
		q.entries[item.Entry] = e
	}
	e.byOrder.insert(item)
	e.byDeadline.insert(item)
	lane := q.lanes[item.laneKey()]
	if lane == nil {
		lane = &itemTree{compare: compareOrder}
		q.lanes[item.laneKey()] = lane
	}
	lane.insert(item)
}

// remove removes a waiting item.
func (q *Queue) remove(item *queuedItem) {
	delete(q.items, item.ID)
	e, lane := q.entries[item.Entry], q.lanes[item.laneKey()]
	e.byOrder.remove(item)
	e.byDeadline.remove(item)
	if lane.remove(item); lane.root == nil {
		delete(q.lanes, item.laneKey())
	}
	if e.byOrder.root == nil {
		delete(q.entries, item.Entry)
	}
}

// CostAhead returns the total cost of the waiting items of an item's entry that would be served before it, if it were
// offered now.
func (q *Queue) CostAhead(it Item) float64 {
	q.init()
	start := max(q.virtualTime[it.Class], q.finishTags[tagKey{it.Class, it.Workspace}])
	return q.costAhead(&queuedItem{Item: it, startTag: start, sequence: q.lastSequence + 1})
}

// costAhead returns the total cost of the entry's items that are served before an item.
func (q *Queue) costAhead(item *queuedItem) float64 {
	e := q.entries[item.Entry]
	if e == nil {
		return 0
	}
	return e.byOrder.costAhead(item)
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
